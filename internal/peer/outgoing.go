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
	shared *sharedEncoding
	// bulk says that other envelopes are to pass this one.
	bulk bool
	// queuedAt is when it was queued.
	queuedAt monotime.Instant
}

// sharedEncoding is an envelope for several peers, which is encoded once for each form of frames.
type sharedEncoding struct {
	cost          int
	plain, compressed lazyEncoding
}

// lazyEncoding is a frame that is made when it is first needed.
type lazyEncoding struct {
	once sync.Once
	data []byte
	err  error
}

func (e *lazyEncoding) get(env *wire.Envelope, compression bool) ([]byte, error) {
	e.once.Do(func() { e.data, e.err = encode(env, compression) })
	return e.data, e.err
}

// encode writes the envelope of a frame, compressed where the peer understands that.
func encode(env *wire.Envelope, compression bool) ([]byte, error) {
	data, err := Encode(env)
	if err != nil || !compression {
		return data, err
	}
	return compress(data), nil
}

func (o outgoing) cost() int {
	if o.shared != nil {
		return o.shared.cost
	}
	return cost(o.env)
}

func (o outgoing) isBulk() bool { return o.bulk || o.env.ConfigPart != nil }

func (o outgoing) encode(compression bool) ([]byte, error) {
	switch {
	case o.shared == nil:
		return encode(o.env, compression)
	case compression:
		return o.shared.compressed.get(o.env, compression)
	default:
		return o.shared.plain.get(o.env, compression)
	}
}

// Broadcast queues an envelope for several peers with a link; the others are passed
// over. It is encoded once, and sent without waiting for more. It does not block and
// may be called from the handler. The envelope must not be changed afterwards.
func (s *Links) Broadcast(to []string, env *wire.Envelope) {
	o := outgoing{env: env, shared: &sharedEncoding{cost: cost(env)}}
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
