package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// maxTiers is the number of tiers that the inventory schema allows.
const maxTiers = 16

// entryState tells where an entry stands.
type entryState uint8

const (
	entryFree entryState = iota
	entryWaiting
	entryHeld
)

// entry is one request that waits or holds a slot. Entries are reused.
type entry struct {
	demand Demand
	state  entryState
	lane   *lane
	share  *share
	target targetSet
	tier   int
	seq    uint64
	at     monotime.Instant

	// latestStart is the last instant at which a start can still be on time.
	latestStart monotime.Instant
	// work is the slot time that the request is expected to take, in seconds.
	work float64
	// roomHold is the slot time that was put down when room was kept.
	roomHold  float64
	sharePos  int
	expiryPos int

	// Fields of a held slot.
	engine     *engine
	account    *account
	grantedAt  monotime.Instant
	renewedAt  monotime.Instant
	expected   time.Duration
	tokens     int
	charged    float64
	prefixHit  bool
	probe      bool
	older      *entry
	newer      *entry
	nextUnused *entry
}

// lane schedules the targets (models or services) that share engines: those
// that any engine serves together are in one lane, so that tiers are compared
// wherever they compete for a slot.
type lane struct {
	targets []string
	engines []*engine
	// usable are the targets that some engine takes new work for; mixed says
	// that the engines do not all serve the same ones.
	usable targetSet
	mixed  bool
	// free and limit are sums over the engines that take new work.
	free    int
	extra   int
	limit   int
	waiting int
	tiers   [maxTiers]tierQueue
	lines   []*line
	// hold is the mean slot time of a request, in seconds.
	hold ewma
	// gapTarget is the tightest token gap target of the classes seen.
	gapTarget time.Duration
	// gapMean is the mean time between tokens over the engines, in seconds.
	gapMean  float64
	rotation int
}

// tierQueue holds what waits in one tier of a lane.
type tierQueue struct {
	waiting int
	// work is the slot time that waits, in seconds.
	work float64
	// weights sums the weights of the accounts that wait.
	weights  float64
	expiry   heap[*entry]
	sizes    heap[*account]
	idle     heap[*account]
	accounts map[uint64]*account
	// clock is the virtual time of the tier: the counter at the last grant.
	clock float64
	// arriving is the slot time that arrives, in slots.
	arriving rate
	held     heldWork
}

// targetSet is a set of targets of a lane, by their places in lane.targets.
type targetSet uint64

// line holds the requests of one class in one tier of a lane.
type line struct {
	class  *catalog.Class
	target targetSet
	tier   int
	shares heap[*share]
	// waiting counts requests, work is their slot time in seconds.
	waiting int
	work    float64
	// patience is the time that requests of the line can wait, in seconds.
	patience ewma
	// credit is the slot time the floor owes to the line, in seconds.
	credit   float64
	creditAt monotime.Instant
	servedAt monotime.Instant
}

// share holds the waiting requests of one customer in a line.
type share struct {
	account *account
	line    *line
	entries heap[*entry]
	pos     int
}

func newLane(targets []string) *lane {
	l := &lane{targets: targets}
	for t := range l.tiers {
		q := &l.tiers[t]
		q.expiry.moved = func(e *entry, i int) { e.expiryPos = i }
		q.sizes.moved = func(a *account, i int) { a.sizePos = i }
		q.idle.moved = func(a *account, i int) { a.idlePos = i }
	}
	return l
}

// setOf returns the set of the lane's targets that are among the names.
func (l *lane) setOf(names ...string) targetSet {
	var set targetSet
	for i, target := range l.targets {
		for _, name := range names {
			if target == name {
				set |= 1 << i
			}
		}
	}
	return set
}

// reach returns the targets that an engine with a free slot serves.
func (l *lane) reach() targetSet {
	if !l.mixed {
		return ^targetSet(0)
	}
	var set targetSet
	for _, e := range l.engines {
		if e.free+e.extra > 0 {
			set |= e.serves
		}
	}
	return set
}

// lineOf returns the line of a request.
func (g *Group) lineOf(e *entry, now monotime.Instant) *line {
	l, class := e.lane, e.demand.Class
	for _, ln := range l.lines {
		if ln.tier == e.tier && ln.target == e.target && ln.class.Hash == class.Hash {
			ln.class = class
			return ln
		}
	}
	ln := &line{class: class, target: e.target, tier: e.tier, creditAt: now, servedAt: now}
	ln.shares.moved = func(s *share, i int) { s.pos = i }
	l.lines = append(l.lines, ln)
	return ln
}

// enqueue puts an entry in the queue of its lane.
func (g *Group) enqueue(e *entry, now monotime.Instant) {
	q := &e.lane.tiers[e.tier]
	ln := g.lineOf(e, now)
	acct := g.accountFor(q, e.demand.Customer)
	s := g.shareFor(acct, ln)
	e.share = s
	e.state = entryWaiting
	s.entries.push(g.orderKey(e), e.seq, e)
	if e.sharePos == 0 {
		g.reorder(s)
	}
	q.expiry.push(float64(e.latestStart), e.seq, e)
	ln.waiting++
	ln.work += e.work
	q.waiting++
	q.work += e.work
	e.lane.waiting++
	g.waiting++
	acct.work += e.work
	g.accountWaits(q, acct, 1)
}

// orderKey orders the requests of one customer in a line.
func (g *Group) orderKey(e *entry) float64 {
	if !g.policy.Fairness {
		return float64(e.at)
	}
	return float64(e.latestStart)
}

// dequeue takes a waiting entry out of every structure.
func (g *Group) dequeue(e *entry) {
	q := &e.lane.tiers[e.tier]
	s := e.share
	first := e.sharePos == 0
	s.entries.remove(e.sharePos)
	q.expiry.remove(e.expiryPos)
	s.line.waiting--
	s.line.work = max(0, s.line.work-e.work)
	q.waiting--
	q.work = max(0, q.work-e.work)
	e.lane.waiting--
	g.waiting--
	s.account.work = max(0, s.account.work-e.work)
	if q.waiting == 0 {
		q.work = 0
	}
	g.accountWaits(q, s.account, -1)
	if s.entries.len() == 0 {
		s.line.shares.remove(s.pos)
		g.dropShare(s)
	} else if first {
		g.reorder(s)
	}
	e.share = nil
}

func (g *Group) newEntry() *entry {
	e := g.unusedEntries
	if e == nil {
		return &entry{sharePos: outside, expiryPos: outside}
	}
	g.unusedEntries = e.nextUnused
	e.nextUnused = nil
	return e
}

// recycle forgets an entry that neither waits nor holds a slot.
func (g *Group) recycle(e *entry) {
	delete(g.entries, e.demand.Ticket)
	*e = entry{sharePos: outside, expiryPos: outside, nextUnused: g.unusedEntries}
	g.unusedEntries = e
}
