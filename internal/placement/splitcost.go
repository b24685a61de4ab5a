package placement

import (
	"math"
	"slices"
	"time"
)

// relax sets the factor of the cost by the load of the engines for long prompts.
func (d *engineSplit) relax() {
	capacity := 0.0
	for _, s := range d.ranking {
		capacity += (1 - s.forShort) * s.capacity()
	}
	load := d.state.LongReading / max(capacity, 1e-3)
	d.relaxed = min(max(0, min((relaxTo-load)/(relaxTo-relaxFrom), (relaxSlotsTo-d.slotShare)/(relaxSlotsTo-relaxSlotsFrom))), 1)
}

// cost returns the cost of placing work on s because of the split, given the longest
// pause of the streams there before and after it. It is the expected loss of the streams
// that the part of s is intended for, those that are present on average and those that
// arrive while the prompt is read, or of work itself beside prompts that are still to come.
func (d *engineSplit) cost(s *server, work *Work, before, after, reading time.Duration) float64 {
	out := 0.0
	for i := range d.shorts {
		k := &d.shorts[i]
		if k.streamKind == work.kind() {
			out += (1 - s.forShort) * weightOf(k.priority) * k.mixed
		}
		if s.forShort > 0 && after > k.ignored {
			if added := latePause(after, k.maxGap) - latePause(before, k.maxGap); added > minAddedLate {
				out += s.forShort * weightOf(k.priority) * (k.perEngine + k.arriving*reading.Seconds()) * added
			}
		}
	}
	return d.strength * d.relaxed * min(out, maxSplitCost*work.weight())
}

// hazardShare returns the share of the mean hazard of pauses that applies to work on s:
// engines intended for its kind of streams get few of the prompts that cause it.
func (d *engineSplit) hazardShare(s *server, work *Work) float64 {
	if !d.inEffect() || s.forShort == 0 || !d.isShort(work.kind()) {
		return 1
	}
	return 1 - d.strength*d.relaxed*s.forShort
}

// inEffect reports whether there is a split whose cost is not 0.
func (d *engineSplit) inEffect() bool { return d.strength*d.relaxed > 0 }

// intended returns the engines for work, or none if it may use all alike.
func (d *engineSplit) intended(work *Work) []*server {
	boundary := min(int(math.Round(d.size)), len(d.ranking))
	switch {
	case !d.inEffect():
		return nil
	case d.isShort(work.kind()):
		return d.ranking[:boundary]
	case work.Prompt >= d.minLong:
		return d.ranking[boundary:]
	default:
		return nil
	}
}

// isShort reports whether a kind of streams has short pauses.
func (d *engineSplit) isShort(kind streamKind) bool {
	return slices.ContainsFunc(d.shorts, func(k shortStreams) bool { return k.streamKind == kind })
}
