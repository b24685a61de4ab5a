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

// spareBudget is the part of a tier's waiting time in which slots must come free.
const spareBudget = 0.7

// heldWork is what holds slots in one tier of a lane.
type heldWork struct {
	count int
	// perSecond sums the expected ends per second.
	perSecond float64
	// ended measures the ends per second.
	ended rate
	// budget is the time that requests of the tier can wait, in seconds.
	budget ewma
}

const budgetWeight = 0.05

func (w *heldWork) add(hold float64) {
	w.count++
	w.perSecond += 1 / max(hold, shortestHold)
}

func (w *heldWork) remove(hold float64, now monotime.Instant) {
	w.ended.add(now, 1)
	w.count--
	w.perSecond = max(0, w.perSecond-1/max(hold, shortestHold))
	if w.count == 0 {
		w.perSecond = 0
	}
}

// shortestHold bounds the expected ends per second of one request.
const shortestHold = 0.001

// within is the number of slots expected to come free in a time in seconds: by
// the mean slot times, and no more than came free lately. Requests that all
// started a moment ago end later than their mean suggests; counting on it would
// leave no room when a group fills within a second.
func (w *heldWork) within(budget float64, now monotime.Instant) float64 {
	if w.count == 0 {
		return 0
	}
	n := float64(w.count)
	lately, _ := w.ended.get(now)
	return min(n*(1-math.Exp(-budget*w.perSecond/n)), lately*budget)
}

func (w *heldWork) noteBudget(d time.Duration) {
	w.budget.add(max(d.Seconds(), 0), budgetWeight)
}

// mayTake reports whether a request of the tier that is expected to hold its
// slot for so many seconds may take a free one.
func (g *Group) mayTake(l *lane, tier int, hold float64, now monotime.Instant) bool {
	if l.free <= 0 && (l.extra <= 0 || g.headroom[tier] == 0) {
		return false
	}
	if g.warming(now) && tier > g.lowestWithHeadroom() {
		return false
	}
	if !g.policy.Headroom {
		return true
	}
	held := 0
	for t := range tier {
		held += l.tiers[t].held.count
		if g.headroom[t] > 0 && !g.keepsRoom(l, t, held, hold, now) {
			return false
		}
	}
	return true
}

// keepsRoom reports whether the tier still has its share within its budget when
// one more slot goes to lower work; held counts the slots of it and above.
func (g *Group) keepsRoom(l *lane, tier, held int, hold float64, now monotime.Instant) bool {
	need := g.headroom[tier] * float64(l.limit)
	room := float64(held + l.free - 1)
	if room >= need {
		return true
	}
	budget := spareBudget * l.tiers[tier].held.budget.or(0)
	room += 1 - math.Exp(-budget/max(hold, shortestHold))
	for t := tier + 1; t < maxTiers && room < need; t++ {
		room += l.tiers[t].held.within(budget, now)
	}
	return room >= need
}

const (
	// measuredEnough is the number of finished requests from which the measured
	// slot time of a class is believed when room is kept.
	measuredEnough = 16
	// unmeasuredShare of a class's longest answer is assumed before.
	unmeasuredShare = 0.25
)

// roomHold is the slot time of a request for the keeping of room. Admission
// guesses low before a class was measured, since a refusal must rest on what was
// measured; here the guess is high for the same reason. With a low one, a new
// owner of a group counts on drafts to end within a moment, fills every slot
// with them, and refuses the top tier for seconds after each change of owner.
func (g *Group) roomHold(e *entry) float64 {
	if e.demand.Class == nil {
		return e.work
	}
	stats := g.statsOf(e.demand.Class)
	if stats.service || stats.samples >= measuredEnough {
		return e.work
	}
	if e.demand.ExpectedHold > 0 {
		return e.work
	}
	longest := float64(e.demand.Class.MaxOutputTokens) * e.lane.gap()
	return max(e.work, unmeasuredShare*longest)
}

// noteHeld counts a slot in the books of its tier.
func (g *Group) noteHeld(e *entry) {
	e.roomHold = g.roomHold(e)
	e.lane.tiers[e.tier].held.add(e.roomHold)
}

func (g *Group) noteFreed(e *entry, now monotime.Instant) {
	e.lane.tiers[e.tier].held.remove(e.roomHold, now)
}

func (g *Group) noteBudget(e *entry, now monotime.Instant) {
	e.lane.tiers[e.tier].held.noteBudget(e.latestStart.Sub(now))
}
