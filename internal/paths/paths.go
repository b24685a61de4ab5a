// Package paths decides how an instance connects to a server: directly or through a peer
// that reaches it. It does no I/O and reads no clock.
//
// An instance may lose its paths to some or all servers while other instances keep
// theirs. Nothing is exchanged about that: an instance infers it from its own connections,
// and a peer that can't help says so when it is asked.
package paths

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// minFailures is the number of servers of a service, or all if there are fewer, that
	// must fail with none reached in between for the service to count as lost. With one,
	// each crash of a server would move the service to peers.
	minFailures = 2
	// minReached is the number of servers that must be reached directly, or all if there
	// are fewer, for a lost service to count as back.
	minReached = 2
	// failureTTL is how long a single server is connected to through peers after a direct
	// failure that no later attempt has corrected.
	failureTTL = 10 * time.Second
	// maxPeerFailures is the number of connections in a row that peers could not open
	// either, after which the servers count as down and peers are left alone for a while.
	maxPeerFailures = 3
	// holdMin and holdMax bound that time; it doubles as long as peers fail.
	holdMin = 200 * time.Millisecond
	holdMax = time.Second
)

// Table holds which servers this instance reaches directly. It is safe for concurrent use.
type Table struct {
	// tracked is the number of services with a state. While it is zero no lock is taken.
	tracked atomic.Int64

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of a service with a failed server.
type service struct {
	// failedAt is when each server last failed, for those not reached since.
	failedAt map[string]monotime.Instant
	// streak holds the servers that failed since one was last reached, and streakSince
	// when the first of them did.
	streak      map[string]bool
	streakSince monotime.Instant
	// lost is set while no server counts as directly reachable but those in reached,
	// which have been reached since.
	lost    bool
	reached map[string]bool
	// peerFailures counts connections in a row that peers could not open. Until holdUntil
	// no peer is asked.
	peerFailures int
	hold         time.Duration
	holdUntil    monotime.Instant
}

// NewTable returns a Table in which all servers count as directly reachable.
func NewTable() *Table { return &Table{services: make(map[string]*service)} }

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{failedAt: make(map[string]monotime.Instant), streak: make(map[string]bool), reached: make(map[string]bool)}
		t.services[name] = s
		t.tracked.Store(int64(len(t.services)))
	}
	return s
}

// Failed records that no direct connection to a server could be opened, of a service with
// so many servers. It reports whether the service became lost by it.
func (t *Table) Failed(serviceName, server string, servers int, now monotime.Instant) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	s.failedAt[server] = now
	delete(s.reached, server)
	if len(s.streak) == 0 {
		s.streakSince = now
	}
	if len(s.streak) < minFailures {
		s.streak[server] = true
	}
	if s.lost || len(s.streak) < min(minFailures, servers) {
		return false
	}
	s.lost = true
	return true
}

// Reached records that a server answered over a direct connection, of a service with as
// many servers as servers returns. It reports whether the lost service is back by it.
func (t *Table) Reached(serviceName, server string, servers func() int, now monotime.Instant) (back bool) {
	if t.tracked.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return false
	}
	delete(s.failedAt, server)
	clear(s.streak)
	if s.lost {
		s.reached[server] = true
		back = len(s.reached) >= min(minReached, servers())
	}
	if back {
		s.lost = false
		clear(s.reached)
	}
	t.forgetIfClean(serviceName, s)
	return back
}

// forgetIfClean drops the state of a service that has no failures.
func (t *Table) forgetIfClean(name string, s *service) {
	if !s.lost && len(s.failedAt) == 0 && len(s.streak) == 0 {
		delete(t.services, name)
		t.tracked.Store(int64(len(t.services)))
	}
}

// expire drops failures that are too old.
func (s *service) expire(now monotime.Instant) {
	for server, at := range s.failedAt {
		if now.Sub(at) > failureTTL {
			delete(s.failedAt, server)
		}
	}
}

// Direct reports whether a new connection to a server should be direct.
func (t *Table) Direct(serviceName, server string, now monotime.Instant) bool {
	if t.tracked.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil || now < s.holdUntil {
		return true
	}
	return s.direct(server, now)
}

func (s *service) direct(server string, now monotime.Instant) bool {
	if s.lost {
		return s.reached[server]
	}
	at, failed := s.failedAt[server]
	return !failed || now.Sub(at) > failureTTL
}

// Lost reports whether a service counts as lost.
func (t *Table) Lost(serviceName string) bool {
	if t.tracked.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	return s != nil && s.lost
}

// Usable reports whether an idle direct connection to a server, whose last answer was
// received at an instant, can be expected to work. Connections may be dead without a sign
// of it once the path is lost, and the request that finds out is lost with them.
func (t *Table) Usable(serviceName, server string, received monotime.Instant) bool {
	if t.tracked.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return true
	}
	if at, failed := s.failedAt[server]; failed && received <= at {
		return false
	}
	return !s.lost || received > s.streakSince
}

// MayAskPeers reports whether peers may be asked for a connection to a server of a service
// that could not be reached directly just now.
func (t *Table) MayAskPeers(serviceName string, now monotime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	return s != nil && s.lost && now >= s.holdUntil
}

// PeerFailed records that a peer could not reach a server either. After some in a row
// the servers count as down: then no instance reaches them, and asking peers would only
// load the fleet.
func (t *Table) PeerFailed(serviceName string, now monotime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	s.peerFailures++
	if s.peerFailures < maxPeerFailures {
		return
	}
	s.hold = min(max(holdMin, 2*s.hold), holdMax)
	s.holdUntil = now.Add(s.hold)
}

// PeerReached records that a peer opened a connection to a server.
func (t *Table) PeerReached(serviceName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[serviceName]; s != nil {
		s.peerFailures, s.hold, s.holdUntil = 0, 0, 0
	}
}

// Suspect is a service with servers that are not reached directly.
type Suspect struct {
	Service string
	// Lost is set if the service counts as lost, and Since is then when its first server
	// failed.
	Lost  bool
	Since monotime.Instant
	// Unconfirmed is set if no server has been reached since the last failure: one more
	// failure would make the service lost.
	Unconfirmed bool
	// Failed is one of the servers that failed and have not been reached since; empty for
	// none.
	Failed string
}

// Suspects returns the services with servers that are to be tried again directly.
func (t *Table) Suspects(now monotime.Instant) (out []Suspect) {
	if t.tracked.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		s.expire(now)
		t.forgetIfClean(name, s)
		suspect := Suspect{Service: name, Lost: s.lost, Since: s.streakSince, Unconfirmed: !s.lost && len(s.streak) > 0}
		for suspect.Failed = range s.failedAt {
			break // any of them: maps are read in random order
		}
		if suspect.Lost || suspect.Failed != "" {
			out = append(out, suspect)
		}
	}
	return out
}

// LostServices returns the sorted names of the lost services.
func (t *Table) LostServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []string{}
	for name, s := range t.services {
		if s.lost {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
