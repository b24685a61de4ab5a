package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// engine is what the group knows of one engine.
type engine struct {
	spec *catalog.Engine
	// lane is nil for an engine that serves nothing.
	lane   *lane
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

	// learned is the concurrency at which token gaps meet their target.
	learned float64
	// gap is the time between tokens in seconds, pace the speed against what
	// is expected (1 as expected, 2 half as fast).
	gap  ewma
	pace ewma
	// paceAt is when pace was last measured.
	paceAt monotime.Instant
	// slow is pace against the median of the peers, at least 1.
	slow float64
	// doubtful says that the engine was slow and was not measured lately.
	doubtful bool
	// prefillUntil is when the prompts already sent are expected to be done.
	prefillUntil monotime.Instant

	health health

	// untold counts slots in use that no holder told a new owner of.
	untold int
	// freedAt holds when slots came free since the take-over began.
	freedAt []monotime.Instant
	// reported is the last load report and reportedAt when it was read.
	reported   int
	reportedAt monotime.Instant
	// stored counts prefixes placed on the engine.
	stored uint32
	// cacheNext is the sequence number that the next cache event should have.
	cacheNext int
	// cacheRoom is how many prefixes the engine seems to hold.
	cacheRoom uint32
}

const (
	paceWeight = 0.25
	gapWeight  = 0.2
	// slowFrom is the pace against the peers from which an engine counts as a
	// straggler; below it, differences are noise.
	slowFrom = 1.5
	// paceMemory is the age at which the measured pace of a straggler is doubted.
	paceMemory = 5 * time.Second
)

// takesWork reports whether the configuration lets the engine take new work.
func (e *engine) takesWork() bool {
	return !e.removed && !e.spec.Server.Spec.Withdrawn
}

// gapSeconds is the time between tokens at the engine.
func (e *engine) gapSeconds() float64 {
	return e.gap.or(e.stepSeconds())
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
	return tokens / perSecond * e.slow
}

// refreshEngine recomputes the engine's limit and passes the difference on to
// its lane.
func (g *Group) refreshEngine(e *engine, now monotime.Instant) {
	limit := g.engineLimit(e, now)
	free := limit - e.inflight
	if e.untold > 0 {
		// In a partition the limit leaves room for the other part already; what
		// that part uses counts against the slots there are.
		free = min(free, e.spec.Spec.Slots-e.inflight-e.untold)
	}
	free = max(0, free)
	extra := g.extraSlots(e, limit, free)
	if l := e.lane; l != nil {
		l.limit += limit - e.limit
		l.free += free - e.free
		l.extra += extra - e.extra
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
	if g.share >= 1 && e.untold == 0 || limit == 0 || !g.policy.Queue {
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
		slots = min(slots, e.learned)
	}
	switch {
	case g.policy.Stragglers && e.doubtful:
		slots = 1
	case g.policy.Stragglers && e.slow >= slowFrom:
		slots /= e.slow
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

// learnPace counts a measured speed: actual against expected, both in seconds.
func (e *engine) learnPace(now monotime.Instant, actual, expected float64) {
	if expected <= 0 || actual <= 0 {
		return
	}
	e.sampled()
	e.pace.add(min(actual/expected, maxPace), paceWeight)
	e.paceAt = now
}

const maxPace = 50

// learnGap counts a measured time between tokens and adapts the concurrency.
func (g *Group) learnGap(e *engine, l *lane, now monotime.Instant, gap time.Duration) {
	if gap <= 0 {
		return
	}
	e.sampled()
	e.gap.add(gap.Seconds(), gapWeight)
	e.learnPace(now, gap.Seconds(), e.stepSeconds())
	if !g.policy.Learn {
		return
	}
	target := l.gapTarget.Seconds()
	slots := float64(e.spec.Spec.Slots)
	switch {
	case target <= 0 || e.gap.mean < gapComfort*target:
		e.learned = min(slots, e.learned+learnUp)
	case e.gap.mean > gapStrain*target && e.slow < slowFrom && e.inflight*2 >= e.limit:
		e.learned = max(minLearned, e.learned*learnDown)
	}
}

const (
	// gapComfort and gapStrain are parts of the token gap target: the target
	// is for 95 in 100, while the mean is measured.
	gapComfort = 0.7
	gapStrain  = 0.85
	learnUp    = 0.25
	learnDown  = 0.97
	minLearned = 1
)
