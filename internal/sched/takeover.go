package sched

import "basilrudder/internal/monotime"

// A new owner of a group starts with empty books, and all waiting requests are
// asked for again at that moment. Without care it fills the slots that the old
// owner kept free, and those that are in use but not told of yet, with lower
// work, and the top tier waits behind it for seconds. Two things prevent that:
// for a few hundred milliseconds, in which holders that know of the change tell
// what they hold, only the tiers with headroom get slots; and for one lease, in
// which holders that learn of it later renew, slots that an engine reports as in
// use count as used.

// BeginTakeover starts the take-over of a group that other holders may be using. Until
// the instant only the tiers with headroom get slots.
func (g *Group) BeginTakeover(until monotime.Instant) {
	g.restrictedUntil = until
	g.takeoverEnd = until.Add(g.lease)
}

func (g *Group) restricted(now monotime.Instant) bool {
	return g.policy.Headroom && now < g.restrictedUntil
}

// lowestTierWithHeadroom is the lowest tier that has headroom; the top tier counts
// in any case.
func (g *Group) lowestTierWithHeadroom() int {
	lowest := 0
	for t, share := range g.headroom {
		if share > 0 {
			lowest = t
		}
	}
	return lowest
}

// countUnclaimed compares a load report with the books. The reading is old, so
// slots that came free since it was taken are no longer in use; without that a
// burst that ends keeps the engine closed until the next report.
func (g *Group) countUnclaimed(e *engine, now monotime.Instant) {
	if now >= g.takeoverEnd {
		return
	}
	freed := 0
	for _, at := range e.freedAt {
		if at > e.reportedAt {
			freed++
		}
	}
	e.unclaimed = max(0, e.reportedLoad-e.inflight-freed)
	g.refreshEngine(e, now)
}

// recordFreedSlot notes when a slot came free, while a take-over lasts.
func (g *Group) recordFreedSlot(e *engine, now monotime.Instant) {
	if now < g.takeoverEnd {
		e.freedAt = append(e.freedAt, now)
	}
}

// claimed notes that a holder claimed of a slot at the engine.
func (e *engine) claimed() {
	e.unclaimed = max(0, e.unclaimed-1)
}

// endTakeover ends the take-over: every holder has renewed by now.
func (g *Group) endTakeover(now monotime.Instant) {
	if now < g.takeoverEnd {
		return
	}
	for _, e := range g.engines {
		e.unclaimed = 0
		e.freedAt = nil
	}
}
