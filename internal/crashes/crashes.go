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
	// culpritCrashes is the number of servers that must have crashed.
	culpritCrashes = 3
	// servedMemory is how long a run that did not crash its server speaks for a request.
	servedMemory = time.Minute
	// Memory is how long a request is remembered that does not come.
	Memory = 10 * time.Minute
	// MostOfCustomer bounds the requests remembered of one customer, and mostRequests those
	// of all.
	MostOfCustomer = 32
	mostRequests   = 4096
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

// suspect is what is known of one request.
type suspect struct {
	customer string
	// crashes holds when each server ended.
	crashes map[string]monotime.Instant
	// servedAt is when it last ran without a crash; 0 for never.
	servedAt monotime.Instant
	// seenAt is when it last came or crashed a server.
	seenAt monotime.Instant
}

// Book is what one instance knows. It is not safe for concurrent use.
type Book struct {
	suspects map[Fingerprint]*suspect
	of       map[string]int // requests by customer
}

// NewBook returns a Book that knows of no request.
func NewBook() *Book {
	return &Book{suspects: make(map[Fingerprint]*suspect), of: make(map[string]int)}
}

// Len returns the number of requests remembered.
func (b *Book) Len() int { return len(b.suspects) }

// Add takes a crash. It reports whether it is news, and whether the request is a culprit
// by it.
func (b *Book) Add(c Crash, now monotime.Instant) (news, culprit bool) {
	if now.Sub(c.At) > Memory {
		return false, false
	}
	s := b.suspects[c.Request]
	if s == nil {
		s = &suspect{customer: c.Customer, crashes: make(map[string]monotime.Instant)}
		b.suspects[c.Request] = s
		b.of[c.Customer]++
		defer b.bound(c.Request)
	}
	_, known := s.crashes[c.Server]
	if known || len(s.crashes) >= culpritCrashes || s.excuses(c.At) {
		return false, false
	}
	s.crashes[c.Server] = c.At
	s.seenAt = max(s.seenAt, c.At)
	return true, s.culprit()
}

// Served notes that a request ran without crashing its server. It reports whether that is
// news of a request that is remembered.
func (b *Book) Served(request Fingerprint, at monotime.Instant) bool {
	s := b.suspects[request]
	if s == nil || at <= s.servedAt {
		return false
	}
	news := at.Sub(s.servedAt) > servedMemory/2 || s.servedAt == 0
	s.servedAt = at
	for server, ended := range s.crashes {
		if s.excuses(ended) {
			delete(s.crashes, server)
		}
	}
	return news
}

// excuses reports whether a run without a crash speaks against a crash being the request's.
func (s *suspect) excuses(crashedAt monotime.Instant) bool {
	return s.servedAt != 0 && crashedAt.Sub(s.servedAt) <= servedMemory
}

// Culprit reports whether a request that comes is known to crash servers.
func (b *Book) Culprit(request Fingerprint, now monotime.Instant) bool {
	s := b.suspects[request]
	if s == nil || !s.culprit() {
		return false
	}
	s.seenAt = now
	return true
}

func (s *suspect) culprit() bool { return len(s.crashes) >= culpritCrashes }

// Known returns all crashes that are remembered, for an instance that may have missed some.
func (b *Book) Known() (out []Crash) {
	for request, s := range b.suspects {
		for server, at := range s.crashes {
			out = append(out, Crash{Request: request, Customer: s.customer, Server: server, At: at})
		}
	}
	return out
}

// ServedAt returns the requests remembered that ran without a crash, and when they last did.
func (b *Book) ServedAt() map[Fingerprint]monotime.Instant {
	out := make(map[Fingerprint]monotime.Instant)
	for request, s := range b.suspects {
		if s.servedAt != 0 {
			out[request] = s.servedAt
		}
	}
	return out
}

// Culprits returns how many requests are known to crash servers.
func (b *Book) Culprits() (n int) {
	for _, s := range b.suspects {
		if s.culprit() {
			n++
		}
	}
	return n
}

// Expire forgets requests that have not come for long.
func (b *Book) Expire(now monotime.Instant) {
	for request, s := range b.suspects {
		if now.Sub(s.seenAt) > Memory {
			b.forget(request)
		}
	}
}

// bound makes room for a request that was added: the one goes that is least suspect, of the
// same customer where that has too many, or else of all.
func (b *Book) bound(added Fingerprint) {
	customer := b.suspects[added].customer
	switch {
	case b.of[customer] > MostOfCustomer:
		b.forgetLeast(added, func(s *suspect) bool { return s.customer == customer })
	case len(b.suspects) > mostRequests:
		b.forgetLeast(added, func(*suspect) bool { return true })
	}
}

func (b *Book) forgetLeast(but Fingerprint, among func(*suspect) bool) {
	least, found := Fingerprint{}, false
	for request, s := range b.suspects {
		if request == but || !among(s) {
			continue
		}
		if !found || b.less(request, least) {
			least, found = request, true
		}
	}
	if found {
		b.forget(least)
	}
}

func (b *Book) forget(request Fingerprint) {
	customer := b.suspects[request].customer
	delete(b.suspects, request)
	if b.of[customer]--; b.of[customer] == 0 {
		delete(b.of, customer)
	}
}

// less orders requests by how suspect they are.
func (b *Book) less(x, y Fingerprint) bool {
	p, q := b.suspects[x], b.suspects[y]
	if p.culprit() != q.culprit() {
		return q.culprit()
	}
	if len(p.crashes) != len(q.crashes) {
		return len(p.crashes) < len(q.crashes)
	}
	if p.seenAt != q.seenAt {
		return p.seenAt < q.seenAt
	}
	return slices.Compare(x[:], y[:]) < 0
}
