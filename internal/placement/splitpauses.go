package placement

import (
	"math"
	"time"

	"basilrudder/internal/pace"
)

// pauseModel predicts which pauses a prompt adds on engines of a service.
type pauseModel struct {
	speed       pace.Pace
	eventTokens int
}

// pause returns the pause of the streams beside a prompt at the usual pace.
func (m *pauseModel) pause(unread int) time.Duration {
	steps := max(1, m.eventTokens)
	read := min(unread, steps*pace.Chunk)
	return time.Duration(steps)*m.speed.DecodeStep(0) + m.speed.Read(read, unread)
}

// late returns the probability that a prompt with so many unread tokens makes a stream
// beside it late that pauses for at most limit, on an engine of the given slowness.
func (m *pauseModel) late(unread int, limit time.Duration, slowness float64) float64 {
	return latePause(time.Duration(slowness*float64(m.pause(unread))), limit)
}

// latePause returns the probability that a pause expected at the usual pace is longer than
// a limit, with the noise of pauseNoise.
func latePause(expected, limit time.Duration) float64 {
	left := max(limit-PauseMargin, minDuration)
	return logistic(math.Log(float64(max(expected, minDuration))/float64(left)) / pauseNoise)
}

// pauseLateWith returns the expected pause for which latePause gives a probability.
func pauseLateWith(probability float64, limit time.Duration) time.Duration {
	left := max(limit-PauseMargin, minDuration)
	return time.Duration(float64(left) * math.Exp(pauseNoise*math.Log(probability/(1-probability))))
}
