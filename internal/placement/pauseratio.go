package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// ratioBins is the number of bins of a histogram of ratios. Their bounds are spaced
	// evenly in the logarithm, from minRatio to maxRatio: a bin covers 16%, twice
	// gapSpread, so that interpolating in a bin blurs it no more than the constant spread does.
	ratioBins = 24
	minRatio  = 0.25
	maxRatio  = 8.0
	// ratioWindow is the time constant with which ratios are forgotten. An instance of a
	// fleet of 86 takes some four ratios a second.
	ratioWindow = 30 * time.Second
	// priorRatios is the number of ratios that the constant spread counts for. The share of late
	// pauses among so few ratios is off by a third at one in ten.
	priorRatios = 50.0
	// minPriorShare is the share of the prior below which it is left out of a
	// probability.
	minPriorShare = 0.01
	// ratioUnit is the unit of exchanged counts. With whole ratios, the rare ones would
	// be rounded to 0 at each of many instances.
	ratioUnit = 0.1
	// maxExchangedCount bounds each exchanged count: 100,000 ratios, beyond what any
	// instance counts in ratioWindow.
	maxExchangedCount = 1_000_000
)

var (
	minLogRatio = math.Log(minRatio)
	binsPerLog  = ratioBins / math.Log(maxRatio/minRatio)
)

// ratioCounts holds decaying counts of ratios by bin.
type ratioCounts struct {
	bins [ratioBins]float64
	at   monotime.Instant
}

// advance brings the counts up to an instant.
func (c *ratioCounts) advance(now monotime.Instant) {
	if now <= c.at {
		return
	}
	faded := decay(now.Sub(c.at), ratioWindow)
	for i := range c.bins {
		c.bins[i] *= faded
	}
	c.at = now
}

// add adds the counts of another as of the same instant, times a factor.
func (c *ratioCounts) add(other *ratioCounts, factor float64) {
	for i, n := range other.bins {
		c.bins[i] += factor * n
	}
}

func (c *ratioCounts) total() float64 {
	sum := 0.0
	for _, n := range c.bins {
		sum += n
	}
	return sum
}

// pauseRatios is the distribution of the ratio of the longest real pause of a stream to
// its longest predicted one, over the streams of a service. Each instance counts its own
// streams, and the counts of all instances are added.
type pauseRatios struct {
	own      ratioCounts
	received map[string]*ratioCounts // by instance
	others   ratioCounts             // sum of received
	sweptAt  monotime.Instant
	// above is the share of ratios above the lower bound of each bin, priorShare the
	// weight of the constant spread, and mixed above with it at that weight.
	above, mixed [ratioBins + 1]float64
	priorShare   float64
}

func newPauseRatios() *pauseRatios {
	p := &pauseRatios{received: make(map[string]*ratioCounts)}
	p.update(0)
	return p
}

// observe adds a ratio with a weight.
func (p *pauseRatios) observe(ratio, weight float64, now monotime.Instant) {
	p.own.advance(now)
	bin := int(math.Floor((math.Log(ratio) - minLogRatio) * binsPerLog))
	p.own.bins[min(max(0, bin), ratioBins-1)] += weight
	p.update(now)
}

// counts returns the counts of own streams for exchange, or nil if there are none.
func (p *pauseRatios) counts(now monotime.Instant) []int {
	p.own.advance(now)
	out := make([]int, ratioBins)
	any := false
	for i, n := range p.own.bins {
		out[i] = min(int(math.Round(n/ratioUnit)), maxExchangedCount)
		any = any || out[i] > 0
	}
	if !any {
		return nil
	}
	return out
}

// merge applies the counts of another instance and reports whether they are valid. An
// instance that restarted has fewer than it sent before; those stay in use, and fade,
// until it has more.
func (p *pauseRatios) merge(instance string, counts []int, now monotime.Instant) bool {
	if len(counts) != ratioBins {
		return false
	}
	latest := &ratioCounts{at: now}
	for i, n := range counts {
		if n < 0 || n > maxExchangedCount {
			return false
		}
		latest.bins[i] = float64(n) * ratioUnit
	}
	previous := p.received[instance]
	if previous != nil {
		previous.advance(now)
	}
	if previous == nil || latest.total() >= previous.total() {
		p.received[instance] = latest
		p.others.advance(now)
		p.others.add(latest, 1)
		if previous != nil {
			p.others.add(previous, -1)
		}
	}
	p.update(now)
	return true
}

// sweep removes the instances whose counts have faded, at most once in ratioWindow.
func (p *pauseRatios) sweep(now monotime.Instant) {
	if now.Sub(p.sweptAt) < ratioWindow {
		return
	}
	p.sweptAt = now
	for instance, c := range p.received {
		c.advance(now)
		if c.total() < ratioUnit {
			delete(p.received, instance)
		}
	}
}

