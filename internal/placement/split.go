package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// Under a mixed load, the prefill of long prompts makes streams with short pauses late,
// also on engines that were idle when the stream began: with 140 engines and 86 instances,
// 257 of 281 late streams were joined by a long prompt during their lifetime. Each instance
// therefore ranks the engines of a service and intends the first of them for streams with
// short pauses and the rest for long prompts. It is a cost, never a bound: a request goes
// to the other side once its own is predicted late or full. The decision follows from the
// runs that all instances report, so they agree without a message about it.

const (
	// splitWindow is the time constant of the demand. A shorter one follows the noise of
	// arrivals, a longer one still counts the demand before a burst when it has passed.
	splitWindow = 3 * time.Second
	// splitInterval is the minimum time between two updates of a split, and
	// splitIntervalPerEngine the addition for each engine: an update goes through all, and
	// takes some 0.2% of a core at most, whatever their number.
	splitInterval          = 200 * time.Millisecond
	splitIntervalPerEngine = 500 * time.Microsecond
	// maxSplitPassed bounds the time that one update accounts for, so that the boundary
	// does not jump after a time without choices.
	maxSplitPassed = 10 * time.Second
	// minSplitEngines is the smallest number of engines that are split. With fewer, a
	// part has too few engines to absorb the variation of its own load: with 12 engines,
	// 19% of reports were late in a burst, 0.2% without a split.
	minSplitEngines = 24
	// minSplitDemand is the number of recent runs from which on the demand counts as
	// known, and minSplitSpan the time over which it was observed.
	minSplitDemand = 50.0
	minSplitSpan   = 500 * time.Millisecond
	// pauseNoise is the spread of the log of an actual pause to the one expected at the
	// usual pace, of a logistic distribution. One pause in twenty is 2.4 times longer than
	// expected, as in the short slow periods of engines.
	pauseNoise = 0.3
	// longPromptLate is the probability of making a stream late from which on a prompt
	// counts as long for it.
	longPromptLate = 0.01
	// A limit of pauses becomes short when this share of its streams would be late by
	// prompts that arrive during their life, were all requests spread evenly, and remains
	// so down to a share of keepShortLate. A tenth of the most urgent streams may be late
	// for all reasons together.
	shortLate, keepShortLate = 0.01, 0.005
	// A kind with short pauses becomes one for long prompts when more than keepOwnLong of
	// its reading is of prompts that are long for shorter pauses, and is none while it is
	// more than maxOwnLong.
	maxOwnLong, keepOwnLong = 0.4, 0.6
	// splitHeadroom is the factor by which the demand of short streams may rise before
	// their part is full, up to maxShortShare of the engines.
	splitHeadroom = 1.3
	maxShortShare = 0.6
	// Parts of prompts that move with the boundary are fetched or read again. It moves by
	// at most minSplitMove engines a second, or splitMoveShare of the engines if that is
	// more, and not at all while it is within splitDeadband engines of its target.
	minSplitMove   = 2.0
	splitMoveShare = 0.01
	splitDeadband  = 1.0
	// The cost rises from 0 to all of it over minSplitRamp engines, or splitRampShare of
	// the engines if that is more, so that instances with slightly different boundaries
	// differ little.
	minSplitRamp   = 4.0
	splitRampShare = 0.05
	// The cost falls when reading long prompts takes more than relaxFrom of the time of the
	// engines for them, and is 0 from relaxTo on: then all engines are needed, and reading
	// prompts again that are cached on the other side would take more time than there is.
	// With the full cost, engines read 51 million tokens in place of 34 in a burst of long
	// prompts. The same holds from relaxSlotsFrom to relaxSlotsTo for the share of all slots
	// that requests hold.
	relaxFrom, relaxTo           = 0.4, 0.7
	relaxSlotsFrom, relaxSlotsTo = 0.3, 0.5
	// splitFadeTime is how long a split takes to come into effect or to lapse.
	splitFadeTime = 500 * time.Millisecond
	// maxSplitCost bounds the cost of the other side, as a share of the weight of the
	// request, so that one that would be late on its own side goes to the other one.
	maxSplitCost = 0.3
	// minAddedLate is the added probability of late pauses that is ignored: a prompt of a
	// stream with short pauses adds about that to others of its kind.
	minAddedLate = 0.005
	// slowClassWidth is the width of a class of slowness, in the log of the slowness, and
	// slowClassMargin how far beyond the border of its class, in widths, an engine must be
	// to change it. The estimates of instances differ by less.
	slowClassWidth  = 0.47
	slowClassMargin = 0.25
	// listedMaxAge is how long an engine remains in the ranking after it was last listed
	// as accepting requests.
	listedMaxAge = 10 * time.Second
)

