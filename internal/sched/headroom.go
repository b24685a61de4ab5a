package sched

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

// Headroom guarantees a tier its share of the slots within the time that its requests can
// wait: slots that it holds, that are free, or that lower tiers are expected to free soon
// enough. Nothing is preempted, so a burst of the tier must not meet a group filled with
// long lower-tier requests. Short requests free their slots quickly and are hardly
// restricted; reserving empty slots against them would waste capacity.

// headroomBudgetShare is the part of a tier's waiting time within which slots must come
// free. At 1, a request would start at the last moment and any error of the estimate
// would make it late.
const headroomBudgetShare = 0.7

// heldSlots summarizes the slots held by one tier of a pool.
type heldSlots struct {
	count int
	// perSecond is the sum of the expected completions per second.
	perSecond float64
	// ended measures the completions per second.
	ended rate
	// budget is the mean time that requests of the tier can wait, in seconds.
	budget ewma
}

// budgetWeight is the weight of a new sample of a waiting time. A higher one lets a few
// requests with short deadlines close a pool to lower tiers.
const budgetWeight = 0.05

func (h *heldSlots) add(hold float64) {
	h.count++
	h.perSecond += 1 / max(hold, minHoldSeconds)
}

func (h *heldSlots) remove(hold float64, now monotime.Instant) {
	h.ended.add(now, 1)
	h.count--
	h.perSecond = max(0, h.perSecond-1/max(hold, minHoldSeconds))
	if h.count == 0 {
		h.perSecond = 0
	}
}

// minHoldSeconds bounds the expected completions per second of one request. Without it, a
// slot time of 0 would make them infinite.
const minHoldSeconds = 0.001

// expectedFree returns the number of slots expected to come free within a time in
// seconds: estimated from the mean slot times, and at most as many as came free recently.
// Requests that all started a moment ago end later than their mean suggests; relying on
// the mean alone would leave no headroom in a group that fills within a second.
func (h *heldSlots) expectedFree(budget float64, now monotime.Instant) float64 {
	if h.count == 0 {
		return 0
	}
	n := float64(h.count)
	recent, _ := h.ended.get(now)
	return min(n*(1-math.Exp(-budget*h.perSecond/n)), recent*budget)
}

func (h *heldSlots) recordBudget(d time.Duration) {
	h.budget.add(max(d.Seconds(), 0), budgetWeight)
}

// mayTakeSlot reports whether a request of the tier that is expected to hold its slot for
// hold seconds may take a free one.
func (g *Group) mayTakeSlot(p *pool, tier int, hold float64, now monotime.Instant) bool {
	if p.free <= 0 && (p.extra <= 0 || g.headroom[tier] == 0) {
		return false
	}
	if g.restricted(now) && tier > g.lowestTierWithHeadroom() {
		return false
	}
	if !g.policy.Headroom {
		return true
	}
	held := 0
	for t := range tier {
		held += p.tiers[t].held.count
		if g.headroom[t] > 0 && !g.keepsHeadroom(p, t, held, hold, now) {
			return false
		}
	}
	return true
}

// keepsHeadroom reports whether the tier still has its share within its budget if one
// more slot goes to lower tiers; held is the number of slots held by this tier and those
// above.
func (g *Group) keepsHeadroom(p *pool, tier, held int, hold float64, now monotime.Instant) bool {
	required := g.headroom[tier] * float64(p.limit)
	available := float64(held + p.free - 1)
	if available >= required {
		return true
	}
	budget := headroomBudgetShare * p.tiers[tier].held.budget.meanOr(0)
	available += 1 - math.Exp(-budget/max(hold, minHoldSeconds))
	for t := tier + 1; t < maxTiers && available < required; t++ {
		available += p.tiers[t].held.expectedFree(budget, now)
	}
	return available >= required
}

const (
	// minHoldSamples is the number of finished requests from which the measured slot time
	// of a class is used for headroom. The requests that end first are the short ones:
	// with fewer samples the mean is too low, and headroom is given away.
	minHoldSamples = 16
	// unmeasuredHoldShare is the part of a class's longest answer that is assumed before.
	// See headroomHold for what a low value breaks.
	unmeasuredHoldShare = 0.25
)

// headroomHold returns the slot time of a request, in seconds, for the headroom check.
// Before a class is measured, admission assumes a low value, because a refusal must rest
// on measurements; here the assumed value is high for the same reason. With a low one, a
// new owner of a group expects long low-tier requests to end soon, fills every slot with
// them, and refuses the top tier for seconds after each change of owner.
func (g *Group) headroomHold(e *entry) float64 {
	if e.demand.Class == nil {
		return e.work
	}
	stats := g.statsOf(e.demand.Class)
	if stats.service || stats.samples >= minHoldSamples {
		return e.work
	}
	if e.demand.ExpectedHold > 0 {
		return e.work
	}
	longest := float64(e.demand.Class.MaxOutputTokens) * e.pool.gap()
	return max(e.work, unmeasuredHoldShare*longest)
}

// countHeld adds a slot to the statistics of its tier.
func (g *Group) countHeld(e *entry) {
	e.headroomHold = g.headroomHold(e)
	e.pool.tiers[e.tier].held.add(e.headroomHold)
}

func (g *Group) countFreed(e *entry, now monotime.Instant) {
	e.pool.tiers[e.tier].held.remove(e.headroomHold, now)
}

func (g *Group) recordBudget(e *entry, now monotime.Instant) {
	e.pool.tiers[e.tier].held.recordBudget(e.latestStart.Sub(now))
}
