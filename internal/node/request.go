package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Request is a caller's request.
type Request struct {
	// ID is bound to this incarnation.
	ID string
	// Customer that sends it.
	Customer *catalog.Customer
	// Class it belongs to.
	Class *catalog.Class
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
}

// Attempt is one run of a request at an engine, or the resumption of one.
type Attempt struct {
	// Seq is the number of the request at this node.
	Seq uint64
	// Number counts attempts from 1; a resumption keeps the number.
	Number int
	// RequestID is the id of the request.
	RequestID string
	// ID is the id sent to the engine. Each attempt has its own, so that an engine never
	// takes a second run for the first.
	ID string
	// Engine that runs it.
	Engine *catalog.Engine
	// Priority at the engine; 0 is the highest.
	Priority int
	// Resume is set if the engine already runs the attempt.
	Resume bool
	// Offset is the first token requested by a resumption.
	Offset int
	// Progress records each relayed token.
	Progress *Progress
}

type requestState uint8

const (
	// stateWaiting: no slot yet; nothing was sent upstream for the current attempt.
	stateWaiting requestState = iota
	// stateRunning: Start was called and AttemptEnded was not.
	stateRunning
	// stateResuming: the connection was lost and the resumption waits for its backoff.
	stateResuming
	// stateEnded: Finish was called.
	stateEnded
)

// request is the state of one request. It changes state only under the node's lock, so
// starting it (stateWaiting to stateRunning) and answering "not run" exclude each other.
type request struct {
	Request
	seq          uint64
	state        requestState
	tier         int
	arrived      monotime.Instant
	firstTokenBy monotime.Instant
	endBy        monotime.Instant

	group       *catalog.Group
	owner       string
	requestedAt monotime.Instant
	// estimate is the backlog estimate at the time the slot was requested.
	estimate waitEstimate
	// lostOwner is set if an owner left this request unanswered.
	lostOwner bool
	// refusedBy names the groups that refused this request.
	refusedBy   []string
	avoidEngine string
	// grantDeferred is set if a grant was released because the gate was closed.
	grantDeferred bool
	// awaitingPermit is set while the request waits for its customer's limit, not for a
	// slot.
	awaitingPermit bool

	attempt        int
	engine         *catalog.Engine
	priority       int
	started        monotime.Instant
	resumes        int
	resumeAt       monotime.Instant
	progress       *Progress
	reportedTokens int // tokens already reported to the owner
	chargedTokens  int // tokens charged to the customer's limit

	worstVerdict verdict.Verdict
	queueTime    time.Duration
	wastedTokens int
	callerGone   bool
	delivered    bool
	err          *verdict.Error
	ended        monotime.Instant
	marked       monotime.Instant
	prev         *request
	next         *request
}

// giveUpAt returns when a waiting request can no longer be answered usefully; 0 for never.
func (r *request) giveUpAt() monotime.Instant {
	switch {
	case r.endBy != 0:
		return r.endBy
	case r.Class.MaxQueue > 0:
		return r.arrived.Add(r.Class.MaxQueue)
	default:
		return 0
	}
}

// late reports whether the request can no longer be answered usefully.
func (r *request) late(now monotime.Instant) bool {
	by := r.giveUpAt()
	return by != 0 && !now.Before(by)
}

// tokens returns the number of tokens relayed to the caller.
func (r *request) tokens() int {
	if r.progress == nil {
		return 0
	}
	return r.progress.Tokens()
}

// requestList keeps requests in the order in which they were added, so that iteration does
// not depend on map order.
type requestList struct {
	head, tail *request
}

func (l *requestList) push(r *request) {
	r.prev = l.tail
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
}

func (l *requestList) remove(r *request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
