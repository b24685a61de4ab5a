package peer

import (
	"sync"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// outgoing is an envelope in the queue of a link.
type outgoing struct {
	env *wire.Envelope
	// shared holds the encodings of a Broadcast for all its links; nil for an envelope of
	// one link.
	shared *sharedEncoding
	// bulk marks an envelope that others may pass.
	bulk bool
	// queuedAt is the time when the envelope was queued.
	queuedAt monotime.Instant
}

// sharedEncoding holds an envelope for several peers, encoded at most once plain and once
// compressed.
type sharedEncoding struct {
	cost              int
	plain, compressed lazyEncoding
}

// lazyEncoding is a frame that is encoded on first use.
type lazyEncoding struct {
	once sync.Once
	data []byte
	err  error
}

func (e *lazyEncoding) get(env *wire.Envelope, compression bool) ([]byte, error) {
	e.once.Do(func() { e.data, e.err = encode(env, compression) })
	return e.data, e.err
}

// encode encodes an envelope as a frame, compressed if the peer accepts that and it is
// shorter.
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

// Broadcast queues an envelope for several peers and skips those without a link. The
// envelope is encoded once and sent without the coalescing delay, unless other envelopes
// are queued on the link. Broadcast does not block and may be called from the handler. The
// envelope must not be modified afterwards.
func (s *Links) Broadcast(to []string, env *wire.Envelope) {
	o := outgoing{env: env, shared: &sharedEncoding{cost: cost(env)}}
	for _, id := range to {
		if l := s.link(id); l != nil {
			l.enqueue(o)
		}
	}
}

// Drop closes the link to a peer if this side opened it. The other side opens a
// new one if it needs it. If both sides could drop one link, it would be closed and opened
// again forever.
func (s *Links) Drop(id string) {
	if l := s.link(id); l != nil && l.dialer {
		l.close(errIdle)
	}
}
