package sched

import (
	"time"

	"basilrudder/internal/monotime"
)

// The floor prevents starvation of lower tiers. Each class queue earns slot time at the
// floor share of its tier. One that has earned enough for a whole request gets the next
// free slot before higher tiers. That delays a higher request by one slot at most, and
// only if every waiting higher request has slack. The floor therefore makes no higher
// request late, and none is refused because of it while waiting.

const (
	// maxUnserved is the wait after which a class queue gets a slot however small its
	// floor share is. A longer one lets a class with a small share wait close to
	// starvation.
	maxUnserved = 20 * time.Second
	// slackSlots is the number of slot releases that a waiting higher request must be
	// able to wait for beyond its turn. Fewer would let the floor make a higher request
	// late; more would suspend the floor under load.
	slackSlots = 3
	// minFloorSlack is the minimum slack of a higher request, however short slot times
	// are; a smaller one would leave no margin for errors of the estimate.
	// defaultHoldSeconds is the slot time that a new owner assumes before its first
	// measurement; a low value would let the floor take slots from higher requests that
	// have little slack.
	minFloorSlack      = 200 * time.Millisecond
	defaultHoldSeconds = 2.0
)

func (g *Group) refreshCredit(cq *classQueue, p *pool, now monotime.Instant) {
	earned := now.Sub(cq.creditAt).Seconds() * g.creditRate(cq, p)
	cq.creditAt = now
	cq.credit = min(cq.credit+earned, g.expectedHold(p, g.statsOf(cq.class)))
}

// creditRate returns the slot time per second that the floor gives to a class queue.
func (g *Group) creditRate(cq *classQueue, p *pool) float64 {
	classes := 0
	for _, other := range p.classQueues {
		if other.tier == cq.tier {
			classes++
		}
	}
	return g.floors[cq.tier] * float64(p.limit) / float64(max(classes, 1))
}

// nextByFloor returns the entry that the floor gives the next slot to, or nil.
func (g *Group) nextByFloor(p *pool, now monotime.Instant) *entry {
	if !g.policy.Floor || !g.policy.Tiers {
		return nil
	}
	available := p.availableTargets()
	for _, cq := range p.classQueues {
		if cq.waiting == 0 || cq.target&available == 0 || !g.higherTierWaits(p, cq.tier) {
			continue
		}
		g.refreshCredit(cq, p, now)
		due := cq.credit >= g.expectedHold(p, g.statsOf(cq.class)) ||
			now.Sub(cq.servedAt) >= maxUnserved
		if !due || !g.higherTiersHaveSlack(p, cq.tier, now) {
			continue
		}
		if e := cq.first(); g.mayTakeSlot(p, cq.tier, g.headroomHold(e), now) {
			return e
		}
	}
	return nil
}

func (g *Group) higherTierWaits(p *pool, tier int) bool {
	for t := range tier {
		if p.tiers[t].waiting > 0 {
			return true
		}
	}
	return false
}

// higherTiersHaveSlack reports whether every request of a higher tier can wait for a few
// more slots and still start on time.
func (g *Group) higherTiersHaveSlack(p *pool, tier int, now monotime.Instant) bool {
	perSlot := p.hold.meanOr(defaultHoldSeconds) / float64(max(p.limit, 1))
	slack := max(seconds(slackSlots*perSlot), minFloorSlack)
	for t := range tier {
		q := &p.tiers[t]
		if q.waiting > 0 && monotime.Instant(q.expiry.min().key).Sub(now) < slack {
			return false
		}
	}
	return true
}

// floorWait returns the time until the floor is expected to serve a new request like e.
func (g *Group) floorWait(p *pool, e *entry, now monotime.Instant) time.Duration {
	const never = time.Duration(1<<63 - 1)
	if !g.policy.Floor || !g.policy.Tiers {
		return never
	}
	cq := g.classQueueOf(e, now)
	required := float64(cq.waiting+1)*e.work - cq.credit
	unserved := maxUnserved*time.Duration(cq.waiting+1) - now.Sub(cq.servedAt)
	wait := unserved
	if perSecond := g.creditRate(cq, p); perSecond > 0 {
		wait = min(wait, seconds(required/perSecond))
	}
	return max(wait, 0) + p.nextFree()
}
