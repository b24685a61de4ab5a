package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// heldList holds the entries with slots, the one renewed longest ago first. A
// renewal moves an entry to the end, so expiry looks only at the front.
type heldList struct {
	oldest *entry
	newest *entry
	count  int
}

func (h *heldList) append(e *entry) {
	e.older = h.newest
	e.newer = nil
	if h.newest != nil {
		h.newest.newer = e
	} else {
		h.oldest = e
	}
	h.newest = e
	h.count++
}

func (h *heldList) remove(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		h.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		h.newest = e.older
	}
	e.older = nil
	e.newer = nil
	h.count--
}

// holdSlot marks an entry as the holder of a slot.
func (g *Group) holdSlot(e *entry, acct *account, now monotime.Instant) {
	e.state = entryHeld
	e.grantedAt = now
	e.renewedAt = now
	e.tokens = 0
	e.account = acct
	g.markActive(&e.pool.tiers[e.tier], acct)
	acct.held++
	g.held.append(e)
	g.countHeld(e)
}

// Progress renews a slot and charges the tokens generated since the last call.
// A ticket that the group does not know re-creates a slot: its holder got it
// from an earlier owner. Where it runs is unknown then; Adopt tells more.
func (g *Group) Progress(now monotime.Instant, t Ticket, tokens int, out []Decision) []Decision {
	e := g.entries[t]
	if e == nil {
		g.Adopt(now, t, HeldSlot{})
		e = g.entries[t]
	}
	if e == nil || e.state != entryHeld {
		return out
	}
	g.recordProgress(e, tokens, now)
	g.countTokens(e, tokens)
	e.renewedAt = now
	g.held.remove(e)
	g.held.append(e)
	return out
}

// recordProgress learns the engine's pace from a request that still runs, so
// that a straggler shows long before a long answer ends.
func (g *Group) recordProgress(e *entry, tokens int, now monotime.Instant) {
	since := now.Sub(e.renewedAt)
	switch {
	case tokens > 0 && e.tokens > 0 && since > 0:
		g.recordGap(e.engine, e.pool, now, since/time.Duration(tokens))
	case tokens == 0 && e.tokens > 0 && since >= stallTimeout:
		e.engine.recordPace(now, since.Seconds(), e.engine.stepSeconds())
	}
}

// stallTimeout is the time without a token after which a running answer counts
// against its engine.
const stallTimeout = 500 * time.Millisecond

func (g *Group) countTokens(e *entry, tokens int) {
	e.tokens += tokens
	if e.account == nil {
		return
	}
	used := promptCost*float64(e.demand.PromptTokens) + float64(e.tokens)
	if used > e.charged {
		g.charge(e.account, used-e.charged)
		e.charged = used
	}
}

// HeldSlot describes a slot that an earlier owner gave.
type HeldSlot struct {
	// Engine id; empty when unknown.
	Engine string
	// Class and Customer; nil when unknown.
	Class    *catalog.Class
	Customer *catalog.Customer
	// Tier of the request.
	Tier int
	// ExpectedHold is the time that requests of the class hold their slots, as
	// the holder measured; 0 for unknown.
	ExpectedHold time.Duration
}

// Adopt re-creates a slot that an earlier owner of the group gave, so that a
// new owner does not fill engines that are already full.
func (g *Group) Adopt(now monotime.Instant, t Ticket, held HeldSlot) {
	if g.entries[t] != nil {
		return
	}
	on := g.byID[held.Engine]
	if on == nil {
		on = g.mostFreeEngine()
	}
	if on == nil || on.pool == nil {
		return
	}
	e := g.newEntry()
	g.seq++
	e.seq = g.seq
	e.demand = Demand{
		Ticket: t, Class: held.Class, Customer: held.Customer, Tier: held.Tier, ExpectedHold: held.ExpectedHold,
	}
	e.pool = on.pool
	e.tier = g.tierOf(held.Tier)
	e.engine = on
	e.state = entryHeld
	e.grantedAt = now
	e.renewedAt = now
	if held.Customer != nil {
		e.account = g.accountFor(&e.pool.tiers[e.tier], held.Customer)
		e.account.held++
	}
	e.work = g.adoptedHold(e)
	g.entries[t] = e
	g.held.append(e)
	g.countHeld(e)
	on.inflight++
	on.claimed()
	g.refreshEngine(on, now)
	g.counters.Adopted++
}

