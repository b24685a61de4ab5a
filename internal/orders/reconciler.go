// Package orders decides which orders model engines get. It is level-triggered:
// what an engine should hold follows from the catalog, what it holds from its
// own reports, and an order is sent while the two differ. So a lost order is
// sent again, a repeated one changes nothing, and a stale one of an instance
// that was paused shows in the next report and is corrected, also on engines
// that ignore fencing numbers. docs/design/orders.md tells why.
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
	DefaultResync   = 5 * time.Second
	DefaultLoadPoll = time.Second
	DefaultTimeout  = 3 * time.Second
	DefaultRetryMin = 500 * time.Millisecond
	DefaultRetryMax = 30 * time.Second
)

// maxDoublings bounds the exponent of the retry time.
const maxDoublings = 16

// Config of a Reconciler. Zero fields take the defaults above.
type Config struct {
	// Resync is how often an engine is asked what it holds.
	Resync time.Duration
	// LoadPoll is how often an engine that loads is asked.
	LoadPoll time.Duration
	// Timeout is how long the answer to an action may take.
	Timeout time.Duration
	// RetryMin and RetryMax bound the time between tries, which doubles.
	RetryMin, RetryMax time.Duration
}

// Kind of an Action.
type Kind uint8

// Kinds.
const (
	// Observe asks an engine what it holds.
	Observe Kind = iota + 1
	// Send sends an order.
	Send
)

// Action is a call to make. Its result comes back as OnReport or OnFailure.
type Action struct {
	Kind   Kind
	Engine *catalog.Engine
	// Order to send; empty for Observe.
	Order engineapi.Order
}

// Stats counts what happened since the start.
type Stats struct {
	// Sent orders.
	Sent int `json:"sent"`
	// Refused orders, by engines that had seen a higher fencing number.
	Refused int `json:"refused"`
	// Corrected engines that had held what was wanted and then did not.
	Corrected int `json:"corrected"`
	// Waiting engines that may not load yet.
	Waiting int `json:"waiting"`
}

// Reconciler holds the engines that one instance looks after.
type Reconciler struct {
	cfg     Config
	limiter LoadLimiter
	engines map[string]*engineState
	sorted  []*engineState
	// revision of the catalog; the fencing number of orders.
	revision int
	// maxFence is the highest fencing number that an engine reported.
	maxFence int
	stats    Stats
}

// engineState of one engine.
type engineState struct {
	engine  *catalog.Engine
	desired desiredState
	report  *engineapi.OrderAnswer
	// converged says that the engine has held what is wanted.
	converged bool
	// actionDeadline is when an action without a result is given up; 0 for none.
	actionDeadline monotime.Instant
	// nextCheckAt is when to ask the engine next.
	nextCheckAt monotime.Instant
	// nextSendAt is when the next order may be sent.
	nextSendAt monotime.Instant
	sent       int // orders since the engine last converged
	failures   int // failures in a row
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

// Reconfigure takes a catalog and the set of engines to look after. A catalog
// older than the present one changes nothing.
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

// OnPaused forgets what engines reported, because the process was stopped for
// a while. An order decided before a pause is the stale order that fencing is
// for; asking first keeps this instance from sending one.
func (r *Reconciler) OnPaused(now monotime.Instant) {
	for _, s := range r.sorted {
		s.report = nil
		s.actionDeadline = 0
		s.nextCheckAt = now
	}
}

// Behind reports whether an engine has seen a higher fencing number than the
// catalog's revision. Then this instance's configuration is old: it sends no
// orders until Reconfigure brings a newer one.
func (r *Reconciler) Behind() bool {
	return r.maxFence > r.revision
}

// Stats returns the counters.
func (r *Reconciler) Stats() Stats {
	stats := r.stats
	for _, s := range r.sorted {
		if s.waiting {
			stats.Waiting++
		}
	}
	return stats
}

// OnReport takes what an engine holds, from either action.
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

// trackLoad keeps the permit of a load until the engine reports its end.
func (r *Reconciler) trackLoad(now monotime.Instant, s *engineState) {
	if len(s.report.Loading) == 0 {
		r.limiter.Release(now, s.engine.ID)
		return
	}
	r.limiter.Hold(now, s.engine.ID)
	s.nextCheckAt = now.Add(r.cfg.LoadPoll)
}

// OnFailure takes the failure of an action. Whether an order arrived does not
// matter: the next report tells.
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
	// Only an order that makes the engine load needs a permit.
	s.waiting = d.missing && !r.limiter.TryAcquire(now, s.engine.ID)
	return !s.waiting
}

// send makes the order. An engine that takes orders and still does not change
// gets them ever more seldom, since each may start a load.
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
