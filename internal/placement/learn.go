package placement

import (
	"math"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// minInterval is how long a stream is watched for one sample. News of what runs
	// beside it come late by tens of milliseconds, which shifts what was read from
	// one stretch to the next.
	minInterval = 250 * time.Millisecond
	// minIntervalEvents is the fewest events of a shorter stretch that counts.
	minIntervalEvents = 2
	// slownessWeight is the weight of the newest sample in how slow a server is.
	slownessWeight = 0.1
	// medianMaxAge is how long the median over the servers of a service is used again.
	medianMaxAge = 200 * time.Millisecond
	// maxSlowSample bounds what one sample says: more is a stall on the way.
	maxSlowSample = 20.0
	// slownessDeadband is how far the log of that ratio strays on servers that are as fast
	// as all: what was read beside a stream is known late. Less than that is ignored,
	// and what is beyond counts by its excess.
	slownessDeadband = 0.35
	// slownessFadeTime is how long a server that gets no requests is still taken to be
	// slow. It then gets some, and shows whether it is.
	slownessFadeTime = 10 * time.Second
)

// engineKind is what is known of the model engines of a service together.
type engineKind struct {
	model *pace.Model
	// medianSlowness is the median over its servers of how slow they are, as of usualAt: what
	// a server is compared with. A mean over samples would not do, since streams of
	// slow servers last longer and give more of them.
	medianSlowness float64
	medianAt       monotime.Instant
	// meanReadTime is the mean time that a prompt takes to be read, of those of which
	// some was to be read.
	meanReadTime time.Duration
}

// progress sums up what an engine did, so that the difference of two instants says
// what ran and was read in between.
type progress struct {
	runTime      float64 // running requests times seconds
	read, pairsM float64 // tokens and millions of pairs, see pace.Pairs
}

// interval is a part of a stream that is being watched.
type interval struct {
	events        int
	from, to      monotime.Instant
	before, after progress
	// begun is the number of requests that had begun on the engine at its start.
	begun int
}

// watch is what is being watched of a stream: any stretch of it, which shows how
// slow its engine is, and one in which the engine read no prompt, which shows how
// long its steps are.
type watch struct {
	any, noReading interval
}

// advance brings the sums of an engine up to an instant.
func (s *server) advance(now monotime.Instant) {
	if now > s.advancedAt {
		s.done.runTime += float64(len(s.runs)) * now.Sub(s.advancedAt).Seconds()
		s.advancedAt = now
	}
}

// slowness is how many times longer an engine takes than most of its service.
func (s *server) slowness(now monotime.Instant) float64 {
	if s.slowAt == 0 {
		return 1
	}
	deviation := math.Log(s.slow / s.kind.medianSlowness)
	excess := math.Copysign(max(0, math.Abs(deviation)-slownessDeadband), deviation)
	return math.Exp(excess * decay(now.Sub(s.slowAt), slownessFadeTime))
}

// pace is how fast an engine is expected to work.
func (s *server) pace(now monotime.Instant) pace.Pace {
	return s.kind.model.Pace().Slower(s.slowness(now))
}

// Events notes that so many events of a stream came.
func (b *Board) Events(id RunID, count int, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil || count == 0 {
		return
	}
	s := r.server
	s.lastEventAt = now
	s.advance(now)
	if r.watch.any.add(s, count, now) {
		s.recordSlowness(&r.watch.any)
		b.updateMedian(s.kind, now)
		r.watch.any = s.newInterval(now)
	}
	noReading := &r.watch.noReading
	switch {
	case len(s.queue.runs) > 0 || noReading.begun != s.begun:
		s.observeSteps(noReading)
		r.watch.noReading = s.newInterval(now)
	case noReading.add(s, count, now):
		s.observeSteps(noReading)
		r.watch.noReading = s.newInterval(now)
	}
}

// newInterval returns one that starts now.
func (s *server) newInterval(now monotime.Instant) interval {
	return interval{from: now, before: s.done, begun: s.begun}
}

