package placement

import (
	"math"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// minInterval is how long a stream is watched for one sample. Reports of other
	// requests on the engine arrive tens of milliseconds late and shift reading from one
	// interval to the next; a shorter interval would be distorted by it.
	minInterval = 250 * time.Millisecond
	// minIntervalEvents is the minimum number of events of a shorter interval that still
	// gives a sample.
	minIntervalEvents = 2
	// slownessWeight is the weight of the latest sample in the slowness of a server. A
	// larger one takes single stalls for a slow server, a smaller one detects a slow
	// server later.
	slownessWeight = 0.1
	// medianMaxAge is how long the median slowness of the servers of a service is reused.
	// Computing it goes through all servers.
	medianMaxAge = 200 * time.Millisecond
	// maxSlowSample bounds the ratio of one sample to the expected time, both ways: more
	// is a stall in the network.
	maxSlowSample = 20.0
	// slownessDeadband is how far the log of that ratio strays on servers of equal speed,
	// because reading beside a stream is reported late. A smaller deviation is ignored,
	// and a larger one counts by its excess.
	slownessDeadband = 0.35
	// slownessFadeTime is the time constant with which the slowness of a server without
	// samples fades. The server then gets requests again, which show whether it is still
	// slow.
	slownessFadeTime = 10 * time.Second
)

// engineKind tracks the engines of one service together.
type engineKind struct {
	board   *Board
	service string
	model   *pace.Model
	// medianSlowness is the median slowness of its servers as of medianAt, with which
	// each server is compared. A mean over samples would be biased, since streams on slow
	// servers last longer and give more samples.
	medianSlowness float64
	medianAt       monotime.Instant
	// meanReadTime is the mean time to read a prompt, over prompts that were not entirely
	// cached.
	meanReadTime time.Duration
	// meanLife is the mean time from the begin of a run to its end.
	meanLife time.Duration
	// servers is what the estimates of its servers share, see pace.Servers, as of
	// serversAt.
	servers   pace.Servers
	serversAt monotime.Instant
	// split tells which engines are intended for which requests.
	split engineSplit
	// pauses is the distribution of pauses, and calibration how predictions of late ones
	// turned out.
	pauses      *pauseRatios
	calibration decayingCalibration
	corrections map[time.Duration]*pauseCorrection // by limit of pauses
	// asked is the rate of choices of this instance while the servers are brittle.
	asked rate
}

// progress sums up the work of an engine. The difference between two instants is the work
// done in between.
type progress struct {
	runTime      float64 // running requests times seconds
	read, pairsM float64 // tokens and millions of pairs, see pace.Pairs
}

// interval is a part of a stream from which a sample is taken.
type interval struct {
	events        int
	from, to      monotime.Instant
	before, after progress
	// begun is the number of requests that had begun on the engine at the start of the
	// interval.
	begun int
}

// watch holds the current intervals of a stream: any shows how slow its engine is, and
// noReading, in which the engine reads no prompt, shows how long its steps are. unshared
// is what is not yet part of a sample for the other instances.
type watch struct {
	any, noReading, unshared interval
	// shared is set once a sample has been returned for the other instances.
	shared bool
}

// advance brings the progress of an engine up to an instant.
func (s *server) advance(now monotime.Instant) {
	if now > s.advancedAt {
		s.done.runTime += float64(len(s.runs)) * now.Sub(s.advancedAt).Seconds()
		s.advancedAt = now
	}
}

// slowness returns the ratio of an engine's times to the median of its service, less the
// deadband, fading with the age of the last sample.
func (s *server) slowness(now monotime.Instant) float64 {
	if s.kind.shared(now) {
		logSlowness, _ := s.estimated(now)
		return math.Exp(reduce(logSlowness, slownessDeadband*s.kind.alike()))
	}
	if s.slowAt == 0 {
		return 1
	}
	deviation := math.Log(s.slow / s.kind.medianSlowness)
	return math.Exp(reduce(deviation, slownessDeadband) * decay(now.Sub(s.slowAt), slownessFadeTime))
}

// reduce returns x brought nearer to 0 by a deadband.
func reduce(x, deadband float64) float64 {
	return math.Copysign(max(0, math.Abs(x)-deadband), x)
}

// paceSpread returns the standard deviation of the logarithm of an engine's slowness; 0
// while it is not tracked.
func (s *server) paceSpread(now monotime.Instant) float64 {
	if !s.kind.shared(now) {
		return 0
	}
	_, spread := s.estimated(now)
	return spread
}

