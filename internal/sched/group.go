package sched

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

// Group holds the queues and the slots of the servers of one catalog.Group.
type Group struct {
	name   string
	cat    *catalog.Catalog
	policy Policy
	// share is the part of each engine's slots that this owner may use.
	share float64
	lease time.Duration

	engines      []*engine
	byID         map[string]*engine
	poolByTarget map[string]*pool
	pools        []*pool
	// floors and headroom are shares by tier, from the inventory.
	floors       [maxTiers]float64
	headroom     [maxTiers]float64
	measurements *Measurements
	// restrictedUntil is when a new owner may give slots to tiers without headroom.
	restrictedUntil monotime.Instant
	// takeoverEnd is when every holder has reported its slots to a new owner.
	takeoverEnd monotime.Instant

	entries map[Ticket]*entry
	classes map[uint32]*classStats
	waiting int
	held    heldList
	seq     uint64

	prefixes prefixTable
	upkeepAt monotime.Instant
	paces    []float64

	unusedEntries  *entry
	unusedAccounts *account
	unusedQueues   []*customerQueue

	counters Counters
}

// New returns the scheduler of a group. The seed varies which of several equal engines is
// chosen first; otherwise all groups would start at the same one.
func New(now monotime.Instant, group *catalog.Group, cat *catalog.Catalog, policy Policy, seed uint64) *Group {
	g := &Group{
		name:         group.Name,
		policy:       policy,
		share:        1,
		byID:         make(map[string]*engine),
		poolByTarget: make(map[string]*pool),
		entries:      make(map[Ticket]*entry),
		classes:      make(map[uint32]*classStats),
		prefixes:     prefixTable{buckets: make([]prefixBucket, prefixTableSize)},
	}
	g.Reconfigure(now, cat, nil)
	for _, p := range g.pools {
		p.rotation = int(seed % uint64(max(1, len(p.engines))))
	}
	return g
}

// Submit queues a request and appends the resulting decisions to out. A ticket that
// already holds a slot gets the same decision again, which allows a holder to ask once
// more if the message with its grant was lost. A ticket that waits already is left
// unchanged.
func (g *Group) Submit(now monotime.Instant, d Demand, out []Decision) []Decision {
	if existing := g.entries[d.Ticket]; existing != nil {
		return g.repeatGrant(existing, out)
	}
	g.counters.Submitted++
	target := d.Target
	if target == "" {
		target = d.Class.Target
	}
	p := g.poolByTarget[target]
	if p == nil || p.usable&p.targetSetOf(target) == 0 {
		return append(out, g.refusal(&d, refuseNoServer, 0))
	}
	e := g.newEntry()
	e.target = p.targetSetOf(target)
	g.initEntry(e, d, p, now)
	g.entries[d.Ticket] = e
	if on, hit := g.chooseImmediate(e, now); on != nil {
		p.tiers[e.tier].arriving.add(now, e.work)
		return append(out, g.start(e, on, hit, whyIdle, now))
	}
	return g.admit(e, now, out)
}

// Waits reports whether the ticket's request is waiting for a slot.
func (g *Group) Waits(t Ticket) bool {
	e := g.entries[t]
	return e != nil && e.state == entryWaiting
}

func (g *Group) repeatGrant(e *entry, out []Decision) []Decision {
	if e.state != entryHeld {
		return out
	}
	return append(out, g.grant(e, whyRepeated))
}

func (g *Group) initEntry(e *entry, d Demand, p *pool, now monotime.Instant) {
	stats := g.statsOf(d.Class)
	e.demand = d
	e.pool = p
	e.submittedAt = now
	g.seq++
	e.seq = g.seq
	e.tier = g.tierOf(d.Tier)
	e.work = g.requestHold(e, stats)
	e.latestStart = g.latestStart(&d, p, stats, now)
	g.recordBudget(e, now)
}