// add notes events of a stretch and reports whether it is long enough.
func (w *interval) add(s *server, count int, now monotime.Instant) bool {
	if w.from == 0 {
		*w = s.newInterval(now)
		return false
	}
	w.events += count
	w.to, w.after = now, s.done
	return now.Sub(w.from) >= minInterval
}

func (w *interval) sample(s *server) pace.Sample {
	took := w.to.Sub(w.from)
	return pace.Sample{
		Steps: w.events * max(1, s.eventTokens), Took: took,
		Runs:   (w.after.runTime - w.before.runTime) / took.Seconds(),
		Read:   w.after.read - w.before.read,
		PairsM: w.after.pairsM - w.before.pairsM,
	}
}

// observeSteps teaches the model of a service what a stretch without reading showed.
func (s *server) observeSteps(w *interval) {
	if w.events >= minIntervalEvents && w.to > w.from {
		s.kind.model.ObserveSteps(w.sample(s), s.slowness(w.to))
	}
}

// recordSlowness compares how long a stretch took with what the model expects.
func (s *server) recordSlowness(w *interval) {
	expected := s.kind.model.Expected(w.sample(s))
	if w.to <= w.from || expected <= 0 {
		return
	}
	ratio := math.Log(min(max(float64(w.to.Sub(w.from))/float64(expected), 1/maxSlowSample), maxSlowSample))
	s.slow = math.Exp((1-slownessWeight)*math.Log(s.slow) + slownessWeight*ratio)
	s.slowAt = w.to
}

// updateMedian takes the median anew when it is old.
func (b *Board) updateMedian(kind *engineKind, now monotime.Instant) {
	if kind.medianAt != 0 && now.Sub(kind.medianAt) < medianMaxAge {
		return
	}
	var of []float64
	for _, s := range b.servers {
		if s.kind == kind && s.slowAt != 0 && now.Sub(s.slowAt) < slownessFadeTime {
			of = append(of, s.slow)
		}
	}
	if len(of) > 0 {
		slices.Sort(of)
		kind.medianSlowness, kind.medianAt = of[len(of)/2], now
	}
}

// observeFirst teaches the model how long the first event of r took, if no prompt that
// is known of waited to be read when it was sent, and none came until then. That the
// model expects all prompts before to have been read does not do: while it takes
// engines for too fast, it would learn from requests that waited.
func (s *server) observeFirst(r *run, now monotime.Instant) {
	if r.work.Prompt == 0 || !r.alone || s.begun != r.order {
		return
	}
	first := pace.FirstEvent{Took: now.Sub(r.begun), Unread: r.unread, Prompt: r.work.Prompt, Runs: len(s.runs) - 1}
	s.kind.model.ObserveFirst(first, s.slowness(now))
}

// Paces returns how fast the engines of each service are, as far as it was learned.
func (b *Board) Paces() map[string]pace.Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]pace.Pace)
	for service, e := range b.kinds {
		if e.model.Samples() > 0 {
			out[service] = e.model.Pace()
		}
	}
	return out
}

// MinPaceSamples is the number of samples of the service of which the fewest are known, of
// those that have any.
func (b *Board) MinPaceSamples() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	fewest := 0
	for _, e := range b.kinds {
		if n := e.model.Samples(); n > 0 && (fewest == 0 || n < fewest) {
			fewest = n
		}
	}
	return fewest
}

// PaceStatistics returns what this instance has seen of the engines of each service.
func (b *Board) PaceStatistics() map[string]pace.Statistics {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]pace.Statistics)
	for service, e := range b.kinds {
		if told := e.model.Statistics(); told.StepSamples+told.FirstSamples > 0 {
			out[service] = told
		}
	}
	return out
}

// MergePaceStatistics takes what another instance has seen of the engines of a service, and reports
// whether it can be used.
func (b *Board) MergePaceStatistics(instance, service string, statistics pace.Statistics) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kindOf(service).model.Merge(instance, statistics)
}

func (b *Board) kindOf(service string) *engineKind {
	e := b.kinds[service]
	if e == nil {
		e = &engineKind{model: pace.NewModel(b.prior), medianSlowness: 1, meanReadTime: initialMeanReadTime}
		b.kinds[service] = e
	}
	return e
}
