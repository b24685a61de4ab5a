package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// engine is what the group knows of one engine.
type engine struct {
	spec *catalog.Engine
	// pool is nil for an engine that serves nothing.
	pool   *pool
	serves targetSet
	// inflight counts the slots held.
	inflight int
	// limit is the number of slots that may be held now, free what is left of
	// it for new work.
	limit int
	free  int
	// extra are the slots beyond the share that tiers with headroom may use.
	extra int
	// removed marks an engine that the configuration no longer has.
	removed bool

	// adaptiveLimit is the concurrency at which token gaps meet their target.
	adaptiveLimit float64
	// gap is the time between tokens in seconds, pace the speed against what
	// is expected (1 as expected, 2 half as fast).
	gap  ewma
	pace ewma
	// paceAt is when pace was last measured.
	paceAt monotime.Instant
	// slowdown is pace against the median of the peers, at least 1.
	slowdown float64
	// paceStale says that the engine was slow and was not measured lately.
	paceStale bool
	// prefillUntil is when the prompts already sent are expected to be done.
	prefillUntil monotime.Instant

	health health

	// unclaimed counts slots in use that no holder told a new owner of.
	unclaimed int
	// freedAt holds when slots came free since the take-over began.
	freedAt []monotime.Instant
	// reportedLoad is the last load report and reportedAt when it was read.
	reportedLoad int
	reportedAt   monotime.Instant
	// prefixSeq counts prefixes placed on the engine.
	prefixSeq uint32
	// cacheNext is the sequence number that the next cache event should have.
	cacheNext int
	// cacheCapacity is how many prefixes the engine seems to hold.
	cacheCapacity uint32
}

const (
	paceWeight = 0.25
	gapWeight  = 0.2
	// stragglerSlowdown is the pace against the peers from which an engine counts as a
	// straggler; below it, differences are noise.
	stragglerSlowdown = 1.5
	// maxPaceAge is the age at which the measured pace of a straggler is doubted.
	maxPaceAge = 5 * time.Second
)

// takesWork reports whether the configuration lets the engine take new work.
func (e *engine) takesWork() bool {
	return !e.removed && !e.spec.Server.Spec.Withdrawn
}

// gapSeconds is the time between tokens at the engine.
func (e *engine) gapSeconds() float64 {
	return e.gap.meanOr(e.stepSeconds())
}

func (e *engine) stepSeconds() float64 {
	if e.spec.Spec.StepMS <= 0 {
		return defaultGapSeconds
	}
	return e.spec.Spec.StepMS / 1000
}

func (e *engine) prefillSeconds(tokens float64) float64 {
	perSecond := float64(e.spec.Spec.PrefillTokensPerS)
	if perSecond <= 0 {
		perSecond = defaultPrefillRate
	}
	return tokens / perSecond * e.slowdown
}

// refreshEngine recomputes the engine's limit and passes the difference on to
// its lane.
func (g *Group) refreshEngine(e *engine, now monotime.Instant) {
	limit := g.engineLimit(e, now)
	free := limit - e.inflight
	if e.unclaimed > 0 {
		// In a partition the limit leaves room for the other part already; what
		// that part uses counts against the slots there are.
		free = min(free, e.spec.Spec.Slots-e.inflight-e.unclaimed)
	}
	free = max(0, free)
	extra := g.extraSlots(e, limit, free)
	if p := e.pool; p != nil {
		p.limit += limit - e.limit
		p.free += free - e.free
		p.extra += extra - e.extra
	}
	e.limit = limit
	e.free = free
	e.extra = extra
}

// extraSlots are those that only tiers with headroom may use: beyond the share of
// this part of the fleet, or in use by holders that have not told yet. A part
// that is cut off holds more than its share at first, and a new owner waits for
// news of what runs; no slot would come free for seconds. An engine that gets too
// much from two owners still runs the highest priorities first.
func (g *Group) extraSlots(e *engine, limit, free int) int {
	if g.share >= 1 && e.unclaimed == 0 || limit == 0 || !g.policy.Queue {
		return 0
	}
	return max(0, e.spec.Spec.Slots-e.inflight-free)
}

// engineLimit is the number of slots the group may hold at the engine now.
func (g *Group) engineLimit(e *engine, now monotime.Instant) int {
	if !e.takesWork() {
		return 0
	}
	if !g.policy.Queue {
		return unlimitedSlots
	}
	slots := float64(e.spec.Spec.Slots)
	if g.policy.Learn {
		slots = min(slots, e.adaptiveLimit)
	}
	switch {
	case g.policy.Stragglers && e.paceStale:
		slots = 1
	case g.policy.Stragglers && e.slowdown >= stragglerSlowdown:
		slots /= e.slowdown
	}
	slots *= g.share
	limit := max(1, int(slots))
	if g.policy.Ejection {
		limit = min(limit, e.health.limit(now))
	}
	return limit
}

// unlimitedSlots is the limit where requests queue at the engines.
const unlimitedSlots = 1 << 20

// recordPace counts a measured speed: actual against expected, both in seconds.
func (e *engine) recordPace(now monotime.Instant, actual, expected float64) {
	if expected <= 0 || actual <= 0 {
		return
	}
	e.resetStalePace()
	e.pace.add(min(actual/expected, maxPace), paceWeight)
	e.paceAt = now
}

const maxPace = 50

// recordGap counts a measured time between tokens and adapts the concurrency.
func (g *Group) recordGap(e *engine, p *pool, now monotime.Instant, gap time.Duration) {
	if gap <= 0 {
		return
	}
	e.resetStalePace()
	e.gap.add(gap.Seconds(), gapWeight)
	e.recordPace(now, gap.Seconds(), e.stepSeconds())
	if !g.policy.Learn {
		return
	}
	target := p.gapTarget.Seconds()
	slots := float64(e.spec.Spec.Slots)
	switch {
	case target <= 0 || e.gap.mean < gapRaiseBelow*target:
		e.adaptiveLimit = min(slots, e.adaptiveLimit+limitStepUp)
	case e.gap.mean > gapLowerAbove*target && e.slowdown < stragglerSlowdown && e.inflight*2 >= e.limit:
		e.adaptiveLimit = max(minAdaptiveLimit, e.adaptiveLimit*limitStepDown)
	}
}

const (
	// gapRaiseBelow and gapStrain are parts of the token gap target: the target
	// is for 95 in 100, while the mean is measured.
	gapRaiseBelow    = 0.7
	gapLowerAbove    = 0.85
	limitStepUp      = 0.25
	limitStepDown    = 0.97
	minAdaptiveLimit = 1
)
