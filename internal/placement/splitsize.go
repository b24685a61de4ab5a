package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

// slowShare is a share of the engines that are equally slow.
type slowShare struct{ slowness, share float64 }

// slowClasses returns the share of the engines in each class of slowness. The ranking is in
// their order.
func (d *engineSplit) slowClasses() []slowShare {
	var out []slowShare
	for i, s := range d.ranking {
		if i == 0 || s.slowClass != d.ranking[i-1].slowClass {
			out = append(out, slowShare{slowness: 1 / s.capacity()})
		}
		out[len(out)-1].share += 1 / float64(len(d.ranking))
	}
	return out
}

// targetSize returns the number of engines that short streams need, and sets what follows
// from the demand. Engines that neither part needs are shared out in proportion.
func (d *engineSplit) targetSize(engines, slots float64, now monotime.Instant) float64 {
	d.state = EngineSplit{}
	d.minLong = math.MaxInt
	if len(d.shorts) == 0 || d.longFrom == unreadBins || slots == 0 {
		return 0
	}
	d.minLong = int(minBinTokens * math.Exp2(float64(d.longFrom)/2))
	observed := d.observed(now)
	longSlots, allSlots := 0.0, 0.0
	for _, kind := range d.kinds {
		demand := d.demand[kind]
		held := demand.runs / observed * demand.meanLife()
		allSlots += held
		if demand.short {
			d.state.ShortSlots += held
		} else if kind.maxGap > 0 {
			longSlots += held
		}
		for bin, reading := range demand.reading {
			switch {
			case bin >= d.longFrom:
				d.state.LongReading += reading / observed
			case demand.short:
				d.state.ShortReading += reading / observed
			}
		}
	}
	if d.state.LongReading == 0 {
		return 0
	}
	d.slotShare = allSlots / (slots * engines)
	short := d.state.ShortSlots/slots + d.state.ShortReading
	long := longSlots/slots + d.state.LongReading
	needed := max(d.capacity()*short/(short+long), splitHeadroom*short)
	return min(max(1, d.enginesFor(needed)), maxShortShare*engines)
}

// capacity returns the speed of the engine relative to usual ones, by its class.
func (s *server) capacity() float64 { return math.Exp(-float64(s.slowClass) * slowClassWidth) }

// capacity returns the sum over all engines.
func (d *engineSplit) capacity() float64 {
	sum := 0.0
	for _, s := range d.ranking {
		sum += s.capacity()
	}
	return sum
}

// enginesFor returns the number of engines from the start of the ranking that have a
// capacity together.
func (d *engineSplit) enginesFor(capacity float64) float64 {
	for i, s := range d.ranking {
		if capacity < s.capacity() {
			return float64(i) + capacity/s.capacity()
		}
		capacity -= s.capacity()
	}
	return float64(len(d.ranking))
}

// move brings the size and the strength of the split nearer to a target; 0 for no split. A
// split that comes into effect begins at its target with no strength, so that the boundary
// does not have to move there.
func (d *engineSplit) move(target, engines float64, passed time.Duration) {
	fade := passed.Seconds() / splitFadeTime.Seconds()
	switch {
	case target == 0:
		d.strength = max(0, d.strength-fade)
		if d.strength == 0 {
			d.size = 0
		}
		return
	case d.size == 0:
		d.size = target
	case math.Abs(target-d.size) > splitDeadband:
		most := passed.Seconds() * max(minSplitMove, splitMoveShare*engines)
		d.size += min(max(target-d.size, -most), most)
	}
	d.size = min(d.size, maxShortShare*engines)
	d.strength = min(1, d.strength+fade)
}
