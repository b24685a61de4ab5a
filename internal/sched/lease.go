package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// heldList is the list of entries that hold slots, ordered by the time of their last
// renewal. A renewal moves an entry to the end, so expiry checks only the front.
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

// holdSlot marks an entry as holding a slot.
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

// Progress renews a slot and charges the tokens generated since the last call. A ticket
// that the group has no record of re-creates a slot: an earlier owner granted it to the
// holder. Its engine is then unknown; Adopt supplies it.
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

// recordProgress updates the engine's pace from a request that is still running, which
// reveals a straggler long before a long answer ends.
func (g *Group) recordProgress(e *entry, tokens int, now monotime.Instant) {
	since := now.Sub(e.renewedAt)
	switch {
	case tokens > 0 && e.tokens > 0 && since > 0:
		g.recordGap(e.engine, e.pool, now, since/time.Duration(tokens))
	case tokens == 0 && e.tokens > 0 && since >= stallTimeout:
		e.engine.recordPace(now, since.Seconds(), e.engine.stepSeconds())
	}
}

// stallTimeout is the time without a token after which a running answer counts against
// its engine. A shorter one would count ordinary pauses; a longer one detects a stalled
// engine later.
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

// HeldSlot describes a slot that an earlier owner granted.
type HeldSlot struct {
	// Engine is the engine's ID; empty if unknown.
	Engine string
	// Class and Customer are nil if unknown.
	Class    *catalog.Class
	Customer *catalog.Customer
	// Tier is the request's tier.
	Tier int
	// ExpectedHold is the mean time that requests of the class hold a slot, as measured
	// by the holder; 0 if unknown.
	ExpectedHold time.Duration
}

// Adopt re-creates a slot that an earlier owner of the group granted. Without it a new
// owner would overfill engines that are already full.
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

// adoptedHold returns the expected slot time of an adopted slot, in seconds.
func (g *Group) adoptedHold(e *entry) float64 {
	if e.demand.Class == nil {
		return e.pool.hold.meanOr(1)
	}
	return g.requestHold(e, g.statsOf(e.demand.Class))
}

// mostFreeEngine returns the engine with the most free slots. It stands for the unknown
// engine of an adopted slot: this guess never counts the slot a second time at a full
// engine.
func (g *Group) mostFreeEngine() *engine {
	var best *engine
	for _, e := range g.engines {
		if best == nil || e.free > best.free {
			best = e
		}
	}
	return best
}

// Release returns a slot with the measurements of its use, then assigns free slots.
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

// recordResult updates the state of the engine and the statistics of the class from the
// result of a slot's use.
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

// freeSlot frees the slot of an entry and refunds what was overcharged.
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

// refund returns to the account what was charged in excess of the actual usage.
func (g *Group) refund(e *entry) {
	used := promptCost*float64(e.demand.PromptTokens) + float64(e.tokens)
	if e.tokens == 0 || used >= e.charged {
		return
	}
	g.charge(e.account, used-e.charged)
}

// Withdraw removes a waiting request, or frees the slot that it has got in the meantime.
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

// HolderGone removes the waiting requests of a holder and frees its slots.
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

// expireLeases frees slots that were not renewed within the lease. Otherwise a holder
// that died or paused would block them forever. A holder that only paused re-creates its
// slots with its next Progress, so an expired lease at worst overfills an engine.
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
