package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// Prompts are counted by their unread tokens, in bins that grow by half an octave from
	// minBinTokens.
	unreadBins   = 20
	minBinTokens = 128
	// maxDemandKinds bounds the kinds of streams that are counted; others are ignored.
	maxDemandKinds = 32
)

// streamDemand is the demand of one kind of streams, as decaying sums.
type streamDemand struct {
	// runs and lives are the number of begun and of ended runs; held is the time for
	// which the latter held their slots, in seconds.
	runs, lives, held float64
	// reading is the time to read their prompts at the usual pace, in seconds, and prompts
	// their number, by bin of unread tokens.
	reading, prompts [unreadBins]float64
	// short is set if the limit of pauses of these streams is short.
	short bool
}

// meanLife returns how long a run of the kind holds its slot, in seconds.
func (s *streamDemand) meanLife() float64 {
	if s.lives == 0 {
		return 0
	}
	return s.held / s.lives
}

// longShare returns the share of the reading of its prompts in bins from one on.
func (s *streamDemand) longShare(from int) float64 {
	long, all := 0.0, 0.0
	for bin, reading := range s.reading {
		all += reading
		if bin >= from {
			long += reading
		}
	}
	if all == 0 {
		return 0
	}
	return long / all
}

// unreadBin returns the bin of a prompt by its unread tokens.
func unreadBin(unread int) int {
	return min(max(0, int(2*math.Log2(float64(max(1, unread))/minBinTokens))), unreadBins-1)
}

// binTokens returns a typical number of unread tokens in a bin.
func binTokens(bin int) int {
	return int(minBinTokens * math.Exp2((float64(bin)+0.5)/2))
}

func (d *engineSplit) demandOf(kind streamKind, now monotime.Instant) *streamDemand {
	found := d.demand[kind]
	if found == nil {
		if len(d.demand) >= maxDemandKinds {
			return nil
		}
		if d.demand == nil {
			d.demand = make(map[streamKind]*streamDemand)
			d.since, d.updatedAt = now, now
		}
		found = &streamDemand{}
		d.demand[kind] = found
	}
	return found
}

// recordBegin records a run of any instance that begins, with the time to read its unread
// tokens at the usual pace.
func (d *engineSplit) recordBegin(work *Work, unread int, reading time.Duration, now monotime.Instant) {
	demand := d.demandOf(work.kind(), now)
	if demand == nil {
		return
	}
	demand.runs++
	if unread > 0 {
		bin := unreadBin(unread)
		demand.prompts[bin]++
		demand.reading[bin] += reading.Seconds()
	}
}

// recordEnd records a run of any instance that ends.
func (d *engineSplit) recordEnd(work *Work, life time.Duration) {
	if demand := d.demand[work.kind()]; demand != nil {
		demand.lives++
		demand.held += life.Seconds()
	}
}

// decay brings the demand up to an instant and removes kinds that are no longer used.
func (d *engineSplit) decay(now monotime.Instant) {
	const forgotten = 0.01
	factor := decay(now.Sub(d.updatedAt), splitWindow)
	for kind, demand := range d.demand {
		demand.runs *= factor
		demand.lives *= factor
		demand.held *= factor
		for bin := range demand.reading {
			demand.reading[bin] *= factor
			demand.prompts[bin] *= factor
		}
		if demand.runs < forgotten {
			delete(d.demand, kind)
		}
	}
}

// recordDemand records a run that begins on s, unless it is reported again.
func (b *Board) recordDemand(s *server, work *Work, unread int, now monotime.Instant) {
	if !b.enabled(b.features.SplitEngines, now) || work.Prompt == 0 {
		return
	}
	speed := s.kind.model.Pace()
	s.kind.split.recordBegin(work, unread, speed.Read(unread, work.Prompt), now)
}
