package gateway

import (
	"sync"
	"sync/atomic"

	"basilrudder/internal/monotime"
)

// outageThreshold is how many servers of a service this instance has to find unreachable, one
// after the other and none reached between, to take that for an outage of the service; all
// where there are fewer. A crash of a third of the servers looks like that to one request
// in 240.
const outageThreshold = 5

// outageDetector keeps which services this instance has stopped to reach. It is safe for
// concurrent use.
type outageDetector struct {
	// failing is the number of services with a streak, so that the others cost nothing.
	failing atomic.Int64

	mu      sync.Mutex
	streaks map[string]*streak
}

// streak is the servers of a service that were found unreachable since one was reached.
type streak struct {
	since   monotime.Instant
	servers map[string]bool
}

func newOutageDetector() *outageDetector { return &outageDetector{streaks: make(map[string]*streak)} }

// recordUnreachable notes that no connection to a server could be made.
func (o *outageDetector) recordUnreachable(service, server string, now monotime.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.streaks[service]
	if s == nil {
		s = &streak{since: now, servers: make(map[string]bool)}
		o.streaks[service] = s
		o.failing.Store(int64(len(o.streaks)))
	}
	if len(s.servers) < outageThreshold {
		s.servers[server] = true
	}
}

// recordReached notes that a server of a service was recordReached.
func (o *outageDetector) recordReached(service string) {
	if o.failing.Load() == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streaks, service)
	o.failing.Store(int64(len(o.streaks)))
}

// outageSince is when the outage of a service of so many servers began, as this instance alone
// can tell; false when there is none.
func (o *outageDetector) outageSince(service string, servers int) (monotime.Instant, bool) {
	if o.failing.Load() == 0 {
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.streaks[service]
	if s == nil || len(s.servers) < min(outageThreshold, servers) {
		return 0, false
	}
	return s.since, true
}
