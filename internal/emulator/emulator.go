// Package emulator simulates load on relaying instances and modelled engines in virtual
// time. Each instance has its own placement.Board, as in production, and receives the
// choices of the others with a delay. The same scenario and seed give the same result.
// It serves to compare policies and to test the outcomes of requests.
//
// Simplifications: there is no store and no network but a delay of updates; a crashed
// engine is detected when a connection to it fails; callers retry once after a refusal.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/placement"
	"basilrudder/internal/vtime"
)

// Class describes the requests of one class.
type Class struct {
	// Name of the class in the result.
	Name string
	// PerSecond is the mean arrival rate.
	PerSecond float64
	// SharedParts is the number of distinct first parts of prompts, each SharedTokens
	// long; every prompt begins with one of them.
	SharedParts, SharedTokens int
	// OwnTokens is the mean length of the rest of a prompt.
	OwnTokens int
	// Output is the mean number of tokens of a response.
	Output int
	// Goal and MaxGap are those of placement.Work; Timeout is its initial Left.
	Goal, MaxGap, Timeout time.Duration
	// Priority; 0 is served first.
	Priority int
}

// Burst multiplies the rate of a class by Factor from At for the time For.
type Burst struct {
	At, For time.Duration
	Class   string
	Factor  float64
}

// Fault makes a share of the engines crash or slow down from At for the time For.
type Fault struct {
	At, For time.Duration
	// Share of the engines affected, counted from the first engine.
	Share float64
	// SlowFactor multiplies their step time; 0 means that they are down.
	SlowFactor float64
}

// Uneven makes engines differ in speed for as long as they run.
type Uneven struct {
	// Share of the engines that are slow, spread over all of them, and the factor that
	// multiplies their step time.
	Share, Factor float64
	// Phases of length For, in which steps of any engine take PhaseFactor times as long,
	// begin after pauses with mean Every. 0 means none.
	Every, For  time.Duration
	PhaseFactor float64
}

// Scenario describes a fleet, its load and its faults.
type Scenario struct {
	Name      string
	Instances int
	// MaxUpdateDelay is the maximum batching delay before an update is sent to the
	// other instances.
	MaxUpdateDelay time.Duration
	Engines        int
	Kind           EngineKind
	Classes        []Class
	Bursts         []Burst
	Faults         []Fault
	Uneven         Uneven
	// CostJitter is the largest amount added to the cost of each engine to spread the
	// choices of the instances.
	CostJitter float64
	// Features of placement that are switched on.
	Features placement.Features
	// Length is the time during which requests arrive.
	Length time.Duration
}

const (
	// networkDelay is the one-way delay of an update between instances. Longer delays
	// make boards staler, and instances choose the same engines more often.
	networkDelay = time.Millisecond
	// tick is the interval for which the arrivals are drawn together. The starts and
	// ends of bursts are rounded up to it.
	tick = 10 * time.Millisecond
	// statisticsInterval is how often instances exchange their pace statistics. Longer
	// intervals leave each instance to its own samples at the start.
	statisticsInterval = time.Second
	// pausesPerInstance is the time for each instance between two exchanges of pause
	// counts in a large fleet, as in production.
	pausesPerInstance = 60 * time.Millisecond
	// A refused caller retries after minRetryDelay plus up to retryJitter. Without
	// jitter, callers refused together would return together.
	minRetryDelay, retryJitter = 350 * time.Millisecond, 700 * time.Millisecond
	// lengthSigma is the standard deviation of the logarithm of prompt and output
	// lengths. Larger values produce more very long requests.
	lengthSigma = 0.5
	// outputHintSigma is the standard deviation of the logarithm of the error in a
	// caller's output estimate. At 0, placement gets the exact output length.
	outputHintSigma = 0.4
	// drainTime is how long responses are awaited after the last arrival. Calls that are
	// unfinished after it are missing from the result, which can happen only if their
	// timeout is longer.
	drainTime = 30 * time.Second
	// warmUp is the time from the start after which predictions are compared with
	// outcomes: by then instances must have learned the pace of the engines.
	warmUp  = 5 * time.Second
	service = "engines"
	// dataCentre is that of all instances and engines.
	dataCentre = "here"
)

type sim struct {
	scenario  Scenario
	loop      vtime.Loop
	random    *rand.Rand
	instances []*instance
	engines   []*engine
	byID      map[string]*engine
	pool      *placement.Pool
	result    Result
	start     monotime.Instant
	calls     int
}

// Run simulates a scenario; seed determines all random choices.
func Run(scenario Scenario, seed uint64) Result {
	s := newSim(scenario, seed)
	s.run()
	return s.result
}

func newSim(scenario Scenario, seed uint64) *sim {
	s := &sim{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, seed+1)),
		byID:   make(map[string]*engine),
		result: newResult(scenario),
	}
	s.loop.Run(time.Hour) // keeps instants before the start non-negative
	for n := range scenario.Engines {
		e := &engine{kind: scenario.Kind, id: fmt.Sprintf("engine-%03d", n), sim: s, ownFactor: s.ownFactor(n), slowFactor: 1, cache: make(map[string]cachedPart)}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	s.pool = s.newPool()
	for n := range scenario.Instances {
		s.instances = append(s.instances, newInstance(s, n))
	}
	return s
}

