package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
	"basilrudder/internal/verdict"
)

const (
	// maxBufferedAnswer is the size up to which an answer is read completely before the
	// caller gets any of it, so that a truncated one can still be replaced. Longer
	// answers are passed on as they arrive.
	maxBufferedAnswer = 256 << 10
	// minBufferedAnswer is the part of it that is not counted: each request in progress takes it.
	minBufferedAnswer = 2 << 10
	// copyBufferSize is the size of one read of a long answer or a stream.
	copyBufferSize = 16 << 10
	// callerReadGrace is how long beyond the deadline a caller may take to read the
	// answer. It bounds how long a stalled caller can hold its request.
	callerReadGrace = time.Second
	// responseTimeoutFactor times the predicted time of the first event is how long a
	// stream that may be sent again waits for it before another server is tried, and at
	// least responseTimeoutGoals times its goal. Before the goal, a second server can
	// only be later than a slow first one, because it has to read the prompt too. After
	// it the stream is late, and only a server that will never answer is worth giving up.
	// Callers give up after four times the goal.
	responseTimeoutFactor = 3
	responseTimeoutGoals  = 1.75
	// plainResponseTimeout is that wait for requests that are not prompts: five times the
	// goal of the strictest class, 100 ms.
	plainResponseTimeout = 500 * time.Millisecond
	// answerOverdue is how long a server may take to begin its answer before its path is
	// suspected. Prompts take longer to read, so a suspicion alone changes nothing.
	answerOverdue = 400 * time.Millisecond
)

// receive reads the answer to one send and passes it on. After an error the caller has no
// final answer yet.
func (f *forwarder) receive(e *exchange, run int) *verdict.Error {
	fleet := f.relay.cfg.Fleet
	overdue := time.AfterFunc(answerOverdue, f.unansweredReport())
	err := f.awaitBytes(e, run, f.responseTimeout())
	if err == nil {
		err = e.readHead(f.hr.Method, f.request.ID, f.relay.cfg.Protocol, f.responseTimeout(), f.deadline)
	}
	overdue.Stop()
	f.reportHead(e, err)
	f.applyNotice(e)
	if err != nil {
		e.abandon()
		if !errors.Is(err, errMoved) {
			f.observe(placement.Failed)
		}
		return verdict.Wrap(verdict.MayHaveRun, reasonOf(err), err)
	}
	if e.answer.NotRun {
		return f.handleRefusal(e)
	}
	f.received.framing = framingOf(e.resp)
	if e.resp.StatusCode >= http.StatusInternalServerError {
		f.observe(placement.Failed)
		if f.route.MayRepeat() && !f.stream.begun() && f.sends < f.route.Attempts {
			e.abandon()
			return verdict.New(verdict.Ran, verdict.ReasonUpstreamError, "status "+strconv.Itoa(e.resp.StatusCode))
		}
	}
	streams := f.route.Streaming && e.resp.StatusCode < http.StatusMultipleChoices
	if f.stream.begun() && !(streams && f.received.framing != framingNone && isEventStream(e.resp)) {
		// Events were delivered already; another kind of answer can't follow.
		e.abandon()
		return verdict.New(verdict.Ran, verdict.ReasonUpstreamError, "status "+strconv.Itoa(e.resp.StatusCode)+" in place of further events")
	}
	if streams {
		return f.relayStream(e, run)
	}
	now := monotime.Now()
	f.relay.answers.record(f.target.ID, now)
	fleet.FirstEvent(run, now)
	return f.relayWhole(e, now)
}

// reportHead reports whether the server began its answer.
func (f *forwarder) reportHead(e *exchange, err error) {
	switch {
	case e.resp != nil, errors.Is(err, netconn.ErrTooLong):
		f.reportReached()
	case err != nil && !errors.Is(err, errMoved):
		f.reportUnanswered()
	}
}

// reportReached reports bytes of an answer over a direct connection.
func (f *forwarder) reportReached() {
	if f.via == nil {
		f.relay.cfg.Connector.Reached(f.target)
	}
}

// reportUnanswered reports a direct connection that broke before an answer began.
func (f *forwarder) reportUnanswered() {
	if f.ctx.Err() == nil {
		f.unansweredReport()()
	}
}

// unansweredReport returns a function that reports the current server as one that does not
// answer. It may be called after the forwarder has moved on.
func (f *forwarder) unansweredReport() func() {
	if f.via != nil {
		return func() {}
	}
	target, connector := f.target, f.relay.cfg.Connector
	return func() { connector.Unanswered(target) }
}

// applyNotice applies what the server reported about itself, also in an answer that is
// not passed on. An answer to a request sent to the wrong address comes from another
// server and is ignored.
func (f *forwarder) applyNotice(e *exchange) {
	if e.resp == nil || e.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	notice := e.answer.Notice
	if promisesNotRun(e.resp.StatusCode) {
		notice.Pause = parseRetryAfter(e.resp.Header)
	}
	notice.Refused = e.answer.NotRun && e.resp.StatusCode == http.StatusServiceUnavailable
	f.relay.cfg.Fleet.ApplyNotice(f.target.ID, notice, e.sentAt, monotime.Now())
}

