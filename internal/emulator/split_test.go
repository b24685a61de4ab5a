//go:build !race

package emulator

import (
	"math"
	"testing"
	"time"

	"basilrudder/internal/placement"
)

// The load tests of large fleets run without the race detector, under which they take ten
// times as long: the emulator has no goroutines.

// splitOnly returns unevenEngines with the split of engines as its only feature.
func splitOnly() Scenario {
	s := unevenEngines()
	s.Features = placement.Features{LargeFleet: 17, SplitEngines: true}
	return s
}

// Guards against streams with short pauses that run beside long prompts on engines of
// which a third is slow, and all are for moments. Fewer than a tenth of them may be late.
func TestStreamsWithShortPausesAreOnTimeBesideLongPrompts(t *testing.T) {
	r := play(splitOnly())
	if got := r.mean("query", OnTime); got < 0.9 {
		t.Errorf("%.3f of queries on time", got)
	}
	for _, class := range []string{"explain", "summary"} {
		if got := r.mean(class, OnTime); got < 0.8 {
			t.Errorf("%.3f of class %s on time", got, class)
		}
	}
}

// Guards against long prompts that are refused or late in a burst while engines intended
// for short pauses have free slots.
func TestBurstOfLongPromptsSpillsOver(t *testing.T) {
	s := splitOnly()
	s.Bursts = []Burst{{At: 4 * time.Second, For: 6 * time.Second, Class: "summary", Factor: 2.7}}
	s.Length = 11 * time.Second
	r := Run(s, 1)
	for _, class := range []string{"query", "explain", "summary"} {
		c := r.Class(class)
		if c.Share(OnTime) < 0.8 || c.Counts[Refused] > 0 {
			t.Errorf("class %s: %.3f on time, %d refused", class, c.Share(OnTime), c.Counts[Refused])
		}
	}
}

// Guards against a split that costs where engines are equal and nearly all streams are on
// time without it.
func TestSplittingEqualEnginesLosesNothing(t *testing.T) {
	s := splitOnly()
	s.Uneven = Uneven{}
	s.Length = 10 * time.Second
	with := Run(s, 1)
	s.Features.SplitEngines = false
	without := Run(s, 1)
	for _, class := range s.Classes {
		a, b := with.Class(class.Name), without.Class(class.Name)
		// Two standard deviations of the difference at a share of 0.01.
		noise := 2 * math.Sqrt(2*0.01/float64(b.Total()))
		if a.Share(OnTime) < b.Share(OnTime)-noise {
			t.Errorf("class %s: %.3f on time, %.3f without a split", class.Name, a.Share(OnTime), b.Share(OnTime))
		}
	}
}
