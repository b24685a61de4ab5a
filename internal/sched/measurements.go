package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
)

// Measurements is what an instance measured of the classes through the requests it
// held itself, whoever owned the groups. A group that the instance comes to own
// starts from it. Without it a new owner learns from the first requests that
// end, which are the short ones: it believes that slots come free soon, keeps no
// room for the top tier, and refuses it for seconds after each change of owner.
// It is not safe for concurrent use.
type Measurements struct {
	classes map[uint32]*classStats
}

// NewMeasurements returns empty measures.
func NewMeasurements() *Measurements {
	return &Measurements{classes: make(map[uint32]*classStats)}
}

// Record counts a request of the class that ended whole: its tokens, the time
// it held its slot, and the time to its first token (0 for none).
func (m *Measurements) Record(class *catalog.Class, tokens int, held, first time.Duration) {
	s := m.classes[class.Hash]
	if s == nil {
		s = &classStats{service: class.Kind == inventory.ClassKindService}
		m.classes[class.Hash] = s
	}
	s.record(tokens, held, first)
}

// prime copies what was measured of a class into fresh statistics.
func (m *Measurements) prime(s *classStats, class uint32) {
	if m == nil {
		return
	}
	if measured := m.classes[class]; measured != nil && measured.samples >= minHoldSamples {
		*s = *measured
	}
}

// SetMeasurements gives a group what its instance measured, before its first use.
func (g *Group) SetMeasurements(m *Measurements) {
	g.measurements = m
}

// ExpectedHold is the mean time that requests of a class held their slots; 0
// before enough of them were measured.
func (m *Measurements) ExpectedHold(class *catalog.Class) time.Duration {
	s := m.classes[class.Hash]
	if s == nil || s.samples < minHoldSamples {
		return 0
	}
	return seconds(s.hold.mean)
}

// requestHold is the expected slot time of a request, in seconds: as the group
// measured, or as the holder told while the group has not measured enough. A
// process that was replaced owns its groups again before it has served anything.
func (g *Group) requestHold(e *entry, stats *classStats) float64 {
	if stats.samples < minHoldSamples && e.demand.ExpectedHold > 0 {
		return e.demand.ExpectedHold.Seconds()
	}
	return g.expectedHold(e.pool, stats)
}
