package sched

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// refusalKind selects the reason and the explanation of a refusal.
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
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter. A shorter minimum makes
	// refused callers add load by retrying at once; a longer maximum keeps them away
	// after the load has ended. noServerRetryAfter applies while no server takes work for
	// the target, for which no wait can be computed.
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 5 * time.Minute
	noServerRetryAfter = 5 * time.Second
)

// refusal returns the decision that refuses a request; wait is the expected wait.
func (g *Group) refusal(d *Demand, kind refusalKind, wait time.Duration) Decision {
	g.counters.Refused++
	retry := noServerRetryAfter
	if kind != refuseNoServer {
		retry = min(max(wait, minRetryAfter), maxRetryAfter)
	}
	return Decision{
		Ticket:     d.Ticket,
		Reason:     refusals[kind].reason,
		RetryAfter: retry,
		Backlog:    wait,
		Why:        refusals[kind].why,
	}
}

// admit queues a request, or refuses it at once if it cannot be on time.
func (g *Group) admit(e *entry, now monotime.Instant, out []Decision) []Decision {
	if e.latestStart < now {
		out = append(out, g.refusal(&e.demand, refuseTooLate, g.backlog(e.pool, e.tier, now)))
		g.recycle(e)
		return out
	}
	g.refreshCredit(g.classQueueOf(e, now), e.pool, now)
	if g.policy.EarlyRefusal {
		wait := g.expectedWait(e, now)
		budget := e.latestStart.Sub(now)
		if wait > budget-time.Duration(g.policy.Margin*float64(budget)) {
			out = append(out, g.refusal(&e.demand, refuseTooLate, wait-budget))
			g.recycle(e)
			return out
		}
	}
	e.pool.tiers[e.tier].arriving.add(now, e.work)
	g.enqueue(e, now)
	if g.waiting > g.policy.MaxWaiting {
		out = g.shed(now, out)
	}
	return g.dispatch(now, out)
}

// shed refuses one waiting request of the lowest tier with waiting requests: the least
// urgent one of the customer with the most requests there.
func (g *Group) shed(now monotime.Instant, out []Decision) []Decision {
	for t := maxTiers - 1; t >= 0; t-- {
		for _, p := range g.pools {
			q := &p.tiers[t]
			if q.waiting == 0 {
				continue
			}
			victim := leastUrgent(q.byWaiting.min().value)
			out = append(out, g.refusal(&victim.demand, refuseQueueFull, g.backlog(p, t, now)))
			g.dequeue(victim)
			g.recycle(victim)
			return out
		}
	}
	return out
}