// update recomputes the distribution from the counts of all instances.
func (p *pauseRatios) update(now monotime.Instant) {
	p.sweep(now)
	p.own.advance(now)
	p.others.advance(now)
	total := 0.0
	for i := ratioBins - 1; i >= 0; i-- {
		total += max(0, p.own.bins[i]+p.others.bins[i])
		p.above[i] = total
	}
	for i := range p.above {
		p.above[i] /= max(total, math.SmallestNonzeroFloat64)
	}
	p.priorShare = priorRatios / (priorRatios + total)
	if p.priorShare < minPriorShare {
		p.priorShare = 0
	}
	for i, above := range p.above {
		p.mixed[i] = above + p.priorShare*(priorAbove[i]-above)
	}
}

// priorAbove is the share of ratios above the lower bound of each bin by the constant spread.
var priorAbove = func() (out [ratioBins + 1]float64) {
	for i := range out {
		out[i] = logistic((1 - math.Exp(minLogRatio+float64(i)/binsPerLog)) / gapSpread)
	}
	return out
}()

// exceed returns the share of ratios above one whose logarithm is given, by the shares
// above the lower bounds of the bins.
func exceed(above *[ratioBins + 1]float64, logRatio float64) float64 {
	position := (logRatio - minLogRatio) * binsPerLog
	if position <= 0 {
		return above[0]
	}
	if position >= ratioBins {
		return 0
	}
	bin := int(position)
	return above[bin] + (position-float64(bin))*(above[bin+1]-above[bin])
}

// normalNodes are the points and weights of the Gauss-Hermite quadrature of a standard
// normal distribution.
var normalNodes = [...]struct{ z, weight float64 }{
	{-2.85697001, 0.01125741}, {-1.35562618, 0.22207592}, {0, 0.53333333}, {1.35562618, 0.22207592}, {2.85697001, 0.01125741},
}

// minPaceSpread is the spread of an engine's pace below which it is neglected: it is
// narrower than a bin.
const minPaceSpread = 0.03

// late returns the probability that a predicted pause exceeds its limit at the caller, on
// an engine for which the logarithm of the slowness has a standard deviation of spread.
func (p *pauseRatios) late(gap, limit time.Duration, spread float64) float64 {
	if spread < minPaceSpread {
		return p.lateAt(gap, limit)
	}
	ratio := logRatioLeft(gap, limit)
	sum := 0.0
	for _, node := range normalNodes {
		sum += node.weight * exceed(&p.mixed, ratio-node.z*spread)
	}
	return min(sum, 1)
}

// logRatioLeft returns the logarithm of the ratio by which a pause may exceed its
// prediction.
func logRatioLeft(gap, limit time.Duration) float64 {
	return math.Log(float64(max(limit-PauseMargin, 1)) / float64(max(gap, 1)))
}

// lateAt is late for an engine of known pace.
func (p *pauseRatios) lateAt(gap, limit time.Duration) float64 {
	if p.priorShare == 1 {
		return lateGap(gap, limit)
	}
	learned := exceed(&p.above, logRatioLeft(gap, limit))
	if p.priorShare == 0 {
		return learned
	}
	return learned + p.priorShare*(lateGap(gap, limit)-learned)
}

// latePauses predicts late pauses on one engine.
type latePauses struct {
	ratios *pauseRatios // nil: by the constant spread
	spread float64
}

func (b *Board) latePauses(s *server, now monotime.Instant) latePauses {
	if !b.enabled(b.features.CalibratedPauses, now) {
		return latePauses{}
	}
	return latePauses{ratios: s.kind.pauses, spread: s.paceSpread(now)}
}

// probability returns the probability that a predicted pause exceeds its limit.
func (l *latePauses) probability(gap, limit time.Duration) float64 {
	if l.ratios == nil {
		return lateGap(gap, limit)
	}
	return l.ratios.late(gap, limit, l.spread)
}

// correct applies the correction of a service to the probability that a stream pauses too
// long.
func (l *latePauses) correct(kind *engineKind, predicted float64, limit time.Duration) float64 {
	if l.ratios == nil || limit == 0 {
		return predicted
	}
	return kind.corrections[limit].apply(predicted)
}

// PauseCounts returns the counts of the pause ratios of this instance's streams, by
// service.
func (b *Board) PauseCounts(now monotime.Instant) map[string][]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]int)
	for service, e := range b.kinds {
		if counts := e.pauses.counts(now); counts != nil {
			out[service] = counts
		}
	}
	return out
}

// MergePauseCounts applies the counts of another instance on the streams of a service, and
// reports whether they are valid.
func (b *Board) MergePauseCounts(instance, service string, counts []int, now monotime.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kindOf(service).pauses.merge(instance, counts, now)
}
