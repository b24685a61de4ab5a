package sched

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/inventory"
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	mean  float64
	count int
}

// add adds a sample. The first samples are weighted as in a plain mean.
func (m *ewma) add(sample, weight float64) {
	m.count++
	m.mean += max(weight, 1/float64(m.count)) * (sample - m.mean)
}

// meanOr returns the mean, or the given value before the first sample.
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
	// shortWindow and longWindow are the time constants of the two averages. loadAbove
	// uses the lower average: the long one is still low during a burst, and the short one
	// falls soon after a load ends. A shorter longWindow refuses lower tiers because of a
	// burst; a longer shortWindow keeps counting a load that has ended.
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
	// histogramBuckets with histogramGrowth cover values up to about 47,000. A larger
	// value falls in the last bucket and is underestimated.
	histogramBuckets = 96
	// histogramGrowth is the ratio of adjacent bucket bounds: quantiles are overestimated
	// by up to 12%.
	histogramGrowth = 1.12
	// maxHistogramWeight is the total weight at which all counts are halved. A higher one
	// adapts more slowly to a changed class; a lower one makes quantiles fluctuate.
	maxHistogramWeight = 512
	// priorWeight is the weight of the assumed value before samples exist. A higher one
	// delays the effect of measurements.
	priorWeight = 2
	// refreshInterval is the number of samples between two computations of the quantiles,
	// each of which scans the histogram.
	refreshInterval = 8
)

var logGrowth = math.Log(histogramGrowth)

// histogram counts samples in geometric buckets and gradually discounts old ones.
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

// classStats are the group's statistics of a class.
type classStats struct {
	service bool
	// output counts the tokens of an answer; for a service, milliseconds.
	output  histogram
	samples int
	// median is the median of output.
	median float64
	// hold is the mean slot time in seconds.
	hold ewma
	// firstToken counts the times from the start to the first token, in milliseconds;
	// firstTokenBound is their firstTokenQuantile.
	firstToken      histogram
	firstTokenBound float64
}

const (
	// priorOutputTokens is assumed before samples exist. It is low because a new owner of
	// a group has no samples, and a refusal must rest on measurements. A quarter of the
	// class's bound caused refusals after a change of owner of requests that would have
	// been served in time.
	priorOutputTokens = 32
	// priorServiceMS is assumed for a service before samples exist.
	priorServiceMS = 20
	// holdWeight is the weight of a new sample of a slot time. A higher one lets a few
	// long answers change the expected wait of all.
	holdWeight = 0.05
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

// firstTokenQuantile is the part of the measured times to the first token that must fit
// before it is due. A lower one admits requests that will be late; a higher one refuses
// more that would have been on time.
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

// recordClass adds a finished request.
func (g *Group) recordClass(s *classStats, tokens int, held, first time.Duration) {
	s.record(tokens, held, first)
	if s.samples <= refreshInterval || s.samples%refreshInterval == 0 {
		s.refresh()
	}
}

// expectedHold returns the expected slot time of a request of the class, in seconds.
func (g *Group) expectedHold(p *pool, s *classStats) float64 {
	if s.hold.count > 0 {
		return s.hold.mean
	}
	if s.service {
		return s.median / 1000
	}
	return s.median * p.gap()
}

// gap returns the mean time between tokens over the pool's engines, in seconds.
func (p *pool) gap() float64 {
	if p.gapMean <= 0 {
		return defaultGapSeconds
	}
	return p.gapMean
}

// defaultGapSeconds is assumed for an engine without a configured or measured token gap.
// A high value would cause refusals by an assumption.
const defaultGapSeconds = 0.007

// latestStart returns the last instant at which a request may start and still be on time,
// according to the measurements of its class.
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

// expectedTimes returns the time to the first token without queueing, and the time from
// there to the end.
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

// minLengthSamples is the number of measured answers from which their length is used for
// refusals: with fewer, a wrong initial assumption could refuse a class forever, because
// it would never be measured.
const minLengthSamples = 8

func (p *pool) prefillRate() float64 {
	if len(p.engines) == 0 || p.engines[0].spec.Spec.PrefillTokensPerS <= 0 {
		return defaultPrefillRate
	}
	return float64(p.engines[0].spec.Spec.PrefillTokensPerS)
}

// defaultPrefillRate, in tokens per second, is assumed for an engine without a configured
// one. A low value would cause refusals by an assumption.
const defaultPrefillRate = 20000

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
