package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/wire"
)

const (
	// suspicionTTL is how long a broken answer is kept until its server turns out to have
	// ended. The entry of one that does not come back goes after some heartbeats.
	suspicionTTL = 10 * time.Second
	// maxSuspicions bounds the broken answers that are kept. The oldest go first.
	maxSuspicions = 512
)

// suspicions holds answers that broke off although their servers seemed to accept
// connections: something else may answer at the address of a server that has ended.
type suspicions struct {
	mu   sync.Mutex
	list []suspicion
}

type suspicion struct {
	crash   crashes.Crash
	address string
}

// BrokeOff implements relay.Fleet.
func (f *fleet) BrokeOff(target relay.Target, crash crashes.Crash, now monotime.Instant) {
	if f.endWasAnnounced(crash.Server) {
		return
	}
	f.suspicions.mu.Lock()
	defer f.suspicions.mu.Unlock()
	f.suspicions.expire(now)
	if len(f.suspicions.list) >= maxSuspicions {
		f.suspicions.list = f.suspicions.list[1:]
	}
	f.suspicions.list = append(f.suspicions.list, suspicion{crash, target.Address})
}

// endWasAnnounced reports whether a server said that it leaves, or its entry is gone.
func (f *fleet) endWasAnnounced(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, live := f.registry.Get(id); live {
		return s.Draining
	}
	_, gone := f.registry.Gone(id)
	return gone
}

// Misdirected implements relay.Fleet.
func (f *fleet) Misdirected(server string, now monotime.Instant) {
	f.settleSuspicions("misdirected", now, func(s *suspicion) (ended, dropped bool) {
		return s.crash.Server == server, false
	})
}

// settleServers confirms suspicions against servers that have ended or whose address has
// another incarnation now, and drops those against servers that leave.
func (f *fleet) settleServers(changed []wire.RelayServer, now monotime.Instant) {
	f.settleSuspicions("entry", now, func(s *suspicion) (ended, dropped bool) {
		for i := range changed {
			switch c := &changed[i]; {
			case c.ID == s.crash.Server && c.Gone, c.ID != s.crash.Server && !c.Gone && c.Address == s.address:
				return true, false
			case c.ID == s.crash.Server && c.Draining:
				return false, true
			}
		}
		return false, false
	})
}

func (f *fleet) settleSuspicions(evidence string, now monotime.Instant, decide func(*suspicion) (ended, dropped bool)) {
	var confirmed []crashes.Crash
	f.suspicions.mu.Lock()
	f.suspicions.expire(now)
	f.suspicions.list = slices.DeleteFunc(f.suspicions.list, func(s suspicion) bool {
		ended, dropped := decide(&s)
		if ended {
			confirmed = append(confirmed, s.crash)
		}
		return ended || dropped
	})
	f.suspicions.mu.Unlock()
	for _, crash := range confirmed {
		f.log.Info("crash_confirmed", zap.String("server", crash.Server), zap.String("evidence", evidence),
			zap.Stringer("request", crash.Request), zap.Duration("age_ms", now.Sub(crash.At)))
		f.recordCrash(crash, now)
	}
}

func (s *suspicions) expire(now monotime.Instant) {
	s.list = slices.DeleteFunc(s.list, func(one suspicion) bool { return now.Sub(one.crash.At) > suspicionTTL })
}