// engineSplit is the split of the engines of a service. Its methods do no I/O and read no
// clock. The lock of the Board protects it.
type engineSplit struct {
	demand map[streamKind]*streamDemand
	// kinds are those of demand in a fixed order, so that sums over them are the same
	// wherever the demand is.
	kinds []streamKind
	// since is when the first run was recorded, 0 for never; updatedAt is when the sums
	// of the demand were last decayed, and the split decided.
	since, updatedAt monotime.Instant
	// ranking are the engines in order; those at its start are for short pauses.
	ranking []*server
	// size is the number of engines for short pauses, and strength the share of the cost
	// that is in effect.
	size, strength float64
	// slotShare is the share of all slots that requests hold, and relaxed the factor of the
	// cost by it and by the load of the engines for long prompts.
	slotShare, relaxed float64
	// shorts are the kinds of streams with short pauses, with their rate on an engine of
	// their part.
	shorts []shortStreams
	// longFrom is the first bin of unread tokens that makes a prompt long, and minLong the
	// number of tokens from which on it holds prompts.
	longFrom, minLong int
	// state is what operators see.
	state EngineSplit
}

// shortStreams describes a kind of streams with short pauses.
type shortStreams struct {
	streamKind
	// perEngine is the number of streams that an engine of their part has at a time, and
	// arriving the number that arrive there in a second.
	perEngine, arriving float64
	// ignored is the pause that makes them late with minAddedLate.
	ignored time.Duration
	// mixed is the share of them that is late on an engine for long prompts.
	mixed float64
}

// EngineSplit describes the split of the engines of a service for operators.
type EngineSplit struct {
	// Engines is the number of engines ranked, and Short that of the engines intended for
	// streams with short pauses; 0 without a split.
	Engines int `json:"engines"`
	Short   int `json:"short"`
	// ShortSlots is the number of slots that streams with short pauses hold on average,
	// ShortReading and LongReading the time that engines need each second to read the
	// prompts that are not long, of these streams, and those that are.
	ShortSlots   float64 `json:"short_slots"`
	ShortReading float64 `json:"short_reading"`
	LongReading  float64 `json:"long_reading"`
}

// observed returns the time that the decaying sums stand for, in seconds.
func (d *engineSplit) observed(now monotime.Instant) float64 {
	return splitWindow.Seconds() * max(1e-3, 1-decay(now.Sub(d.since), splitWindow))
}

// update decides the split anew when it is due.
func (d *engineSplit) update(engines []*server, model pauseModel, now monotime.Instant) {
	passed := min(now.Sub(d.updatedAt), maxSplitPassed)
	d.decay(now)
	d.updatedAt = now
	d.sortKinds()
	d.rank(engines, now)
	slots := 0
	for _, s := range engines {
		slots += s.slots
	}
	n := float64(len(engines))
	d.classify(model, n, now)
	target := d.targetSize(n, float64(slots)/max(1, n), now)
	d.move(target, n, passed)
	d.setState(n)
	d.setPositions()
	d.relax()
}

// rank sorts the engines by class of slowness, then by a hash of the id.
func (d *engineSplit) rank(engines []*server, now monotime.Instant) {
	for _, s := range engines {
		s.setSlowClass(s.slowness(now))
	}
	slices.SortFunc(engines, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.slowClass, b.slowClass), cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.id, b.id))
	})
	d.ranking = engines
}

