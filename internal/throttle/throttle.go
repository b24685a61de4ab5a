// Package throttle keeps what a fleet sends to a server below what it bears.
//
// A server that has just started bears few requests a second and crashes well above
// that; one may also name a rate that it takes. Every instance of the fleet may send to
// it, and no instance decides for the others. So each server with such a bound has owners
// among the live instances, by rendezvous hashing: only they send to it, each at an even
// pace, and together at the rate that it bears. Instances whose lists of members differ
// for a moment may take different owners; two disjoint sets of them send twice the rate
// at most. Besides, every instance counts what it hears that others sent, and an owner
// waits when the last second is full.
//
// The package is pure: it takes the current instant and does no I/O.
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
	// maxOwnerRate is how many requests a second one owner sends to a cold server at most.
	// Then no second holds two of one owner, so that all owners together send no more
	// in it than the server bears, and an instance that takes only a few requests a
	// second from its callers has enough of them to use its part.
	maxOwnerRate = 1.0
	// window is the span in which a server bears its rate.
	window = time.Second
	// startupDelay is how long a process that starts sends nothing to cold servers: it
	// knows few members yet and would own all of them. Links to all others stand
	// within a second.
	startupDelay = 1500 * time.Millisecond
	// confirmationLag is how long after a server answered again the store's word that it is
	// the same one counts. The entry of one that has started again is known to all
	// instances within some 300 ms.
	confirmationLag = 500 * time.Millisecond
	// priorityDelayStep is how much of the time between two requests of an owner is left to
	// more urgent ones, for each step of priority, where all servers are cold. With a
	// quarter the third priority still gets what the first two leave.
	priorityDelayStep = 0.25
	// maxPriorityDelay bounds that for the lowest priorities, so that they are served.
	maxPriorityDelay = 0.75
	// inUseWindow is how long after a request a server counts as in use: many times the delay
	// of news, and a fleet that serves a service sends it some requests in that time.
	inUseWindow = 300 * time.Millisecond
	// probeRate is what a server gets that names a lower rate, in requests a second. Only
	// an answer tells that its limit is over, so one that got nothing would for good.
	probeRate = 0.2
	// maxRecent bounds the requests remembered of a server: more than any cold one
	// bears in a second.
	maxRecent = 256
)

// ColdLimit is what a cold server of a service bears.
type ColdLimit struct {
	// Rate in requests a second; 0 for no bound.
	Rate float64
	// Duration is how long a server is cold after it starts.
	Duration time.Duration
}

// Limiter decides when this instance may send to servers that bear few requests. It is
// safe for concurrent use.
type Limiter struct {
	startedAt monotime.Instant
	// limitedCount is the number of servers that have or may have a bound, so that the others
	// cost nothing.
	limitedCount atomic.Int64

	mu      sync.Mutex
	view    *view
	servers map[string]*server
}

// view is the members that share such servers; it is not changed once made.
type view struct {
	self    string
	members []string
}

// New returns a Limiter of a process that starts now and knows no other instance.
func New(self string, now monotime.Instant) *Limiter {
	return &Limiter{startedAt: now, view: &view{self: self, members: []string{self}}, servers: make(map[string]*server)}
}

// SetMembers replaces the instances that share servers, this one among them.
func (l *Limiter) SetMembers(members []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(members, l.view.members) {
		l.view = &view{self: l.view.self, members: members}
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

// SetCold notes that a server is cold until an instant, or warm when that is over.
func (l *Limiter) SetCold(id string, until monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.coldUntil = until })
}

// SetRateLimit notes the rate that a server says it takes of all instances together.
func (l *Limiter) SetRateLimit(id string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.rateLimit = max(rate, probeRate) })
}

// ClearRateLimit notes that a server names no rate.
func (l *Limiter) ClearRateLimit(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.rateLimit = 0 })
}

// Pause notes that a server wants nothing from this instance until an instant. A shorter
// wish than the last one changes nothing: it may have been sent before that.
func (l *Limiter) Pause(id string, until monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.pausedUntil = max(s.pausedUntil, until) })
}

// Forget drops what is known of an incarnation that is gone.
func (l *Limiter) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { *s = server{} })
	delete(l.servers, id)
}

// MarkUnreachable notes that a server can't be reached. When it answers again it may have
// started again, and requests of all instances would reach it before its entry does.
func (l *Limiter) MarkUnreachable(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(id, func(s *server) { s.unreachable = true })
}

// MarkReachable notes that a connection to a server was made. One that had been lost counts
// as cold until its entry says otherwise, see Take.
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

// update changes what is known of a server and keeps watched right; mu is held. A fleet
// that starts learns thousands of servers at once, so the others are not looked at.
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

// clearExpired ends what is over for a server, so that it is no longer watched; mu is held.
// Else one that was cold once would cost every later choice a look at each server.
func (l *Limiter) clearExpired(id string, s *server, storeConfirmedAt, now monotime.Instant) {
	expired := !s.unreachable && s.rateLimit == 0 && now >= s.pausedUntil && !s.cold(storeConfirmedAt, now)
	if s.mayBeLimited() && expired {
		l.update(id, func(s *server) { s.coldUntil, s.assumedColdUntil, s.pausedUntil = 0, 0, 0 })
	}
}

// RecordRequest notes that a request of any instance began on a server.
func (l *Limiter) RecordRequest(id string, now monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(id).record(now)
}

// InUse reports whether any instance has sent a request to one of the servers lately, and
// not before an instant, as far as this one has heard.
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

// Request is a request that is to be sent.
type Request struct {
	// ColdLimit of the service's cold servers.
	ColdLimit ColdLimit
	// Priority, 0 first.
	Priority int
	// AllLimited says that all servers of the service are bounded, so that what they bear is
	// left to the more urgent requests first.
	AllLimited bool
	// StoreConfirmedAt is when what is known of servers was last known to be the newest.
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

// Limited reports whether a server bears only so many requests a second, or wants none.
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

// TryAcquire is Open, and counts the request as sent if it may be.
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

// allows decides; mu is held.
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
		s.owned = owns(l.view, id, s.ownerCount)
		s.ownedView, s.ownedRate = l.view, rate
	}
	return s.owned
}
