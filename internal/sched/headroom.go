package sched

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

// Headroom guarantees a tier its share of the slots within the time that its
// requests can wait: slots that it holds, that are free, or that lower work is
// expected to free soon enough. Nothing is preempted, so a burst of the tier
// must not meet a group full of long lower work. Short lower work frees its
// slots by itself and is hardly held back; slots kept empty for it would be
// wasted.

// headroomBudgetShare is the part of a tier's waiting time in which slots must come free.
const headroomBudgetShare = 0.7

// heldSlots is what holds slots in one tier of a lane.
type heldSlots struct {
	count int
	// perSecond sums the expected ends per second.
	perSecond float64
	// ended measures the ends per second.
	ended rate
	// budget is the time that requests of the tier can wait, in seconds.
	budget ewma
}

const budgetWeight = 0.05

func (w *heldSlots) add(hold float64) {
	w.count++
	w.perSecond += 1 / max(hold, minHoldSeconds)
}

func (w *heldSlots) remove(hold float64, now monotime.Instant) {
	w.ended.add(now, 1)
	w.count--
	w.perSecond = max(0, w.perSecond-1/max(hold, minHoldSeconds))
	if w.count == 0 {
		w.perSecond = 0
	}
}

// minHoldSeconds bounds the expected ends per second of one request.
const minHoldSeconds = 0.001

// expectedFree is the number of slots expected to come free in a time in seconds: by
// the mean slot times, and no more than came free lately. Requests that all
// started a moment ago end later than their mean suggests; counting on it would
// leave no room when a group fills expectedFree a second.
func (w *heldSlots) expectedFree(budget float64, now monotime.Instant) float64 {
	if w.count == 0 {
		return 0
	}
	n := float64(w.count)
	recent, _ := w.ended.get(now)
	return min(n*(1-math.Exp(-budget*w.perSecond/n)), recent*budget)
}

func (w *heldSlots) recordBudget(d time.Duration) {
	w.budget.add(max(d.Seconds(), 0), budgetWeight)
}

// mayTakeSlot reports whether a request of the tier that is expected to hold its
// slot for so many seconds may take a free one.
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

// keepsHeadroom reports whether the tier still has its share within its budget when
// one more slot goes to lower work; held counts the slots of it and above.
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
	// minHoldSamples is the number of finished requests from which the measured
	// slot time of a class is believed when room is kept.
	minHoldSamples = 16
	// unmeasuredHoldShare of a class's longest answer is assumed before.
	unmeasuredHoldShare = 0.25
)

// headroomHold is the slot time of a request for the keeping of room. Admission
// guesses low before a class was measured, since a refusal must rest on what was
// measured; here the guess is high for the same reason. With a low one, a new
// owner of a group counts on drafts to end within a moment, fills every slot
// with them, and refuses the top tier for seconds after each change of owner.
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

// countHeld counts a slot in the books of its tier.
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
