package sched

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// health limits the work of an engine after failures. A failed attempt limits the engine
// to one slot. A second one in a row ejects it, for a time that doubles with each
// ejection. After that time one request probes the engine, and each success doubles the
// number of slots. Without this ramp, an engine that answers again would get a full load
// at once and fail all of it if it has not recovered.
type health struct {
	// failures is the number of consecutive failures.
	failures int
	// ejections is the number of ejections without full recovery between them.
	ejections int
	// ejectedUntil is the end of the current ejection.
	ejectedUntil monotime.Instant
	// ramp bounds the slots held during recovery; 0 for no bound.
	ramp int
}

const (
	// failuresToEject is the number of consecutive failures that eject an engine. At 1, a
	// single bad request would eject a healthy engine.
	failuresToEject = 2
	// firstEjection doubles up to maxEjection. A shorter time spends more requests as
	// probes of a failed engine; a longer one keeps a recovered engine out of use.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 15 * time.Second
	// refusedPause is how long an engine that refused a request gets no new one. Without
	// a pause, the next request would be refused as well.
	refusedPause = 50 * time.Millisecond
	// rampEnd is the number of slots at which an engine counts as recovered. It should
	// exceed the slots of an engine, or the ramp ends in a jump to full load.
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

// upkeep compares engines with their peers and updates their limits.
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

// detectStragglers finds engines slower than the median of their peers. The comparison is
// relative: all engines slow down together under full load, and that is no reason to send
// less to any of them.
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

// markStalePace marks a straggler that has not been measured recently. One request of a
// lower tier then probes it. Without this mark it would never get work again; without the
// limit to one request, an engine that is still slow would get a full load before its
// first answer shows it.
func (e *engine) markStalePace(now monotime.Instant) {
	if e.slowdown >= stragglerSlowdown && now.Sub(e.paceAt) >= maxPaceAge {
		e.paceStale = true
	}
}

// resetStalePace discards the statistics of an engine whose pace is stale: the new sample
// replaces them.
func (e *engine) resetStalePace() {
	if !e.paceStale {
		return
	}
	e.paceStale = false
	e.pace = ewma{}
	e.gap = ewma{}
}

// needsProbe reports whether the engine should get a single request of a lower tier to
// measure it.
func (e *engine) needsProbe() bool {
	return e.paceStale || e.health.probing()
}
