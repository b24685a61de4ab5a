//go:build !race

package emulator

import (
	"testing"
	"time"

	"basilrudder/internal/placement"
)

// predictedLate returns the calibration of a class over all results.
func (r results) predictedLate(class string) (sum placement.Calibration) {
	for i := range r {
		c := r[i].Class(class).Pauses
		for bin := range c.Streams {
			sum.Streams[bin] += c.Streams[bin]
			sum.Predicted[bin] += c.Predicted[bin]
			sum.Late[bin] += c.Late[bin]
		}
	}
	return sum
}

// ratio returns the ratio of two numbers, at least 1.
func ratio(a, b float64) float64 { return max(a, b) / max(1e-9, min(a, b)) }

// Guards against streams that are late although they were predicted to be on time.
func TestPredictedLatePausesComeTrue(t *testing.T) {
	const maxError = 1.3
	s := phasedEngines()
	calibrated := play(s)
	c := calibrated.predictedLate("query")
	streams, predicted, late := c.Totals()
	if streams < 1000 || ratio(predicted, late) > maxError {
		t.Errorf("of %.0f streams %.0f are predicted late, %.0f are", streams, predicted, late)
	}
	around := c.Predicted[0] + c.Predicted[1]
	if real := c.Late[0] + c.Late[1]; ratio(around, real) > maxError {
		t.Errorf("of streams predicted late with about a tenth, %.0f of %.0f are late, predicted %.0f", real, c.Streams[0]+c.Streams[1], around)
	}
	if likely, real := total(c.Predicted[2:]), total(c.Late[2:]); real < likely/2 {
		t.Errorf("of streams predicted late with a fifth and more, %.0f are late, predicted %.0f", real, likely)
	}
	s.Features.CalibratedPauses = false
	before := play(s)
	c = before.predictedLate("query")
	if _, predicted, late := c.Totals(); ratio(predicted, late) <= 2*maxError {
		t.Errorf("the scenario does not show the fault: without the feature %.0f are predicted late, %.0f are", predicted, late)
	}
	if on, off := calibrated.mean("query", OnTime), before.mean("query", OnTime); on < off {
		t.Errorf("%.3f of the most urgent streams on time, %.3f without the feature", on, off)
	}
}

func total(of []float64) (sum float64) {
	for _, n := range of {
		sum += n
	}
	return sum
}

// Guards against losses by the calibration where pauses are as predicted.
func TestCalibrationCostsNothingOnEnginesWithoutNoise(t *testing.T) {
	// Under overload the share of summaries on time has a standard deviation of 0.02.
	for _, c := range []struct{ load, margin float64 }{{0.75, 0.001}, {1, 0.04}} {
		s := phasedEngines()
		s.Uneven, s.Length = Uneven{}, 8*time.Second
		for i := range s.Classes {
			s.Classes[i].PerSecond *= c.load
		}
		on := play(s)
		s.Features.CalibratedPauses = false
		off := play(s)
		for _, class := range s.Classes {
			if a, b := on.mean(class.Name, OnTime), off.mean(class.Name, OnTime); a < b-c.margin {
				t.Errorf("load %v, %s: %.3f on time, %.3f without the feature", c.load, class.Name, a, b)
			}
		}
	}
}
