package relay

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
)

// Retry-After times of refusals.
const (
	// retryElsewhere applies when another instance can serve the request now.
	retryElsewhere = 20 * time.Millisecond
	// retryNotReady applies while the configuration or its confirmation is on its way.
	retryNotReady = 300 * time.Millisecond
	// retryNoServer applies when servers are unreachable: they are tried again.
	retryNoServer = 200 * time.Millisecond
	// retryOverloaded applies when all slots of the engines are in use or all servers are
	// at their rate limits. Slots become free when streams end, which last one to three
	// seconds. It is jittered: otherwise callers refused at the same time would all
	// return at the same time.
	retryOverloaded = 700 * time.Millisecond
	// retryFull applies to refusals of a server and where no other time does. A full
	// queue advances within a few steps of the engine.
	retryFull = 150 * time.Millisecond
	// retrySuspect applies to content that may crash servers. A request with it is tried a
	// second after the last end, and clears it if its server goes on.
	retrySuspect = 1500 * time.Millisecond
)

// jitter returns a random time between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

const (
	// minOutageShare and maxOutageShare bound the Retry-After time for a service that no
	// instance reaches, as shares of the caller's remaining time. Callers retry once, and
	// no later than after a third of that time. Killed servers recover after one to five
	// seconds: in an outage of 1.5 s, no caller with a Retry-After time of 200 ms was
	// served. A refused request will mostly be late, so a later retry costs it little and
	// makes an answer more likely.
	minOutageShare = 1.0 / 6
	maxOutageShare = 1.0 / 3
	// minOutageRetry is the lower bound of that time where little time remains. Callers
	// that return earlier would mostly find no server yet.
	minOutageRetry = 500 * time.Millisecond
)

// retryAfterUnreachable returns the Retry-After time after this instance reached no
// server. It is short if other instances reach one, since the next instance can serve the
// request at once.
func (f *forwarder) retryAfterUnreachable() time.Duration {
	if f.relay.cfg.Fleet.Serving(f.service, monotime.Now()) {
		return retryNoServer
	}
	return retryAfterOutage(f.work.Left)
}

// retryAfterOutage returns the Retry-After time of a service that no instance reaches,
// for a caller with the remaining time left. The time is random: otherwise callers
// refused at once would all return at once to servers that have just started. It is the
// later of two draws, because most callers refused at the start of an outage would find
// no server if they returned early in the range.
func retryAfterOutage(left time.Duration) time.Duration {
	share := minOutageShare + (maxOutageShare-minOutageShare)*max(rand.Float64(), rand.Float64())
	return max(minOutageRetry, time.Duration(share*float64(left)))
}
