package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/reqid"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
	"basilrudder/internal/vtime"
)

// world is a few nodes, a network and engines in virtual time. It records every run that
// an engine started and every verdict that a caller received, and compares the two.
type world struct {
	t   *testing.T
	rng *rand.Rand
	vtime.Loop

	procs    []*proc
	revision uint64
	// withdrawn holds when each server's withdrawal was published.
	withdrawn map[string]monotime.Instant
	runs      map[string][]string
	calls     map[string]*call
	sent      []*call
	cut       map[[2]string]bool
	faults    bool
	failures  []string
}

// proc is one process with its pauses.
type proc struct {
	w             *world
	name          string
	started       monotime.Instant
	node          *Node
	self          reqid.Incarnation
	dead          bool
	pausedUntil   monotime.Instant
	deferredCalls []func()
}

// call is a caller's request and the verdicts it received.
type call struct {
	id       string
	class    *catalog.Class
	target   *proc
	submits  int
	verdicts []verdict.Verdict
	err      *verdict.Error // with the last verdict, nil for a whole answer
	customer string
	complete bool
	orphaned bool
}

const (
	worldServers = 4
	worldNodes   = 3
	publishDelay = 800 * time.Millisecond
	withdrawWait = 3 * time.Second
	limitedRate  = 10 // requests a second of the limited customer
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 99)),
		withdrawn: make(map[string]monotime.Instant),
		runs:      make(map[string][]string),
		calls:     make(map[string]*call),
		cut:       make(map[[2]string]bool),
	}
	w.Run(time.Second)
	for i := range worldNodes {
		p := &proc{w: w, name: fmt.Sprintf("n%d", i)}
		w.procs = append(w.procs, p)
		p.boot()
	}
	w.publishViews()
	return w
}

func (w *world) catalog() *catalog.Catalog {
	inv := &inventory.Inventory{
		DataCentres: []inventory.DataCentre{{Name: "a", Region: "r"}},
		Classes: []inventory.Class{
			{Name: "once", Kind: inventory.ClassKindModel, Model: "m", DeadlineMS: 4000, MaxQueueMS: 4000},
			{Name: "often", Kind: inventory.ClassKindModel, Model: "m", DeadlineMS: 4000, MaxQueueMS: 4000, Idempotent: true, Tier: 1},
			{Name: "service", Kind: inventory.ClassKindService, Service: "s", DeadlineMS: 4000, MaxQueueMS: 4000},
		},
		Customers: []inventory.Customer{{Name: "c", Weight: 1}, {Name: "limited", Weight: 1, RequestsPerS: limitedRate, BurstS: 1}},
		Tiers:     []inventory.Tier{{Tier: 0, Name: "high"}, {Tier: 1, Name: "low"}},
		Rules:     &inventory.Rules{ServersPerGroup: 1, RetryBudget: 0.5, GrantLeaseMS: 3000, AnswerKeepS: 1, DirectoryTTLS: 30},
	}
	for i := range worldServers {
		server := inventory.Server{Name: fmt.Sprintf("s%d", i), DataCentre: "a", Kind: inventory.ServerKindModel,
			Engines: []inventory.Engine{{Name: "e", Models: []string{"m"}, Slots: 2, StepMS: 7, PrefillTokensPerS: 20000}}}
		if i == worldServers-1 {
			server.Kind = inventory.ServerKindApplication
			server.Engines[0].Models = nil
			server.Engines[0].Services = []string{"s"}
		}
		_, server.Withdrawn = w.withdrawn[server.Name]
		inv.Servers = append(inv.Servers, server)
	}
	return catalog.Compile(w.revision+1, inv)
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("at %v: ", time.Duration(w.Now()))+fmt.Sprintf(format, args...))
}

