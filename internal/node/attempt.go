package node

import (
	"strconv"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/verdict"
)

const (
	// maxResumes bounds resumptions of one attempt in a row without progress.
	maxResumes = 4
	// resumeBackoff is the first wait before a resumption; it doubles.
	resumeBackoff = 50 * time.Millisecond
	// attemptSeparator stands between a request id and the number of an attempt.
	attemptSeparator = "."
)

func (n *Node) attemptOf(r *request) Attempt {
	return Attempt{
		Seq:       r.seq,
		Number:    r.attempt,
		RequestID: r.ID,
		ID:        r.ID + attemptSeparator + strconv.Itoa(r.attempt),
		Engine:    r.engine,
		Priority:  r.priority,
		Progress:  r.progress,
	}
}

// AttemptEnded tells how an attempt ended; err is nil for a whole answer.
func (n *Node) AttemptEnded(now monotime.Instant, seq uint64, number int, err *verdict.Error) {
	n.enter(now)
	defer n.mu.Unlock()
	r := n.requests[seq]
	if r == nil || r.state != stateRunning || r.attempt != number {
		return
	}
	if err == nil {
		n.endAttempt(now, r, sched.Finished)
		n.finish(now, r, nil)
		return
	}
	r.worst = verdict.Worst(r.worst, err.Verdict)
	n.recordDecision(now, r, string(err.Reason), "attempt failed: "+err.Message, 0)
	switch {
	case err.Reason == verdict.ReasonCallerGone || err.Reason == verdict.ReasonDraining || r.gone && r.Class.Idempotent:
		n.endAttempt(now, r, sched.Cancelled)
		n.finish(now, r, n.finalError(r, err))
	case err.Verdict != verdict.NotRun && n.canResume(r, err):
		n.scheduleResume(now, r)
	case n.canRetry(now, r, err):
		n.retry(now, r, err)
	default:
		n.endAttempt(now, r, outcomeOf(err))
		n.finish(now, r, n.finalError(r, err))
	}
}

// outcomeOf tells the owner what to think of the engine.
func outcomeOf(err *verdict.Error) sched.Outcome {
	if err.Verdict == verdict.NotRun && err.Reason == verdict.ReasonUpstreamRefused {
		return sched.Refused
	}
	return sched.Failed
}

// finalError carries the verdict over all attempts: an earlier one may have run
// even if the last one did not.
func (n *Node) finalError(r *request, err *verdict.Error) *verdict.Error {
	out := *err
	out.Verdict = r.worst
	return &out
}

// canResume reports whether the same run can go on over a new connection. Model
// engines keep generating for a while after a connection is lost; application
// servers do not, and asking one again would run the call twice.
func (n *Node) canResume(r *request, err *verdict.Error) bool {
	lost := err.Reason == verdict.ReasonUpstreamLost || err.Reason == verdict.ReasonUpstreamSilent ||
		err.Reason == verdict.ReasonConnect
	return lost && r.Class.Kind == inventory.ClassKindModel && r.resumes < maxResumes
}

func (n *Node) scheduleResume(now monotime.Instant, r *request) {
	r.state = stateResuming
	r.resumeAt = now.Add(resumeBackoff << r.resumes)
	r.resumes++
}

func (n *Node) resume(_ monotime.Instant, r *request) {
	r.state = stateRunning
	attempt := n.attemptOf(r)
	attempt.Resume = true
	attempt.Offset = r.tokens()
	n.eff.Start(attempt)
}

// canRetry reports whether the request may start again elsewhere. A request
// that is not idempotent may only when this attempt surely did not run. One of
// which tokens were relayed may not: another run would give another text.
func (n *Node) canRetry(now monotime.Instant, r *request, err *verdict.Error) bool {
	safe := r.worst == verdict.NotRun || r.Class.Idempotent
	if !safe || r.late(now) || r.gone || r.tokens() > 0 || err.Reason == verdict.ReasonUpstreamError {
		return false
	}
	return n.budget.take()
}

func (n *Node) retry(now monotime.Instant, r *request, err *verdict.Error) {
	r.avoid = r.engine.ID
	n.endAttempt(now, r, outcomeOf(err))
	r.engine = nil
	n.counts.Retried++
	n.acquire(now, r)
}

// endAttempt gives the slot of the attempt back.
func (n *Node) endAttempt(now monotime.Instant, r *request, outcome sched.Outcome) {
	n.chargeLimit(now, r)
	tokens := r.tokens()
	result := sched.Result{
		Outcome: outcome,
		Tokens:  tokens - r.charged,
		Gap:     r.progress.MeanGap(),
	}
	if first := r.progress.First(); first != 0 {
		result.FirstToken = first.Sub(r.started)
	}
	r.charged = tokens
	if outcome == sched.Finished {
		n.measures.Record(r.Class, tokens, now.Sub(r.started), result.FirstToken)
	} else {
		r.wasted += tokens
	}
	n.release(now, r.owner, r.group.Name, r.seq, result)
}
