package throttle

import (
	"time"

	"basilrudder/internal/monotime"
)

// server is what is known of one incarnation.
type server struct {
	// coldUntil is when it is warm, as its entry says; assumedColdUntil when it is although
	// it may have started again since assumedColdSince, of which no entry tells yet.
	coldUntil, assumedColdUntil, assumedColdSince monotime.Instant
	// unreachable says that no connection to it could be made, so that it may come back cold.
	unreachable bool
	// rateLimit is the rate that it says it takes, at least trialRate; 0 when it names none.
	rateLimit float64
	// pausedUntil is when it takes requests of this instance again, as it says.
	pausedUntil monotime.Instant
	// nextAt is when this instance may send the next request.
	nextAt monotime.Instant
	// recent are the requests of all instances within the window, oldest first.
	recent []monotime.Instant
	// owned is whether this instance is one of the owners, by the view and for the rate
	// for which that was worked out.
	owned      bool
	ownedView  *view
	ownedRate  float64
	ownerCount int
}

// mayBeLimited reports whether the server has or may have a bound.
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
	// The store has since said that it is the same incarnation as before.
	same := storeConfirmedAt >= s.assumedColdSince.Add(confirmationLag)
	return now < s.assumedColdUntil && !same
}

// rate is what the server bears now, in requests a second; 0 for no bound.
func (s *server) rate(r *Request, now monotime.Instant) float64 {
	if r.ColdLimit.Rate <= 0 || !s.cold(r.StoreConfirmedAt, now) {
		return s.rateLimit
	}
	if s.rateLimit > 0 {
		return min(s.rateLimit, r.ColdLimit.Rate)
	}
	return r.ColdLimit.Rate
}

// interval is the time between two requests of one owner.
func (s *server) interval(rate float64) time.Duration {
	return time.Duration(float64(s.ownerCount) / rate * float64(time.Second))
}
