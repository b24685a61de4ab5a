package sched

import "basilrudder/internal/monotime"

// A new owner of a group starts with no record of the slots in use, and all waiting
// requests are submitted to it again at once. Unrestricted, it fills the slots that the
// old owner kept free, and those in use but not reported yet, with lower-tier work, and
// the top tier waits behind it for seconds. Two rules prevent that. For a few hundred
// milliseconds, in which holders that have received the change report their slots, only
// tiers with headroom get slots. For one further lease, in which the remaining holders
// renew, slots that an engine reports as running count as used.

// BeginTakeover starts the takeover of a group that holders may already be using. Until
// the given instant only tiers with headroom get slots.
func (g *Group) BeginTakeover(until monotime.Instant) {
	g.restrictedUntil = until
	g.takeoverEnd = until.Add(g.lease)
}

func (g *Group) restricted(now monotime.Instant) bool {
	return g.policy.Headroom && now < g.restrictedUntil
}

// lowestTierWithHeadroom returns the lowest tier that has headroom, or the top tier if
// none has.
func (g *Group) lowestTierWithHeadroom() int {
	lowest := 0
	for t, share := range g.headroom {
		if share > 0 {
			lowest = t
		}
	}
	return lowest
}

// countUnclaimed derives the slots that are in use but claimed by no holder from the
// engine's load report. Slots freed since the report was taken are subtracted; otherwise
// the engine would stay closed after a burst until its next report.
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

// recordFreedSlot records when a slot was freed during a takeover.
func (g *Group) recordFreedSlot(e *engine, now monotime.Instant) {
	if now < g.takeoverEnd {
		e.freedAt = append(e.freedAt, now)
	}
}

// claimed records that a holder reported a slot at the engine.
func (e *engine) claimed() {
	e.unclaimed = max(0, e.unclaimed-1)
}

// endTakeover ends the takeover once every holder must have renewed.
func (g *Group) endTakeover(now monotime.Instant) {
	if now < g.takeoverEnd {
		return
	}
	for _, e := range g.engines {
		e.unclaimed = 0
		e.freedAt = nil
	}
}
