package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// maxTiers is the number of tiers that the inventory schema allows.
const maxTiers = 16

// entryState is the state of an entry.
type entryState uint8

const (
	entryFree entryState = iota
	entryWaiting
	entryHeld
)

// entry is a request that waits or holds a slot. Entries are reused.
type entry struct {
	demand      Demand
	state       entryState
	pool        *pool
	queue       *customerQueue
	target      targetSet
	tier        int
	seq         uint64
	submittedAt monotime.Instant

	// latestStart is the last instant at which a start can still be on time.
	latestStart monotime.Instant
	// work is the expected slot time of the request, in seconds.
	work float64
	// headroomHold is the slot time, in seconds, that countHeld added for the entry.
	headroomHold float64
	queuePos     int
	expiryPos    int

	// The fields below are set while the entry holds a slot.
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

// pool is a set of targets (models or services) that share engines, with these engines
// and the requests waiting for them. Targets that one engine serves are in the same pool,
// because tiers must be compared wherever they compete for a slot.
type pool struct {
	targets []string
	engines []*engine
	// usable are the targets for which some engine takes new work. mixed reports that the
	// engines do not all serve the same targets.
	usable targetSet
	mixed  bool
	// free, extra and limit are sums over the engines that take new work.
	free        int
	extra       int
	limit       int
	waiting     int
	tiers       [maxTiers]tierQueue
	classQueues []*classQueue
	// hold is the mean slot time of a request, in seconds.
	hold ewma
	// gapTarget is the shortest token gap target of the classes served so far.
	gapTarget time.Duration
	// gapMean is the mean time between tokens over the engines, in seconds.
	gapMean  float64
	rotation int
}

// tierQueue holds the waiting requests of one tier of a pool.
type tierQueue struct {
	waiting int
	// work is the slot time of the waiting requests, in seconds.
	work float64
	// weights is the sum of the weights of the accounts with waiting requests.
	weights   float64
	expiry    heap[*entry]
	byWaiting heap[*account]
	idle      heap[*account]
	accounts  map[uint64]*account
	// clock is the virtual time of the tier: the account counter at the last grant.
	clock float64
	// arriving is the slot time that arrives per second, which is the number of slots it
	// keeps busy.
	arriving rate
	held     heldSlots
}

// targetSet is a bit set of targets, by their index in pool.targets.
type targetSet uint64

// classQueue holds the waiting requests of one class in one tier of a pool.
type classQueue struct {
	class     *catalog.Class
	target    targetSet
	tier      int
	customers heap[*customerQueue]
	// waiting is the number of requests, work their slot time in seconds.
	waiting int
	work    float64
	// waitLimit is the mean time that requests of the queue can wait, in seconds.
	waitLimit ewma
	// credit is the unused slot time that the queue has earned from the floor, in
	// seconds.
	credit   float64
	creditAt monotime.Instant
	servedAt monotime.Instant
}

// customerQueue holds the waiting requests of one customer in a class queue.
type customerQueue struct {
	account    *account
	classQueue *classQueue
	entries    heap[*entry]
	pos        int
}

func newPool(targets []string) *pool {
	p := &pool{targets: targets}
	for t := range p.tiers {
		q := &p.tiers[t]
		q.expiry.onMove = func(e *entry, i int) { e.expiryPos = i }
		q.byWaiting.onMove = func(a *account, i int) { a.waitingPos = i }
		q.idle.onMove = func(a *account, i int) { a.idlePos = i }
	}
	return p
}

// targetSetOf returns the set of the pool's targets that are among the names.
func (p *pool) targetSetOf(names ...string) targetSet {
	var set targetSet
	for i, target := range p.targets {
		for _, name := range names {
			if target == name {
				set |= 1 << i
			}
		}
	}
	return set
}

// availableTargets returns the targets that engines with a free slot serve.
func (p *pool) availableTargets() targetSet {
	if !p.mixed {
		return ^targetSet(0)
	}
	var set targetSet
	for _, e := range p.engines {
		if e.free+e.extra > 0 {
			set |= e.serves
		}
	}
	return set
}

// classQueueOf returns the class queue of a request, and creates it if needed.
func (g *Group) classQueueOf(e *entry, now monotime.Instant) *classQueue {
	p, class := e.pool, e.demand.Class
	for _, cq := range p.classQueues {
		if cq.tier == e.tier && cq.target == e.target && cq.class.Hash == class.Hash {
			cq.class = class
			return cq
		}
	}
	cq := &classQueue{class: class, target: e.target, tier: e.tier, creditAt: now, servedAt: now}
	cq.customers.onMove = func(cust *customerQueue, i int) { cust.pos = i }
	p.classQueues = append(p.classQueues, cq)
	return cq
}

// enqueue adds an entry to the queues of its pool.
func (g *Group) enqueue(e *entry, now monotime.Instant) {
	q := &e.pool.tiers[e.tier]
	cq := g.classQueueOf(e, now)
	acct := g.accountFor(q, e.demand.Customer)
	cust := g.customerQueueFor(acct, cq)
	e.queue = cust
	e.state = entryWaiting
	cust.entries.push(g.orderKey(e), e.seq, e)
	if e.queuePos == 0 {
		g.reorder(cust)
	}
	q.expiry.push(float64(e.latestStart), e.seq, e)
	cq.waiting++
	cq.work += e.work
	q.waiting++
	q.work += e.work
	e.pool.waiting++
	g.waiting++
	acct.work += e.work
	g.updateWaiting(q, acct, 1)
}

// orderKey is the key by which the requests of one customer are ordered in a class queue.
func (g *Group) orderKey(e *entry) float64 {
	if !g.policy.Fairness {
		return float64(e.submittedAt)
	}
	return float64(e.latestStart)
}

// dequeue removes a waiting entry from all queues.
func (g *Group) dequeue(e *entry) {
	q := &e.pool.tiers[e.tier]
	cust := e.queue
	first := e.queuePos == 0
	cust.entries.remove(e.queuePos)
	q.expiry.remove(e.expiryPos)
	cust.classQueue.waiting--
	cust.classQueue.work = max(0, cust.classQueue.work-e.work)
	q.waiting--
	q.work = max(0, q.work-e.work)
	e.pool.waiting--
	g.waiting--
	cust.account.work = max(0, cust.account.work-e.work)
	if q.waiting == 0 {
		q.work = 0
	}
	g.updateWaiting(q, cust.account, -1)
	if cust.entries.len() == 0 {
		cust.classQueue.customers.remove(cust.pos)
		g.dropCustomerQueue(cust)
	} else if first {
		g.reorder(cust)
	}
	e.queue = nil
}

func (g *Group) newEntry() *entry {
	e := g.unusedEntries
	if e == nil {
		return &entry{queuePos: notInHeap, expiryPos: notInHeap}
	}
	g.unusedEntries = e.nextUnused
	e.nextUnused = nil
	return e
}

// recycle deletes an entry that neither waits nor holds a slot, and keeps its memory for
// reuse.
func (g *Group) recycle(e *entry) {
	delete(g.entries, e.demand.Ticket)
	*e = entry{queuePos: notInHeap, expiryPos: notInHeap, nextUnused: g.unusedEntries}
	g.unusedEntries = e
}
