package pace

import (
	"math"
	"time"
)

// Terms of the two regressions, in milliseconds, with units chosen to make usual values
// about 1. The time of a step grows with the number of running requests. The time to a
// first event, less that of its steps, grows with the tokens read. The two are fitted
// separately because streams show reading only roughly: when an engine read the prompts
// of other instances is reported late and imprecisely, which in a joint fit would make
// reading look cheap and steps long.
const (
	termStep = iota // constant term
	termRuns        // tens of running requests
)

const (
	termFirst = iota // constant term
	termRead         // thousands of tokens read
	termPairs        // tens of millions of pairs, see Pairs
)

const (
	runsUnit  = 10.0
	readUnit  = 1000.0
	pairsUnit = 10.0
)

const (
	// priorWeight is the weight of the prior before the first sample, in samples of
	// typicalSteps steps. It falls with the square of priorFadeSamples over the number of
	// samples, down to minPriorWeight: predictions for an engine that is ten times slower
	// or faster in one term are then within a quarter after 40 samples, which take one or
	// two seconds of moderate load.
	priorWeight      = 2.0
	priorFadeSamples = 4.0
	minPriorWeight   = 0.01
	// minPairsPriorWeight is minPriorWeight for termPairs. Most prompts are read whole,
	// so their length and their pairs grow together and noise easily shifts time from one
	// term to the other. The prior keeps them apart.
	minPairsPriorWeight = 5.0
	// typicalSteps is the length of a sample of weight 1. Longer samples average out more
	// noise and weigh more, up to maxSampleWeight.
	typicalSteps    = 40.0
	maxSampleWeight = 3.0
	// retainPerSample is the weight that older samples retain after one more sample. It
	// makes some 300 samples count, which is longer than an unusual mix of requests
	// lasts.
	retainPerSample = 1 - 1.0/300
	// outlierFactor is the multiple of the median error up to which a sample has full
	// weight, and minOutlierError the relative error up to which any sample has. Beyond,
	// the weight falls in inverse proportion to the error, so that a process that was
	// held up or a slow server does not make all engines look slow. While the fit is
	// still far off, the median error is large and all samples count.
	outlierFactor   = 3.0
	minOutlierError = 0.2
	// medianStep is the relative change of the estimated median error with each sample.
	medianStep = 0.1
	// halfWeightReadShare is the share of its time spent on reading at which a sample of
	// steps has half its weight.
	halfWeightReadShare = 0.5
)

// Sample describes a part of a stream, from which the time of a step is learned.
type Sample struct {
	// Steps is the number of steps that the events took, one for each token.
	Steps int
	// Took is the time between the first and the last of these events.
	Took time.Duration
	// Runs is the mean number of requests that ran on the engine.
	Runs float64
	// Read is the number of prompt tokens that the engine read in that time, and PairsM
	// their millions of pairs of tokens, see Pairs.
	Read, PairsM float64
}

// FirstEvent describes the first event of a request at an engine that had no other prompt
// to read.
type FirstEvent struct {
	// Took is the time from sending the request to its first event.
	Took time.Duration
	// Unread is the number of prompt tokens that the engine read, and Prompt the length
	// of the prompt.
	Unread, Prompt int
	// Runs is the number of other requests that ran.
	Runs int
}

// Model learns the pace of the engines of one service. It is not safe for concurrent use.
type Model struct {
	steps, firsts fit
	pace          Pace
	// received holds the latest statistics of other processes.
	received map[string]Statistics
}

// fit is a regression that gives outliers less weight.
type fit struct {
	regression
	// medianError approximates the median relative error of the samples.
	medianError    float64
	minPriorWeight vector // to which the weight of the prior falls
}

// NewModel returns a Model that predicts prior until samples are observed.
func NewModel(prior Pace) *Model {
	steps := vector{termStep: milliseconds(prior.Step), termRuns: milliseconds(prior.StepPerRun) * runsUnit}
	firsts := vector{
		termFirst: milliseconds(prior.First),
		termRead:  milliseconds(prior.ReadToken) * readUnit,
		termPairs: milliseconds(prior.AttentionPerM) * pairsUnit,
	}
	return &Model{
		steps:    newFit(steps, vector{minPriorWeight, minPriorWeight, minPriorWeight}),
		firsts:   newFit(firsts, vector{termFirst: minPriorWeight, termRead: minPriorWeight, termPairs: minPairsPriorWeight}),
		pace:     prior,
		received: make(map[string]Statistics),
	}
}

