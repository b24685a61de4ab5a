// Package relay takes requests from callers, sends each to a server, and gives
// the server's answer back unchanged. It decides what may be sent again, and
// gives every request one final answer.
//
// The HTTP server and the parser of answers are those of net/http. A handler of
// fasthttp does not learn that its caller hung up, so a server would go on
// working for nobody; and its client hides whether an answer without a length
// was cut off. Both decide here whether an answer is whole.
package relay

import (
	"context"
	"net/http"
	"time"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// Request is what the relay needs of a caller's headers.
type Request struct {
	// ID is the caller's, one for each try.
	ID string
	// Deadline is how long the caller waits; 0 when it does not say.
	Deadline time.Duration
	// Key that the caller shows; empty for none.
	Key string
	// ResumeAfter is the id of the last event that the caller has; empty for none.
	ResumeAfter string
	// Parts, Prompt and Output describe a prompt, see placement.Work.
	Parts          []placement.Part
	Prompt, Output int
}

// Forward is what the relay tells a server in headers of its own.
type Forward struct {
	// Server that must take the request; another one refuses it.
	Server string
	// Deadline is how long an answer is of use.
	Deadline time.Duration
	// Customer whose request it is; empty when there are none.
	Customer string
	// HideKey keeps the caller's key from the server.
	HideKey bool
	// Priority, 0 first.
	Priority int
	// ResumeAfter is the id of the last event received; empty for none.
	ResumeAfter string
	// FetchFrom is the address of a server to fetch the start of the prompt from;
	// empty for none.
	FetchFrom string
}

// Answer is what the relay needs of a server's headers.
type Answer struct {
	// ID of the request it answers; empty when it does not say.
	ID string
	// Signed answers are those of a server that worked on the request.
	Signed bool
	// NotRun says that the server promises not to have run the request.
	NotRun bool
	// Notice is what the server says of itself.
	Notice servers.Notice
}

// Protocol translates the headers of callers and servers.
type Protocol interface {
	// Request reads the headers of a caller.
	Request(h http.Header) (Request, error)
	// Forward changes a copy of a caller's headers into those for a server.
	Forward(h http.Header, f Forward)
	// Answer reads the headers of a server.
	Answer(status int, h http.Header) Answer
	// Event returns the id of an event of a stream, given as its lines; empty
	// when it has none.
	EventID(event []byte) string
}

// Target is a server chosen for a request.
type Target struct {
	servers.Server
	// Choice says what decided.
	Choice placement.Choice
	// MaxConns is this instance's share of the server's connections.
	MaxConns int
	// FetchFrom is the address of the server to fetch from; empty for none.
	FetchFrom string
	// EntryAge is the time since the store last confirmed what is known of servers.
	EntryAge time.Duration
}

// Fleet is what the relay asks of, and tells, the instance it runs in.
type Fleet interface {
	// Table in force; nil before the first configuration is known.
	Table() *routing.Table
	// Confirm reports whether the table in force is the newest there is, by
	// asking who would know.
	Confirm(ctx context.Context) bool
	// Place chooses a server of a service, none of those excluded, or says why
	// there is none.
	Place(service string, work placement.Work, excluded map[string]bool, now monotime.Instant) (Target, placement.Refusal)
	// Serving reports whether any instance has sent a request to a server of a service
	// lately, as far as this one has heard.
	Serving(service string, now monotime.Instant) bool
	// Begin, First, Events and End tell of a run at a server; Begin returns its
	// number, or false when the server may not get the request now after all, and
	// Events takes how many events of a stream have just come.
	Begin(target Target, work placement.Work, now monotime.Instant) (run int, ok bool)
	First(run int, now monotime.Instant)
	Events(run, count int, now monotime.Instant)
	End(run int, now monotime.Instant)
	// Standing tells where a run stands that its server has not answered yet.
	Standing(run int, now monotime.Instant) placement.QueueStatus
	// Observe tells what became of a request at a server.
	Observe(server string, outcome placement.Outcome, now monotime.Instant)
	// Suspects reports whether any request is suspected of crashing servers; while there is
	// none, requests need no fingerprint.
	Suspects() bool
	// Culprit reports whether a request is known to crash servers.
	Culprit(request crashes.Fingerprint, now monotime.Instant) bool
	// Crashed tells that a server ended soon after it began to run a request, and Survived
	// that one did not.
	Crashed(crash crashes.Crash, now monotime.Instant)
	Survived(request crashes.Fingerprint, now monotime.Instant)
	// Heard tells what a server said of itself in its answer to a request that was sent
	// at an instant.
	Heard(server string, notice servers.Notice, sent, now monotime.Instant)
	// Spend takes one send to a further server from the budget of a service.
	Spend(service string, now monotime.Instant) bool
	// Count notes a request for a service, which adds to that budget.
	Count(service string, now monotime.Instant)
}
