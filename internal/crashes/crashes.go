// Package crashes tells which requests crash the servers that run them, from what all
// instances have seen of servers that ended. It is pure.
//
// A request is known by a fingerprint of what it asks, not by its id: callers send it again
// as a new one. It counts as a culprit once servers enough have crashed soon after they
// began to run it, and none has run it without.
package crashes

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// poisonCrashes is the number of servers that must have crashed.
	poisonCrashes = 3
	// servedValidity is how long a run that did not crash its server speaks for a request.
	servedValidity = time.Minute
	// Retention is how long a request is remembered that does not come.
	Retention = 10 * time.Minute
	// MaxPerCustomer bounds the requests remembered of one customer, and mostRequests those
	// of all.
	MaxPerCustomer = 32
	maxRequests    = 4096
)

// Fingerprint stands for what a request asks.
type Fingerprint [16]byte

// Crash is the end of a server during a request, as one instance has seen it.
type Crash struct {
	// Request that the server had been sent.
	Request Fingerprint
	// Customer of the request; empty for none.
	Customer string
	// Server is the id of the incarnation that ended.
	Server string
	// At is when it ended.
	At monotime.Instant
}

// requestState is what is known of one request.
type requestState struct {
	customer string
	// crashes holds when each server ended.
	crashes map[string]monotime.Instant
	// servedAt is when it last ran without a crash; 0 for never.
	servedAt monotime.Instant
	// seenAt is when it last came or crashed a server.
	seenAt monotime.Instant
}

// Tracker is what one instance knows. It is not safe for concurrent use.
type Tracker struct {
	requests    map[Fingerprint]*requestState
	perCustomer map[string]int // requests by customer
}

// NewTracker returns a Book that knows of no request.
func NewTracker() *Tracker {
	return &Tracker{requests: make(map[Fingerprint]*requestState), perCustomer: make(map[string]int)}
}

// Len returns the number of requests remembered.
func (t *Tracker) Len() int { return len(t.requests) }

// Add takes a crash. It reports whether it is news, and whether the request is a culprit
// by it.
func (t *Tracker) Add(c Crash, now monotime.Instant) (isNew, isPoison bool) {
	if now.Sub(c.At) > Retention {
		return false, false
	}
	s := t.requests[c.Request]
	if s == nil {
		s = &requestState{customer: c.Customer, crashes: make(map[string]monotime.Instant)}
		t.requests[c.Request] = s
		t.perCustomer[c.Customer]++
		defer t.evict(c.Request)
	}
	_, seen := s.crashes[c.Server]
	if seen || len(s.crashes) >= poisonCrashes || s.exonerates(c.At) {
		return false, false
	}
	s.crashes[c.Server] = c.At
	s.seenAt = max(s.seenAt, c.At)
	return true, s.poison()
}

// Served notes that a request ran without crashing its server. It reports whether that is
// news of a request that is remembered.
func (t *Tracker) Served(request Fingerprint, at monotime.Instant) bool {
	s := t.requests[request]
	if s == nil || at <= s.servedAt {
		return false
	}
	isNew := at.Sub(s.servedAt) > servedValidity/2 || s.servedAt == 0
	s.servedAt = at
	for server, ended := range s.crashes {
		if s.exonerates(ended) {
			delete(s.crashes, server)
		}
	}
	return isNew
}

// exonerates reports whether a run without a crash speaks against a crash being the request's.
func (s *requestState) exonerates(crashedAt monotime.Instant) bool {
	return s.servedAt != 0 && crashedAt.Sub(s.servedAt) <= servedValidity
}

// Poison reports whether a request that comes is known to crash servers.
func (t *Tracker) Poison(request Fingerprint, now monotime.Instant) bool {
	s := t.requests[request]
	if s == nil || !s.poison() {
		return false
	}
	s.seenAt = now
	return true
}

func (s *requestState) poison() bool { return len(s.crashes) >= poisonCrashes }

// Crashes returns all crashes that are remembered, for an instance that may have missed some.
func (t *Tracker) Crashes() (out []Crash) {
	for request, s := range t.requests {
		for server, at := range s.crashes {
			out = append(out, Crash{Request: request, Customer: s.customer, Server: server, At: at})
		}
	}
	return out
}

// ServedAt returns the requests remembered that ran without a crash, and when they last did.
func (t *Tracker) ServedAt() map[Fingerprint]monotime.Instant {
	out := make(map[Fingerprint]monotime.Instant)
	for request, s := range t.requests {
		if s.servedAt != 0 {
			out[request] = s.servedAt
		}
	}
	return out
}

// PoisonCount returns how many requests are known to crash servers.
func (t *Tracker) PoisonCount() (n int) {
	for _, s := range t.requests {
		if s.poison() {
			n++
		}
	}
	return n
}

// Expire forgets requests that have not come for long.
func (t *Tracker) Expire(now monotime.Instant) {
	for request, s := range t.requests {
		if now.Sub(s.seenAt) > Retention {
			t.remove(request)
		}
	}
}

// evict makes room for a request that was added: the one goes that is least suspect, of the
// same customer where that has too many, or else of all.
func (t *Tracker) evict(added Fingerprint) {
	customer := t.requests[added].customer
	switch {
	case t.perCustomer[customer] > MaxPerCustomer:
		t.removeLeastSuspected(added, func(s *requestState) bool { return s.customer == customer })
	case len(t.requests) > maxRequests:
		t.removeLeastSuspected(added, func(*requestState) bool { return true })
	}
}

func (t *Tracker) removeLeastSuspected(except Fingerprint, eligible func(*requestState) bool) {
	least, found := Fingerprint{}, false
	for request, s := range t.requests {
		if request == except || !eligible(s) {
			continue
		}
		if !found || t.lessSuspected(request, least) {
			least, found = request, true
		}
	}
	if found {
		t.remove(least)
	}
}

func (t *Tracker) remove(request Fingerprint) {
	customer := t.requests[request].customer
	delete(t.requests, request)
	if t.perCustomer[customer]--; t.perCustomer[customer] == 0 {
		delete(t.perCustomer, customer)
	}
}

// lessSuspected orders requests by how suspect they are.
func (t *Tracker) lessSuspected(x, y Fingerprint) bool {
	p, q := t.requests[x], t.requests[y]
	if p.poison() != q.poison() {
		return q.poison()
	}
	if len(p.crashes) != len(q.crashes) {
		return len(p.crashes) < len(q.crashes)
	}
	if p.seenAt != q.seenAt {
		return p.seenAt < q.seenAt
	}
	return slices.Compare(x[:], y[:]) < 0
}
