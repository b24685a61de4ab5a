package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
)

// Measures is what an instance measured of the classes through the requests it
// held itself, whoever owned the groups. A group that the instance comes to own
// starts from it. Without it a new owner learns from the first requests that
// end, which are the short ones: it believes that slots come free soon, keeps no
// room for the top tier, and refuses it for seconds after each change of owner.
// It is not safe for concurrent use.
type Measures struct {
	classes map[uint32]*classStats
}

// NewMeasures returns empty measures.
func NewMeasures() *Measures {
	return &Measures{classes: make(map[uint32]*classStats)}
}

// Learn counts a request of the class that ended whole: its tokens, the time
// it held its slot, and the time to its first token (0 for none).
func (m *Measures) Learn(class *catalog.Class, tokens int, held, first time.Duration) {
	s := m.classes[class.Hash]
	if s == nil {
		s = &classStats{service: class.Kind == inventory.ClassKindService}
		m.classes[class.Hash] = s
	}
	s.learn(tokens, held, first)
}

// prime copies what was measured of a class into fresh statistics.
func (m *Measures) prime(s *classStats, class uint32) {
	if m == nil {
		return
	}
	if known := m.classes[class]; known != nil && known.samples >= measuredEnough {
		*s = *known
	}
}

// SetMeasures gives a group what its instance measured, before its first use.
func (g *Group) SetMeasures(m *Measures) {
	g.measures = m
}

// ExpectedHold is the mean time that requests of a class held their slots; 0
// before enough of them were measured.
func (m *Measures) ExpectedHold(class *catalog.Class) time.Duration {
	s := m.classes[class.Hash]
	if s == nil || s.samples < measuredEnough {
		return 0
	}
	return seconds(s.hold.mean)
}

// toldHold is the expected slot time of a request, in seconds: as the group
// measured, or as the holder told while the group has not measured enough. A
// process that was replaced owns its groups again before it has served anything.
func (g *Group) toldHold(e *entry, stats *classStats) float64 {
	if stats.samples < measuredEnough && e.demand.ExpectedHold > 0 {
		return e.demand.ExpectedHold.Seconds()
	}
	return g.expectedHold(e.lane, stats)
}
