package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/answerend"
	"basilrudder/internal/descriptors"
	"basilrudder/internal/membudget"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
)

// Config configures a Relay.
type Config struct {
	// Fleet is the instance's view of the fleet.
	Fleet Fleet
	// Protocol translates the headers of callers and servers.
	Protocol Protocol
	// Log receives a line per decision; nil discards them.
	Log *zap.Logger
	// Metrics counts requests; nil means counts that are not published.
	Metrics *Metrics
	// Dial opens a direct connection to a server; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Connector opens the connections to servers; nil means direct ones by Dial.
	Connector Connector
	// Descriptors are shared with the connections to servers; nil means that they are not
	// limited.
	Descriptors *descriptors.Budget
	// MakeRoom closes connections of callers for one to a server, and reports whether it did; nil
	// means that it never does. It must not block.
	MakeRoom func() bool
	// Refuses reports whether requests of a connection are refused, since the instance has
	// no descriptors for it; nil means never.
	Refuses func(ctx context.Context) bool
	// Intake returns the Intake of a request; nil means one that makes no room for others, on a
	// budget for a machine of unknown size.
	Intake func(ctx context.Context) Intake
	// ResetOnClose sets whether a caller's connection, given by the context of its request, is
	// reset when it is closed, also by the end of the process; nil means that it can't be set.
	ResetOnClose func(ctx context.Context, reset bool) error
	// DrainTime is how long the process may run after the drain began.
	DrainTime time.Duration
}

// Relay is the HTTP handler for callers.
type Relay struct {
	cfg  Config
	pool *pool
	// probes are those that tell the ends of servers from other breaks, and endProbes those
	// by which ends of answers are judged.
	probes, endProbes *probes
	answers           answerTimes
	// unmarkedProbeAt is when a server was last probed because of an answer without a marked
	// end, as a monotime.Instant; 0 for never.
	unmarkedProbeAt atomic.Int64
	endBudget       answerend.Budget
	// drainSince is when the drain began; 0 while there is none.
	drainSince atomic.Int64
}

const (
	// drainStreamWindow is how long after the start of a drain streams are still
	// accepted. They last up to about 5 s and the process is killed 8 s after the signal;
	// with a longer window the last of them would be cut off.
	drainStreamWindow = 1500 * time.Millisecond
	// drainReserve is the time between the last answer and the end of the drain. Without
	// it, answers that use their whole timeout could be cut off.
	drainReserve = 500 * time.Millisecond
)

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	if cfg.Descriptors == nil {
		cfg.Descriptors = descriptors.Unlimited()
	}
	if cfg.Refuses == nil {
		cfg.Refuses = func(context.Context) bool { return false }
	}
	if cfg.Intake == nil {
		cfg.Intake = newBudgetIntake(membudget.ForMachine(0))
	}
	if cfg.ResetOnClose == nil {
		cfg.ResetOnClose = func(context.Context, bool) error { return nil }
	}
	if cfg.Dial == nil {
		cfg.Dial = netconn.Dial
	}
	if cfg.Connector == nil {
		cfg.Connector = directConnector{cfg.Dial}
	}
	anyServer := func(Target) Identify { return AnyServer }
	pool := newPool(cfg.Connector, cfg.Descriptors)
	if cfg.MakeRoom != nil {
		pool.makeRoom = cfg.MakeRoom
	}
	return &Relay{
		cfg: cfg, pool: pool,
		probes:    newProbes(cfg.Connector, anyServer),
		endProbes: newProbes(cfg.Connector, identifier(cfg.Protocol, cfg.Log)),
	}
}

// Drain starts draining: answers ask callers to connect elsewhere, and requests that may
// not end in time are refused.
func (r *Relay) Drain() {
	r.drainSince.CompareAndSwap(0, int64(monotime.Now()))
}

// draining returns how long the drain has lasted; false when there is none.
func (r *Relay) draining(now monotime.Instant) (time.Duration, bool) {
	since := monotime.Instant(r.drainSince.Load())
	return now.Sub(since), since != 0
}

// Sweep closes idle connections that reached their timeout or whose server is not needed
// any more.
func (r *Relay) Sweep(needed func(server string) bool) {
	r.pool.sweep(needed)
}

// Connected reports whether there is an idle connection to a server that any request may
// use. It does not block. The answer may be outdated.
func (r *Relay) Connected(server string) bool { return r.pool.connected(server) }

// InFlight returns the number of requests in flight.
func (r *Relay) InFlight() int64 {
	return r.cfg.Metrics.inFlight.Value()
}

// Unmarked returns the number of answers in progress that end with their connection.
func (r *Relay) Unmarked() int64 { return r.cfg.Metrics.unmarkedOpen() }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r.cfg.Metrics.inFlight.Add(1)
	defer r.cfg.Metrics.inFlight.Add(-1)
	f := &forwarder{relay: r, w: w, hr: hr, arrived: monotime.Now(), intake: r.cfg.Intake(hr.Context())}
	defer f.logEnd()
	f.serve()
}
