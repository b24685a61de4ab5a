package sched

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// health decides how much work an engine gets after failures. A failed attempt
// halves the trust; a second one in a row ejects the engine for a time that
// doubles. After that time one request probes it, and each success doubles the
// slots it may hold. Without the ramp, an engine that answers again would get a
// full load of requests at once and fail them all if it is still ill.
type health struct {
	// failures in a row.
	failures int
	// ejections in a row, without full recovery between them.
	ejections int
	// ejectedUntil is the end of the current ejection.
	ejectedUntil monotime.Instant
	// ramp bounds the slots held while trust comes back; 0 for no bound.
	ramp int
}

const (
	failuresToEject = 2
	firstEjection   = 500 * time.Millisecond
	maxEjection     = 15 * time.Second
	// refusedPause is how long an engine that refused a request rests.
	refusedPause = 50 * time.Millisecond
	// rampEnd is the bound on slots at which an engine is trusted again.
	rampEnd = 256
)

func (h *health) limit(now monotime.Instant) int {
	if now < h.ejectedUntil {
		return 0
	}
	if h.ramp > 0 {
		return h.ramp
	}
	return unlimitedSlots
}

func (h *health) failed(now monotime.Instant) {
	h.failures++
	h.ramp = 1
	if h.failures < failuresToEject {
		return
	}
	if now < h.ejectedUntil {
		return
	}
	duration := min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(duration)
}

func (h *health) refused(now monotime.Instant) {
	h.ejectedUntil = max(h.ejectedUntil, now.Add(refusedPause))
}

func (h *health) succeeded() {
	h.failures = 0
	if h.ramp == 0 {
		return
	}
	h.ramp *= 2
	if h.ramp >= rampEnd {
		h.ramp = 0
		h.ejections = 0
	}
}

// probing reports whether the next request is a probe.
func (h *health) probing() bool {
	return h.failures > 0
}

// upkeep compares engines with their peers and lets limits follow.
func (g *Group) upkeep(now monotime.Instant) {
	g.upkeepAt = now
	for _, p := range g.pools {
		g.detectStragglers(p, now)
		for t := range p.tiers {
			g.removeIdleAccounts(&p.tiers[t])
		}
	}
	g.endTakeover(now)
	for _, e := range g.engines {
		g.refreshEngine(e, now)
	}
}

// detectStragglers finds stragglers: engines slower than the median of their
// peers. The comparison is relative, since all engines slow down together
// when they are full, and that is no reason to send any of them less.
func (g *Group) detectStragglers(p *pool, now monotime.Instant) {
	paces := g.paces[:0]
	gaps := 0.0
	count := 0
	for _, e := range p.engines {
		if !e.takesWork() {
			continue
		}
		gaps += e.gapSeconds()
		count++
		if e.pace.count > 0 {
			paces = append(paces, e.pace.mean)
		}
	}
	g.paces = paces
	if count > 0 {
		p.gapMean = gaps / float64(count)
	}
	if len(paces) < 2 {
		return
	}
	slices.Sort(paces)
	median := paces[(len(paces)-1)/2]
	for _, e := range p.engines {
		e.slowdown = max(1, e.pace.meanOr(median)/median)
		e.markStalePace(now)
	}
}

// markStalePace marks a straggler that was not measured for a while. One request of a
// lower tier then tries it. Without the markStalePace it would stay without work for
// good; without the bound of one, an engine that is still slow would get a full
// load before its first answer shows it.
func (e *engine) markStalePace(now monotime.Instant) {
	if e.slowdown >= stragglerSlowdown && now.Sub(e.paceAt) >= maxPaceAge {
		e.paceStale = true
	}
}

// resetStalePace forgets what was known of a doubtful engine: a new sample tells more.
func (e *engine) resetStalePace() {
	if !e.paceStale {
		return
	}
	e.paceStale = false
	e.pace = ewma{}
	e.gap = ewma{}
}

// needsProbe reports whether the engine should get one request, of a lower tier,
// to show what it does.
func (e *engine) needsProbe() bool {
	return e.paceStale || e.health.probing()
}
