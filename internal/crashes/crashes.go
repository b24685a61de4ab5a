// Package crashes identifies poison requests, which crash the servers that run them, from
// the ends of servers that all instances have seen. It does no I/O.
//
// A request is identified by a fingerprint of its content, not by its id: callers send it
// again under a new one. It counts as poison once enough servers have crashed soon after
// they began to run it, and none has run it without a crash.
package crashes

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// poisonCrashes is the number of crashed servers that make a request poison. A lower
	// number would refuse more requests that merely ran on a server that crashed; a
	// higher one costs more servers.
	poisonCrashes = 3
	// exonerationTTL is how long a run without a crash exonerates a request. If it never
	// expired, a request that ran once would never be suspected again.
	exonerationTTL = time.Minute
	// Retention is how long an absent request is tracked. Older crashes are ignored.
	Retention = 10 * time.Minute
	// MaxPerCustomer bounds the tracked requests of one customer, and maxRequests those
	// of all, so that neither one customer nor made-up requests displace the others.
	MaxPerCustomer = 32
	maxRequests    = 4096
)

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// partDomain separates the fingerprints of parts from those of requests.
const partDomain = "part\x00"

// PartFingerprint returns the fingerprint of a part of a prompt with an id.
func PartFingerprint(id string) (out Fingerprint) {
	hash := sha256.Sum256([]byte(partDomain + id))
	copy(out[:], hash[:])
	return out
}

// String returns the start of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:6]) }

// Crash is the end of a server during a request, as seen by one instance.
type Crash struct {
	// Request that had been sent to the server.
	Request Fingerprint
	// Customer of the request; empty for none.
	Customer string
	// Server is the id of the incarnation that ended.
	Server string
	// At is when it ended.
	At monotime.Instant
}

// requestState is the state of one tracked request.
type requestState struct {
	customer string
	// crashes holds when each server ended, by its id.
	crashes map[string]monotime.Instant
	// survivedAt is when it last ran without a crash; 0 for never.
	survivedAt monotime.Instant
	// seenAt is when it last arrived or crashed a server.
	seenAt monotime.Instant
}

// Tracker holds the suspected requests of one instance. It is not safe for concurrent
// use.
type Tracker struct {
	requests    map[Fingerprint]*requestState
	perCustomer map[string]int // requests by customer
	// fallen are the servers whose ends have another cause, and when they ended.
	fallen map[string]monotime.Instant
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{requests: make(map[Fingerprint]*requestState), perCustomer: make(map[string]int), fallen: make(map[string]monotime.Instant)}
}

// Len returns the number of tracked requests.
func (t *Tracker) Len() int { return len(t.requests) }

// Add records a crash. It reports whether the crash is new, and whether it makes the
// request poison.
func (t *Tracker) Add(c Crash, now monotime.Instant) (isNew, isPoison bool) {
	if _, fell := t.fallen[c.Server]; fell || now.Sub(c.At) > Retention {
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

// maxFallen bounds the servers whose ends are known to have another cause.
const maxFallen = 4096

// Fell records that the end of a server has another cause than a request. It reports
// whether that is new.
func (t *Tracker) Fell(server string, endedAt monotime.Instant) bool {
	if _, known := t.fallen[server]; known || len(t.fallen) >= maxFallen {
		return false
	}
	t.fallen[server] = endedAt
	for request, s := range t.requests {
		if _, ok := s.crashes[server]; !ok {
			continue
		}
		delete(s.crashes, server)
		if len(s.crashes) == 0 && s.survivedAt == 0 {
			t.remove(request)
		}
	}
	return true
}

// Fallen returns the servers whose ends have another cause, and when they ended.
func (t *Tracker) Fallen() map[string]monotime.Instant { return maps.Clone(t.fallen) }

// Survived records that a request ran without crashing its server. It reports whether
// this should be sent to peers: the request is tracked, and its last such run is none or
// more than half of exonerationTTL before.
func (t *Tracker) Survived(request Fingerprint, at monotime.Instant) bool {
	s := t.requests[request]
	if s == nil || at <= s.survivedAt {
		return false
	}
	isNew := at.Sub(s.survivedAt) > exonerationTTL/2 || s.survivedAt == 0
	s.survivedAt = at
	for server, ended := range s.crashes {
		if s.exonerates(ended) {
			delete(s.crashes, server)
		}
	}
	return isNew
}

// exonerates reports whether a run without a crash shows that a crash was not caused by
// the request.
func (s *requestState) exonerates(crashedAt monotime.Instant) bool {
	return s.survivedAt != 0 && crashedAt.Sub(s.survivedAt) <= exonerationTTL
}

// Poison reports whether an arriving request is poison.
func (t *Tracker) Poison(request Fingerprint, now monotime.Instant) bool {
	s := t.requests[request]
	if s == nil || !s.poison() {
		return false
	}
	s.seenAt = now
	return true
}

func (s *requestState) poison() bool { return len(s.crashes) >= poisonCrashes }

// CrashCount returns the number of crashes recorded for a request.
func (t *Tracker) CrashCount(request Fingerprint) int {
	if s := t.requests[request]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// Crashes returns all recorded crashes, for an instance that may have missed some.
func (t *Tracker) Crashes() (out []Crash) {
	for request, s := range t.requests {
		for server, at := range s.crashes {
			out = append(out, Crash{Request: request, Customer: s.customer, Server: server, At: at})
		}
	}
	return out
}

// SurvivedAt returns the tracked requests that ran without a crash, and when they last did.
func (t *Tracker) SurvivedAt() map[Fingerprint]monotime.Instant {
	out := make(map[Fingerprint]monotime.Instant)
	for request, s := range t.requests {
		if s.survivedAt != 0 {
			out[request] = s.survivedAt
		}
	}
	return out
}

// PoisonCount returns the number of poison requests.
func (t *Tracker) PoisonCount() (n int) {
	for _, s := range t.requests {
		if s.poison() {
			n++
		}
	}
	return n
}

// Expire drops requests that have been absent for longer than Retention.
func (t *Tracker) Expire(now monotime.Instant) {
	for request, s := range t.requests {
		if now.Sub(s.seenAt) > Retention {
			t.remove(request)
		}
	}
	maps.DeleteFunc(t.fallen, func(_ string, endedAt monotime.Instant) bool { return now.Sub(endedAt) > Retention })
}

// evict removes a request if there are too many after one was added: the least suspected
// other one, of the same customer if that has too many, or else of all.
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

// lessSuspected orders requests by how strongly they are suspected.
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
