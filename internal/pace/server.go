package pace

import (
	"math"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// reversionTime is the time constant with which what is known of a server is lost:
	// the mean of an Ornstein-Uhlenbeck process reverts to the centre of the service, and
	// its variance to the spread of the service's servers. With 5 s and 10 s, slow servers
	// that get few requests are tried again too often: in the emulator at moderate load
	// 0.04 of urgent streams are late in place of 0.025.
	reversionTime = 20 * time.Second
	// priorSpread is the assumed standard deviation of the logarithm of the slowness of
	// servers, and priorNoise that of a sample covering one second, until pairs of
	// samples for priorPairs seconds are known.
	priorSpread = 0.5
	priorNoise  = 0.3
	priorPairs  = 5.0
	// minSpread bounds the estimated spread from below, so that the first server of a
	// service that becomes slow is noticed. Estimates of equal servers then differ by
	// some hundredths.
	minSpread = 0.1
	// minNoise bounds the estimated noise of a sample covering one second from below.
	minNoise = 0.05
	// spreadWindow is the time constant of the sums from which spread and noise are
	// estimated.
	spreadWindow = 4 * time.Second
	// maxPairAge is the age of a sample after which it makes no pair with a later one,
	// and maxPairWeight bounds the weight of a pair, which is the time between its
	// samples in seconds: servers that get few requests count as much as others.
	maxPairAge    = 5 * time.Second
	maxPairWeight = 2.0
	// maxDeviation bounds a deviation in the sums: e^1.6 is a factor of five.
	maxDeviation = 1.6
	// maxInnovation bounds the effect of one sample, in standard deviations of its
	// difference from the expectation.
	maxInnovation = 3.0
	// maxLogSlowness bounds estimates that are adopted, as samples are bounded.
	maxLogSlowness = 3.0
	// minCovered and maxCovered bound the time that a sample counts as covering: long
	// streams give one every two seconds. minFreshShare is the least share of it that
	// counts although others cover it.
	minCovered    = 50 * time.Millisecond
	maxCovered    = 2 * time.Second
	minFreshShare = 1.0 / 16
)

// ServerSample is the time of a part of a stream on a server against the one that the
// model of its service expects.
type ServerSample struct {
	// LogRatio is the logarithm of the ratio of the actual to the expected time.
	LogRatio float64
	// Covered is the actual time.
	Covered time.Duration
}

// Servers holds what the estimates of all servers of a service share: the centre of the
// logarithms of their slowness, their spread and the noise of samples.
//
// The spread is the covariance of the deviations of two samples of one server that do not
// overlap: it counts only differences that last from one sample to the next. It is near 0
// when servers do not differ, however noisy samples are.
type Servers struct {
	centre float64
	// spread is the variance between servers, and noise that of a sample covering one
	// second.
	spread, noise float64
	// Decaying sums over pairs of samples as of at.
	weight, covariance, difference float64
	at                             monotime.Instant
}

// NewServers returns the state of a service without samples.
func NewServers() Servers {
	return Servers{spread: priorSpread * priorSpread, noise: priorNoise * priorNoise}
}

// ServerEstimate is the estimate of the logarithm of one server's slowness relative to
// the model of its service, as of an instant; the zero value has no samples.
type ServerEstimate struct {
	mean, variance float64
	at             monotime.Instant
	// sampledAt is when the last sample ended; 0 for never.
	sampledAt monotime.Instant
	// previous is the last sample of a pair, which ended at previousAt.
	previous   ServerSample
	previousAt monotime.Instant
}

// Known reports whether there were samples.
func (e *ServerEstimate) Known() bool { return e.at != 0 }

// Centre returns the median of the logarithms of the slowness of the servers, relative to
// the model.
func (s *Servers) Centre() float64 { return s.centre }

// Spread returns the standard deviation of these logarithms.
func (s *Servers) Spread() float64 { return math.Sqrt(s.spread) }

// Predict returns the mean and the variance of the logarithm of a server's slowness
// relative to the centre of its service.
func (s *Servers) Predict(e *ServerEstimate, now monotime.Instant) (mean, variance float64) {
	if !e.Known() {
		return 0, s.spread
	}
	retained := math.Exp(-max(0, now.Sub(e.at).Seconds()) / reversionTime.Seconds())
	return (e.mean - s.centre) * retained, s.spread + (e.variance-s.spread)*retained*retained
}