func (w *world) chance(percent int) bool {
	return w.faults && w.rng.IntN(100) < percent
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// boot starts a new incarnation, which has no state of the previous one.
func (p *proc) boot() {
	w := p.w
	p.dead = false
	p.pausedUntil = 0
	p.deferredCalls = nil
	p.started = w.Now()
	p.self = reqid.NewIncarnation(p.name, time.UnixMilli(int64(w.Now())/int64(time.Millisecond)), w.rng.Uint32())
	p.node = New(Config{Self: p.self, DataCentre: "a", Policy: sched.Default(), Seed: w.rng.Uint64()}, &effects{p: p, self: p.self})
	p.node.SetCatalog(p.clock(), w.catalog())
	p.tick(p.self)
}

// clock is the process's monotonic clock.
func (p *proc) clock() monotime.Instant {
	return p.w.Now() - p.started + 1
}

// deliver runs do on the process: at once, when its pause ends, or never if it is gone.
func (p *proc) deliver(self reqid.Incarnation, do func()) {
	if p.dead || p.self != self {
		return
	}
	if p.w.Now() < p.pausedUntil {
		p.deferredCalls = append(p.deferredCalls, do)
		return
	}
	do()
}

func (p *proc) tick(self reqid.Incarnation) {
	if p.dead || p.self != self {
		return
	}
	if p.w.Now() >= p.pausedUntil {
		p.node.Tick(p.clock())
	}
	p.w.After(TickInterval, func() { p.tick(self) })
}

// pause stops the process. Deliveries of that time are handled when it resumes, before its
// own tick: the order in which a stale grant does most harm.
func (p *proc) pause(d time.Duration) {
	if p.dead {
		return
	}
	p.pausedUntil = p.w.Now().Add(d)
	self := p.self
	p.w.After(d, func() {
		if p.self != self {
			return
		}
		missed := p.deferredCalls
		p.deferredCalls = nil
		for _, do := range missed {
			p.deliver(self, do)
		}
		p.w.After(TickInterval, func() { p.confirm(self) })
	})
}

// confirm delivers the newest revision from a peer or the platform, in answer to a request
// made now, after the tick that detected the pause.
func (p *proc) confirm(self reqid.Incarnation) {
	asked := p.clock()
	p.w.After(150*time.Millisecond, func() {
		p.deliver(self, func() {
			p.node.SetCatalog(p.clock(), p.w.catalog())
			p.node.Confirm(p.clock(), asked)
		})
	})
}

// publishViews gives every process a membership view; with faults, views are partly wrong.
func (w *world) publishViews() {
	for _, p := range w.procs {
		view := &membership.View{Known: len(w.procs)}
		for _, q := range w.procs {
			if q != p && (q.dead || w.chance(20)) {
				continue
			}
			view.Live = append(view.Live, membership.Member{ID: q.name, Incarnation: q.self.Token, DataCentre: "a"})
		}
		p.deliver(p.self, func() { p.node.SetView(p.clock(), view) })
	}
}

// effects implements Effects for a process of the world.
type effects struct {
	p    *proc
	self reqid.Incarnation
}

func (e *effects) Send(to string, env *wire.Envelope) {
	w := e.p.w
	from := e.p.name
	if w.cut[[2]string{from, to}] || w.chance(3) {
		return
	}
	w.After(w.between(time.Millisecond, 20*time.Millisecond), func() {
		for _, q := range w.procs {
			if q.name == to {
				q.deliver(q.self, func() { q.node.OnEnvelope(q.clock(), from, env) })
			}
		}
	})
}

func (e *effects) Start(a Attempt) {
	w, p, self := e.p.w, e.p, e.self
	server := a.Engine.Server.Spec.Name
	if at, ok := w.withdrawn[server]; ok && w.Now().Sub(at) > withdrawWait && !a.Resume {
		w.fail("%s started %s on %s, withdrawn %v before", p.name, a.RequestID, server, w.Now().Sub(at))
	}
	end := func(d time.Duration, err *verdict.Error) {
		w.After(d, func() {
			p.deliver(self, func() { p.node.AttemptEnded(p.clock(), a.Seq, a.Number, err) })
		})
	}
	soon := w.between(time.Millisecond, 300*time.Millisecond)
	switch {
	case w.chance(10):
		end(soon, verdict.New(verdict.NotRun, verdict.ReasonConnect, "connection refused"))
		return
	case w.chance(10):
		end(soon, verdict.New(verdict.NotRun, verdict.ReasonUpstreamRefused, "full"))
		return
	}
	if !a.Resume || a.Engine.Server.Spec.Kind == inventory.ServerKindApplication {
		w.runs[a.RequestID] = append(w.runs[a.RequestID], a.ID)
	}
	switch {
	case w.chance(10):
		end(soon, verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "connection reset"))
	case w.chance(10):
		a.Progress.RecordToken(p.clock())
		end(soon, verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "cut off"))
	default:
		a.Progress.RecordToken(p.clock())
		end(soon, nil)
	}
}

