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

// Warm starts the take-over of a group that other holders may be using. Until
// the instant only the tiers with headroom get slots.
func (g *Group) Warm(until monotime.Instant) {
	g.warmUntil = until
	g.settledAt = until.Add(g.lease)
}

func (g *Group) warming(now monotime.Instant) bool {
	return g.policy.Headroom && now < g.warmUntil
}

// lowestWithHeadroom is the lowest tier that has headroom; the top tier counts
// in any case.
func (g *Group) lowestWithHeadroom() int {
	lowest := 0
	for t, share := range g.headroom {
		if share > 0 {
			lowest = t
		}
	}
	return lowest
}

// countUntold compares a load report with the books. The reading is old, so
// slots that came free since it was taken are no longer in use; without that a
// burst that ends keeps the engine closed until the next report.
func (g *Group) countUntold(e *engine, now monotime.Instant) {
	if now >= g.settledAt {
		return
	}
	since := 0
	for _, at := range e.freedAt {
		if at > e.reportedAt {
			since++
		}
	}
	e.untold = max(0, e.reported-e.inflight-since)
	g.refreshEngine(e, now)
}

// noteFreeSlot notes when a slot came free, while a take-over lasts.
func (g *Group) noteFreeSlot(e *engine, now monotime.Instant) {
	if now < g.settledAt {
		e.freedAt = append(e.freedAt, now)
	}
}

// told notes that a holder told of a slot at the engine.
func (e *engine) told() {
	e.untold = max(0, e.untold-1)
}

// endTakeover ends the take-over: every holder has renewed by now.
func (g *Group) endTakeover(now monotime.Instant) {
	if now < g.settledAt {
		return
	}
	for _, e := range g.engines {
		e.untold = 0
		e.freedAt = nil
	}
}
