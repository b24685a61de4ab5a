package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"basilrudder/internal/monotime"
)

// outageThreshold is the number of servers of a service, or all if there are fewer, that
// this instance must find unreachable, with none reached in between, for an outage of the
// service. A crash of a third of the servers looks like an outage to one request in 240.
const outageThreshold = 5

// outageDetector tracks which services this instance can no longer reach. It is safe for
// concurrent use.
type outageDetector struct {
	// failing is the number of services with a streak. While it is zero, no lock is
	// taken.
	failing atomic.Int64

	mu      sync.Mutex
	streaks map[string]*streak
}

// streak holds the servers of a service found unreachable since one was last reached.
type streak struct {
	since   monotime.Instant
	servers map[string]bool
}

func newOutageDetector() *outageDetector { return &outageDetector{streaks: make(map[string]*streak)} }

// recordUnreachable records that no connection to a server could be made.
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

// recordReached records that a server of a service was reached.
func (o *outageDetector) recordReached(service string) {
	if o.failing.Load() == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streaks, service)
	o.failing.Store(int64(len(o.streaks)))
}

// outageSince returns when the outage of a service with so many servers began, as
// observed by this instance alone; false if there is none.
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

// services returns the sorted names of the services with a streak.
func (o *outageDetector) services() []string {
	if o.failing.Load() == 0 {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.streaks))
}
