package peer

import (
	"cmp"
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/schema/wire"
)

const seedPrefix = "@"

// Timing holds the times and bounds of links. Zero values take the defaults.
type Timing struct {
	// KeepAliveInterval is the longest time a side sends nothing. Default 1 s.
	KeepAliveInterval time.Duration
	// PeerTimeout is how long a link may be silent. Default 3.5 s.
	PeerTimeout time.Duration
	// HandshakeTimeout bounds dialing and the handshake. Default 2 s.
	HandshakeTimeout time.Duration
	// CoalesceDelay is how long an envelope waits for others. Default 1 ms.
	CoalesceDelay time.Duration
	// IdleTimeout closes a link that was opened on demand. Default 60 s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait before dialing again. Defaults
	// 100 ms and 5 s.
	BackoffMin, BackoffMax time.Duration
	// MaxQueueBytes bounds what waits on one link, roughly. Default 4 MiB.
	MaxQueueBytes int
	// BulkRate bounds what of configurations is sent in a second, on all links together.
	// Default 0, no bound.
	BulkRate int
}

func (t Timing) withDefaults() Timing {
	t.KeepAliveInterval = cmp.Or(t.KeepAliveInterval, time.Second)
	t.PeerTimeout = cmp.Or(t.PeerTimeout, 3500*time.Millisecond)
	t.HandshakeTimeout = cmp.Or(t.HandshakeTimeout, 2*time.Second)
	t.CoalesceDelay = cmp.Or(t.CoalesceDelay, time.Millisecond)
	t.IdleTimeout = cmp.Or(t.IdleTimeout, time.Minute)
	t.BackoffMin = cmp.Or(t.BackoffMin, 100*time.Millisecond)
	t.BackoffMax = cmp.Or(t.BackoffMax, 5*time.Second)
	t.MaxQueueBytes = cmp.Or(t.MaxQueueBytes, 4<<20)
	return t
}

// Handler receives what happens on links. Calls of one link come one at a time
// and in order: LinkUp, then envelopes, then LinkDown.
type Handler interface {
	// Envelope takes a received envelope.
	Envelope(from string, env *wire.Envelope)
	// LinkUp tells of an open link.
	LinkUp(peer Identity)
	// LinkDown tells that a link ended, or that one could not be opened on
	// demand. Envelopes that Send took may be lost.
	LinkDown(id string, err error)
}

// Target is a peer to keep a link to.
type Target struct {
	// ID of the instance; empty when only the address is known.
	ID string
	// Address is host and port.
	Address string
}

func (t Target) key() string {
	if t.ID == "" {
		return seedPrefix + t.Address
	}
	return t.ID
}

// Config of Links.
type Config struct {
	// Self is told to peers.
	Self Identity
	// Keys accepted; the first one signs. There must be one.
	Keys []Key
	// Listener accepts links.
	Listener net.Listener
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Resolve finds the address of a peer for a link on demand.
	Resolve func(id string) (address string, ok bool)
	// Handler receives events.
	Handler Handler
	// Timing, zero for defaults.
	Timing Timing
	// Log, nil for none.
	Log *zap.Logger
}
