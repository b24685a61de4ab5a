package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"basilrudder/internal/answerend"
	"basilrudder/internal/monotime"
)

// probeTTL is how long the result of a probe is reused. Within it, all answers that one
// crash broke off share a single probe.
const probeTTL = 2 * time.Second

// probes determines whether servers that broke off answers have ended. The end of a
// server breaks off all its answers at once, so one probe serves all of them.
type probes struct {
	connector Connector
	// identify returns how to find out which server accepted a connection.
	identify func(Target) Identify

	mu     sync.Mutex
	recent map[string]*probe
}

func newProbes(connector Connector, identify func(Target) Identify) *probes {
	return &probes{connector: connector, identify: identify, recent: make(map[string]*probe)}
}

type probe struct {
	at   monotime.Instant
	done chan struct{}
	// refused means that the server has refused this instance, which is to be confirmed.
	refused atomic.Bool
	found   answerend.Probe
}

// shows reports whether the result holds for an answer that ended at an instant, or may do so
// once there is one. A process that has ended stays so; other results are of their moment.
func (p *probe) shows(endedAt monotime.Instant) bool {
	select {
	case <-p.done:
		return p.found == answerend.Refused || p.found == answerend.Replaced || p.at >= endedAt
	default:
		return true
	}
}

// ended reports whether a server refuses connections, as one that has just ended does. A
// server that only lost its connections accepts new ones.
func (p *probes) ended(ctx context.Context, target Target) bool {
	return p.examine(ctx, target, 0, func() bool { return true }) == answerend.Refused
}

// Replies reports whether the very process of a server replies at its address.
func (r *Relay) Replies(target Target) bool {
	always := func() bool { return true }
	return r.endProbes.examine(context.Background(), target, monotime.Now(), always) == answerend.Identified
}

// examine probes a server if allowed for an answer that ended at since, or waits for a probe
// under way.
func (p *probes) examine(ctx context.Context, target Target, since monotime.Instant, allowed func() bool) answerend.Probe {
	for {
		current, first := p.start(target.ID, since, allowed)
		if current == nil {
			return answerend.NotProbed
		}
		if first {
			defer close(current.done)
			current.found = p.attempt(context.WithoutCancel(ctx), current, target)
			if current.found.ServerAlive() {
				p.forget(target.ID)
			}
			return current.found
		}
		select {
		case <-current.done:
			if current.shows(since) {
				return current.found
			}
		case <-ctx.Done():
			return answerend.Interrupted
		}
	}
}

// attempt probes a server, and has a refusal confirmed.
func (p *probes) attempt(ctx context.Context, current *probe, target Target) answerend.Probe {
	identify := p.identify(target)
	found := p.connector.Probe(ctx, target, identify)
	if found != answerend.Refused {
		return found
	}
	current.refused.Store(true)
	return p.connector.Confirm(ctx, target, identify)
}

// unconfirmed returns what is known of a server while its probe is under way.
func (p *probes) unconfirmed(server string) answerend.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.recent[server]; current != nil && current.refused.Load() {
		return answerend.Unconfirmed
	}
	return answerend.Unanswered
}

// start returns the recent probe of a server that shows something of an answer that ended at
// since, or a new one that the caller has to make; nil if that is not allowed.
func (p *probes) start(server string, since monotime.Instant, allowed func() bool) (current *probe, first bool) {
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, old := range p.recent {
		if now.Sub(old.at) > probeTTL {
			delete(p.recent, id)
		}
	}
	if current = p.recent[server]; current != nil && current.shows(since) {
		return current, false
	}
	if !allowed() {
		return nil, false
	}
	current = &probe{at: now, done: make(chan struct{})}
	p.recent[server] = current
	return current, true
}

// forget removes the probe of a server that is alive: the server may end later, so the
// next check needs a new probe.
func (p *probes) forget(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.recent, server)
}
