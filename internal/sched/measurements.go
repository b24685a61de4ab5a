package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
)

// Measurements are an instance's statistics of the classes, from the requests that it
// held itself, whichever instances owned the groups. A group that the instance becomes
// the owner of starts from them. Without them a new owner sees only the first requests to
// end, which are the short ones: it overestimates how soon slots come free, reserves no
// headroom for the top tier, and refuses it for seconds after each change of owner.
// Measurements are not safe for concurrent use.
type Measurements struct {
	classes map[uint32]*classStats
}

// NewMeasurements returns empty measurements.
func NewMeasurements() *Measurements {
	return &Measurements{classes: make(map[uint32]*classStats)}
}

// Record adds a completed request of the class: its tokens, the time it held its slot,
// and the time to its first token (0 for none).
func (m *Measurements) Record(class *catalog.Class, tokens int, held, first time.Duration) {
	s := m.classes[class.Hash]
	if s == nil {
		s = &classStats{service: class.Kind == inventory.ClassKindService}
		m.classes[class.Hash] = s
	}
	s.record(tokens, held, first)
}

// prime copies the measurements of a class into new statistics, if there are enough of
// them.
func (m *Measurements) prime(s *classStats, class uint32) {
	if m == nil {
		return
	}
	if measured := m.classes[class]; measured != nil && measured.samples >= minHoldSamples {
		*s = *measured
	}
}

// SetMeasurements sets the measurements that the group starts from. It must be called
// before the group's first use.
func (g *Group) SetMeasurements(m *Measurements) {
	g.measurements = m
}

// ExpectedHold returns the mean time that requests of a class held their slots; 0 before
// minHoldSamples were measured.
func (m *Measurements) ExpectedHold(class *catalog.Class) time.Duration {
	s := m.classes[class.Hash]
	if s == nil || s.samples < minHoldSamples {
		return 0
	}
	return seconds(s.hold.mean)
}

// requestHold returns the expected slot time of a request, in seconds: the group's own
// measurement or, until that has enough samples, the holder's. A process that was
// replaced owns its groups again before it has served any request.
func (g *Group) requestHold(e *entry, stats *classStats) float64 {
	if stats.samples < minHoldSamples && e.demand.ExpectedHold > 0 {
		return e.demand.ExpectedHold.Seconds()
	}
	return g.expectedHold(e.pool, stats)
}
