package placement

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// calibrationWindow is the time constant with which ended streams are forgotten in the
	// calibration.
	calibrationWindow = time.Minute
	calibrationBins   = 10
	// minRatioEvents is the number of events from which on a stream gives a ratio. The
	// pauses of a shorter one mostly miss the prompts that the prediction includes.
	minRatioEvents = 4
	// minRelevantShare is the share of its limit that the longest predicted pause of a
	// stream must reach to give a ratio. Otherwise its longest pause is one of many
	// steps without reading, of which a slow phase mostly meets some, and would be taken
	// for the one pause of a long prompt, which a slow phase meets rarely.
	minRelevantShare = 0.25
	// knownPaceSpread is the spread of an engine's pace at which a ratio has half its
	// weight. The ratios on engines of unknown pace include the error of the pace, which
	// is added to a prediction separately.
	knownPaceSpread = 0.2
)

// Calibration compares predicted with real shares of streams that paused too long, by
// tenths of the prediction.
type Calibration struct {
	// Streams is the number of streams, Predicted the sum of the predicted probabilities,
	// and Late the number of streams that paused too long.
	Streams, Predicted, Late [calibrationBins]float64
}

// Add adds a stream.
func (c *Calibration) Add(predicted float64, late bool) {
	bin := min(max(0, int(predicted*calibrationBins)), calibrationBins-1)
	c.Streams[bin]++
	c.Predicted[bin] += predicted
	if late {
		c.Late[bin]++
	}
}

// Totals returns the sums over all tenths.
func (c *Calibration) Totals() (streams, predicted, late float64) {
	for i := range c.Streams {
		streams += c.Streams[i]
		predicted += c.Predicted[i]
		late += c.Late[i]
	}
	return streams, predicted, late
}

// decayingCalibration is a Calibration as of an instant.
type decayingCalibration struct {
	Calibration
	at monotime.Instant
}

func (c *decayingCalibration) advance(now monotime.Instant) {
	if now <= c.at {
		return
	}
	faded := decay(now.Sub(c.at), calibrationWindow)
	for i := range c.Streams {
		c.Streams[i] *= faded
		c.Predicted[i] *= faded
		c.Late[i] *= faded
	}
	c.at = now
}

// pauseWatch holds the real and the predicted pauses of a stream of this instance.
type pauseWatch struct {
	events      int
	lastEventAt monotime.Instant
	longest     time.Duration
	// predicted is the longest pause predicted since the first event, and late the
	// probability, at its choice, that the stream pauses too long.
	predicted time.Duration
	late      float64
	// uncorrected is late without the correction by earlier streams.
	uncorrected float64
	// maybePreempted is set if a request that was more urgent began on the engine while
	// it had no free slot.
	maybePreempted bool
}

// Watch records the prediction for a run of this instance that has just begun, to compare
// it with the pauses of the stream. While the pace of the engines is being learned, streams
// would show its error.
func (b *Board) Watch(id RunID, choice *Choice, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil || r.work.MaxGap == 0 || r.work.Prompt == 0 || !r.server.kind.hasEnoughSamples() || !b.enabled(b.features.CalibratedPauses, now) {
		return
	}
	r.pauses = &pauseWatch{late: choice.LatePause, uncorrected: choice.uncorrected}
	r.server.watched = append(r.server.watched, r)
}

// startPauses records the pause predicted for a stream at its first event. Prompts that were
// read before it made no pause between its events.
func (s *server) startPauses(r *run, now monotime.Instant) {
	if r.pauses != nil {
		speed := s.pace(now)
		r.pauses.predicted = s.gap(&speed, s.unreadBacklog(now), len(s.runs))
	}
}

// recordPredictedPause records the longest pause predicted on s for the streams of this
// instance there, after the prompt of r was added.
func (s *server) recordPredictedPause(r *run, gap time.Duration) {
	for _, w := range s.watched {
		w.pauses.predicted = max(w.pauses.predicted, gap)
		if len(s.runs) >= s.slots && r.work.Priority < w.work.Priority {
			w.pauses.maybePreempted = true
		}
	}
}

func (s *server) unwatch(r *run) {
	if r.pauses != nil {
		s.watched = slices.DeleteFunc(s.watched, func(w *run) bool { return w == r })
	}
}

// recordEvent records that count events arrived; unless they are the first, they end a
// pause.
func (w *pauseWatch) recordEvent(count int, now monotime.Instant) {
	if w.events > 0 {
		w.longest = max(w.longest, now.Sub(w.lastEventAt))
	}
	w.events += count
	w.lastEventAt = now
}

// Completed records that the stream of a run of this instance is complete. It is called
// before End.
func (b *Board) Completed(id RunID, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil || r.pauses == nil {
		return
	}
	w, kind := r.pauses, r.server.kind
	if w.maybePreempted || w.longest == 0 {
		return
	}
	late := b.latePauses(r.server, now)
	kind.correctionOf(r.work.MaxGap).observe(w.uncorrected, late.probability(w.predicted, r.work.MaxGap), now)
	kind.calibration.advance(now)
	kind.calibration.Add(w.late, w.longest > r.work.MaxGap-PauseMargin)
	if w.events < minRatioEvents || float64(w.predicted) < minRelevantShare*float64(r.work.MaxGap) {
		return
	}
	unknown := r.server.paceSpread(now) / knownPaceSpread
	kind.pauses.observe(float64(w.longest)/float64(w.predicted), 1/(1+unknown*unknown), now)
}

// PauseCalibration returns the calibration of the predictions of this instance, by service.
func (b *Board) PauseCalibration(now monotime.Instant) map[string]Calibration {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Calibration)
	for service, e := range b.kinds {
		e.calibration.advance(now)
		if streams, _, _ := e.calibration.Totals(); streams > 0 {
			out[service] = e.calibration.Calibration
		}
	}
	return out
}
