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
	// maxResumes bounds the resumptions of one attempt. With the doubling backoff, four
	// take at least 750 ms; a larger value delays the retry or the error.
	maxResumes = 4
	// resumeBackoff is the wait before the first resumption. It doubles with each further
	// one.
	resumeBackoff = 50 * time.Millisecond
	// attemptSeparator separates the request id from the attempt number in an attempt id.
	attemptSeparator = "."
)

func (n *Node) currentAttempt(r *request) Attempt {
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

// AttemptEnded reports the end of an attempt; err is nil for a complete answer. Reports of
// any attempt but the current one are ignored.
func (n *Node) AttemptEnded(now monotime.Instant, seq uint64, number int, err *verdict.Error) {
	n.lockAndDetectPause(now)
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
	r.worstVerdict = verdict.Worst(r.worstVerdict, err.Verdict)
	n.recordDecision(now, r, string(err.Reason), "attempt failed: "+err.Message, 0)
	switch {
	case err.Reason == verdict.ReasonCallerGone || err.Reason == verdict.ReasonDraining || r.callerGone && r.Class.Idempotent:
		n.endAttempt(now, r, sched.Cancelled)
		n.finish(now, r, n.finalError(r, err))
	case err.Verdict != verdict.NotRun && n.canResume(r, err):
		n.scheduleResume(now, r)
	case n.canRetry(now, r, err):
		n.retry(now, r, err)
	default:
		n.endAttempt(now, r, failureOutcome(err))
		n.finish(now, r, n.finalError(r, err))
	}
}

// failureOutcome returns the outcome of a failed attempt that is reported to the owner.
func failureOutcome(err *verdict.Error) sched.Outcome {
	if err.Verdict == verdict.NotRun && err.Reason == verdict.ReasonUpstreamRefused {
		return sched.Refused
	}
	return sched.Failed
}

// finalError returns err with the worst verdict of all attempts: an earlier attempt may
// have run even if the last one did not.
func (n *Node) finalError(r *request, err *verdict.Error) *verdict.Error {
	out := *err
	out.Verdict = r.worstVerdict
	return &out
}

// canResume reports whether the same run can continue over a new connection. Model engines
// keep generating for a while after a connection is lost. Application servers do not: a
// second request would execute the call twice.
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
	attempt := n.currentAttempt(r)
	attempt.Resume = true
	attempt.Offset = r.tokens()
	n.eff.Start(attempt)
}

// canRetry reports whether the request may be started again elsewhere. A request that is
// not idempotent may be only if no attempt can have run. A request of which tokens were
// relayed may not: another run would produce a different text.
func (n *Node) canRetry(now monotime.Instant, r *request, err *verdict.Error) bool {
	safe := r.worstVerdict == verdict.NotRun || r.Class.Idempotent
	if !safe || r.late(now) || r.callerGone || r.tokens() > 0 || err.Reason == verdict.ReasonUpstreamError {
		return false
	}
	return n.budget.tryTake()
}

func (n *Node) retry(now monotime.Instant, r *request, err *verdict.Error) {
	r.avoidEngine = r.engine.ID
	n.endAttempt(now, r, failureOutcome(err))
	r.engine = nil
	n.counts.Retried++
	n.acquireSlot(now, r)
}

// endAttempt releases the slot of the attempt with its statistics.
func (n *Node) endAttempt(now monotime.Instant, r *request, outcome sched.Outcome) {
	n.chargeLimit(now, r)
	tokens := r.tokens()
	result := sched.Result{
		Outcome: outcome,
		Tokens:  tokens - r.reportedTokens,
		Gap:     r.progress.MeanGap(),
	}
	if first := r.progress.FirstTokenAt(); first != 0 {
		result.FirstToken = first.Sub(r.started)
	}
	r.reportedTokens = tokens
	if outcome == sched.Finished {
		n.measures.Record(r.Class, tokens, now.Sub(r.started), result.FirstToken)
	} else {
		r.wastedTokens += tokens
	}
	n.release(now, r.owner, r.group.Name, r.seq, result)
}
