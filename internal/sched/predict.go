package sched

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/inventory"
)

// ewma is an exponentially weighted mean.
type ewma struct {
	mean  float64
	count int
}

// add counts a sample; the first ones weigh as in a plain mean.
func (m *ewma) add(sample, weight float64) {
	m.count++
	m.mean += max(weight, 1/float64(m.count)) * (sample - m.mean)
}

// meanOr returns the mean, meanOr a default before the first sample.
func (m *ewma) meanOr(value float64) float64 {
	if m.count == 0 {
		return value
	}
	return m.mean
}

// rate measures an amount per second over a short and a long window.
type rate struct {
	short, long float64
	at          monotime.Instant
}

const (
	shortWindow = 5 * time.Second
	longWindow  = 60 * time.Second
)

func (r *rate) add(now monotime.Instant, amount float64) {
	r.short, r.long = r.get(now)
	r.short += amount / shortWindow.Seconds()
	r.long += amount / longWindow.Seconds()
	r.at = now
}

func (r *rate) get(now monotime.Instant) (short, long float64) {
	age := now.Sub(r.at).Seconds()
	return r.short * math.Exp(-age/shortWindow.Seconds()), r.long * math.Exp(-age/longWindow.Seconds())
}

const (
	histogramBuckets = 96
	// histogramGrowth is the ratio of neighbouring bucket bounds.
	histogramGrowth = 1.12
	// maxHistogramWeight is the weight at which old samples are halved.
	maxHistogramWeight = 512
	// priorWeight is the weight of the guess before samples exist.
	priorWeight = 2
	// refreshInterval is how many samples pass between two looks at quantiles.
	refreshInterval = 8
)

var logGrowth = math.Log(histogramGrowth)

// histogram counts samples in geometric buckets and forgets old ones.
type histogram struct {
	counts [histogramBuckets]float64
	total  float64
}

func (h *histogram) add(value, weight float64) {
	i := 0
	if value > 1 {
		i = min(int(math.Log(value)/logGrowth)+1, histogramBuckets-1)
	}
	h.counts[i] += weight
	h.total += weight
	if h.total < maxHistogramWeight {
		return
	}
	for j := range h.counts {
		h.counts[j] /= 2
	}
	h.total /= 2
}

// quantile returns an upper estimate of the q-quantile.
func (h *histogram) quantile(q float64) float64 {
	left := q * h.total
	for i, c := range h.counts {
		left -= c
		if left <= 0 {
			return math.Pow(histogramGrowth, float64(i))
		}
	}
	return math.Pow(histogramGrowth, histogramBuckets-1)
}

// classStats is what the group measured of a class.
type classStats struct {
	service bool
	// output counts tokens of an answer; for a service, milliseconds.
	output  histogram
	samples int
	// median is the middle of output.
	median float64
	// hold is the slot time in seconds.
	hold ewma
	// firstToken counts times from the start to the firstToken token, in milliseconds;
	// firstLate is one that few exceed.
	firstToken      histogram
	firstTokenBound float64
}

const (
	// priorOutputTokens is guessed before samples exist. It is low on purpose: a
	// new owner of a group has no samples, and a refusal must rest on what was
	// measured; a guess of a quarter of the class's bound refused requests after
	// a change of owner that would have been served in time.
	priorOutputTokens = 32
	// priorServiceMS is guessed for a service before samples exist.
	priorServiceMS = 20
	holdWeight     = 0.05
)

func (g *Group) statsOf(class *catalog.Class) *classStats {
	if s := g.classes[class.Hash]; s != nil {
		return s
	}
	s := &classStats{service: class.Kind == inventory.ClassKindService}
	prior := float64(min(priorOutputTokens, max(class.MaxOutputTokens, 1)))
	if s.service {
		prior = priorServiceMS
	}
	s.output.add(prior, priorWeight)
	g.measurements.prime(s, class.Hash)
	s.refresh()
	g.classes[class.Hash] = s
	return s
}

func (s *classStats) refresh() {
	s.median = s.output.quantile(0.5)
	if s.firstToken.total > 0 {
		s.firstTokenBound = s.firstToken.quantile(firstTokenQuantile)
	}
}

// firstTokenQuantile of the times to the first token must fit before it is due.
const firstTokenQuantile = 0.9

func (s *classStats) record(tokens int, held, first time.Duration) {
	s.hold.add(held.Seconds(), holdWeight)
	value := float64(tokens)
	if s.service {
		value = held.Seconds() * 1000
	}
	s.output.add(value, 1)
	if first > 0 && !s.service {
		s.firstToken.add(first.Seconds()*1000, 1)
	}
	s.samples++
}

// recordClass counts a finished request.
func (g *Group) recordClass(s *classStats, tokens int, held, first time.Duration) {
	s.record(tokens, held, first)
	if s.samples <= refreshInterval || s.samples%refreshInterval == 0 {
		s.refresh()
	}
}

// expectedHold is the slot time of a request of the class, in seconds.
func (g *Group) expectedHold(p *pool, s *classStats) float64 {
	if s.hold.count > 0 {
		return s.hold.mean
	}
	if s.service {
		return s.median / 1000
	}
	return s.median * p.gap()
}

// gap is the mean time between tokens over the lane's engines, in seconds.
func (p *pool) gap() float64 {
	if p.gapMean <= 0 {
		return defaultGapSeconds
	}
	return p.gapMean
}

const defaultGapSeconds = 0.007

// latestStart is the last instant at which a request may start and still be
// on time, by what its class was measured to need.
func (g *Group) latestStart(d *Demand, p *pool, s *classStats, now monotime.Instant) monotime.Instant {
	bound := d.Class.MaxQueue
	if bound <= 0 {
		bound = defaultMaxQueue
	}
	latest := now.Add(bound)
	first, rest := g.expectedTimes(d, p, s)
	if d.FirstTokenBy > 0 {
		latest = min(latest, d.FirstTokenBy.Add(-first))
	}
	if d.EndBy > 0 {
		latest = min(latest, d.EndBy.Add(-first-rest))
	}
	return latest
}

// expectedTimes are the time to the first token without queueing and the time
// from there to the end.
func (g *Group) expectedTimes(d *Demand, p *pool, s *classStats) (first, rest time.Duration) {
	if s.service {
		return 0, seconds(s.median / 1000)
	}
	gap := p.gap()
	first = seconds(float64(d.PromptTokens)/p.prefillRate() + gap)
	if s.samples < minLengthSamples {
		return first, 0
	}
	first = max(first, seconds(s.firstTokenBound/1000))
	return first, seconds(s.median * gap)
}

// minLengthSamples is how many answers are measured before their length decides
// about a refusal: a wrong first guess must not shut a class out.
const minLengthSamples = 8

func (p *pool) prefillRate() float64 {
	if len(p.engines) == 0 || p.engines[0].spec.Spec.PrefillTokensPerS <= 0 {
		return defaultPrefillRate
	}
	return float64(p.engines[0].spec.Spec.PrefillTokensPerS)
}

const defaultPrefillRate = 20000

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
