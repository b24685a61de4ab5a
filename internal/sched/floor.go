package sched

import (
	"time"

	"basilrudder/internal/monotime"
)

// The floor keeps a lower class from starving: each line earns slot time at the
// floor share of its tier, and a line that is owed a whole request gets the
// next free slot before higher tiers. That delays a higher request by one slot
// at most, and only where every higher request that waits has time to spare. So
// the floor makes no higher request late, and none is refused while it waits.

const (
	// longestUnserved is the wait after which a line is owed a slot however
	// small its floor share is.
	longestUnserved = 20 * time.Second
	// spareSlots is how many slot releases a waiting higher request must be
	// able to wait for beyond its turn.
	spareSlots = 3
	// leastSpare is the least time to spare, and unmeasuredHold the slot time in
	// seconds that a new owner assumes before it has measured any.
	leastSpare     = 200 * time.Millisecond
	unmeasuredHold = 2.0
)

func (g *Group) refreshCredit(ln *line, l *lane, now monotime.Instant) {
	earned := now.Sub(ln.creditAt).Seconds() * g.creditRate(ln, l)
	ln.creditAt = now
	ln.credit = min(ln.credit+earned, g.expectedHold(l, g.statsOf(ln.class)))
}

// creditRate is the slot time per second that the floor gives a line.
func (g *Group) creditRate(ln *line, l *lane) float64 {
	lines := 0
	for _, other := range l.lines {
		if other.tier == ln.tier {
			lines++
		}
	}
	return g.floors[ln.tier] * float64(l.limit) / float64(max(lines, 1))
}

// owedFloor returns the entry that the floor gives the next slot to, or nil.
func (g *Group) owedFloor(l *lane, now monotime.Instant) *entry {
	if !g.policy.Floor || !g.policy.Tiers {
		return nil
	}
	reach := l.reach()
	for _, ln := range l.lines {
		if ln.waiting == 0 || ln.target&reach == 0 || !g.higherWaits(l, ln.tier) {
			continue
		}
		g.refreshCredit(ln, l, now)
		owed := ln.credit >= g.expectedHold(l, g.statsOf(ln.class)) ||
			now.Sub(ln.servedAt) >= longestUnserved
		if !owed || !g.higherCanSpare(l, ln.tier, now) {
			continue
		}
		if e := ln.first(); g.mayTake(l, ln.tier, g.roomHold(e), now) {
			return e
		}
	}
	return nil
}

func (g *Group) higherWaits(l *lane, tier int) bool {
	for t := range tier {
		if l.tiers[t].waiting > 0 {
			return true
		}
	}
	return false
}

// higherCanSpare reports whether every request of a higher tier can wait for a
// few more slots and still start on time.
func (g *Group) higherCanSpare(l *lane, tier int, now monotime.Instant) bool {
	perSlot := l.hold.or(unmeasuredHold) / float64(max(l.limit, 1))
	spare := max(seconds(spareSlots*perSlot), leastSpare)
	for t := range tier {
		q := &l.tiers[t]
		if q.waiting > 0 && monotime.Instant(q.expiry.min().key).Sub(now) < spare {
			return false
		}
	}
	return true
}

// floorWait is when the floor is expected to serve a new request of the line.
func (g *Group) floorWait(l *lane, e *entry, now monotime.Instant) time.Duration {
	const never = time.Duration(1<<63 - 1)
	if !g.policy.Floor || !g.policy.Tiers {
		return never
	}
	ln := g.lineOf(e, now)
	need := float64(ln.waiting+1)*e.work - ln.credit
	unserved := longestUnserved*time.Duration(ln.waiting+1) - now.Sub(ln.servedAt)
	wait := unserved
	if perSecond := g.creditRate(ln, l); perSecond > 0 {
		wait = min(wait, seconds(need/perSecond))
	}
	return max(wait, 0) + l.nextFree()
}
