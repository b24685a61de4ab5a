package enginemodel

import (
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

const (
	loadSamples = 64
	// samplesPerLag keeps the ring long enough to reach back a whole lag.
	samplesPerLag = 32
)

// loadHistory remembers what the engine looked like a while ago.
type loadHistory struct {
	interval time.Duration
	samples  [loadSamples]loadSample
	count    int
}

type loadSample struct {
	at               monotime.Instant
	running, waiting int
	tokens           uint64
	cacheUsed        float64
}

// add records a sample unless the last one is recent. A change to idle is
// always recorded, since no step follows it.
func (h *loadHistory) add(s loadSample) {
	if h.count > 0 {
		last := &h.samples[(h.count-1)%loadSamples]
		idle := s.running == 0 && s.waiting == 0
		wasIdle := last.running == 0 && last.waiting == 0
		if s.at.Sub(last.at) < h.interval && idle == wasIdle {
			return
		}
	}
	h.samples[h.count%loadSamples] = s
	h.count++
}

// asOf returns the newest sample that is not newer than the instant, and the
// sample before it.
func (h *loadHistory) asOf(at monotime.Instant) (sample, previous loadSample) {
	oldest := max(h.count-loadSamples, 0)
	for i := h.count - 1; i >= oldest; i-- {
		candidate := h.samples[i%loadSamples]
		if at.Before(candidate.at) {
			continue
		}
		if i > oldest {
			previous = h.samples[(i-1)%loadSamples]
		}
		return candidate, previous
	}
	return loadSample{}, loadSample{}
}

// Load returns a report that is LoadLag old.
func (e *Engine) Load(now monotime.Instant) engineapi.LoadReport {
	e.advanceTo(now)
	sample, previous := e.history.asOf(now.Add(-e.cfg.LoadLag))
	report := engineapi.LoadReport{
		Engine:    e.cfg.Name,
		AgeMS:     float64(e.cfg.LoadLag) / float64(time.Millisecond),
		Running:   sample.running,
		Waiting:   sample.waiting,
		CacheUsed: &sample.cacheUsed,
	}
	if between := sample.at.Sub(previous.at); between > 0 {
		rate := float64(sample.tokens-previous.tokens) / between.Seconds()
		report.TokensPerS = &rate
	}
	return report
}

func (e *Engine) sampleLoad(now monotime.Instant) {
	e.history.add(loadSample{
		at:        now,
		running:   len(e.batch),
		waiting:   len(e.waiting),
		tokens:    e.tokens,
		cacheUsed: float64(e.cache.used) / float64(e.cfg.CacheTokens),
	})
}