func (e *effects) CancelAttempt(id string) {
	w, p, self := e.p.w, e.p, e.self
	w.After(time.Millisecond, func() {
		p.deliver(self, func() {
			r := p.node.byID[id]
			if r != nil && r.state == stateRunning {
				p.node.AttemptEnded(p.clock(), r.seq, r.attempt,
					verdict.New(verdict.MayHaveRun, verdict.ReasonCallerGone, "cancelled"))
			}
		})
	})
}

func (e *effects) Finish(id string, err *verdict.Error) {
	c := e.p.w.calls[id]
	v := verdict.Ran
	if err != nil {
		v = err.Verdict
	}
	e.p.w.recordVerdict(c, v)
	c.err = err
	c.complete = err == nil
	p, self := e.p, e.self
	p.w.After(time.Millisecond, func() {
		p.deliver(self, func() { p.node.Delivered(p.clock(), id) })
	})
}

func (e *effects) Record(accounting.Record) {}

// send makes a caller send a request to a process.
func (w *world) send(p *proc, class string) *call {
	return w.sendAs(p, "c", class)
}

func (w *world) sendAs(p *proc, customer, class string) *call {
	if p.dead {
		return nil
	}
	prefix, _ := p.self.Prefix(time.UnixMilli(int64(w.Now())/int64(time.Millisecond)), IDLifetime)
	c := &call{id: fmt.Sprintf("%sx%d", prefix, len(w.calls)), target: p, customer: customer}
	w.calls[c.id] = c
	w.sent = append(w.sent, c)
	p.deliver(p.self, func() { w.submit(p, c, class) })
	return c
}

func (w *world) submit(p *proc, c *call, class string) {
	c.submits++
	cat := p.node.Catalog()
	c.class = cat.Classes[class]
	_, err := p.node.Submit(p.clock(), Request{ID: c.id, Customer: cat.Customers[c.customer], Class: c.class, PromptTokens: 100})
	if err != nil {
		c.err = err
		w.recordVerdict(c, err.Verdict)
	}
}

// recordVerdict records a verdict. "Not run" must be true when it is sent; a caller that
// then repeats the id may have it run.
func (w *world) recordVerdict(c *call, v verdict.Verdict) {
	c.verdicts = append(c.verdicts, v)
	if v == verdict.NotRun && len(w.runs[c.id]) > 0 {
		w.fail("%s was answered not run, but ran as %v", c.id, w.runs[c.id])
	}
}

// checkVerdicts compares what engines ran with the verdicts that callers received.
func (w *world) checkVerdicts() {
	for id, c := range w.calls {
		runs := w.runs[id]
		if c.class != nil && !c.class.Idempotent && len(runs) > 1 {
			w.fail("%s is not idempotent and ran %d times: %v", id, len(runs), runs)
		}
		if len(c.verdicts) > c.submits {
			w.fail("%s was sent %d times and answered %d times", id, c.submits, len(c.verdicts))
		}
		for _, v := range c.verdicts {
			if v == verdict.NotRun && len(runs) > 0 && c.submits == 1 {
				w.fail("%s was answered not run, but ran as %v", id, runs)
			}
		}
	}
}

// unanswered lists requests whose process lives and that got no answer.
func (w *world) unanswered() []string {
	var out []string
	for id, c := range w.calls {
		if len(c.verdicts) < c.submits && !c.orphaned && !c.target.dead && strings.Contains(id, c.target.self.Token) {
			out = append(out, id)
		}
	}
	return out
}

func (w *world) reportFailures() {
	w.t.Helper()
	w.checkVerdicts()
	for _, problem := range w.failures {
		w.t.Error(problem)
	}
}
