package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/placement"
	"basilrudder/internal/verdict"
)

// failure is an answer of the relay's own.
type failure struct {
	status     int
	reason     verdict.Reason
	cause      error
	retryAfter time.Duration
}

func fail(status int, reason verdict.Reason, cause error) *failure {
	return &failure{status: status, reason: reason, cause: cause}
}

// later is the refusal of a request that has not run and may come back.
func later(reason verdict.Reason, after time.Duration) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after}
}

// refuse answers with a failure of the relay's own.
func (f *flight) refuse(p *failure) {
	f.status, f.reason, f.cause, f.comeBack = p.status, p.reason, p.cause, p.retryAfter
	if p.reason == verdict.ReasonCallerGone {
		// The caller broke off: nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	h := f.w.Header()
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	f.closeDuringDrain()
	f.w.WriteHeader(p.status)
	// The caller may have hung up; the record tells of the answer either way.
	_, _ = f.w.Write([]byte(string(p.reason) + "\n"))
}

// fullMessage tells what decided that no server has room.
func fullMessage(c placement.Choice) string {
	if c.Server != "" && c.Value >= 0 {
		return fmt.Sprintf("its caller would have left before its first or last event, with a probability of %.2f", c.LostProbability)
	}
	if c.Server != "" {
		return fmt.Sprintf("streams beside it would lose %.2f more than it earns", -c.Value)
	}
	if c.Reserved > 0 {
		return fmt.Sprintf("%d slots are free and more urgent requests need %d more until it would end", c.Free, c.Reserved)
	}
	if c.Free == 0 {
		return "all servers are full"
	}
	return fmt.Sprintf("%d slots are free and about %d requests on their way to them", c.Free, c.Unreported)
}

// closeDuringDrain tells callers to use other connections.
func (f *flight) closeDuringDrain() {
	if _, draining := f.relay.draining(f.arrived); draining {
		f.w.Header().Set("Connection", "close")
	}
}

// end answers a request that is not sent again. A 503 promises that it has not
// run and never will, so it is only given when no send leaves a doubt.
func (f *flight) end(problem *verdict.Error) {
	if f.stream.begun() {
		f.cut(problem)
		return
	}
	if f.worst == verdict.NotRun && problem.Reason == verdict.ReasonCrashesServers {
		f.refuseCulprit()
		return
	}
	if f.worst == verdict.NotRun {
		after := problem.RetryAfter
		if after == 0 {
			after = retryFull
		}
		answer := later(problem.Reason, after)
		answer.cause = problem
		f.refuse(answer)
		return
	}
	f.refuse(fail(http.StatusBadGateway, problem.Reason, problem))
}

// giveUp ends a request whose caller left or whose time is up.
func (f *flight) giveUp() {
	reason := verdict.ReasonDeadline
	if f.hr.Context().Err() != nil {
		reason = verdict.ReasonCallerGone
	}
	switch {
	case f.stream.begun():
		f.cut(verdict.New(f.worst, reason, "stream not finished"))
	case f.worst == verdict.NotRun:
		f.refuse(later(reason, retryFull))
	default:
		f.refuse(fail(http.StatusGatewayTimeout, reason, errors.New("no answer in time")))
	}
}

// cut ends an answer that has begun in a way that can't be taken for its end:
// the connection closes before the length or the last chunk is reached.
func (f *flight) cut(problem *verdict.Error) {
	f.reason, f.cause = problem.Reason, problem
	panic(http.ErrAbortHandler)
}
