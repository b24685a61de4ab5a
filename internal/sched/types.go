// Package sched schedules the requests for one group of servers: it admits or refuses
// them, orders those that wait, and assigns each to an engine.
//
// A Group is soft state in the instance that owns the group. It does no I/O, reads no
// clock and starts no goroutine: the daemon and a replay with the same input take the
// same decisions. A Group is not safe for concurrent use.
package sched

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Ticket identifies a request by the instance that holds it.
type Ticket struct {
	// Holder is the incarnation of the instance that holds the request.
	Holder string
	// Seq is the request's number, unique within Holder.
	Seq uint64
}

// Demand is a request for a slot.
type Demand struct {
	Ticket
	// Class is the request's class.
	Class *catalog.Class
	// Customer is the customer that the slot time is charged to.
	Customer *catalog.Customer
	// Tier is the request's tier; 0 is the highest.
	Tier int
	// PromptTokens is the length of the prompt; 0 for a plain service.
	PromptTokens int
	// Prefix is the hash of the prompt's cacheable prefix; 0 for none.
	Prefix uint64
	// FirstTokenBy is when the first token is due; 0 for never.
	FirstTokenBy monotime.Instant
	// EndBy is when the end of the answer is due; 0 for never.
	EndBy monotime.Instant
	// Target is the model or service; the class's own when empty.
	Target string
	// ExpectedHold is the mean time that requests of the class hold a slot, as measured
	// by the holder; 0 if unknown. It is used only until the group has enough samples of
	// its own.
	ExpectedHold time.Duration
	// Avoid is the ID of an engine that has failed this request, or empty.
	Avoid string
}

// Decision is the answer to a Demand.
type Decision struct {
	Ticket
	// Granted reports whether the request got a slot.
	Granted bool
	// Engine is the engine of a granted slot.
	Engine *catalog.Engine
	// Priority at the engine; 0 is the highest.
	Priority int
	// PrefixHit reports whether the engine is expected to have the prefix cached.
	PrefixHit bool
	// Reason is the reason for a refusal.
	Reason verdict.Reason
	// RetryAfter is the delay after which a refused request may be retried.
	RetryAfter time.Duration
	// Backlog is the wait that the next request of this tier should expect.
	Backlog time.Duration
	// Lease is how long the slot stays held without a call of Progress.
	Lease time.Duration
	// Why explains the decision in words.
	Why string
}

// Outcome is how the use of a slot ended.
type Outcome uint8

// Outcomes, numbered as in wire.Release.
const (
	Finished Outcome = iota
	Unused
	Refused
	Failed
	Cancelled
)

// Result is what the holder reports about a slot that it releases.
type Result struct {
	// Outcome of the attempt.
	Outcome Outcome
	// Tokens is the number of tokens generated since the last Progress.
	Tokens int
	// FirstToken is the time from the start to the first token, or to the complete answer
	// of a plain service; 0 if none arrived.
	FirstToken time.Duration
	// Gap is the mean time between tokens; 0 if unknown.
	Gap time.Duration
}

// Values of Decision.Why.
const (
	whyIdle      = "slot free"
	whyTurn      = "next in the queue"
	whyFloor     = "floor share of a waiting tier"
	whyProbe     = "probe of a failed engine"
	whyBaseline  = "baseline policy"
	whyRepeated  = "slot already held"
	whyNoServer  = "no server takes new work for the target"
	whyTooLate   = "cannot meet its deadline with the work queued ahead"
	whyExpired   = "waited until its deadline could no longer be met"
	whyQueueFull = "queue full; requests of this tier and customer are refused first"
)
