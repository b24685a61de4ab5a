// Package replay drives the product's request path with a trace in virtual
// time: several nodes, as the daemon runs them, before modelled engines, with
// the latencies of the inventory between them. The same configuration and seed
// give the same result.
//
// What is simplified: who lives is told to the nodes by the replay after the
// delays that the membership protocol was measured to need, and a published
// revision reaches each node after a random delay. Both protocols have tests of
// their own.
package replay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/trace"
	"basilrudder/internal/vtime"
)

// Config says what to replay.
type Config struct {
	// Inventory of the deployment.
	Inventory *inventory.Inventory
	// Trace to replay.
	Trace *trace.Trace
	// Policy of the scheduling groups.
	Policy sched.Policy
	// Ownership says who schedules a group; the zero value is the product's way.
	Ownership node.Ownership
	// Instances is the number of entry instances; 0 for 8.
	Instances int
	// Seed of every random choice.
	Seed uint64
	// Grace is how long after the trace unanswered requests are waited for; 0
	// for two hours.
	Grace time.Duration
	// Record, if any, gets the accounting records of every process.
	Record func(at time.Duration, record accounting.Record)
}

const (
	defaultInstances = 8
	defaultGrace     = 2 * time.Hour
	// warmStart is the virtual time at which the trace starts: by then every
	// node has its configuration and view.
	warmStart = 5 * time.Second
	// checkContextEvery is the number of events between two looks at the context.
	checkContextEvery = 4096
)

// Run replays a trace.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	s, err := newSim(cfg)
	if err != nil {
		return nil, err
	}
	if err := s.run(ctx); err != nil {
		return nil, err
	}
	return s.result(), nil
}

// run plays the trace until every call has its final answer.
func (s *sim) run(ctx context.Context) error {
	s.scheduleTrace()
	for count := 0; s.open > 0 || s.loop.Now() < s.end; count++ {
		if count%checkContextEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		if s.loop.Now() > s.end.Add(s.cfg.Grace) || !s.loop.Step() {
			break
		}
	}
	return nil
}

// sim is the state of a replay.
type sim struct {
	cfg       Config
	loop      vtime.Loop
	rng       *rand.Rand
	cat       *catalog.Catalog
	inv       *inventory.Inventory
	instances []*instance
	engines   map[string]*upstream
	engineIDs []string
	calls     []*call
	callByID  map[string]*call
	// open counts calls without a final answer.
	open  int
	start monotime.Instant
	end   monotime.Instant
	fleet fleetState
	watch watcher
}

func newSim(cfg Config) (*sim, error) {
	if cfg.Inventory == nil || cfg.Trace == nil {
		return nil, errors.New("replay needs an inventory and a trace")
	}
	if cfg.Instances <= 0 {
		cfg.Instances = defaultInstances
	}
	if cfg.Grace <= 0 {
		cfg.Grace = defaultGrace
	}
	s := &sim{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0x7265706c)),
		inv:      cfg.Inventory,
		cat:      catalog.Compile(1, cfg.Inventory),
		engines:  make(map[string]*upstream),
		callByID: make(map[string]*call),
		start:    monotime.Instant(warmStart),
	}
	s.end = s.start.Add(cfg.Trace.Length)
	s.fleet.init()
	s.watch.init()
	s.makeEngines()
	s.makeInstances()
	return s, nil
}

func (s *sim) scheduleTrace() {
	for i := range s.cfg.Trace.Requests {
		c := &call{sim: s, request: &s.cfg.Trace.Requests[i], number: i}
		s.calls = append(s.calls, c)
		s.open++
	}
	s.scheduleCall(0)
	for i := range s.cfg.Trace.Faults {
		fault := &s.cfg.Trace.Faults[i]
		s.loop.At(s.start.Add(fault.At), func() { s.inject(fault) })
	}
}

// scheduleCall adds the next call of the trace, one at a time, so that the heap
// of events stays small.
func (s *sim) scheduleCall(i int) {
	if i >= len(s.calls) {
		return
	}
	s.loop.At(s.start.Add(s.calls[i].request.At), func() {
		s.scheduleCall(i + 1)
		s.calls[i].arrive()
	})
}

// jitter draws a duration between two bounds.
func (s *sim) jitter(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)+1))
}