// pace returns the expected pace of an engine.
func (s *server) pace(now monotime.Instant) pace.Pace {
	factor := s.slowness(now)
	if s.kind.shared(now) {
		factor *= math.Exp(s.kind.servers.Centre())
	}
	return s.kind.model.Pace().Slower(factor)
}

// Events records that count events of a stream of this instance arrived. It returns a
// sample for the other instances when one is due.
func (b *Board) Events(id RunID, count int, now monotime.Instant) (sample pace.ServerSample, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil || count == 0 {
		return pace.ServerSample{}, false
	}
	s := r.server
	s.lastEventAt = now
	s.advance(now)
	if r.pauses != nil {
		r.pauses.recordEvent(count, now)
	}
	if r.watch.any.add(s, count, now) {
		s.recordSlowness(&r.watch.any)
		b.updateMedian(s.kind, now)
		r.watch.any = s.newInterval(now)
	}
	if s.kind.shared(now) {
		r.watch.unshared.add(s, count, now)
		if r.watch.unshared.lasted() >= r.shareInterval(now) {
			sample, due = b.shareSample(r, now)
		}
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
	return sample, due
}

// newInterval returns an interval that starts now.
func (s *server) newInterval(now monotime.Instant) interval {
	return interval{from: now, before: s.done, begun: s.begun}
}

// add adds events to an interval and reports whether it is long enough for a sample.
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

// observeSteps passes an interval without reading to the model of the service.
func (s *server) observeSteps(w *interval) {
	if w.events >= minIntervalEvents && w.to > w.from {
		s.kind.model.ObserveSteps(w.sample(s), s.slowness(w.to))
	}
}

// recordSlowness updates the slowness of a server by the ratio of the time of an interval
// to the one that the model expects.
func (s *server) recordSlowness(w *interval) {
	expected := s.kind.model.Expected(w.sample(s))
	if w.to <= w.from || expected <= 0 {
		return
	}
	ratio := math.Log(min(max(float64(w.to.Sub(w.from))/float64(expected), 1/maxSlowSample), maxSlowSample))
	s.slow = math.Exp((1-slownessWeight)*math.Log(s.slow) + slownessWeight*ratio)
	s.slowAt = w.to
}

// updateMedian recomputes the median slowness of a service when it is older than
// medianMaxAge.
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

// observeFirst passes the time to the first event of r to the model, if no prompt waited
// to be read when r was sent, as far as reported, and no request was sent until the
// event. It would not do to rely on the model's prediction that earlier prompts have been
// read: while the model overestimates the speed of engines, it would use requests that
// had waited.
func (s *server) observeFirst(r *run, now monotime.Instant) {
	if r.work.Prompt == 0 || !r.alone || s.begun != r.order {
		return
	}
	first := pace.FirstEvent{Took: now.Sub(r.begun), Unread: r.unread, Prompt: r.work.Prompt, Runs: len(s.runs) - 1}
	s.kind.model.ObserveFirst(first, s.slowness(now))
}

// Paces returns the learned pace of the engines of each service that has samples.
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

// MinPaceSamples returns the lowest number of samples of any service that has samples.
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

// PaceStatistics returns the statistics of the samples of this instance, by service.
func (b *Board) PaceStatistics() map[string]pace.Statistics {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]pace.Statistics)
	for service, e := range b.kinds {
		if statistics := e.model.Statistics(); statistics.StepSamples+statistics.FirstSamples > 0 {
			out[service] = statistics
		}
	}
	return out
}

// MergePaceStatistics applies the statistics of another instance on the engines of a
// service, and reports whether they are valid.
func (b *Board) MergePaceStatistics(instance, service string, statistics pace.Statistics) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kindOf(service).model.Merge(instance, statistics)
}

func (b *Board) kindOf(service string) *engineKind {
	e := b.kinds[service]
	if e == nil {
		e = &engineKind{
			board: b, service: service, model: pace.NewModel(b.prior), servers: pace.NewServers(),
			medianSlowness: 1, meanReadTime: initialMeanReadTime,
			pauses: newPauseRatios(), corrections: make(map[time.Duration]*pauseCorrection),
		}
		b.kinds[service] = e
	}
	return e
}

// lifeWeight is the weight of the latest run in meanLife: about the last thirty count.
const lifeWeight = 1.0 / 32

func (k *engineKind) recordLife(life time.Duration) {
	if k.meanLife == 0 {
		k.meanLife = life
		return
	}
	k.meanLife += time.Duration(lifeWeight * float64(life-k.meanLife))
}
