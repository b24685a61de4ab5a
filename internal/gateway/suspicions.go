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
	// replies reports whether the very process of a server still replies at its address; nil
	// if it can't be asked.
	replies func(target relay.Target) bool

	mu   sync.Mutex
	list []suspicion
}

type suspicion struct {
	crash  crashes.Crash
	target relay.Target
}

// settlement is how a change settles a suspicion.
type settlement uint8

const (
	pendingSuspicion settlement = iota
	unfoundedSuspicion
	confirmedSuspicion
	// undecidedSuspicion means that the server's entry went: it has ended, or has left without an
	// announcement and goes on serving for a while.
	undecidedSuspicion
)

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
	f.suspicions.list = append(f.suspicions.list, suspicion{crash, target})
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
	f.settleSuspicions("misdirected", now, func(s *suspicion) settlement {
		if s.crash.Server == server {
			return confirmedSuspicion
		}
		return pendingSuspicion
	})
}

// settleServers confirms suspicions against servers that have ended or whose address has
// another incarnation now, and drops those against servers that leave.
func (f *fleet) settleServers(changed []wire.RelayServer, now monotime.Instant) {
	f.settleSuspicions("entry", now, func(s *suspicion) settlement {
		for i := range changed {
			switch c := &changed[i]; {
			case c.ID == s.crash.Server && c.Gone:
				return undecidedSuspicion
			case c.ID != s.crash.Server && !c.Gone && c.Address == s.target.Address:
				return confirmedSuspicion
			case c.ID == s.crash.Server && c.Draining:
				return unfoundedSuspicion
			}
		}
		return pendingSuspicion
	})
}

func (f *fleet) settleSuspicions(evidence string, now monotime.Instant, decide func(*suspicion) settlement) {
	var ended []suspicion
	asked := make(map[string][]suspicion)
	f.suspicions.mu.Lock()
	f.suspicions.expire(now)
	f.suspicions.list = slices.DeleteFunc(f.suspicions.list, func(s suspicion) bool {
		found := decide(&s)
		switch {
		case found == undecidedSuspicion && f.suspicions.replies != nil:
			asked[s.crash.Server] = append(asked[s.crash.Server], s)
		case found == undecidedSuspicion, found == confirmedSuspicion:
			ended = append(ended, s)
		}
		return found != pendingSuspicion
	})
	f.suspicions.mu.Unlock()
	f.confirmCrashes(ended, evidence, now)
	for _, list := range asked {
		go f.settleGone(list)
	}
}

// settleGone confirms suspicions against a server whose entry went, unless it still replies.
func (f *fleet) settleGone(list []suspicion) {
	if !f.suspicions.replies(list[0].target) {
		f.confirmCrashes(list, "entry", monotime.Now())
		return
	}
	f.log.Info("suspicions_dropped", zap.String("server", list[0].crash.Server), zap.Int("answers", len(list)))
}

func (f *fleet) confirmCrashes(list []suspicion, evidence string, now monotime.Instant) {
	for _, s := range list {
		f.log.Info("crash_confirmed", zap.String("server", s.crash.Server), zap.String("evidence", evidence),
			zap.Stringer("request", s.crash.Request), zap.Duration("age_ms", now.Sub(s.crash.At)))
		f.recordCrash(s.crash, now)
	}
}

func (s *suspicions) expire(now monotime.Instant) {
	s.list = slices.DeleteFunc(s.list, func(one suspicion) bool { return now.Sub(one.crash.At) > suspicionTTL })
}
