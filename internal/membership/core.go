package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"basilrudder/internal/monotime"
)

// Core is the membership state machine of one instance. It is not safe for concurrent
// use; the Views it returns are.
type Core struct {
	self     Member
	seeds    []string
	rng      *rand.Rand
	revision uint64

	entries    []*entry // by ID, without self
	candidates []*candidate
	contacts   map[string]*contact
	graph      graph
	neighbours []string // sorted

	listVersion int
	listed      bool

	lastTick      monotime.Instant
	lastReceived  monotime.Instant
	epochRaisedAt monotime.Instant
	probe         Target
	probeEnd      monotime.Instant
	nextProbe     monotime.Instant

	seq           int
	confirmSeq    int
	confirmed     bool
	bucketDigests []int // nil when out of date
	graphDirty    bool
	viewDirty     bool
	view          *View
	viewVersion   uint64
	stats         Stats
}

// New returns the core of the member self. Seeds are peer addresses to start from while
// neither the platform nor a peer has named any member.
func New(self Member, seeds []string, seed uint64) *Core {
	c := &Core{
		self:       self,
		graph:      graph{self: node{self.ID, ringHashes(self.ID)}},
		seeds:      slices.Clone(seeds),
		rng:        rand.New(rand.NewPCG(seed, hash64(self.ID))),
		contacts:   make(map[string]*contact),
		viewDirty:  true,
		confirmSeq: 1,
	}
	c.self.State = Alive
	return c
}

// SetRevision sets the configuration revision that heartbeats carry.
func (c *Core) SetRevision(revision uint64) {
	c.revision = revision
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	return c.stats
}

// LastReceived returns when a message last arrived from any peer, zero for never.
func (c *Core) LastReceived() monotime.Instant {
	return c.lastReceived
}

// Neighbours returns the members with which this one exchanges heartbeats, sorted.
func (c *Core) Neighbours() []string {
	c.refreshGraph()
	return slices.Clone(c.neighbours)
}

// LinkTargets returns the peers to keep links to: the neighbours, a peer that is being
// probed, and the seeds while no peer is linked.
func (c *Core) LinkTargets() []Target {
	c.refreshGraph()
	out := make([]Target, 0, len(c.neighbours)+1)
	for _, id := range c.neighbours {
		if address := c.address(id); address != "" {
			out = append(out, Target{ID: id, Address: address})
		}
	}
	if c.probe.Address != "" {
		out = append(out, c.probe)
	}
	if !c.linked() {
		for _, address := range c.seeds {
			out = append(out, Target{Address: address})
		}
	}
	return out
}

func (c *Core) linked() bool {
	for _, ct := range c.contacts {
		if ct.up {
			return true
		}
	}
	return false
}

// Tick performs the periodic work. The shell calls it each TickInterval; a gap of
// PauseThreshold or more counts as a pause of the process.
func (c *Core) Tick(now monotime.Instant, eff Effects) {
	c.detectPause(now, eff)
	c.lastTick = now
	c.refreshContacts(now)
	c.expire(now)
	c.detect(now, eff)
	c.heartbeat(now, eff)
	c.chooseProbe(now)
}

// detectPause checks the time since the last tick before every event: a process that
// resumes may read old messages from its sockets before its timers fire.
func (c *Core) detectPause(now monotime.Instant, eff Effects) {
	if gap := now.Sub(c.lastTick); c.lastTick != 0 && gap >= PauseThreshold {
		c.OnPaused(now, gap, eff)
	}
}

// OnLinkUp records that a link to a peer is open.
func (c *Core) OnLinkUp(now monotime.Instant, id string, eff Effects) {
	c.detectPause(now, eff)
	ct := c.contact(id)
	ct.up = true
	ct.mismatches = 0
	c.markReceived(now, ct)
	sync := c.shouldSync(id, ct)
	if c.probe.ID == id {
		c.probe = Target{}
	}
	if sync {
		c.sendSync(now, id, ct, eff)
	}
	if !c.confirmed {
		c.ping(now, id, ct, eff)
	}
}

// shouldSync reports whether to compare tables with a peer on a new link. Links opened on
// demand, for a slot or a permit, go to members that the graph already keeps up to date.
// Comparing tables on each of them costs more than the heartbeats once an instance is
// linked to most of the fleet. A peer that was not live here comes from another part of
// the fleet, so tables are compared.
func (c *Core) shouldSync(id string, ct *contact) bool {
	if ct.neighbour || !c.confirmed || c.probe.ID == id {
		return true
	}
	e := c.find(id)
	return e == nil || !e.State.present()
}

