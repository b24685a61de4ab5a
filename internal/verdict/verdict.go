// Package verdict defines verdicts, which state whether a request may have run. Every
// error of an upstream call and every refusal sent to a caller carries one.
package verdict

import (
	"fmt"
	"time"
)

// Verdict states whether an upstream executed a request. Larger values outweigh smaller
// ones.
type Verdict uint8

const (
	// NotRun means that no upstream started the request: either no byte was written to
	// one, or the upstream itself refused it before starting.
	NotRun Verdict = iota
	// MayHaveRun means that bytes of the request may have been sent to an upstream.
	MayHaveRun
	// Ran means that an upstream has started the request.
	Ran
)

// Text forms of the verdicts, as sent to callers and written to accounting records.
const (
	TextNotRun     = "not_run"
	TextMayHaveRun = "may_have_run"
	TextRan        = "ran"
)

// String returns the text form of v.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return TextNotRun
	case Ran:
		return TextRan
	default:
		return TextMayHaveRun
	}
}

// Worst returns the verdict on a request with two attempts. Ran outweighs MayHaveRun,
// which outweighs NotRun.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons, as sent to callers and written to accounting records.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonForbidden       Reason = "forbidden"
	ReasonUnknownClass    Reason = "unknown_class"
	ReasonUnknownRequest  Reason = "unknown_request"
	ReasonUnknownStream   Reason = "unknown_stream"
	ReasonUnboundKey      Reason = "unbound_key"
	ReasonIDExpired       Reason = "id_expired"
	ReasonHomeGone        Reason = "home_gone"
	ReasonHomeUnreachable Reason = "home_unreachable"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonOverloaded      Reason = "overloaded"
	ReasonDeadline        Reason = "deadline"
	ReasonNoServer        Reason = "no_server"
	ReasonNotReady        Reason = "not_ready"
	ReasonIsolated        Reason = "isolated"
	ReasonPaused          Reason = "paused"
	ReasonDraining        Reason = "draining"
	ReasonRetryBudget     Reason = "retry_budget"
	ReasonConnect         Reason = "connect"
	ReasonUpstreamRefused Reason = "upstream_refused"
	ReasonUpstreamLost    Reason = "upstream_lost"
	ReasonUpstreamSilent  Reason = "upstream_silent"
	ReasonUpstreamError   Reason = "upstream_error"
	ReasonCrashesServers  Reason = "crashes_servers"
	ReasonMayCrashServers Reason = "may_crash_servers"
	ReasonCallerGone      Reason = "caller_gone"
	ReasonInternal        Reason = "internal"
)

// Error is a failure or refusal with its verdict.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Message is a human-readable explanation.
	Message string
	// RetryAfter is the time after which the caller may retry; zero if a retry would not
	// help.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an Error without a cause.
func New(v Verdict, reason Reason, message string) *Error {
	return &Error{Verdict: v, Reason: reason, Message: message}
}

// Wrap returns an Error with a cause, whose text becomes the message.
func Wrap(v Verdict, reason Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Message: cause.Error(), Cause: cause}
}

// After returns a copy of e with RetryAfter set to d.
func (e *Error) After(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}
