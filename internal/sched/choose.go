package sched

import (
	"time"

	"basilrudder/internal/monotime"
)

// choose returns the engine for a request, or nil if none may take it. It looks at each
// engine of the pool once: a group has at most a few hundred engines, and their number
// does not grow with the fleet.
func (g *Group) choose(e *entry, now monotime.Instant) (best *engine, hit bool) {
	switch g.policy.Choice {
	case ChooseRotate:
		return g.rotate(e), false
	case ChooseReported:
		return g.leastLoaded(e), false
	default:
		return g.fastest(e, now)
	}
}

// fastest returns the engine with the shortest predicted time to the first token. The
// prediction uses the group's own data: prompts in progress, the engine's measured pace,
// and the prefill that a cached prefix saves. A prefix therefore attracts a request only
// while the queueing it causes costs less than the prefill it saves.
func (g *Group) fastest(e *entry, now monotime.Instant) (best *engine, hit bool) {
	p := e.pool
	n := len(p.engines)
	leastCost := 0.0
	p.rotation++
	for i := range n {
		at := i + p.rotation%n
		if at >= n {
			at -= n
		}
		candidate := p.engines[at]
		if !g.hasSlot(candidate, e.tier) || candidate.serves&e.target == 0 {
			continue
		}
		cached := g.policy.Affinity && g.prefixes.holds(e.demand.Prefix, candidate)
		cost := g.startCost(e, candidate, cached, now)
		if candidate.spec.ID == e.demand.Avoid {
			cost += avoidPenalty
		}
		if g.policy.Stragglers && candidate.slowdown >= stragglerSlowdown && !candidate.paceStale && g.tooSlow(e, candidate, now) {
			cost += stragglerPenalty
		}
		if best == nil || cost < leastCost {
			best, hit, leastCost = candidate, cached, cost
		}
	}
	return best, hit
}

// hasSlot reports whether the engine has a slot for a request of the tier.
func (g *Group) hasSlot(on *engine, tier int) bool {
	return on.free > 0 || on.extra > 0 && g.headroom[tier] > 0
}

const (
	// avoidPenalty, in seconds, keeps a retry away from the engine that failed it while
	// any other engine has a free slot. It exceeds stragglerPenalty and probePenalty: a
	// retry prefers a straggler to the engine that has just failed it.
	avoidPenalty = 60
	// stragglerPenalty, in seconds, keeps a request away from a straggler that would make
	// it late. It must exceed the prefill queue of the other engines, or the straggler is
	// chosen all the same.
	stragglerPenalty = 20
	// probePenalty, in seconds, keeps top-tier requests from being the probe of an engine
	// that may fail or be slow.
	probePenalty = 30
	// occupancyWeight weighs the slots in use, because a fuller engine decodes more
	// slowly: a full engine counts as 5 times its token gap. At 0, requests would be
	// packed on the engine with the shortest prompt queue however full it is.
	occupancyWeight = 4
)

// shouldStartOn reports whether the request should start at the engine rather than wait
// for another: a straggler may be free only because it is slow. A request that cannot
// wait takes any engine.
func (g *Group) shouldStartOn(e *entry, on *engine, now monotime.Instant) bool {
	if !g.policy.Stragglers || on.slowdown < stragglerSlowdown {
		return true
	}
	slack := e.latestStart.Sub(now)
	if on.paceStale {
		return e.tier > 0 || slack < e.latestStart.Sub(e.submittedAt)/2
	}
	if slack < minSlack {
		return true
	}
	return !g.tooSlow(e, on, now)
}

// minSlack is the slack below which a request takes any engine. Without it, a request
// would wait past its latest start for a faster engine.
const minSlack = 100 * time.Millisecond

// tooSlow reports whether the engine is expected to miss a latency target of the request:
// the class's token gap or the request's deadline.
func (g *Group) tooSlow(e *entry, on *engine, now monotime.Instant) bool {
	class := e.demand.Class
	gap := on.gapSeconds()
	if class.TokenGap > 0 && gap > class.TokenGap.Seconds() {
		return true
	}
	if e.demand.EndBy == 0 {
		return false
	}
	stats := g.statsOf(class)
	if stats.service {
		return now.Add(seconds(stats.median/1000*on.slowdown)) > e.demand.EndBy
	}
	return now.Add(seconds(stats.median*gap)) > e.demand.EndBy
}

// startCost is the predicted time to the first token in seconds, plus a term for the
// slower decoding of a fuller engine.
func (g *Group) startCost(e *entry, candidate *engine, cached bool, now monotime.Instant) float64 {
	tokens := float64(e.demand.PromptTokens)
	if cached {
		tokens *= 1 - cachedPrefillShare
	}
	cost := candidate.prefillSeconds(tokens)
	if wait := candidate.prefillUntil.Sub(now); wait > 0 {
		cost += wait.Seconds()
	}
	used := float64(candidate.inflight) / float64(candidate.spec.Spec.Slots)
	gap := candidate.gapSeconds()
	if !g.policy.Stragglers {
		gap = candidate.stepSeconds()
	}
	cost += gap * (1 + occupancyWeight*used)
	if candidate.needsProbe() && e.tier == 0 {
		cost += probePenalty
	}
	return cost
}

func (g *Group) rotate(waiting *entry) *engine {
	p := waiting.pool
	for range p.engines {
		p.rotation++
		if e := p.engines[p.rotation%len(p.engines)]; e.takesWork() && e.serves&waiting.target != 0 {
			return e
		}
	}
	return nil
}

func (g *Group) leastLoaded(waiting *entry) *engine {
	p := waiting.pool
	var best *engine
	p.rotation++
	for i := range p.engines {
		e := p.engines[(i+p.rotation)%len(p.engines)]
		if !e.takesWork() || e.serves&waiting.target == 0 {
			continue
		}
		if best == nil || e.reportedLoad < best.reportedLoad {
			best = e
		}
	}
	return best
}

// assign records that a request starts at an engine.
func (g *Group) assign(e *entry, on *engine, hit bool, now monotime.Instant) {
	tokens := float64(e.demand.PromptTokens)
	if hit {
		tokens *= 1 - cachedPrefillShare
	}
	prefill := seconds(on.prefillSeconds(tokens))
	on.prefillUntil = max(on.prefillUntil, now).Add(prefill)
	e.expected = on.prefillUntil.Sub(now) + seconds(on.gapSeconds())
	e.engine = on
	e.prefixHit = hit
	e.probe = on.health.probing()
	on.inflight++
	g.refreshEngine(on, now)
	g.prefixes.recordRun(now, e.demand.Prefix, on)
	if gap := e.demand.Class.TokenGap; gap > 0 {
		e.pool.tightenGapTarget(gap)
	}
}

func (p *pool) tightenGapTarget(gap time.Duration) {
	if p.gapTarget == 0 || gap < p.gapTarget {
		p.gapTarget = gap
	}
}
