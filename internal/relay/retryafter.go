package relay

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
)

// Times to come back that refusals tell.
const (
	// retryElsewhere: another instance can serve it now.
	retryElsewhere = 20 * time.Millisecond
	// retryNotReady: configuration or its confirmation is on its way.
	retryNotReady = 300 * time.Millisecond
	// retryNoServer: servers that can't be reached are tried again.
	retryNoServer = 200 * time.Millisecond
	// retryOverloaded: engines whose slots are all taken have room again when
	// some of their streams end, which last one to three seconds. It is spread,
	// so that those refused at once do not come back at once.
	retryOverloaded = 700 * time.Millisecond
	// retryFull: a server's queue moves within some steps of its engine.
	retryFull = 150 * time.Millisecond
)

// jitter returns a time between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

const (
	// minOutageShare and outageTo bound the time to come back to a service that no instance
	// reaches, as shares of the time that the caller has left. Callers come back once, and
	// no later than after a third of it. Servers that were killed are back after one to
	// five seconds: of callers told 200 ms in an outage of 1.5 s none was served. One that
	// is refused now will mostly be late, so a later return costs it little and makes an
	// answer likelier.
	minOutageShare = 1.0 / 6
	maxOutageShare = 1.0 / 3
	// minOutageRetry bounds that from below where little time is left.
	minOutageRetry = 500 * time.Millisecond
)

// retryAfterUnreachable is when the caller should come back after this instance reached no
// server: soon where others reach one, since the next instance serves it then.
func (f *forwarder) retryAfterUnreachable() time.Duration {
	if f.relay.cfg.Fleet.Serving(f.service, monotime.Now()) {
		return retryNoServer
	}
	return retryAfterOutage(f.work.Left)
}

// retryAfterOutage is when a caller with so much time left should come back to a service that
// no instance reaches. It is spread, so that those refused at once do not all return at
// once to servers that have just started, and the later of two draws: most of those that
// are refused at the start of an outage return in vain if they return early in that span.
func retryAfterOutage(left time.Duration) time.Duration {
	share := minOutageShare + (maxOutageShare-minOutageShare)*max(rand.Float64(), rand.Float64())
	return max(minOutageRetry, time.Duration(share*float64(left)))
}