// leastUrgent returns the entry of the account that would be served last. The largest key
// of a heap is in a leaf, so it scans the last half of each heap; this is linear in the
// queue's length and happens only when the queue is full.
func leastUrgent(a *account) *entry {
	var worst *entry
	for _, cust := range a.queues {
		for _, item := range cust.entries.items[len(cust.entries.items)/2:] {
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
	for _, p := range g.pools {
		if p.waiting == 0 {
			continue
		}
		for t := range p.tiers {
			q := &p.tiers[t]
			for q.waiting > 0 && q.expiry.min().value.latestStart < now {
				e := q.expiry.min().value
				out = append(out, g.refusal(&e.demand, refuseExpired, g.backlog(p, t, now)))
				g.counters.Expired++
				g.dequeue(e)
				g.recycle(e)
			}
		}
	}
	return out
}

// expectedWait returns the expected time until a new request starts. It counts the work
// of higher tiers, its part of the work of its own tier, and the arrivals expected in
// higher tiers meanwhile. If the floor serves the request sooner, that time is returned.
func (g *Group) expectedWait(e *entry, now monotime.Instant) time.Duration {
	p := e.pool
	if p.limit == 0 {
		return p.timeToNextProbe(now)
	}
	strict := g.strictPriorityWait(p, e, now)
	if byFloor := g.floorWait(p, e, now); byFloor < strict {
		return byFloor
	}
	return strict
}

func (g *Group) strictPriorityWait(p *pool, e *entry, now monotime.Instant) time.Duration {
	work, busy := g.loadAbove(p, e.tier, now)
	busy += g.floorsBelow(p, e.tier)
	own := g.workBefore(e, now)
	if g.policy.Fairness {
		own = min(own, g.fairWorkBefore(&p.tiers[e.tier], e))
	}
	return p.drainTime(work+own, busy) + p.nextFree()
}

// workBefore returns the slot time in the entry's tier that is served before it: the work
// of classes whose requests can wait no longer than those of its own.
func (g *Group) workBefore(e *entry, now monotime.Instant) float64 {
	own := g.classQueueOf(e, now)
	own.waitLimit.add(e.latestStart.Sub(now).Seconds(), budgetWeight)
	sum := 0.0
	for _, cq := range e.pool.classQueues {
		if cq.tier == e.tier && cq.waitLimit.mean <= own.waitLimit.mean {
			sum += cq.work
		}
	}
	return sum
}

// minRemainingShare is the minimum part of the slots that higher tiers are expected to
// leave; without it the wait would be infinite.
const minRemainingShare = 0.02

// drainTime returns the time until the given slot time, in seconds, has been served while
// higher tiers keep the part busy of the slots occupied.
func (p *pool) drainTime(work, busy float64) time.Duration {
	return seconds(work / (float64(p.limit) * max(1-busy, minRemainingShare)))
}

// loadAbove returns the slot time that waits in higher tiers, and the part of the slots
// that their arrivals will keep busy: the lower of the rates over shortWindow and
// longWindow. A burst ends, and a request refused because of one could often have been
// served after it.
func (g *Group) loadAbove(p *pool, tier int, now monotime.Instant) (work, busy float64) {
	for t := range tier {
		q := &p.tiers[t]
		work += q.work
		busy += min(q.arriving.get(now))
	}
	return work, busy / float64(p.limit)
}

// floorsBelow returns the part of the slots that the floors of lower tiers may take.
func (g *Group) floorsBelow(p *pool, tier int) float64 {
	if !g.policy.Floor {
		return 0
	}
	share := 0.0
	for t := tier + 1; t < maxTiers; t++ {
		if p.tiers[t].waiting > 0 {
			share += g.floors[t]
		}
	}
	return share
}

// fairWorkBefore returns the work served before a new request under fair sharing: the
// customer's own, scaled up by what the other customers may take meanwhile.
func (g *Group) fairWorkBefore(q *tierQueue, e *entry) float64 {
	weight := max(e.demand.Customer.Weight, 1e-9)
	a := q.accounts[e.demand.Customer.Hash]
	if a == nil || a.waiting == 0 {
		return e.work * q.weights / weight
	}
	return (a.work + e.work) * q.weights / weight
}

// timeToNextProbe returns the time until the first ejected engine is probed again.
func (p *pool) timeToNextProbe(now monotime.Instant) time.Duration {
	soonest := noServerRetryAfter
	for _, e := range p.engines {
		if e.takesWork() {
			soonest = min(soonest, max(0, e.health.ejectedUntil.Sub(now)))
		}
	}
	return soonest
}

// nextFree returns the expected time until any slot of a full pool is freed.
func (p *pool) nextFree() time.Duration {
	if p.limit == 0 || p.free > 0 {
		return 0
	}
	return seconds(p.hold.mean / float64(p.limit))
}

// backlog returns the wait that a request of a tier should expect in the pool.
func (g *Group) backlog(p *pool, tier int, now monotime.Instant) time.Duration {
	if p.limit == 0 {
		return noServerRetryAfter
	}
	if p.free > 0 && p.waiting == 0 {
		return 0
	}
	work, busy := g.loadAbove(p, tier, now)
	return p.drainTime(work+p.tiers[tier].work, busy) + p.nextFree()
}

func sortBySeq(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
}