func (g *Group) tierOf(tier int) int {
	if !g.policy.Tiers {
		return 0
	}
	return min(max(tier, 0), maxTiers-1)
}

// chooseImmediate returns the engine for a request that need not wait: nothing waits
// before it, and a slot that its tier may take is free. The request then starts even if
// it is predicted to be late. The slot is free anyway, and a class whose prediction is
// too high would otherwise never be measured again.
func (g *Group) chooseImmediate(e *entry, now monotime.Instant) (on *engine, hit bool) {
	p := e.pool
	if p.waiting > 0 || !g.mayTakeSlot(p, e.tier, g.headroomHold(e), now) {
		return nil, false
	}
	on, hit = g.choose(e, now)
	if on != nil && !g.shouldStartOn(e, on, now) {
		return nil, false
	}
	return on, hit
}

// start gives the entry a slot at an engine.
func (g *Group) start(e *entry, on *engine, hit bool, why string, now monotime.Instant) Decision {
	stats := g.statsOf(e.demand.Class)
	q := &e.pool.tiers[e.tier]
	cq := g.classQueueOf(e, now)
	cq.servedAt = now
	cq.credit = max(0, cq.credit-e.work)
	acct := g.accountFor(q, e.demand.Customer)
	q.clock = max(q.clock, acct.counter)
	if e.state == entryWaiting {
		g.dequeue(e)
	}
	g.holdSlot(e, acct, now)
	e.charged = e.expectedCost(stats)
	g.charge(acct, e.charged)
	g.assign(e, on, hit, now)
	g.counters.Granted++
	return g.grant(e, why)
}

func (g *Group) grant(e *entry, why string) Decision {
	if g.policy.Queue && e.probe {
		why = whyProbe
	}
	if !g.policy.Queue {
		why = whyBaseline
	}
	priority := 0
	if g.policy.Tiers {
		priority = e.tier
	}
	return Decision{
		Ticket:    e.demand.Ticket,
		Granted:   true,
		Engine:    e.engine.spec,
		Priority:  priority,
		PrefixHit: e.prefixHit,
		Lease:     g.lease,
		Backlog:   g.backlog(e.pool, e.tier, e.grantedAt),
		Why:       why,
	}
}

// Tick refuses requests that have waited too long, frees expired leases, checks the
// health of the engines and assigns free slots.
func (g *Group) Tick(now monotime.Instant, out []Decision) []Decision {
	g.expireLeases(now)
	if now.Sub(g.upkeepAt) >= upkeepInterval || g.upkeepAt == 0 {
		g.upkeep(now)
	}
	return g.dispatch(now, out)
}

// dispatch refuses requests that can no longer be on time, then assigns free slots.
func (g *Group) dispatch(now monotime.Instant, out []Decision) []Decision {
	if g.waiting == 0 {
		return out
	}
	out = g.expireWaiting(now, out)
	for _, p := range g.pools {
		out = g.dispatchPool(p, now, out)
	}
	return out
}

func (g *Group) dispatchPool(p *pool, now monotime.Instant, out []Decision) []Decision {
	for p.waiting > 0 && p.free+p.extra > 0 {
		e, why := g.nextByFloor(p, now), whyFloor
		var on *engine
		var hit bool
		if e != nil && !g.restricted(now) {
			on, hit = g.choose(e, now)
		}
		if on == nil {
			e, on, hit = g.nextEntry(p, now)
			why = whyTurn
		}
		if on == nil {
			return out
		}
		out = append(out, g.start(e, on, hit, why, now))
	}
	return out
}

