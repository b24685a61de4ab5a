package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// A choice knows the prompts that an engine reads now, and how often it read long ones
// lately. It takes the engine with the fewest, and what follows is nearer to the mean:
// streams met two to six times as many long prompts as predicted. The prediction is
// therefore compared with the probability that follows from all prompts that began during
// the stream.

const (
	// correctionWindow is the time constant with which streams are forgotten. The mix of
	// requests changes within seconds in a burst.
	correctionWindow = 10 * time.Second
	// priorCorrections is the number of streams that no correction counts for, and
	// priorCorrectionSpread the standard deviation of their predictions.
	priorCorrections      = 5.0
	priorCorrectionSpread = 0.1
	// maxCorrectionSlope bounds the slope. Beyond, few streams with a high prediction
	// decide it.
	maxCorrectionSlope = 2.0
)

// pauseCorrection corrects the predicted probabilities of late pauses for one limit by a
// linear regression over the streams of this instance. The counts decay.
type pauseCorrection struct {
	// Sums over streams: of 1, of the prediction x, of the probability y in hindsight, and
	// of products.
	n, x, y, xx, xy float64
	at              monotime.Instant
	offset, slope   float64
}

func (c *pauseCorrection) observe(predicted, hindsight float64, now monotime.Instant) {
	faded := decay(now.Sub(c.at), correctionWindow)
	c.n = c.n*faded + 1
	c.x = c.x*faded + predicted
	c.y = c.y*faded + hindsight
	c.xx = c.xx*faded + predicted*predicted
	c.xy = c.xy*faded + predicted*hindsight
	c.at = now
	c.solve()
}

// solve fits y = offset + slope*x, with a prior of streams that have the mean of x, and y = x.
func (c *pauseCorrection) solve() {
	meanX, meanY := c.x/c.n, c.y/c.n
	variance := priorCorrections * priorCorrectionSpread * priorCorrectionSpread
	c.slope = (variance + c.xy - c.n*meanX*meanY) / (variance + c.xx - c.n*meanX*meanX)
	c.slope = min(max(0, c.slope), maxCorrectionSlope)
	c.offset = (meanY-meanX)*c.n/(c.n+priorCorrections) + meanX*(1-c.slope)
}

// apply returns the corrected probability. c may be nil.
func (c *pauseCorrection) apply(predicted float64) float64 {
	if c == nil {
		return predicted
	}
	return min(max(0, c.offset+c.slope*predicted), 1)
}

func (k *engineKind) correctionOf(limit time.Duration) *pauseCorrection {
	c := k.corrections[limit]
	if c == nil {
		c = &pauseCorrection{}
		k.corrections[limit] = c
	}
	return c
}
