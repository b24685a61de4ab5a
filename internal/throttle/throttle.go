// Package throttle keeps the requests that a fleet sends to a server below the server's
// capacity.
//
// A server that has just started sustains few requests a second and crashes well above
// that; a server may also advertise a rate limit. Every instance of the fleet may send to
// it, and no instance decides for the others. So each limited server has owners among the
// live instances, chosen by rendezvous hashing. Only they send to it, each at an even
// pace, and together at the rate that it sustains. Instances whose lists of members
// differ for a moment may choose different owners; two disjoint sets of owners send at
// most twice the rate. In addition every instance counts the requests that others report,
// and an owner waits when the last second is full.
//
// The package does no I/O and takes the current instant as a parameter.
package throttle

import (
	"iter"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// maxOwnerRate is the maximum rate of one owner to a limited server, in requests a
	// second. Above 1 a second could hold two requests of one owner, and all owners
	// together could exceed the server's rate. Low owner rates also let an instance with
	// few requests a second use its part.
	maxOwnerRate = 1.0
	// window is the span over which recent requests are counted. Rates are per second, so
	// another span would need the count to be scaled.
	window = time.Second
	// startupDelay is how long a starting process sends nothing to limited servers: it
	// has few members yet and would own all of these servers. Links to all others are up
	// within a second; a shorter delay would let it send before that.
	startupDelay = 1500 * time.Millisecond
	// confirmationLag is how long after a server was reached again a confirmation of the
	// store must be for the server to count as the same incarnation. The entry of a
	// restarted server reaches all instances within some 300 ms; with a shorter lag a
	// restarted server would count as warm.
	confirmationLag = 500 * time.Millisecond
	// priorityDelayStep is the part of the time between two requests of an owner that
	// each step of priority waits, to leave it to more urgent requests, where all servers
	// are limited. At a quarter the third priority still gets what the first two leave.
	priorityDelayStep = 0.25
	// maxPriorityDelay bounds the sum of these parts, so that the lowest priorities are
	// served.
	maxPriorityDelay = 0.75
	// inUseWindow is how long after a request a server counts as in use. It is many times
	// the delay of updates, and a fleet that serves a service sends it some requests in
	// that time; with a shorter window a server in use could count as unused.
	inUseWindow = 300 * time.Millisecond
	// probeRate is the minimum rate, in requests a second, also for a server that
	// advertises a lower one. Only an answer shows that its limit has ended, so a server
	// that got no requests would stay limited for good.
	probeRate = 0.2
	// maxRecent bounds the requests recorded of a server. It must exceed what any cold
	// server sustains in a second, or the count would never reach that rate.
	maxRecent = 256
)

// ColdLimit is what a cold server of a service sustains.
type ColdLimit struct {
	// Rate in requests a second; 0 for no limit.
	Rate float64
	// Duration is how long a server is cold after it starts.
	Duration time.Duration
}

// Limiter decides when this instance may send to servers that sustain few requests. It is
// safe for concurrent use.
type Limiter struct {
	startedAt monotime.Instant
	// limitedCount is the number of servers for which mayBeLimited holds. While it is 0
	// most methods return without taking the lock.
	limitedCount atomic.Int64

	mu      sync.Mutex
	view    *view
	servers map[string]*server
}

// view is the set of members that share limited servers. It is immutable.
type view struct {
	self    string
	members []string
	// ownHash and others are hashes of the own id and of those of the other members.
	ownHash uint64
	others  []uint64
}

// New returns a Limiter of a process that starts now, with itself as the only member.
func New(self string, now monotime.Instant) *Limiter {
	return &Limiter{startedAt: now, view: newView(self, []string{self}), servers: make(map[string]*server)}
}

// SetMembers replaces the instances that share servers, this one included.
func (l *Limiter) SetMembers(members []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(members, l.view.members) {
		l.view = newView(l.view.self, members)
	}
}

func (l *Limiter) server(id string) *server {
	s := l.servers[id]
	if s == nil {
		s = &server{}
		l.servers[id] = s
	}
	return s
}

// SetCold records that a server is cold until an instant; warm if that has passed.
func (l *Limiter) SetCold(id string, until monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.coldUntil = until })
}

// SetRateLimit records the rate limit that a server advertises, over all instances
// together.
func (l *Limiter) SetRateLimit(id string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.rateLimit = max(rate, probeRate) })
}

// ClearRateLimit records that a server advertises no rate limit.
func (l *Limiter) ClearRateLimit(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.rateLimit = 0 })
}

// Pause records that a server accepts nothing from this instance until an instant. A
// pause that ends before the current one is ignored: it may have been sent earlier.
func (l *Limiter) Pause(id string, until monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.pausedUntil = max(s.pausedUntil, until) })
}

// Forget drops the state of an incarnation that is gone.
func (l *Limiter) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { *s = server{} })
	delete(l.servers, id)
}

// MarkUnreachable records that a server can't be reached. When it answers again it may
// have restarted, and requests of all instances would reach it before its entry does.
func (l *Limiter) MarkUnreachable(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.unreachable = true })
}

