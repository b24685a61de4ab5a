// Package orders reconciles model engines with the catalog. The catalog gives the desired
// state of an engine, the engine's reports give its actual state, and orders are sent while
// the two differ. It is level-triggered: a lost order is sent again and a repeated one has
// no effect. A stale order of an instance that was paused shows in the next report and is
// corrected, also on engines that ignore fencing numbers. The design and its reasons are
// in docs/design/orders.md.
package orders

import (
	"cmp"
	"sort"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

// Defaults of Config, used for fields left zero.
const (
	// DefaultResync bounds how long a stale order that an engine obeyed stays unnoticed.
	DefaultResync = 5 * time.Second
	// DefaultLoadPoll must stay below the lease of a permit, which each report of a load
	// renews. After the load the permit is unavailable to others until the next report.
	DefaultLoadPoll = time.Second
	// DefaultTimeout must exceed the caller's timeout of one call. Below it, an action is
	// given up and repeated while its result is still due.
	DefaultTimeout = 3 * time.Second
	// DefaultRetryMin is the first delay; a shorter one sends more calls to an engine that
	// is unreachable.
	DefaultRetryMin = 500 * time.Millisecond
	// DefaultRetryMax bounds how long an engine that is reachable again waits for its order.
	// A shorter one lets an engine that obeys no orders start more loads.
	DefaultRetryMax = 30 * time.Second
)

// maxDoublings bounds the exponent of the retry delay. From 35 doublings on, 500 ms overflow
// a time.Duration: the delay may be negative, and the engine is called on every tick.
const maxDoublings = 16

// Config configures a Reconciler. Zero fields take the defaults above.
type Config struct {
	// Resync is the interval between queries of an engine's state.
	Resync time.Duration
	// LoadPoll is that interval while the engine loads a model.
	LoadPoll time.Duration
	// Timeout is how long the result of an action may take.
	Timeout time.Duration
	// RetryMin and RetryMax bound the retry delay, which doubles each time.
	RetryMin, RetryMax time.Duration
}

// Kind is the kind of an Action.
type Kind uint8

const (
	// Observe queries the state of an engine.
	Observe Kind = iota + 1
	// Send sends an order.
	Send
)

// Action is a call to an engine that the caller makes. Its result is passed to OnReport or
// OnFailure.
type Action struct {
	Kind   Kind
	Engine *catalog.Engine
	// Order to send; empty for Observe.
	Order engineapi.Order
}

// Stats counts orders since the start, except for Waiting.
type Stats struct {
	// Sent is the number of orders sent.
	Sent int `json:"sent"`
	// Refused is the number of orders refused because of a higher fencing number.
	Refused int `json:"refused"`
	// Corrected counts how often an engine left its desired state after reaching it.
	Corrected int `json:"corrected"`
	// Waiting is the number of engines that wait for a permit to load.
	Waiting int `json:"waiting"`
}

// Reconciler brings the engines of one instance to their desired state. It does no I/O and
// is not safe for concurrent use.
type Reconciler struct {
	cfg     Config
	limiter LoadLimiter
	engines map[string]*engineState
	sorted  []*engineState
	// revision of the catalog, used as the fencing number of orders.
	revision int
	// maxFence is the highest fencing number that an engine reported.
	maxFence int
	stats    Stats
}

// engineState is the state of one engine.
type engineState struct {
	engine  *catalog.Engine
	desired desiredState
	report  *engineapi.OrderAnswer
	// converged reports whether the engine has reached its desired state.
	converged bool
	// actionDeadline is when an action without a result counts as failed; 0 without an action.
	actionDeadline monotime.Instant
	// nextCheckAt is the time of the next Observe.
	nextCheckAt monotime.Instant
	// nextSendAt is the earliest time of the next order.
	nextSendAt monotime.Instant
	sent       int // orders since the engine converged or its desired state changed
	failures   int // consecutive failures
	waiting    bool
}

// New returns a Reconciler without engines.
func New(cfg Config, limiter LoadLimiter) *Reconciler {
	cfg.Resync = cmp.Or(cfg.Resync, DefaultResync)
	cfg.LoadPoll = cmp.Or(cfg.LoadPoll, DefaultLoadPoll)
	cfg.Timeout = cmp.Or(cfg.Timeout, DefaultTimeout)
	cfg.RetryMin = cmp.Or(cfg.RetryMin, DefaultRetryMin)
	cfg.RetryMax = cmp.Or(cfg.RetryMax, DefaultRetryMax)
	return &Reconciler{cfg: cfg, limiter: limiter, engines: make(map[string]*engineState)}
}

// Reconfigure applies a catalog and the set of engines that this instance owns. A catalog
// older than the current one is ignored.
func (r *Reconciler) Reconfigure(now monotime.Instant, cat *catalog.Catalog, owns func(*catalog.Engine) bool) {
	revision := int(cat.Revision)
	if revision < r.revision {
		return
	}
	r.revision = revision
	before := r.engines
	r.engines = make(map[string]*engineState)
	r.sorted = r.sorted[:0]
	for id, engine := range cat.Engines {
		desired, managed := desiredStateOf(cat, engine)
		if !managed || !owns(engine) {
			continue
		}
		s := before[id]
		if s == nil {
			s = &engineState{nextCheckAt: now}
		}
		s.engine = engine
		if !s.desired.equal(desired) {
			s.desired = desired
			s.converged = false
			s.sent = 0
			s.nextSendAt = now
		}
		r.engines[id] = s
		r.sorted = append(r.sorted, s)
	}
	sort.Slice(r.sorted, func(i, j int) bool { return r.sorted[i].engine.ID < r.sorted[j].engine.ID })
}

// OnPaused discards the engines' reports after the process was suspended. An order decided
// from a report before the pause could be stale. Engines are queried first instead, as
// fencing stops stale orders only at engines that check it.
func (r *Reconciler) OnPaused(now monotime.Instant) {
	for _, s := range r.sorted {
		s.report = nil
		s.actionDeadline = 0
		s.nextCheckAt = now
	}
}

// Behind reports whether an engine has seen a higher fencing number than the catalog's
// revision. The configuration of this instance is then outdated, and it sends no orders
// until Reconfigure applies a newer one.
func (r *Reconciler) Behind() bool {
	return r.maxFence > r.revision
}

// Stats returns the counters and the number of waiting engines.
func (r *Reconciler) Stats() Stats {
	stats := r.stats
	for _, s := range r.sorted {
		if s.waiting {
			stats.Waiting++
		}
	}
	return stats
}

// OnReport applies an engine's report, the result of either kind of action.
func (r *Reconciler) OnReport(now monotime.Instant, engineID string, report engineapi.OrderAnswer) {
	r.maxFence = max(r.maxFence, report.Fence)
	if !report.Accepted {
		r.stats.Refused++
	}
	s := r.engines[engineID]
	if s == nil {
		return
	}
	s.report = &report
	s.actionDeadline = 0
	s.failures = 0
	s.nextCheckAt = now.Add(r.cfg.Resync)
	r.trackLoad(now, s)
	if s.desired.compare(&report).any() {
		if s.converged {
			r.stats.Corrected++
			s.converged = false
			s.nextSendAt = now
		}
		return
	}
	if len(report.Loading) == 0 {
		s.converged = true
		s.sent = 0
		s.waiting = false
	}
}

// trackLoad holds the permit of a load until the engine reports that it ended.
func (r *Reconciler) trackLoad(now monotime.Instant, s *engineState) {
	if len(s.report.Loading) == 0 {
		r.limiter.Release(now, s.engine.ID)
		return
	}
	r.limiter.Hold(now, s.engine.ID)
	s.nextCheckAt = now.Add(r.cfg.LoadPoll)
}

// OnFailure records that an action failed. Whether an order arrived is unknown and shows in
// the next report.
func (r *Reconciler) OnFailure(now monotime.Instant, engineID string) {
	if s := r.engines[engineID]; s != nil {
		r.recordFailure(now, s)
	}
}

func (r *Reconciler) recordFailure(now monotime.Instant, s *engineState) {
	s.report = nil
	s.actionDeadline = 0
	s.nextCheckAt = now.Add(r.retryDelay(s.failures))
	s.failures++
}

func (r *Reconciler) retryDelay(retries int) time.Duration {
	return min(r.cfg.RetryMin<<min(retries, maxDoublings), r.cfg.RetryMax)
}

// Tick appends the actions that are due.
func (r *Reconciler) Tick(now monotime.Instant, out []Action) []Action {
	for _, s := range r.sorted {
		if s.actionDeadline != 0 {
			if now < s.actionDeadline {
				continue
			}
			r.recordFailure(now, s)
		}
		switch {
		case r.shouldSend(now, s):
			out = append(out, r.send(now, s))
		case s.nextCheckAt <= now:
			s.actionDeadline = now.Add(r.cfg.Timeout)
			out = append(out, Action{Kind: Observe, Engine: s.engine})
		}
	}
	return out
}

func (r *Reconciler) shouldSend(now monotime.Instant, s *engineState) bool {
	if s.report == nil || r.Behind() || now < s.nextSendAt {
		return false
	}
	d := s.desired.compare(s.report)
	if !d.any() {
		return false
	}
	// Only an order that makes the engine load a model needs a permit.
	s.waiting = d.missing && !r.limiter.TryAcquire(now, s.engine.ID)
	return !s.waiting
}

// send returns the order for the engine. The delay between orders doubles for an engine that
// accepts them and does not change, since each may start a load.
func (r *Reconciler) send(now monotime.Instant, s *engineState) Action {
	s.actionDeadline = now.Add(r.cfg.Timeout)
	s.nextSendAt = now.Add(r.retryDelay(s.sent))
	s.sent++
	r.stats.Sent++
	return Action{
		Kind:   Send,
		Engine: s.engine,
		Order: engineapi.Order{
			Fence:  r.revision,
			Engine: s.engine.Spec.Name,
			Models: s.desired.models,
			Role:   s.desired.role,
		},
	}
}
