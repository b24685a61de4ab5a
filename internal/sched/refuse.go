package sched

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// refusalKind selects reason and explanation of a refusal.
type refusalKind uint8

const (
	refuseNoServer refusalKind = iota
	refuseTooLate
	refuseExpired
	refuseQueueFull
)

var refusals = [...]struct {
	reason verdict.Reason
	why    string
}{
	refuseNoServer:  {verdict.ReasonNoServer, whyNoServer},
	refuseTooLate:   {verdict.ReasonOverloaded, whyTooLate},
	refuseExpired:   {verdict.ReasonDeadline, whyExpired},
	refuseQueueFull: {verdict.ReasonOverloaded, whyQueueFull},
}

const (
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 5 * time.Minute
	noServerRetry = 5 * time.Second
)

// refusal makes the decision that turns a request down; wait is the wait that
// was expected for it.
func (g *Group) refusal(d *Demand, kind refusalKind, wait time.Duration) Decision {
	g.counters.Refused++
	retry := noServerRetry
	if kind != refuseNoServer {
		retry = min(max(wait, shortestRetry), longestRetry)
	}
	return Decision{
		Ticket:     d.Ticket,
		Reason:     refusals[kind].reason,
		RetryAfter: retry,
		Backlog:    wait,
		Why:        refusals[kind].why,
	}
}

// admit queues a request, or refuses it at once when it cannot be on time.
func (g *Group) admit(e *entry, now monotime.Instant, out []Decision) []Decision {
	if e.latestStart < now {
		out = append(out, g.refusal(&e.demand, refuseTooLate, g.backlog(e.lane, e.tier, now)))
		g.recycle(e)
		return out
	}
	g.refreshCredit(g.lineOf(e, now), e.lane, now)
	if g.policy.EarlyRefusal {
		wait := g.expectedWait(e, now)
		budget := e.latestStart.Sub(now)
		if wait > budget-time.Duration(g.policy.Margin*float64(budget)) {
			out = append(out, g.refusal(&e.demand, refuseTooLate, wait-budget))
			g.recycle(e)
			return out
		}
	}
	e.lane.tiers[e.tier].arriving.add(now, e.work)
	g.enqueue(e, now)
	if g.waiting > g.policy.MaxWaiting {
		out = g.shed(now, out)
	}
	return g.dispatch(now, out)
}

// shed refuses one waiting request of the lowest tier that waits: of the
// customer with most requests there, the least urgent.
func (g *Group) shed(now monotime.Instant, out []Decision) []Decision {
	for t := maxTiers - 1; t >= 0; t-- {
		for _, l := range g.laneList {
			q := &l.tiers[t]
			if q.waiting == 0 {
				continue
			}
			victim := leastUrgent(q.sizes.min().value)
			out = append(out, g.refusal(&victim.demand, refuseQueueFull, g.backlog(l, t, now)))
			g.dequeue(victim)
			g.recycle(victim)
			return out
		}
	}
	return out
}

// leastUrgent returns the entry that the account would be served last. Leaves
// of a heap hold the largest key; looking at the last half is bounded by the
// queue's length and happens only when the queue is full.
func leastUrgent(a *account) *entry {
	var worst *entry
	for _, s := range a.shares {
		for _, item := range s.entries.items[len(s.entries.items)/2:] {
			e := item.value
			if worst == nil || e.latestStart > worst.latestStart ||
				e.latestStart == worst.latestStart && e.seq > worst.seq {
				worst = e
			}
		}
	}
	return worst
}

// expireWaiting refuses every request that can no longer be on time.
func (g *Group) expireWaiting(now monotime.Instant, out []Decision) []Decision {
	for _, l := range g.laneList {
		if l.waiting == 0 {
			continue
		}
		for t := range l.tiers {
			q := &l.tiers[t]
			for q.waiting > 0 && q.expiry.min().value.latestStart < now {
				e := q.expiry.min().value
				out = append(out, g.refusal(&e.demand, refuseExpired, g.backlog(l, t, now)))
				g.counters.Expired++
				g.dequeue(e)
				g.recycle(e)
			}
		}
	}
	return out
}

