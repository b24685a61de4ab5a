package pace

import (
	"math"
	"time"
)

// Terms of the two regressions, in milliseconds, and the units in which they are
// counted, chosen so that usual values are around 1. The time of a step grows with
// the requests that run; the time to a first event, less that of its steps, grows
// with what is read. They are fitted apart because what streams show of reading is
// blurred: when others' prompts were read is known too late and too roughly, which
// would make reading look cheap and steps long.
const (
	termStep = iota // 1
	termRuns        // tens of running requests
)

const (
	termFirst = iota // 1
	termRead         // thousands of tokens read
	termPairs        // tens of millions of pairs, see Pairs
)

const (
	runsUnit  = 10.0
	readUnit  = 1000.0
	pairsUnit = 10.0
)

const (
	// priorWeight is what the prior counts for at first, in samples of usualSteps
	// steps. It fades with the square of fadeSamples over the samples taken, down to
	// priorRest: engines that are ten times slower or faster in one term are then
	// predicted within a quarter after 40 samples, a second or two of moderate load.
	priorWeight      = 2.0
	priorFadeSamples = 4.0
	minPriorWeight   = 0.01
	// minPairsPriorWeight is priorRest for the growth of reading with the length of a prompt.
	// Most prompts are read whole, of which length and pairs grow together, so that
	// noise easily takes one for the other; the prior holds against it.
	minPairsPriorWeight = 5.0
	// typicalSteps is the length of a sample that counts once; longer ones average
	// out more of what disturbs them, up to mostWeight.
	typicalSteps    = 40.0
	maxSampleWeight = 3.0
	// retainPerSample is the share of older samples that still counts after one
	// more: some 300 count, which is longer than any mix of requests is unusual.
	retainPerSample = 1 - 1.0/300
	// outlierFactor is how many times further off the fit than half of the samples one
	// may be and still count in full, and outlierLeast the share of itself by which
	// any may be. Beyond, it counts in inverse proportion: a process that was held
	// up, or a server that is slow, must not make all look slow. While the fit is
	// still far off all samples are, and count.
	outlierFactor   = 3.0
	minOutlierError = 0.2
	// medianStep is the share by which the median of what samples are off moves
	// with each.
	medianStep = 0.1
	// halfWeightReadShare is the share of the time of a stretch that reading may have taken
	// for it to count half.
	halfWeightReadShare = 0.5
)

// Sample is what a stream showed of its engine's steps.
type Sample struct {
	// Steps is the number of steps that the events took, one for each token.
	Steps int
	// Took is the time between the first and the last of these events.
	Took time.Duration
	// Runs is the mean number of requests that ran on the engine.
	Runs float64
	// Read is the number of prompt tokens that the engine read in the meantime, and
	// PairsM the millions of pairs of tokens of that, see Pairs.
	Read, PairsM float64
}

// FirstEvent is how long the first event of a request took at an engine that had
// nothing else to read.
type FirstEvent struct {
	// Took is the time from sending the request to its first event.
	Took time.Duration
	// Unread is the number of tokens of its prompt that the engine read, and Prompt
	// the number of all.
	Unread, Prompt int
	// Runs is the number of other requests that ran.
	Runs int
}

// Model is what has been learned of the engines of one service. It is not safe for
// concurrent use.
type Model struct {
	steps, firsts fit
	pace          Pace
	// received is the evidence of other processes.
	received map[string]Statistics
}

// fit is a regression with what it needs to tell outliers.
type fit struct {
	regression
	// medianError is about the median share by which samples are off.
	medianError    float64
	minPriorWeight vector // of the prior that does not fade
}

// NewModel returns a Model that predicts a prior until it is taught better.
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

// Pace is what the model predicts of an engine that is as fast as most.
func (m *Model) Pace() Pace { return m.pace }

// Samples is the number of samples that were taken, by other processes too.
func (m *Model) Samples() int { return m.steps.total() + m.firsts.total() }

// Expected is how long the model expects a sample to take.
func (m *Model) Expected(s Sample) time.Duration {
	perStep := float64(m.pace.Step) + s.Runs*float64(m.pace.StepPerRun)
	return time.Duration(perStep*float64(s.Steps)) + m.readTime(s)
}

func (m *Model) readTime(s Sample) time.Duration {
	return time.Duration(s.Read*float64(m.pace.ReadToken) + s.PairsM*float64(m.pace.AttentionPerM))
}

// ObserveSteps teaches the model a sample of an engine that was last seen to be so
// many times slower than most. The less was read beside it, the more it counts.
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

// ObserveFirst teaches the model a first event of an engine that was last seen to
// be so many times slower than most.
func (m *Model) ObserveFirst(e FirstEvent, slowness float64) {
	steps := time.Duration((e.Unread + Chunk - 1) / Chunk)
	rest := time.Duration(float64(e.Took)/slowness) - steps*m.pace.DecodeStep(e.Runs)
	x := vector{termFirst: 1, termRead: float64(e.Unread) / readUnit, termPairs: Pairs(e.Unread, e.Prompt) / pairsUnit}
	m.firsts.observe(x, milliseconds(max(0, rest)), 1)
	m.update()
}

// observe takes a sample.
func (f *fit) observe(x vector, y, weight float64) {
	weight *= f.outlierWeight(y, f.predict(x))
	f.fadePrior()
	f.add(x, y, weight, math.Pow(retainPerSample, weight))
}

// total is the number of samples of all processes.
func (f *fit) total() int { return f.own.samples + f.others.samples }

// fadePrior has the prior count less the more samples there are.
func (f *fit) fadePrior() {
	faded := priorFadeSamples / (priorFadeSamples + float64(f.total()))
	for i := range f.weight {
		f.weight[i] = max(f.minPriorWeight[i], priorWeight*faded*faded)
	}
}

// outlierWeight is what a sample counts for that is as far off what was expected.
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
// Sums of a peer that are damaged can be fitted to years, which overflow into times
// below nothing, and every request would go to the engine of that service.
const maxLearnedMS = 60_000

func fromMS(ms float64) time.Duration {
	return time.Duration(min(ms, maxLearnedMS) * float64(time.Millisecond))
}
