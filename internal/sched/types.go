// Package sched schedules one group of servers: it admits, orders, places and
// refuses requests. A Group is soft state held by the instance that owns the
// group; it does no I/O, reads no clock and starts no goroutine, so that the
// daemon and a replay take the same decisions. A Group is not safe for
// concurrent use.
package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Ticket names a request at the instance that holds it.
type Ticket struct {
	// Holder is the incarnation of the instance that holds the request.
	Holder string
	// Seq numbers the holder's requests.
	Seq uint64
}

// Demand asks for a slot.
type Demand struct {
	Ticket
	// Class of the request.
	Class *catalog.Class
	// Customer who asks.
	Customer *catalog.Customer
	// Tier of the request; 0 is the highest.
	Tier int
	// PromptTokens of the request; 0 for a plain service.
	PromptTokens int
	// Prefix is the hash of the prompt's cacheable prefix; 0 for none.
	Prefix uint64
	// FirstTokenBy is when the first token is due; 0 for never.
	FirstTokenBy monotime.Instant
	// EndBy is when the end of the answer is due; 0 for never.
	EndBy monotime.Instant
	// Target is the model or the service; the class's own when empty.
	Target string
	// ExpectedHold is the time that requests of the class hold their slots, as the
	// holder measured; 0 for unknown. A group that measured the class does not
	// need it.
	ExpectedHold time.Duration
	// Avoid is the id of an engine that failed this request, or empty.
	Avoid string
}

// Decision is the answer to a Demand.
type Decision struct {
	Ticket
	// Granted says whether the request got a slot.
	Granted bool
	// Engine of the slot.
	Engine *catalog.Engine
	// Priority at the engine; 0 is the highest.
	Priority int
	// PrefixHit says whether the engine is believed to hold the prefix.
	PrefixHit bool
	// Reason of a refusal.
	Reason verdict.Reason
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Backlog is the wait expected by the next request of this tier.
	Backlog time.Duration
	// Lease is how long the slot stays held without a Progress.
	Lease time.Duration
	// Why explains the decision to an operator.
	Why string
}

// Outcome says how the use of a slot ended.
type Outcome uint8

// Outcomes, numbered as in wire.Release.
const (
	Finished Outcome = iota
	Unused
	Refused
	Failed
	Cancelled
)

// Result is what the holder measured of a slot it gives back.
type Result struct {
	// Outcome of the attempt.
	Outcome Outcome
	// Tokens since the last Progress.
	Tokens int
	// FirstToken is the time from the start to the first token, or to the whole
	// answer of a plain service; 0 when none came.
	FirstToken time.Duration
	// Gap is the mean time between tokens; 0 when unknown.
	Gap time.Duration
}

// Texts of Decision.Why.
const (
	whyIdle      = "slot free"
	whyTurn      = "turn came"
	whyFloor     = "floor of a waiting tier"
	whyProbe     = "probe of an engine that failed"
	whyBaseline  = "baseline policy"
	whyRepeated  = "slot already held"
	whyNoServer  = "no server takes new work for the target"
	whyTooLate   = "cannot be on time with the work ahead"
	whyExpired   = "waited until it could no longer be on time"
	whyQueueFull = "queue full; this tier or customer yields first"
)
