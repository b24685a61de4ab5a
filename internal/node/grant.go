package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// maxGroupsPerRequest bounds the groups that one request tries. A second group helps when
// this node's backlog estimates are out of date; more would only delay the refusal.
const maxGroupsPerRequest = 3

// onGrant handles a slot granted by an owner. A grant that no waiting request matches is
// released at once, and so is one that arrives while dispatch is held back.
func (n *Node) onGrant(now monotime.Instant, from string, g wire.Grant) {
	r := n.requests[uint64(g.Seq)]
	if r == nil || r.state != stateWaiting || r.owner != from || r.group.Name != g.Group {
		n.release(now, from, g.Group, uint64(g.Seq), sched.Result{Outcome: sched.Unused})
		return
	}
	n.picker.ObserveBacklog(g.Group, r.tier, msToDuration(g.BacklogMS), now)
	if n.gate.closed {
		r.grantDeferred = true
		n.release(now, from, g.Group, r.seq, sched.Result{Outcome: sched.Unused})
		return
	}
	n.dispatch(now, r, g)
}

// dispatch starts the request at the granted engine. The checks come after every wait and
// just before the start: while this process did not run, the deadline may have passed or
// the server may have been withdrawn.
func (n *Node) dispatch(now monotime.Instant, r *request, g wire.Grant) {
	engine := n.usableEngine(g)
	late := r.late(now)
	if engine == nil || late {
		n.release(now, r.owner, g.Group, r.seq, sched.Result{Outcome: sched.Unused})
	}
	if late {
		n.refuse(now, r, deadlineError())
		return
	}
	if engine == nil {
		n.acquireSlot(now, r)
		return
	}
	n.start(now, r, engine, g.Priority)
}

// usableEngine returns the engine of a grant, or nil if this node's configuration does not
// have it or has its server withdrawn.
func (n *Node) usableEngine(g wire.Grant) *catalog.Engine {
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
	r.reportedTokens = 0
	r.chargedTokens = 0
	n.picker.RecordPrefix(now, r.Prefix, r.group)
	r.queueTime += now.Sub(r.requestedAt)
	n.recordDecision(now, r, "started", n.grantExplanation(now, r), r.estimate.age)
	n.eff.Start(n.currentAttempt(r))
}

// onRefuse handles an owner's refusal of a slot.
func (n *Node) onRefuse(now monotime.Instant, from string, f wire.Refuse) {
	r := n.requests[uint64(f.Seq)]
	if r == nil || r.state != stateWaiting || r.owner != from || r.group.Name != f.Group {
		return
	}
	n.picker.ObserveBacklog(f.Group, r.tier, msToDuration(f.BacklogMS), now)
	err := verdict.New(verdict.NotRun, verdict.Reason(f.Reason), "no server can serve the request in time").
		After(msToDuration(f.RetryAfterMS))
	r.refusedBy = append(r.refusedBy, f.Group)
	n.recordDecision(now, r, f.Reason, n.refusalExplanation(now, r, from, f), r.estimate.age)
	if len(r.refusedBy) < maxGroupsPerRequest && n.tryOtherGroup(now, r) {
		return
	}
	n.refuse(now, r, err)
}

// tryOtherGroup requests a slot from a group that has not refused the request. It reports
// whether there is one.
func (n *Node) tryOtherGroup(now monotime.Instant, r *request) bool {
	cat := n.catalog.Load()
	group := n.picker.Pick(now, cat, n.routeQuery(r), n.rng)
	if group == nil {
		return false
	}
	r.group = group
	r.requestedAt = now
	n.requestSlot(now, r)
	return true
}

// CallerGone reports that the caller of a request has disconnected. Idempotent work is
// cancelled; other work continues, and its answer is kept for the caller.
func (n *Node) CallerGone(now monotime.Instant, id string) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.callerGone {
		return
	}
	r.callerGone = true
	switch {
	case r.state == stateWaiting:
		n.withdraw(now, r)
		n.finish(now, r, verdict.New(r.worstVerdict, verdict.ReasonCallerGone, "the caller left before the request started"))
	case r.Class.Idempotent && r.state == stateRunning:
		n.eff.CancelAttempt(r.ID)
	}
}

// refuse ends a waiting request with err, whose verdict becomes the worst of its attempts.
func (n *Node) refuse(now monotime.Instant, r *request, err *verdict.Error) {
	err.Verdict = verdict.Worst(err.Verdict, r.worstVerdict)
	n.finish(now, r, err)
}

func deadlineError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before a server was free").
		After(time.Second)
}

func msToDuration(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