// MarkReachable records that a connection to a server was made. One that was unreachable
// counts as cold until its entry shows otherwise, see TryAcquire.
func (l *Limiter) MarkReachable(id string, limit ColdLimit, now monotime.Instant) {
	if l.limitedCount.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !s.unreachable {
		return
	}
	l.update(id, func(s *server) {
		s.unreachable = false
		if limit.Rate > 0 {
			s.assumedColdSince, s.assumedColdUntil = now, now.Add(limit.Duration)
		}
	})
}

// update applies f to the state of a server and adjusts limitedCount; mu is held. A
// starting fleet adds thousands of servers at once, so the other servers are not counted
// anew.
func (l *Limiter) update(id string, f func(*server)) {
	s := l.server(id)
	was := s.mayBeLimited()
	f(s)
	switch now := s.mayBeLimited(); {
	case now && !was:
		l.limitedCount.Add(1)
	case was && !now:
		l.limitedCount.Add(-1)
	}
}

// clearExpired drops limits that have expired, so that the server no longer counts as
// limited; mu is held. Otherwise every later choice would check each server that was cold
// once.
func (l *Limiter) clearExpired(id string, s *server, storeConfirmedAt, now monotime.Instant) {
	expired := !s.unreachable && s.rateLimit == 0 && now >= s.pausedUntil && !s.cold(storeConfirmedAt, now)
	if s.mayBeLimited() && expired {
		l.update(id, func(s *server) { s.coldUntil, s.assumedColdUntil, s.pausedUntil = 0, 0, 0 })
	}
}

// RecordRequest records that a request of any instance began on a server.
func (l *Limiter) RecordRequest(id string, now monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(id).record(now)
}

// InUse reports whether any instance has sent a request to one of the servers within
// inUseWindow and not before since, as far as this instance has received.
func (l *Limiter) InUse(ids iter.Seq[string], since, now monotime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range ids {
		s := l.servers[id]
		if s == nil || len(s.recent) == 0 {
			continue
		}
		last := s.recent[len(s.recent)-1]
		if last >= since && now.Sub(last) < inUseWindow {
			return true
		}
	}
	return false
}

// Request holds the properties of a request to be sent that decide on its admission.
type Request struct {
	// ColdLimit of the service's cold servers.
	ColdLimit ColdLimit
	// Priority, 0 is the most urgent.
	Priority int
	// AllLimited is true if all servers of the service are limited, so that their
	// capacity goes to more urgent requests first.
	AllLimited bool
	// StoreConfirmedAt is the time of the store's last confirmation that the servers'
	// entries are current.
	StoreConfirmedAt monotime.Instant
}

// Cold reports whether a server is cold.
func (l *Limiter) Cold(id string, storeConfirmedAt, now monotime.Instant) bool {
	if l.limitedCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	return s != nil && s.cold(storeConfirmedAt, now)
}

// Limited reports whether a server has a rate limit now or is paused.
func (l *Limiter) Limited(id string, r Request, now monotime.Instant) bool {
	if l.limitedCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	return s != nil && (now < s.pausedUntil || s.rate(&r, now) > 0)
}

// Allows reports whether this instance may send a request to a server now.
func (l *Limiter) Allows(id string, r Request, now monotime.Instant) bool {
	if l.limitedCount.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	return s == nil || l.allows(id, s, &r, now)
}

// TryAcquire reports the same as Allows, and records the request as sent if it is
// allowed.
func (l *Limiter) TryAcquire(id string, r Request, now monotime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(id)
	if !l.allows(id, s, &r, now) {
		return false
	}
	if rate := s.rate(&r, now); rate > 0 {
		s.nextAt = now.Add(s.interval(rate))
	}
	s.record(now)
	return true
}

// allows implements Allows; mu is held.
func (l *Limiter) allows(id string, s *server, r *Request, now monotime.Instant) bool {
	l.clearExpired(id, s, r.StoreConfirmedAt, now)
	if now < s.pausedUntil {
		return false
	}
	rate := s.rate(r, now)
	if rate <= 0 {
		return true
	}
	if now.Sub(l.startedAt) < startupDelay {
		return false
	}
	if !l.owns(id, s, rate) {
		return false
	}
	due := s.nextAt
	if r.AllLimited {
		share := math.Min(maxPriorityDelay, priorityDelayStep*float64(max(0, r.Priority)))
		due = due.Add(time.Duration(share * float64(s.interval(rate))))
	}
	if now < due {
		return false
	}
	s.dropOld(now)
	return float64(len(s.recent)) < rate
}

// owns reports whether this instance is one of the server's owners; mu is held.
func (l *Limiter) owns(id string, s *server, rate float64) bool {
	if s.ownedView != l.view || s.ownedRate != rate {
		s.ownerCount = int(min(math.Ceil(rate/maxOwnerRate), float64(len(l.view.members))))
		s.owned = l.view.place(id) < s.ownerCount
		s.ownedView, s.ownedRate = l.view, rate
	}
	return s.owned
}
