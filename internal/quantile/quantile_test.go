package quantile

import (
	"math"
	"testing"
)

func TestSummaryIsWithinOnePercent(t *testing.T) {
	var h Histogram
	for ms := 1; ms <= 1000; ms++ {
		h.Record(float64(ms))
	}
	got := h.Summary()
	if got.Count != 1000 {
		t.Errorf("count %d", got.Count)
	}
	for _, q := range []struct{ got, want float64 }{{got.P50, 500}, {got.P95, 950}, {got.P99, 990}, {got.Max, 1000}} {
		if math.Abs(q.got-q.want) > 0.01*q.want {
			t.Errorf("got %v, want %v", q.got, q.want)
		}
	}
}

// A corrupted log line may contain any number, which must not make a report fail.
func TestValuesOutOfRangeAreBounded(t *testing.T) {
	var h Histogram
	for _, ms := range []float64{-1, 0, 1e300, math.Inf(1)} {
		h.Record(ms)
	}
	if got := h.Summary(); got.Count != 4 || got.Max > 1.01*maxMicros/microsPerMS {
		t.Errorf("%+v", got)
	}
	if got := new(Histogram).Summary(); got != (Summary{}) {
		t.Errorf("an empty histogram has %+v", got)
	}
}