// OnLinkDown records that no link to a peer is open any more.
func (c *Core) OnLinkDown(now monotime.Instant, id string) {
	ct := c.contacts[id]
	if ct == nil {
		return
	}
	ct.up = false
	ct.downAt = now
	if !ct.neighbour {
		delete(c.contacts, id)
	}
}

// OnPaused handles a pause of the process for gap. Its view may be outdated, and the
// messages in its sockets were sent before it resumed. The view is confirmed again only
// when a peer has answered a ping sent after resuming, before which tables are compared.
// The absence of messages during the pause was its own doing, so the timeouts of other
// members restart.
func (c *Core) OnPaused(now monotime.Instant, gap time.Duration, eff Effects) {
	c.stats.Pauses++
	c.lastTick = now
	c.setConfirmed(false)
	c.confirmSeq = c.seq + 1
	for _, e := range c.entries {
		if e.State == Suspect {
			e.since = now
		}
	}
	c.raiseEpoch(now)
	for _, id := range c.contactIDs() {
		ct := c.contacts[id]
		ct.requiredSince, ct.receivedAt, ct.downAt = now, now, 0
		if ct.up {
			c.sendSync(now, id, ct, eff)
			c.ping(now, id, ct, eff)
		}
	}
	c.pushSelf(eff)
}

// Leave announces that this member takes no new work.
func (c *Core) Leave(now monotime.Instant, eff Effects) {
	c.announce(now, Leaving, eff)
}

// Goodbye announces that the process ends now.
func (c *Core) Goodbye(now monotime.Instant, eff Effects) {
	c.announce(now, Gone, eff)
}

func (c *Core) announce(now monotime.Instant, state State, eff Effects) {
	if c.self.State >= state {
		return
	}
	c.self.State = state
	c.raiseEpoch(now)
	c.pushSelf(eff)
}

func (c *Core) raiseEpoch(now monotime.Instant) {
	c.self.Epoch++
	c.bucketDigests = nil
	c.epochRaisedAt = now
	c.viewDirty = true
}

func (c *Core) setConfirmed(confirmed bool) {
	if c.confirmed != confirmed {
		c.confirmed = confirmed
		c.viewDirty = true
	}
}

// View returns the current view of the fleet.
func (c *Core) View() *View {
	if !c.viewDirty {
		return c.view
	}
	c.viewDirty = false
	c.viewVersion++
	v := &View{Version: c.viewVersion, Self: c.self, Confirmed: c.confirmed}
	selfPlaced := false
	for _, e := range c.entries {
		if !selfPlaced && e.ID > c.self.ID {
			v.add(c.self, c.self.State == Leaving)
			selfPlaced = true
		}
		if e.State.present() {
			v.add(e.Member, e.left || e.listedLeaving)
		} else if e.mayStillRun() {
			v.Missing = append(v.Missing, e.Member)
		}
	}
	if !selfPlaced {
		v.add(c.self, c.self.State == Leaving)
	}
	v.MemberCount = len(v.Live) + len(v.Missing) + c.countLiveCandidates()
	c.view = v
	return v
}

func (v *View) add(m Member, leaving bool) {
	switch {
	case m.State == Gone:
	case leaving:
		m.State = Leaving
		v.Leaving = append(v.Leaving, m)
	default:
		v.Live = append(v.Live, m)
	}
}

// mayStillRun reports whether a dead member may be running beyond a partition.
func (e *entry) mayStillRun() bool {
	return e.State == Dead && !e.left && !e.unlisted
}

// find returns the row of a member, or nil.
func (c *Core) find(id string) *entry {
	i, found := c.search(id)
	if !found {
		return nil
	}
	return c.entries[i]
}

func (c *Core) search(id string) (int, bool) {
	return slices.BinarySearchFunc(c.entries, id, func(e *entry, id string) int {
		return strings.Compare(e.ID, id)
	})
}

func (c *Core) address(id string) string {
	if e := c.find(id); e != nil {
		return e.PeerAddress
	}
	for _, cand := range c.candidates {
		if cand.id == id {
			return cand.address
		}
	}
	return ""
}