// run schedules all phases, faults and requests, and runs them.
func (s *sim) run() {
	scenario := &s.scenario
	s.start = s.loop.Now()
	start := s.start
	for _, e := range s.engines {
		s.schedulePhase(e)
	}
	for _, f := range scenario.Faults {
		s.loop.At(start.Add(f.At), func() { s.startFault(f) })
		s.loop.At(start.Add(f.At+f.For), func() { s.endFault(f) })
	}
	for at := time.Duration(0); at < scenario.Length; at += tick {
		s.loop.At(start.Add(at), func() { s.scheduleArrivals(at) })
	}
	for at := statisticsInterval; at < scenario.Length; at += statisticsInterval {
		s.loop.At(start.Add(at), s.exchangeStatistics)
	}
	interval := max(statisticsInterval, time.Duration(scenario.Instances)*pausesPerInstance)
	for at := statisticsInterval; at < scenario.Length; at += interval {
		s.loop.At(start.Add(at), s.exchangePauses)
	}
	s.loop.Run(scenario.Length + drainTime)
}

// ownFactor returns the factor of the step time of the n-th engine.
func (s *sim) ownFactor(n int) float64 {
	uneven := &s.scenario.Uneven
	if math.Floor(float64(n+1)*uneven.Share) > math.Floor(float64(n)*uneven.Share) {
		return uneven.Factor
	}
	return 1
}

// schedulePhase schedules the next slow phase of an engine.
func (s *sim) schedulePhase(e *engine) {
	uneven := &s.scenario.Uneven
	if uneven.Every == 0 {
		return
	}
	s.loop.After(time.Duration(s.random.ExpFloat64()*float64(uneven.Every)), func() {
		e.slowFactor *= uneven.PhaseFactor
		s.loop.After(uneven.For, func() {
			e.slowFactor /= uneven.PhaseFactor
			s.schedulePhase(e)
		})
	})
}

// newPool returns the pool of all engines.
func (s *sim) newPool() *placement.Pool {
	kind := &s.scenario.Kind
	candidates := make([]placement.Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		candidates = append(candidates, placement.Candidate{
			ID: e.id, Service: service, DataCentre: dataCentre,
			Slots: kind.Slots, MemoryTokens: kind.MemoryTokens, EventTokens: kind.EventTokens,
		})
	}
	return placement.NewPool(candidates)
}

func (s *sim) affectedEngines(f Fault) []*engine {
	return s.engines[:int(math.Round(f.Share*float64(len(s.engines))))]
}

func (s *sim) startFault(f Fault) {
	for _, e := range s.affectedEngines(f) {
		if f.SlowFactor > 0 {
			e.slowFactor *= f.SlowFactor
		} else {
			e.crash()
		}
	}
}

// endFault restores the affected engines to full speed.
func (s *sim) endFault(f Fault) {
	for _, e := range s.affectedEngines(f) {
		if f.SlowFactor > 0 {
			e.slowFactor /= f.SlowFactor
		}
		e.down = false
	}
}

// scheduleArrivals draws the requests of the tick that starts at the given time.
func (s *sim) scheduleArrivals(at time.Duration) {
	for i := range s.scenario.Classes {
		class := &s.scenario.Classes[i]
		rate := class.PerSecond
		for _, b := range s.scenario.Bursts {
			if b.Class == class.Name && at >= b.At && at < b.At+b.For {
				rate *= b.Factor
			}
		}
		for n := s.poisson(rate * tick.Seconds()); n > 0; n-- {
			c := s.newCall(class)
			s.loop.After(time.Duration(s.random.Float64()*float64(tick)), func() { c.send() })
		}
	}
}

// poisson draws a Poisson-distributed number by multiplying uniform ones.
func (s *sim) poisson(mean float64) int {
	n, p, bound := 0, s.random.Float64(), math.Exp(-mean)
	for p > bound {
		p *= s.random.Float64()
		n++
	}
	return n
}

// drawLength draws a log-normally distributed length with the given mean, at least 1.
func (s *sim) drawLength(mean int) int {
	factor := math.Exp(lengthSigma*s.random.NormFloat64() - lengthSigma*lengthSigma/2)
	return max(1, int(float64(mean)*factor))
}

// exchangeStatistics merges the pace statistics of each instance into all others.
func (s *sim) exchangeStatistics() {
	for _, from := range s.instances {
		statistics := from.board.PaceStatistics()
		for _, to := range s.instances {
			if to != from {
				for name, e := range statistics {
					to.board.MergePaceStatistics(from.name, name, e)
				}
			}
		}
	}
}

// exchangePauses merges the pause counts of each instance into all others.
func (s *sim) exchangePauses() {
	for _, from := range s.instances {
		pauses := from.board.PauseCounts(s.now())
		for _, to := range s.instances {
			if to != from {
				for name, counts := range pauses {
					to.board.MergePauseCounts(from.name, name, counts, s.now())
				}
			}
		}
	}
}

// newBoard returns the Board of an instance, without samples of the engines.
func (s *sim) newBoard(name string) *placement.Board {
	b := placement.NewBoard(pace.DefaultPrior, dataCentre)
	b.SetPeers(s.scenario.Instances-1, s.scenario.MaxUpdateDelay)
	b.SetFeatures(s.scenario.Features)
	b.SetSharing(name, func(string) (place, instances int, ok bool) { return 0, 1, true })
	b.SetCostJitter(func(float64) float64 { return s.scenario.CostJitter })
	b.SetFleetSize(s.scenario.Instances, s.now())
	b.Seed(s.random.Uint64())
	return b
}

func (s *sim) now() monotime.Instant { return s.loop.Now() }