// expectedWait is the wait that a new request must expect until it starts: the
// work of higher tiers, its part of the work of its own, and what higher tiers
// will bring meanwhile; or its turn by the floor, if that comes sooner.
func (g *Group) expectedWait(e *entry, now monotime.Instant) time.Duration {
	l := e.lane
	if l.limit == 0 {
		return l.soonestBack(now)
	}
	strict := g.strictWait(l, e, now)
	if owed := g.floorWait(l, e, now); owed < strict {
		return owed
	}
	return strict
}

func (g *Group) strictWait(l *lane, e *entry, now monotime.Instant) time.Duration {
	work, busy := g.aboveTier(l, e.tier, now)
	busy += g.belowTier(l, e.tier)
	own := g.workBefore(e, now)
	if g.policy.Fairness {
		own = min(own, g.ownShareOfWork(&l.tiers[e.tier], e))
	}
	return l.drainTime(work+own, busy) + l.nextFree()
}

// workBefore is the slot time in the entry's tier that is served before it: what
// can wait less long than the entry itself.
func (g *Group) workBefore(e *entry, now monotime.Instant) float64 {
	own := g.lineOf(e, now)
	own.patience.add(e.latestStart.Sub(now).Seconds(), budgetWeight)
	sum := 0.0
	for _, ln := range e.lane.lines {
		if ln.tier == e.tier && ln.patience.mean <= own.patience.mean {
			sum += ln.work
		}
	}
	return sum
}

// leastLeft bounds the part of the slots that higher tiers are expected to
// leave, so that a wait stays finite.
const leastLeft = 0.02

// drainTime is the time until so much slot time, in seconds, was served while
// higher tiers keep a part of the slots busy.
func (l *lane) drainTime(work, busy float64) time.Duration {
	return seconds(work / (float64(l.limit) * max(1-busy, leastLeft)))
}

// aboveTier returns the slot time that waits in higher tiers and the part of
// the slots that their arrivals are sure to keep busy: the lesser of the rates
// of the last seconds and of the last minute. A burst ends, and one refused for
// its sake could often have been served after it.
func (g *Group) aboveTier(l *lane, tier int, now monotime.Instant) (work, busy float64) {
	for t := range tier {
		q := &l.tiers[t]
		work += q.work
		busy += min(q.arriving.get(now))
	}
	return work, busy / float64(l.limit)
}

// belowTier is the part of the slots that the floors of lower tiers may take.
func (g *Group) belowTier(l *lane, tier int) float64 {
	if !g.policy.Floor {
		return 0
	}
	part := 0.0
	for t := tier + 1; t < maxTiers; t++ {
		if l.tiers[t].waiting > 0 {
			part += g.floors[t]
		}
	}
	return part
}

// ownShareOfWork is the work before a new request of a customer under fair
// sharing: the customer's own, stretched by what the others may take meanwhile.
func (g *Group) ownShareOfWork(q *tierQueue, e *entry) float64 {
	weight := max(e.demand.Customer.Weight, 1e-9)
	a := q.accounts[e.demand.Customer.Hash]
	if a == nil || a.waiting == 0 {
		return e.work * q.weights / weight
	}
	return (a.work + e.work) * q.weights / weight
}

// soonestBack is the time until the first ejected engine is probed again.
func (l *lane) soonestBack(now monotime.Instant) time.Duration {
	soonest := noServerRetry
	for _, e := range l.engines {
		if e.takesWork() {
			soonest = min(soonest, max(0, e.health.until.Sub(now)))
		}
	}
	return soonest
}

// nextFree is the expected time until any slot of a full lane gets free.
func (l *lane) nextFree() time.Duration {
	if l.limit == 0 || l.free > 0 {
		return 0
	}
	return seconds(l.hold.mean / float64(l.limit))
}

// backlog is the wait that a request of a tier should expect in the lane.
func (g *Group) backlog(l *lane, tier int, now monotime.Instant) time.Duration {
	if l.limit == 0 {
		return noServerRetry
	}
	if l.free > 0 && l.waiting == 0 {
		return 0
	}
	work, busy := g.aboveTier(l, tier, now)
	return l.drainTime(work+l.tiers[tier].work, busy) + l.nextFree()
}

func sortBySeq(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
}
