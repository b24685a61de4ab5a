// Package relay forwards requests from callers to servers and returns the servers'
// answers unchanged. It decides which requests may be sent again, and gives every request
// one final answer.
//
// The HTTP server and the parser of answers are those of net/http. A handler of fasthttp
// does not detect that its caller hung up, so a server would keep working on an abandoned
// request; and its client hides whether an answer without a length was truncated. The
// relay needs both to decide whether an answer is complete.
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

// Request holds the fields of a caller's headers that the relay uses.
type Request struct {
	// ID is chosen by the caller, a new one for each try.
	ID string
	// Deadline is how long the caller waits; 0 if the headers do not state it.
	Deadline time.Duration
	// Key is the caller's API key; empty for none.
	Key string
	// ResumeAfter is the id of the last event that the caller has received; empty for
	// none.
	ResumeAfter string
	// FirstTry is the id of the try that brought the first event of the stream that this
	// one resumes; empty for none.
	FirstTry string
	// Parts, Prompt and Output describe a prompt, see placement.Work.
	Parts          []placement.Part
	Prompt, Output int
}

// Forward holds what the relay adds to the headers for a server.
type Forward struct {
	// Server is the server that must execute the request; any other one refuses it.
	Server servers.Name
	// Deadline is how long an answer remains useful.
	Deadline time.Duration
	// Customer that sent the request; empty when no customers are configured.
	Customer string
	// HideKey removes the caller's key from the request.
	HideKey bool
	// Priority of the request; 0 is the most urgent.
	Priority int
	// ResumeAfter is the id of the last event received; empty for none.
	ResumeAfter string
	// FetchFrom is the address of a server to fetch the start of the prompt from; empty
	// for none.
	FetchFrom string
}

// Answer holds the fields of a server's headers that the relay uses.
type Answer struct {
	// ID of the request that is answered; empty if the headers have none.
	ID string
	// Signed reports that the answer comes from a server that worked on the request.
	Signed bool
	// NotRun reports that the server guarantees not to have run the request.
	NotRun bool
	// Notice is what the server reports about itself.
	Notice servers.Notice
}

// Identity is how a server that answers identifies itself.
type Identity struct {
	// Name of the server; empty if it doesn't say.
	Name servers.Name
	// Born is its start, as in servers.Server; 0 if it doesn't say.
	Born int64
}

// Protocol translates the headers of callers and servers.
type Protocol interface {
	// Request parses the headers of a caller.
	Request(h http.Header) (Request, error)
	// Forward changes a copy of a caller's headers into the headers for a server.
	Forward(h http.Header, f Forward)
	// Answer parses the headers of a server.
	Answer(status int, h http.Header) Answer
	// Identify returns the path of a GET request, and sets its headers, to which a server
	// replies without running anything and any other one with 421; empty for none.
	Identify(h http.Header, server servers.Name) (path string)
	// Identity parses the reply to that request.
	Identity(h http.Header, body []byte) Identity
	// LastEventID returns the last id in complete events of a stream; empty when they have
	// none. Lines end as the eventstream package says.
	LastEventID(events []byte) string
}

// Target is a server chosen for a request.
type Target struct {
	servers.Server
	// Choice holds the figures that decided the choice.
	Choice placement.Choice
	// MaxConns is this instance's share of the server's connections; 0 for no limit.
	MaxConns int
	// KeepIdle asks for one idle connection to be kept for as long as the server announces.
	KeepIdle bool
	// FetchFrom is the address of the server to fetch the start of the prompt from; empty
	// for none.
	FetchFrom string
	// EntryAge is the time since the store last confirmed the version in force, to this
	// instance or to a peer.
	EntryAge time.Duration
}

// StreamOrigin is which software version began a stream.
type StreamOrigin struct {
	// Known is false if no version can be named. The stream must not go on then.
	Known   bool
	Version string
	// From is the instance that told of the stream, or OnlyVersion.
	From string
	// Age of what is known; if nothing is, that of the view of the servers.
	Age time.Duration
}

// OnlyVersion is the From of streams of a service that has had one version only.
const OnlyVersion = "only version"

// Fleet is the interface between the relay and the instance it runs in. It chooses
// servers and records how requests went.
type Fleet interface {
	// Table returns the routing table in force; nil before the first configuration has
	// been received.
	Table() *routing.Table
	// Confirm reports whether the table in force is the newest one, by asking its source.
	Confirm(ctx context.Context) bool
	// Place chooses a server of a service that is not excluded, or returns why there is
	// none.
	Place(service string, work placement.Work, excluded map[string]bool, now monotime.Instant) (Target, placement.Refusal)
	// Serving reports whether any instance has recently sent a request to a server of the
	// service, according to the updates received so far.
	Serving(service string, now monotime.Instant) bool
	// Leaving reports whether a server has announced that it stops, or is not listed any more.
	Leaving(server string) bool
	// StreamBegan reports that a server of a software version has begun a stream that may
	// be resumed, for a try whose caller gets its first event now.
	StreamBegan(service, try, version string, now monotime.Instant)
	// StreamOrigin returns the software version that began the stream whose first event
	// came with a try. It may ask other instances.
	StreamOrigin(ctx context.Context, service, try string) StreamOrigin
	// Begin, First, Events, Completed and End report the progress of a run on a server.
	// Begin returns the run's number, or false if the server may not get the request now
	// after all. Events takes the number of stream events that have just arrived. Completed
	// precedes End for a stream that its server ended between two events.
	Begin(target Target, work placement.Work, now monotime.Instant) (run int, ok bool)
	FirstEvent(run int, now monotime.Instant)
	Events(run, count int, now monotime.Instant)
	Completed(run int, now monotime.Instant)
	End(run int, now monotime.Instant)
	// QueueStatus returns the estimated position of a run in the server's queue while the
	// server has not answered.
	QueueStatus(run int, now monotime.Instant) placement.QueueStatus
	// Observe records the outcome of a request at a server.
	Observe(server string, outcome placement.Outcome, now monotime.Instant)
	// AnySuspected reports whether any content is suspected of crashing servers. While
	// there is none, requests need no fingerprint.
	AnySuspected() bool
	// Decide returns whether a request with an id may be sent, or carries content that
	// crashes servers or may do so. It is called for each send.
	Decide(id string, content crashes.Content, now monotime.Instant) crashes.Decision
	// Crashed reports that a server ended soon after it began to run a request, and
	// Survived that one whose answer began at an instant did not.
	Crashed(crash crashes.Crash, now monotime.Instant)
	Survived(content crashes.Content, begunAt monotime.Instant)
	// ObserveExposure reports for how long the end of its server would have been blamed on a
	// run that survived.
	ObserveExposure(d time.Duration)
	// BrokeOff reports the same as Crashed of a server that may have ended: its address
	// accepts connections, or it is not known whether it does.
	BrokeOff(target Target, crash crashes.Crash, now monotime.Instant)
	// Misdirected reports that another incarnation answers at the address of a server.
	Misdirected(server string, now monotime.Instant)
	// ApplyNotice applies what a server reported about itself in its answer to a request
	// sent at the instant sent.
	ApplyNotice(server string, notice servers.Notice, sent, now monotime.Instant)
	// Spend takes one send to a further server from the retry budget of a service and
	// reports whether there was any left.
	Spend(service string, now monotime.Instant) bool
	// Count counts a request for a service, which adds to its retry budget.
	Count(service string, now monotime.Instant)
}