// Observe updates the estimate of a server by a sample that ended now. Only the time since
// the last sample counts: streams that run concurrently are subject to the same slow
// periods, so together they count as about one.
func (s *Servers) Observe(e *ServerEstimate, sample ServerSample, now monotime.Instant) {
	s.observePair(e, sample, now)
	mean, variance := s.Predict(e, now)
	noise := s.noise / e.freshTime(sample, now).Seconds()
	bound := maxInnovation * math.Sqrt(variance+noise)
	innovation := min(max(sample.LogRatio-s.centre-mean, -bound), bound)
	gain := variance / (variance + noise)
	e.mean = s.centre + mean + gain*innovation
	e.variance = (1 - gain) * variance
	e.at, e.sampledAt = now, now
}

// freshTime returns the time covered by a sample that ended now and by no earlier one.
func (e *ServerEstimate) freshTime(sample ServerSample, now monotime.Instant) time.Duration {
	covered := min(max(sample.Covered, minCovered), maxCovered)
	if e.sampledAt == 0 {
		return covered
	}
	least := time.Duration(minFreshShare * float64(covered))
	return min(max(now.Sub(e.sampledAt), least), covered)
}

// observePair adds the pair of a sample with the previous one of its server to the sums.
// Of overlapping samples only the first makes pairs.
func (s *Servers) observePair(e *ServerEstimate, sample ServerSample, now monotime.Instant) {
	since := now.Sub(e.previousAt)
	if e.previousAt != 0 && since < sample.Covered {
		return
	}
	if e.previousAt != 0 && since <= maxPairAge {
		weight := min(since.Seconds(), maxPairWeight)
		limit := func(x float64) float64 { return min(max(x, -maxDeviation), maxDeviation) }
		a, b := limit(e.previous.LogRatio-s.centre), limit(sample.LogRatio-s.centre)
		perSecond := 1/max(e.previous.Covered, minCovered).Seconds() + 1/max(sample.Covered, minCovered).Seconds()
		retained := math.Exp(-max(0, now.Sub(s.at).Seconds()) / spreadWindow.Seconds())
		s.weight = retained*s.weight + weight
		s.covariance = retained*s.covariance + weight*a*b
		s.difference = retained*s.difference + weight*(a-b)*(a-b)/perSecond
		s.at = now
	}
	e.previous, e.previousAt = sample, now
}

// Update recomputes the centre, the spread and the noise of a service from the estimates
// of its servers, and these from their samples with the new ones.
func (s *Servers) Update(estimates []*ServerEstimate, now monotime.Instant) {
	if len(estimates) == 0 {
		return
	}
	means := make([]float64, 0, len(estimates))
	for _, e := range estimates {
		e.mean, e.variance = s.Predict(e, now)
		e.at = now
		means = append(means, e.mean)
	}
	slices.Sort(means)
	middle := means[len(means)/2]
	varianceOfMeans := 0.0
	for _, mean := range means {
		varianceOfMeans += (mean - middle) * (mean - middle) / float64(len(means))
	}
	before := s.spread
	total := s.weight + priorPairs
	covariance := (s.covariance + priorPairs*priorSpread*priorSpread) / total
	s.spread = max(covariance, varianceOfMeans, minSpread*minSpread)
	s.noise = max((s.difference+priorPairs*priorNoise*priorNoise)/total, minNoise*minNoise)
	s.centre += middle
	for _, e := range estimates {
		information := max(0, 1/e.variance-1/before)
		variance := 1 / (1/s.spread + information)
		e.mean = s.centre + variance*(e.mean/e.variance-information*middle)
		e.variance = variance
	}
}

// Adopt replaces the estimate of a server by that of another process, relative to the
// centre of the service, unless its own is more certain.
func (s *Servers) Adopt(e *ServerEstimate, mean, spread float64, now monotime.Instant) {
	if _, variance := s.Predict(e, now); e.Known() && variance <= spread*spread {
		return
	}
	e.mean, e.variance, e.at = min(max(s.centre+mean, -maxLogSlowness), maxLogSlowness), spread*spread, now
}
