package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// maxGroups bounds how many groups one request asks after a refusal. A second
// one pays when the backlogs this node knew were out of date; more would only
// delay the refusal.
const maxGroups = 3

// onGrant takes a slot that the owner from granted.
func (n *Node) onGrant(now monotime.Instant, from string, g wire.Grant) {
	r := n.requests[uint64(g.Seq)]
	if r == nil || r.state != stateWaiting || r.owner != from || r.group.Name != g.Group {
		n.release(now, from, g.Group, uint64(g.Seq), sched.Result{Outcome: sched.Unused})
		return
	}
	n.picker.ObserveBacklog(g.Group, r.tier, milliseconds(g.BacklogMS), now)
	if n.gate.closed {
		r.held = true
		n.release(now, from, g.Group, r.seq, sched.Result{Outcome: sched.Unused})
		return
	}
	n.dispatch(now, r, g)
}

// dispatch starts the request at the granted engine. The checks come after every
// wait and just before the start: a grant may have been overtaken by a deadline
// or a withdrawal of the server while this process did not run.
func (n *Node) dispatch(now monotime.Instant, r *request, g wire.Grant) {
	engine := n.usable(g)
	late := r.late(now)
	if engine == nil || late {
		n.release(now, r.owner, g.Group, r.seq, sched.Result{Outcome: sched.Unused})
	}
	if late {
		n.refuse(now, r, deadlineError())
		return
	}
	if engine == nil {
		n.acquire(now, r)
		return
	}
	n.start(now, r, engine, g.Priority)
}

// usable returns the engine of a grant if this node's configuration lets it get
// new work.
func (n *Node) usable(g wire.Grant) *catalog.Engine {
	engine := n.catalog.Load().Engines[g.Server+"/"+g.Engine]
	if engine == nil || engine.Server.Spec.Withdrawn {
		return nil
	}
	return engine
}

func (n *Node) start(now monotime.Instant, r *request, engine *catalog.Engine, priority int) {
	r.state = stateRunning
	r.attempt++
	r.resumes = 0
	r.engine = engine
	r.priority = priority
	r.started = now
	r.progress = NewProgress()
	r.charged = 0
	r.limited = 0
	n.picker.RecordPrefix(now, r.Prefix, r.group)
	r.queued += now.Sub(r.askedAt)
	n.recordDecision(now, r, "started", n.whyGranted(now, r), r.believed.age)
	n.eff.Start(n.attemptOf(r))
}

// onRefuse takes the refusal of a slot.
func (n *Node) onRefuse(now monotime.Instant, from string, f wire.Refuse) {
	r := n.requests[uint64(f.Seq)]
	if r == nil || r.state != stateWaiting || r.owner != from || r.group.Name != f.Group {
		return
	}
	n.picker.ObserveBacklog(f.Group, r.tier, milliseconds(f.BacklogMS), now)
	err := verdict.New(verdict.NotRun, verdict.Reason(f.Reason), "no server can serve the request in time").
		After(milliseconds(f.RetryAfterMS))
	r.skip = append(r.skip, f.Group)
	n.recordDecision(now, r, f.Reason, n.whyRefused(now, r, from, f), r.believed.age)
	if len(r.skip) < maxGroups && n.askElsewhere(now, r) {
		return
	}
	n.refuse(now, r, err)
}

// askElsewhere asks another group, if there is one that was not just refused.
func (n *Node) askElsewhere(now monotime.Instant, r *request) bool {
	cat := n.catalog.Load()
	other := n.picker.Pick(now, cat, n.askFor(r), n.rng)
	if other == nil {
		return false
	}
	r.group = other
	r.askedAt = now
	n.ask(now, r)
	return true
}

// CallerGone tells that the caller of a request has vanished. Idempotent work
// is cancelled; other work goes on, and its answer is kept for the caller.
func (n *Node) CallerGone(now monotime.Instant, id string) {
	n.enter(now)
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	switch {
	case r.state == stateWaiting:
		n.withdraw(now, r)
		n.finish(now, r, verdict.New(r.worst, verdict.ReasonCallerGone, "the caller left before the request started"))
	case r.Class.Idempotent && r.state == stateRunning:
		n.eff.CancelAttempt(r.ID)
	}
}

// refuse ends a waiting request at once.
func (n *Node) refuse(now monotime.Instant, r *request, err *verdict.Error) {
	err.Verdict = verdict.Worst(err.Verdict, r.worst)
	n.finish(now, r, err)
}

func deadlineError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before a server was free").
		After(time.Second)
}

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
