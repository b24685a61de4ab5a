// Package emulator plays load on relaying instances before modelled engines, in
// virtual time. Each instance has a placement.Board of its own, as in the product, and
// hears late what the others choose. The same scenario and seed give the same result.
// Policies are tried with it, and tests check with it what callers get.
//
// What is simplified: there is no store and no network; a crashed engine is noticed
// when a connection to it fails; callers come back once after a refusal.
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

// Class is a kind of request.
type Class struct {
	// Name in the result.
	Name string
	// PerSecond is how many come in a second.
	PerSecond float64
	// SharedParts is the number of parts of SharedTokens that prompts of the class begin
	// with; each prompt has one of them.
	SharedParts, SharedTokens int
	// OwnTokens is the mean of the rest of a prompt.
	OwnTokens int
	// Output is the mean number of tokens of an answer.
	Output int
	// Goal, MaxGap and Timeout are those of placement.Work; Timeout is its Left.
	Goal, MaxGap, Timeout time.Duration
	// Priority, 0 first.
	Priority int
}

// Burst multiplies the requests of a class for a while.
type Burst struct {
	At, For time.Duration
	Class   string
	Factor  float64
}

// Fault has a share of the engines crash or turn slow for a while.
type Fault struct {
	At, For time.Duration
	// Share of the engines, from the first on.
	Share float64
	// SlowFactor is how many times longer they take; 0 when they are down.
	SlowFactor float64
}

// Scenario is what is played.
type Scenario struct {
	Name      string
	Instances int
	// MaxUpdateDelay is the longest time until the others hear of a choice.
	MaxUpdateDelay time.Duration
	Engines        int
	Kind           EngineKind
	Classes        []Class
	Bursts         []Burst
	Faults         []Fault
	// Length is how long requests come.
	Length time.Duration
}

const (
	// networkDelay is the time between two machines, one way.
	networkDelay = time.Millisecond
	// tick is the interval at which requests are drawn and evidence may be told.
	tick = 10 * time.Millisecond
	// statisticsInterval is how often instances tell each other what they have seen.
	statisticsInterval = time.Second
	// minRetryDelay and retryJitter bound when a refused caller comes back.
	minRetryDelay, retryJitter = 350 * time.Millisecond, 700 * time.Millisecond
	// lengthSigma is that of lengths, on a log scale.
	lengthSigma = 0.5
	// outputHintSigma is how far off a caller's estimate of its output is.
	outputHintSigma = 0.4
	// drainTime is how long after the last request answers are waited for.
	drainTime = 30 * time.Second
	service   = "engines"
)

type sim struct {
	scenario  Scenario
	loop      vtime.Loop
	random    *rand.Rand
	instances []*instance
	engines   []*engine
	byID      map[string]*engine
	result    Result
	calls     int
}

// Run plays a scenario.
func Run(scenario Scenario, seed uint64) Result {
	s := &sim{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, seed+1)),
		byID:   make(map[string]*engine),
		result: newResult(scenario),
	}
	s.loop.Run(time.Hour) // instants before the start are not negative
	for n := range scenario.Engines {
		e := &engine{kind: scenario.Kind, id: fmt.Sprintf("engine-%03d", n), sim: s, slowFactor: 1, cache: make(map[string]cachedPart)}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	for n := range scenario.Instances {
		s.instances = append(s.instances, newInstance(s, n))
	}
	start := s.loop.Now()
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
	s.loop.Run(scenario.Length + drainTime)
	return s.result
}

func (s *sim) affectedEngines(f Fault) []*engine {
	return s.engines[:int(math.Round(f.Share*float64(len(s.engines))))]
}

func (s *sim) startFault(f Fault) {
	for _, e := range s.affectedEngines(f) {
		if f.SlowFactor > 0 {
			e.slowFactor = f.SlowFactor
		} else {
			e.crash()
		}
	}
}

func (s *sim) endFault(f Fault) {
	for _, e := range s.affectedEngines(f) {
		e.slowFactor, e.down = 1, false
	}
}

// scheduleArrivals draws the requests of one tick.
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

func (s *sim) poisson(mean float64) int {
	n, p, bound := 0, s.random.Float64(), math.Exp(-mean)
	for p > bound {
		p *= s.random.Float64()
		n++
	}
	return n
}

func (s *sim) drawLength(mean int) int {
	factor := math.Exp(lengthSigma*s.random.NormFloat64() - lengthSigma*lengthSigma/2)
	return max(1, int(float64(mean)*factor))
}

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

// newBoard returns the Board of an instance, which knows nothing of the engines.
func (s *sim) newBoard() *placement.Board {
	b := placement.NewBoard(pace.DefaultPrior, "here")
	b.SetPeers(s.scenario.Instances-1, s.scenario.MaxUpdateDelay)
	b.Seed(s.random.Uint64())
	return b
}

func (s *sim) now() monotime.Instant { return s.loop.Now() }