// setSlowClass updates the class of slowness, unless the slowness is near its border.
func (s *server) setSlowClass(slowness float64) {
	at := math.Log(slowness) / slowClassWidth
	if math.Abs(at-float64(s.slowClass)) > 0.5+slowClassMargin {
		s.slowClass = int(math.Round(at))
	}
}

// classify sets which kinds of streams have short pauses, and from which number of unread
// tokens on a prompt is long for them. A kind is short if its streams are late with
// significant probability because of prompts that arrive during their life, and if its own
// prompts are not mostly long for kinds with shorter pauses: those belong to the other part.
func (d *engineSplit) classify(model pauseModel, engines float64, now monotime.Instant) {
	d.shorts, d.longFrom = d.shorts[:0], unreadBins
	if engines < minSplitEngines || now.Sub(d.since) < minSplitSpan || d.runs() < minSplitDemand {
		for _, demand := range d.demand {
			demand.short = false
		}
		return
	}
	observed := d.observed(now)
	classes := d.slowClasses()
	for _, kind := range d.kinds {
		demand := d.demand[kind]
		if kind.maxGap == 0 {
			continue
		}
		mixed := d.lateWhenMixed(kind, model, classes, engines, observed)
		late, own := shortLate, maxOwnLong
		if demand.short {
			late, own = keepShortLate, keepOwnLong
		}
		demand.short = mixed >= late && demand.longShare(d.longFrom) <= own
		if demand.short {
			d.shorts = append(d.shorts, shortStreams{
				streamKind: kind, mixed: mixed, arriving: demand.runs / observed, ignored: pauseLateWith(minAddedLate, kind.maxGap),
			})
			for d.longFrom > 0 && model.late(binTokens(d.longFrom-1), kind.maxGap, 1) >= longPromptLate {
				d.longFrom--
			}
		}
	}
}

// sortKinds sorts the kinds of streams by their limit of pauses, the shortest first.
func (d *engineSplit) sortKinds() {
	d.kinds = slices.SortedFunc(maps.Keys(d.demand), func(a, b streamKind) int {
		return cmp.Or(cmp.Compare(a.maxGap, b.maxGap), cmp.Compare(a.priority, b.priority))
	})
}

// lateWhenMixed returns the share of the streams of a kind that prompts arriving during
// their life would make late if all requests were spread evenly.
func (d *engineSplit) lateWhenMixed(kind streamKind, model pauseModel, classes []slowShare, engines, observed float64) float64 {
	perSecond := 0.0
	for bin := range unreadBins {
		prompts := d.promptsIn(bin)
		if prompts == 0 {
			continue
		}
		for _, c := range classes {
			perSecond += c.share * prompts / observed * model.late(binTokens(bin), kind.maxGap, c.slowness)
		}
	}
	return 1 - math.Exp(-perSecond/engines*d.demand[kind].meanLife())
}

// runs returns the number of recent runs.
func (d *engineSplit) runs() float64 {
	sum := 0.0
	for _, kind := range d.kinds {
		sum += d.demand[kind].runs
	}
	return sum
}

func (d *engineSplit) promptsIn(bin int) float64 {
	sum := 0.0
	for _, kind := range d.kinds {
		sum += d.demand[kind].prompts[bin]
	}
	return sum
}

// setState sets what operators see and what the cost needs of the decided size.
func (d *engineSplit) setState(engines float64) {
	d.state.Engines, d.state.Short = int(engines), int(math.Round(d.size))
	for i := range d.shorts {
		k := &d.shorts[i]
		k.arriving /= max(1, d.size)
		k.perEngine = k.arriving * d.demand[k.streamKind].meanLife()
	}
}

// setPositions sets for each engine how far it belongs to the part for short pauses.
func (d *engineSplit) setPositions() {
	ramp := max(minSplitRamp, splitRampShare*float64(len(d.ranking)))
	for i, s := range d.ranking {
		s.forShort = 0
		if d.size > 0 {
			s.forShort = min(max(0, 0.5+(d.size-float64(i)-0.5)/ramp), 1)
		}
	}
}

func idHash(id string) uint64 { return xxhash.Sum64String(id) }
