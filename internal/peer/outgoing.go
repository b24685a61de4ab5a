package peer

import (
	"sync"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// outgoing is an envelope in the queue of a link.
type outgoing struct {
	env *wire.Envelope
	// shared is what the links of a Broadcast have in common; nil for an envelope
	// of one link.
	shared *shared
	// late says that other envelopes are to pass this one.
	late bool
	// queuedAt is when it was queued.
	queuedAt monotime.Instant
}

// shared is an envelope for several peers, which is encoded once.
type shared struct {
	cost int
	once sync.Once
	data []byte
	err  error
}

func (o outgoing) cost() int {
	if o.shared != nil {
		return o.shared.cost
	}
	return cost(o.env)
}

func (o outgoing) isBulk() bool { return o.late || o.env.ConfigPart != nil }

func (o outgoing) encode() ([]byte, error) {
	if o.shared == nil {
		return Encode(o.env)
	}
	o.shared.once.Do(func() { o.shared.data, o.shared.err = Encode(o.env) })
	return o.shared.data, o.shared.err
}

// Broadcast queues an envelope for several peers with a link; the others are passed
// over. It is encoded once, and sent without waiting for more. It does not block and
// may be called from the handler. The envelope must not be changed afterwards.
func (s *Links) Broadcast(to []string, env *wire.Envelope) {
	o := outgoing{env: env, shared: &shared{cost: cost(env)}}
	for _, id := range to {
		if l := s.link(id); l != nil {
			l.enqueue(o)
		}
	}
}

// Drop closes the link to a peer if this side opened it. The other side, which may
// need it, opens one then; a link that both could drop would be closed and opened
// again for good.
func (s *Links) Drop(id string) {
	if l := s.link(id); l != nil && l.dialer {
		l.close(errIdle)
	}
}
