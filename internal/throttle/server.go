package throttle

import (
	"time"

	"basilrudder/internal/monotime"
)

// server is the state of one incarnation.
type server struct {
	// coldUntil is when it becomes warm according to its entry. assumedColdUntil is when
	// it does if it restarted before assumedColdSince, which no entry shows yet.
	coldUntil, assumedColdUntil, assumedColdSince monotime.Instant
	// unreachable is true if no connection to it could be made, so that it may be cold
	// when it recovers.
	unreachable bool
	// rateLimit is the rate that it advertises, at least probeRate; 0 for none.
	rateLimit float64
	// pausedUntil is when it accepts requests of this instance again, as it reported.
	pausedUntil monotime.Instant
	// nextAt is when this instance may send the next request.
	nextAt monotime.Instant
	// recent holds the times of all instances' requests within the window, oldest first.
	recent []monotime.Instant
	// owned is whether this instance is one of the ownerCount owners, as computed for
	// ownedView and ownedRate.
	owned      bool
	ownedView  *view
	ownedRate  float64
	ownerCount int
	// place is this instance's place among the members, as computed for placedView.
	place      int
	placedView *view
}

// mayBeLimited reports whether the server is or may be limited, or has state that is to
// expire.
func (s *server) mayBeLimited() bool {
	return s.coldUntil != 0 || s.assumedColdUntil != 0 || s.unreachable || s.rateLimit != 0 || s.pausedUntil != 0
}

func (s *server) record(now monotime.Instant) {
	s.dropOld(now)
	if len(s.recent) < maxRecent {
		s.recent = append(s.recent, now)
	}
}

func (s *server) dropOld(now monotime.Instant) {
	n := 0
	for n < len(s.recent) && now.Sub(s.recent[n]) >= window {
		n++
	}
	s.recent = s.recent[:copy(s.recent, s.recent[n:])]
}

func (s *server) cold(storeConfirmedAt, now monotime.Instant) bool {
	if now < s.coldUntil {
		return true
	}
	// The store has since confirmed that it is the same incarnation as before.
	same := storeConfirmedAt >= s.assumedColdSince.Add(confirmationLag)
	return now < s.assumedColdUntil && !same
}

// rate returns what the server sustains now, in requests a second; 0 for no limit.
func (s *server) rate(r *Request, now monotime.Instant) float64 {
	if r.ColdLimit.Rate <= 0 || !s.cold(r.StoreConfirmedAt, now) {
		return s.rateLimit
	}
	if s.rateLimit > 0 {
		return min(s.rateLimit, r.ColdLimit.Rate)
	}
	return r.ColdLimit.Rate
}

// interval returns the time between two requests of one owner.
func (s *server) interval(rate float64) time.Duration {
	return time.Duration(float64(s.ownerCount) / rate * float64(time.Second))
}
