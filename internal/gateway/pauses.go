package gateway

import (
	"math"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
)

// pauseCalibration is the calibration of predicted pauses of a service in log and metrics,
// over the last minute of this instance's streams.
type pauseCalibration struct {
	Streams float64 `json:"streams"`
	// Predicted and Late are the predicted and the real share of streams that pause for
	// longer than they may.
	Predicted float64 `json:"predicted"`
	Late      float64 `json:"late"`
	// Tenths has an entry for each tenth of the prediction that has streams.
	Tenths []pauseTenth `json:"tenths"`
}

type pauseTenth struct {
	Streams   float64 `json:"streams"`
	Predicted float64 `json:"predicted"`
	Late      float64 `json:"late"`
}

func newPauseCalibration(c *placement.Calibration) pauseCalibration {
	streams, predicted, late := c.Totals()
	out := pauseCalibration{Streams: rounded(streams), Predicted: rounded(predicted / streams), Late: rounded(late / streams)}
	for i, n := range c.Streams {
		if n >= minCalibratedStreams {
			out.Tenths = append(out.Tenths, pauseTenth{Streams: rounded(n), Predicted: rounded(c.Predicted[i] / n), Late: rounded(c.Late[i] / n)})
		}
	}
	return out
}

// minCalibratedStreams is the decayed number of streams below which shares are not given.
const minCalibratedStreams = 0.5

// rounded returns a number with three decimals, which is as much as an operator reads.
func rounded(x float64) float64 { return math.Round(1000*x) / 1000 }

// pauseCalibration returns the calibration by service.
func (f *fleet) pauseCalibration(now monotime.Instant) map[string]pauseCalibration {
	out := make(map[string]pauseCalibration)
	for service, c := range f.board.PauseCalibration(now) {
		if streams, _, _ := c.Totals(); streams >= minCalibratedStreams {
			out[service] = newPauseCalibration(&c)
		}
	}
	return out
}

// logPauseCalibration logs the calibration of each service that has streams.
func (f *fleet) logPauseCalibration(now monotime.Instant) {
	for service, c := range f.pauseCalibration(now) {
		f.log.Info("pause_calibration", zap.String("service", service), zap.Float64("streams", c.Streams),
			zap.Float64("predicted", c.Predicted), zap.Float64("late", c.Late), zap.Any("tenths", c.Tenths))
	}
}
