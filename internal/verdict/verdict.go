// Package verdict tells whether a request may have run. Every error that
// leaves an upstream call or refuses a caller carries a Verdict.
package verdict

import (
	"fmt"
	"time"
)

// Verdict says what is known about the execution of a request.
type Verdict uint8

const (
	// NotRun means that no upstream started the request: nothing was ever
	// written to one, or the upstream itself refused before starting.
	NotRun Verdict = iota
	// MayHaveRun means that bytes of the request may have left for an upstream.
	MayHaveRun
	// Ran means that an upstream is known to have started the request.
	Ran
)

// Text forms of the verdicts, as callers and accounting records see them.
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

// Worst returns the verdict that promises less about a request of which two
// attempts are known: one that ran outweighs one that may have, and that one
// outweighs one that did not.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons, as they appear in refusals and accounting records.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonForbidden       Reason = "forbidden"
	ReasonUnknownClass    Reason = "unknown_class"
	ReasonUnknownRequest  Reason = "unknown_request"
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
	ReasonCallerGone      Reason = "caller_gone"
	ReasonInternal        Reason = "internal"
)

// Error is a failure with its verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Message explains the failure to a person.
	Message string
	// RetryAfter is when to come back; zero when it does not help.
	RetryAfter time.Duration
	// Cause is the error beneath, or nil.
	Cause error
}

// New returns an Error without a cause.
func New(v Verdict, reason Reason, message string) *Error {
	return &Error{Verdict: v, Reason: reason, Message: message}
}

// Wrap returns an Error with a cause.
func Wrap(v Verdict, reason Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Message: cause.Error(), Cause: cause}
}

// After returns a copy of e with RetryAfter set.
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
