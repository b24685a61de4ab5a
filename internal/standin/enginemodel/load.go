package enginemodel

import (
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

const (
	// loadSamples is the size of the ring of samples. Below samplesPerLag the ring does
	// not reach back a whole lag, and Load reports an idle engine.
	loadSamples = 64
	// samplesPerLag is the number of regular samples per LoadLag. Above loadSamples the
	// ring does not reach back a whole lag; a small number makes reports older.
	samplesPerLag = 32
)

// loadHistory holds recent samples of the engine's load.
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

// add records a sample unless the last one is younger than the interval. A change to or
// from idle is always recorded: no step follows a change to idle.
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

// asOf returns the newest sample taken at or before the instant, and the sample before
// it. Both are zero when the ring has none that old.
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

// Load returns the load as it was Config.LoadLag ago.
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