// handleRefusal handles an answer that guarantees that the server did not run the
// request.
func (f *forwarder) handleRefusal(e *exchange) *verdict.Error {
	status := e.resp.StatusCode
	after := parseRetryAfter(e.resp.Header)
	if err := netconn.Discard(e.resp.Body, maxDiscardedBody); err != nil {
		e.abandon()
	} else {
		e.finish()
	}
	if status == http.StatusMisdirectedRequest {
		// The address now belongs to another incarnation.
		f.observe(placement.Unreachable)
		f.relay.cfg.Fleet.Misdirected(f.target.ID, monotime.Now())
	} else {
		f.observe(placement.Refused)
	}
	problem := verdict.New(verdict.NotRun, verdict.ReasonUpstreamRefused, "status "+strconv.Itoa(status))
	return problem.After(max(after, retryFull))
}

// responseTimeout returns how long to wait for the start of an answer before another
// server is tried; 0 means until the deadline, because no other server may be tried.
func (f *forwarder) responseTimeout() time.Duration {
	if !f.route.MayRepeat() || f.sends >= f.route.Attempts {
		return 0
	}
	if !f.route.Streaming {
		return plainResponseTimeout
	}
	goals := time.Duration(responseTimeoutGoals * float64(f.route.Goal))
	return max(goals, responseTimeoutFactor*f.target.Choice.First)
}

// relayWhole passes on an answer that is not a stream and whose header came at begunAt.
func (f *forwarder) relayWhole(e *exchange, begunAt monotime.Instant) *verdict.Error {
	body, whole, err := f.readAnswer(e.resp.Body)
	f.received.bytes = int64(len(body))
	if err == nil && whole {
		err = f.checkEnd(e)
	}
	if err != nil {
		e.abandon()
		f.observe(placement.Failed)
		return verdict.Wrap(verdict.Ran, verdict.ReasonUpstreamLost, errors.Join(errTruncated, err))
	}
	if e.resp.StatusCode < http.StatusInternalServerError {
		f.observe(placement.Served)
	}
	f.beginAnswer(e.resp)
	f.received.ended = whole
	if whole {
		f.reportSurvived(e, begunAt)
		f.checkUnmarkedEnd(e, begunAt)
		e.finish()
		if f.received.framing == framingLength || f.received.framing == framingChunked {
			f.framing = framingLength
			f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
	}
	f.sendHead(e.resp.StatusCode)
	if _, err := f.w.Write(body); err != nil {
		e.abandon()
		return f.callerGone(err)
	}
	if whole {
		return f.endAnswer()
	}
	return f.relayRest(e, begunAt)
}

// relayRest passes on the rest of a long answer as it arrives.
func (f *forwarder) relayRest(e *exchange, begunAt monotime.Instant) *verdict.Error {
	f.stream.started = true
	n, err := io.CopyBuffer(f.w, e.resp.Body, make([]byte, copyBufferSize))
	f.received.bytes += n
	if err == nil {
		err = f.checkEnd(e)
	}
	if err != nil {
		e.abandon()
		return verdict.Wrap(verdict.Ran, verdict.ReasonUpstreamLost, err)
	}
	f.received.ended = true
	f.reportSurvived(e, begunAt)
	problem := f.endAnswer()
	e.finish()
	return problem
}

// beginAnswer sets the headers of the final answer and records its status.
func (f *forwarder) beginAnswer(resp *http.Response) {
	copyAnswer(f.w.Header(), resp.Header)
	f.setFraming(f.received.framing)
	f.closeIfUnwanted()
	f.status = resp.StatusCode
	f.firstByte = monotime.Now()
	f.worst = verdict.Ran
	// Only the response writers of tests have no deadlines.
	_ = http.NewResponseController(f.w).SetWriteDeadline(f.deadline.Add(callerReadGrace))
}

// callerGone returns the error of a request whose caller accepts no more bytes.
func (f *forwarder) callerGone(err error) *verdict.Error {
	f.stream.started = true
	return verdict.Wrap(verdict.Ran, verdict.ReasonCallerGone, err)
}

func (f *forwarder) observe(outcome placement.Outcome) {
	if f.hr.Context().Err() != nil {
		return // the caller left; this is no failure of the server
	}
	f.relay.cfg.Fleet.Observe(f.target.ID, outcome, monotime.Now())
}

func reasonOf(err error) verdict.Reason {
	switch {
	case errors.Is(err, errUnresponsive), errors.Is(err, errMoved), netconn.IsTimeout(err):
		return verdict.ReasonUpstreamSilent
	case errors.Is(err, errUnsigned), errors.Is(err, errAmbiguous), errors.Is(err, netconn.ErrTooLong):
		return verdict.ReasonUpstreamError
	default:
		return verdict.ReasonUpstreamLost
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// maxRetryAfterSeconds bounds the Retry-After times of servers. Without the bound, one
// faulty header could keep a server paused indefinitely.
const maxRetryAfterSeconds = 3600

// parseRetryAfter parses a Retry-After header in seconds; 0 when it is missing, invalid
// or not positive.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
}
