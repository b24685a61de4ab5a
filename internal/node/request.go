package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Request is what a caller wants.
type Request struct {
	// ID is bound to this incarnation.
	ID string
	// Customer that sends it.
	Customer *catalog.Customer
	// Class it belongs to.
	Class *catalog.Class
	// PromptTokens is an estimate.
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
	// ID is the id that the engine sees; each attempt has its own, so that an
	// engine never takes a second run for the first.
	ID string
	// Engine that runs it.
	Engine *catalog.Engine
	// Priority at the engine; 0 is the highest.
	Priority int
	// Resume says that the engine already runs it.
	Resume bool
	// Offset is the next token wanted, for a resumption.
	Offset int
	// Progress is to be told of each token.
	Progress *Progress
}

type requestState uint8

const (
	// stateWaiting: no slot yet; nothing was written for the current attempt.
	stateWaiting requestState = iota
	// stateRunning: Start was called and AttemptEnded has not come.
	stateRunning
	// stateResuming: the connection was lost and the resumption waits its backoff.
	stateResuming
	// stateEnded: Finish was called.
	stateEnded
)

// request is the state of one request. It moves between states only under the
// node's lock: leaving stateWaiting for stateRunning and answering "not run" are
// therefore one atomic step against each other.
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
	// estimate is what the choice of the group went by.
	estimate waitEstimate
	// lostOwner says that an owner left this request without an answer.
	lostOwner     bool
	refusedBy     []string
	avoidEngine   string
	grantDeferred bool
	// awaitingPermit requests wait for the customer's limit, not for a slot.
	awaitingPermit bool

	attempt        int
	engine         *catalog.Engine
	priority       int
	started        monotime.Instant
	resumes        int
	resumeAt       monotime.Instant
	progress       *Progress
	reportedTokens int
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

// giveUpAt is when a waiting request can no longer be answered usefully.
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

// tokens is the number of tokens relayed to the caller.
func (r *request) tokens() int {
	if r.progress == nil {
		return 0
	}
	return r.progress.Tokens()
}

// requestList keeps requests in order of arrival, so that walks over them do
// not depend on the order of a map.
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