// nextEntry returns the waiting entry that gets the next free slot, and its engine. That
// is the next entry of the highest waiting tier. If no engine with a free slot suits that
// entry, a lower tier may use a slot that the higher one is better off without.
func (g *Group) nextEntry(p *pool, now monotime.Instant) (e *entry, on *engine, hit bool) {
	available := p.availableTargets()
	for t := range p.tiers {
		if p.tiers[t].waiting == 0 {
			continue
		}
		e = g.nextInTier(p, t, available, now)
		if e == nil {
			continue
		}
		if !g.mayTakeSlot(p, t, g.headroomHold(e), now) {
			return nil, nil, false
		}
		on, hit = g.choose(e, now)
		if on != nil && g.shouldStartOn(e, on, now) {
			return e, on, hit
		}
	}
	return nil, nil, false
}

// nextInTier returns the next entry of a tier: the most urgent one of the customer with
// the lowest usage.
func (g *Group) nextInTier(p *pool, tier int, available targetSet, now monotime.Instant) *entry {
	if e := p.tiers[tier].expiry.min().value; g.isUrgent(e, now) && e.target&available != 0 {
		return e
	}
	var best *entry
	leastUse := 0.0
	for _, cq := range p.classQueues {
		if cq.tier != tier || cq.waiting == 0 || cq.target&available == 0 {
			continue
		}
		use := cq.customers.min().key
		e := cq.first()
		if best == nil || use < leastUse || use == leastUse && g.servedBefore(e, best) {
			best, leastUse = e, use
		}
	}
	return best
}

// isUrgent reports whether a request is served first in its tier because it would soon be
// late. This applies to tiers with headroom only. Their load is meant to fit, and a
// customer slightly above its share must not be late while others can wait. In a tier
// with more work than fits, every request becomes urgent, and serving by urgency would
// undo the fair shares.
func (g *Group) isUrgent(e *entry, now monotime.Instant) bool {
	return g.headroom[e.tier] > 0 && e.latestStart.Sub(now) < g.policy.Urgent
}

func (g *Group) servedBefore(a, b *entry) bool {
	ka, kb := g.orderKey(a), g.orderKey(b)
	if ka != kb {
		return ka < kb
	}
	return a.seq < b.seq
}

func (cq *classQueue) first() *entry {
	return cq.customers.min().value.entries.min().value
}

// NextTick returns when Tick should be called next; false if there is no need to.
func (g *Group) NextTick(now monotime.Instant) (monotime.Instant, bool) {
	next := monotime.Instant(math.MaxInt64)
	if g.waiting > 0 || g.held.count > 0 {
		next = g.upkeepAt.Add(upkeepInterval)
	}
	if g.waiting > 0 {
		next = min(next, g.firstExpiry())
	}
	if next == math.MaxInt64 {
		return 0, false
	}
	return max(next, now), true
}

func (g *Group) firstExpiry() monotime.Instant {
	first := monotime.Instant(math.MaxInt64)
	for _, p := range g.pools {
		if p.waiting == 0 {
			continue
		}
		for t := range p.tiers {
			if q := &p.tiers[t]; q.waiting > 0 {
				first = min(first, q.expiry.min().value.latestStart+1)
			}
		}
	}
	return first
}

// SetShare limits the group to the share live/total of its slots, where live is the
// number of reachable instances of total. In a partition each part uses its share of the
// servers that both parts reach.
func (g *Group) SetShare(live, total int) {
	if live <= 0 || total <= 0 {
		return
	}
	g.share = min(1, float64(live)/float64(total))
	for _, e := range g.engines {
		g.refreshEngine(e, g.upkeepAt)
	}
}

// LoadReport records an engine's own load report. The reading is old. Only a new owner,
// which has no better data, and the baseline policy that chooses by reported load use it.
func (g *Group) LoadReport(now monotime.Instant, engineID string, report engineapi.LoadReport) {
	e := g.byID[engineID]
	if e == nil {
		return
	}
	measuredAt := now.Add(-time.Duration(report.AgeMS * float64(time.Millisecond)))
	if measuredAt < e.reportedAt {
		return
	}
	e.reportedLoad = report.Running + report.Waiting
	e.reportedAt = measuredAt
	g.countUnclaimed(e, now)
}
