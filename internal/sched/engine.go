package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// engine is the group's state of one engine.
type engine struct {
	spec *catalog.Engine
	// pool is nil for an engine that serves nothing.
	pool   *pool
	serves targetSet
	// inflight is the number of slots held.
	inflight int
	// limit is the number of slots that may be held now, free the part of it that new
	// work may use.
	limit int
	free  int
	// extra is the number of slots beyond this owner's share that tiers with headroom may
	// use.
	extra int
	// removed marks an engine that is no longer in the configuration.
	removed bool

	// adaptiveLimit is the concurrency at which token gaps meet their target.
	adaptiveLimit float64
	// gap is the mean time between tokens in seconds. pace is the measured time relative
	// to the expected one: 1 is as expected, 2 half as fast.
	gap  ewma
	pace ewma
	// paceAt is when pace was last measured.
	paceAt monotime.Instant
	// slowdown is pace relative to the median of the peers, at least 1.
	slowdown float64
	// paceStale reports that the engine was slow and has no recent measurement.
	paceStale bool
	// prefillUntil is when the prompts already sent are expected to be processed.
	prefillUntil monotime.Instant

	health health

	// unclaimed is the number of slots in use that no holder has reported to a new owner
	// yet.
	unclaimed int
	// freedAt are the times at which slots were freed since the takeover began.
	freedAt []monotime.Instant
	// reportedLoad is the load in the last load report, reportedAt the time it was
	// measured.
	reportedLoad int
	reportedAt   monotime.Instant
	// prefixSeq counts the prefixes placed on the engine.
	prefixSeq uint32
	// cacheNext is the sequence number that the next cache event should have.
	cacheNext int
	// cacheCapacity is the estimated number of prefixes that the engine holds.
	cacheCapacity uint32
}

const (
	// paceWeight and gapWeight are the weights of a new sample. Lower ones detect a
	// straggler later; higher ones let single samples decide.
	paceWeight = 0.25
	gapWeight  = 0.2
	// stragglerSlowdown is the slowdown from which an engine counts as a straggler. Below
	// it, differences are random variation.
	stragglerSlowdown = 1.5
	// maxPaceAge is the age from which the measured pace of a straggler is stale. A
	// longer one keeps a recovered engine idle; a shorter one sends more requests to an
	// engine that is still slow.
	maxPaceAge = 5 * time.Second
)

// takesWork reports whether the configuration lets the engine take new work.
func (e *engine) takesWork() bool {
	return !e.removed && !e.spec.Server.Spec.Withdrawn
}

// gapSeconds returns the measured time between tokens at the engine, or the configured
// one before the first sample.
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

// refreshEngine recomputes the engine's limit and applies the difference to its pool.
func (g *Group) refreshEngine(e *engine, now monotime.Instant) {
	limit := g.engineLimit(e, now)
	free := limit - e.inflight
	if e.unclaimed > 0 {
		// In a partition the limit already leaves slots to the other part. What that part
		// uses is therefore subtracted from all slots instead.
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

// extraSlots returns the slots that only tiers with headroom may use: those beyond the
// share of this part of the fleet, and those in use by holders that have not reported
// yet. An isolated part at first holds more than its share, and a new owner waits for
// reports of running requests; without extra slots, none would come free for seconds. An
// engine that gets too much from two owners still runs the highest priorities first.
func (g *Group) extraSlots(e *engine, limit, free int) int {
	if g.share >= 1 && e.unclaimed == 0 || limit == 0 || !g.policy.Queue {
		return 0
	}
	return max(0, e.spec.Spec.Slots-e.inflight-free)
}

// engineLimit returns the number of slots that the group may hold at the engine now.
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

// unlimitedSlots is the limit for policies under which requests queue at the engines.
const unlimitedSlots = 1 << 20

// recordPace adds a sample of the engine's pace: actual against expected time, both in
// seconds.
func (e *engine) recordPace(now monotime.Instant, actual, expected float64) {
	if expected <= 0 || actual <= 0 {
		return
	}
	e.resetStalePace()
	e.pace.add(min(actual/expected, maxPace), paceWeight)
	e.paceAt = now
}

// maxPace bounds one pace sample. Without a bound, one long stall would dominate the mean
// for many samples.
const maxPace = 50

// recordGap adds a sample of the time between tokens and adapts the engine's concurrency
// to it.
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
	// gapRaiseBelow and gapLowerAbove are fractions of the token gap target: below the
	// first the limit rises, above the second it falls. They are below 1 because the
	// target applies to the 95th percentile, while the mean is measured. Closer together
	// they make the limit oscillate.
	gapRaiseBelow = 0.7
	gapLowerAbove = 0.85
	// limitStepUp is added to, and limitStepDown multiplied with, the limit for each
	// sample. Larger steps make the limit oscillate; smaller ones leave gaps above their
	// target for longer.
	limitStepUp   = 0.25
	limitStepDown = 0.97
	// minAdaptiveLimit keeps one slot, without which the engine would give no further
	// samples.
	minAdaptiveLimit = 1
)