// adoptedHold is the expected slot time of an adopted slot, in seconds.
func (g *Group) adoptedHold(e *entry) float64 {
	if e.demand.Class == nil {
		return e.pool.hold.meanOr(1)
	}
	return g.requestHold(e, g.statsOf(e.demand.Class))
}

// mostFreeEngine returns the engine with most free slots: a guess at where a slot of
// unknown place runs that never counts it twice at a full engine.
func (g *Group) mostFreeEngine() *engine {
	var best *engine
	for _, e := range g.engines {
		if best == nil || e.free > best.free {
			best = e
		}
	}
	return best
}

// Release gives a slot back with what its use measured, and hands free slots on.
func (g *Group) Release(now monotime.Instant, t Ticket, r Result, out []Decision) []Decision {
	e := g.entries[t]
	if e == nil {
		return out
	}
	if e.state == entryWaiting {
		return g.Withdraw(now, t, out)
	}
	g.countTokens(e, r.Tokens)
	g.recordResult(e, r, now)
	g.freeSlot(e, now)
	return g.dispatch(now, out)
}

// recordResult takes what a finished use says about the engine and the class.
func (g *Group) recordResult(e *entry, r Result, now monotime.Instant) {
	on := e.engine
	switch r.Outcome {
	case Finished:
		on.health.succeeded()
		g.recordFinished(e, r, now)
	case Failed:
		if g.policy.Ejection {
			on.health.failed(now)
		}
	case Refused:
		if g.policy.Ejection {
			on.health.refused(now)
		}
	case Unused, Cancelled:
	}
}

func (g *Group) recordFinished(e *entry, r Result, now monotime.Instant) {
	if e.demand.Class == nil || e.demand.Customer == nil {
		return
	}
	stats := g.statsOf(e.demand.Class)
	held := now.Sub(e.grantedAt)
	if stats.service {
		if stats.hold.count > 0 {
			e.engine.recordPace(now, held.Seconds(), stats.hold.mean)
		}
	} else {
		g.recordGap(e.engine, e.pool, now, r.Gap)
	}
	g.recordClass(stats, e.tokens, held, r.FirstToken)
	e.pool.hold.add(held.Seconds(), holdWeight)
}

// freeSlot frees the slot of an entry and settles what it was charged.
func (g *Group) freeSlot(e *entry, now monotime.Instant) {
	g.held.remove(e)
	g.countFreed(e, now)
	e.engine.inflight--
	g.recordFreedSlot(e.engine, now)
	g.refreshEngine(e.engine, now)
	if a := e.account; a != nil {
		g.refund(e)
		a.held--
		g.markIdle(&e.pool.tiers[e.tier], a)
	}
	g.recycle(e)
}

// refund refunds what was charged beyond the real use.
func (g *Group) refund(e *entry) {
	used := promptCost*float64(e.demand.PromptTokens) + float64(e.tokens)
	if e.tokens == 0 || used >= e.charged {
		return
	}
	g.charge(e.account, used-e.charged)
}

// Withdraw forgets a request that waits, or frees the slot it got meanwhile.
func (g *Group) Withdraw(now monotime.Instant, t Ticket, out []Decision) []Decision {
	e := g.entries[t]
	if e == nil {
		return out
	}
	g.discard(e, now)
	return g.dispatch(now, out)
}

func (g *Group) discard(e *entry, now monotime.Instant) {
	if e.state == entryHeld {
		g.freeSlot(e, now)
		return
	}
	g.dequeue(e)
	g.recycle(e)
}

// HolderGone drops what a holder waited for and frees its slots.
func (g *Group) HolderGone(now monotime.Instant, holder string, out []Decision) []Decision {
	var gone []*entry
	for t, e := range g.entries {
		if t.Holder == holder {
			gone = append(gone, e)
		}
	}
	sortBySeq(gone)
	for _, e := range gone {
		g.discard(e, now)
	}
	return g.dispatch(now, out)
}

// expireLeases frees slots that nobody renewed. A holder that died or paused
// would otherwise pin them for good; one that only paused re-creates its slots
// with its next Progress, so an expired lease costs an overfull engine at worst.
func (g *Group) expireLeases(now monotime.Instant) {
	for {
		e := g.held.oldest
		if e == nil || now.Sub(e.renewedAt) < g.lease {
			return
		}
		g.counters.LeasesExpired++
		g.freeSlot(e, now)
	}
}