func newFit(prior, minWeight vector) fit {
	weight := vector{priorWeight, priorWeight, priorWeight}
	return fit{regression: newRegression(prior, weight), medianError: 1, minPriorWeight: minWeight}
}

// Pace returns the predicted pace of an engine of the usual speed of the service.
func (m *Model) Pace() Pace { return m.pace }

// Samples returns the number of samples taken, those of other processes included.
func (m *Model) Samples() int { return m.steps.total() + m.firsts.total() }

// Expected returns the predicted duration of a sample.
func (m *Model) Expected(s Sample) time.Duration {
	perStep := float64(m.pace.Step) + s.Runs*float64(m.pace.StepPerRun)
	return time.Duration(perStep*float64(s.Steps)) + m.readTime(s)
}

func (m *Model) readTime(s Sample) time.Duration {
	return time.Duration(s.Read*float64(m.pace.ReadToken) + s.PairsM*float64(m.pace.AttentionPerM))
}

// ObserveSteps learns from a sample of an engine whose slowness is the ratio of its times
// to the usual ones. The weight of the sample falls with the share of its time that was
// spent on reading.
func (m *Model) ObserveSteps(s Sample, slowness float64) {
	took := time.Duration(float64(s.Took) / slowness)
	read := m.readTime(s)
	if s.Steps <= 0 || took <= read {
		return
	}
	share := float64(read) / float64(took) / halfWeightReadShare
	weight := math.Min(float64(s.Steps)/typicalSteps, maxSampleWeight) / (1 + share*share)
	m.steps.observe(vector{termStep: 1, termRuns: s.Runs / runsUnit}, milliseconds(took-read)/float64(s.Steps), weight)
	m.update()
}

// ObserveFirst learns from the first event of a request at an engine of the given
// slowness, see ObserveSteps.
func (m *Model) ObserveFirst(e FirstEvent, slowness float64) {
	steps := time.Duration((e.Unread + Chunk - 1) / Chunk)
	rest := time.Duration(float64(e.Took)/slowness) - steps*m.pace.DecodeStep(e.Runs)
	x := vector{termFirst: 1, termRead: float64(e.Unread) / readUnit, termPairs: Pairs(e.Unread, e.Prompt) / pairsUnit}
	m.firsts.observe(x, milliseconds(max(0, rest)), 1)
	m.update()
}

func (f *fit) observe(x vector, y, weight float64) {
	weight *= f.outlierWeight(y, f.predict(x))
	f.fadePrior()
	f.add(x, y, weight, math.Pow(retainPerSample, weight))
}

// total returns the number of samples of all processes.
func (f *fit) total() int { return f.own.samples + f.others.samples }

// fadePrior lowers the weight of the prior as the number of samples grows.
func (f *fit) fadePrior() {
	faded := priorFadeSamples / (priorFadeSamples + float64(f.total()))
	for i := range f.weight {
		f.weight[i] = max(f.minPriorWeight[i], priorWeight*faded*faded)
	}
}

// outlierWeight returns the weight of a sample by its relative error, and updates the
// median error.
func (f *fit) outlierWeight(y, expected float64) float64 {
	if expected <= 0 {
		return 1
	}
	relativeError := math.Abs(y-expected) / expected
	if relativeError > f.medianError {
		f.medianError *= 1 + medianStep
	} else {
		f.medianError /= 1 + medianStep
	}
	if maxError := max(minOutlierError, outlierFactor*f.medianError); relativeError > maxError {
		return maxError / relativeError
	}
	return 1
}

func (m *Model) update() {
	steps, firsts := m.steps.fitted, m.firsts.fitted
	m.pace = Pace{
		Step:          fromMS(steps[termStep]),
		StepPerRun:    fromMS(steps[termRuns] / runsUnit),
		First:         fromMS(firsts[termFirst]),
		ReadToken:     fromMS(firsts[termRead] / readUnit),
		AttentionPerM: fromMS(firsts[termPairs] / pairsUnit),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxLearnedMS bounds each learned time, in milliseconds: a minute, beyond any engine.
// Damaged sums of a peer can be fitted to years, which overflow to negative times, and
// every request would then go to the engines of that service.
const maxLearnedMS = 60_000

func fromMS(ms float64) time.Duration {
	return time.Duration(min(ms, maxLearnedMS) * float64(time.Millisecond))
}
