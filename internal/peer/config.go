package peer

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/schema/wire"
)

// seedPrefix begins the key of a target without an ID. Peers whose ID begins with it are
// refused.
const seedPrefix = "@"

// Timing configures the timeouts and limits of links. Zero values select the defaults.
type Timing struct {
	// KeepAliveInterval is the interval of pings on a link that has nothing else to send.
	// Default 1 s.
	KeepAliveInterval time.Duration
	// PeerTimeout closes a link on which nothing was received, or a write did not finish,
	// for this long. Links opened on demand have a longer read timeout. It should be several
	// keep-alive intervals, or a single late ping closes the link. Default 3.5 s.
	PeerTimeout time.Duration
	// HandshakeTimeout limits dialing, and then the handshake. Until it expires, no other
	// dial to the peer starts. Default 2 s.
	HandshakeTimeout time.Duration
	// CoalesceDelay is how long a queued envelope waits for others to share its frame. A
	// shorter delay sends more frames, a longer one delays messages. Default 1 ms.
	CoalesceDelay time.Duration
	// IdleTimeout closes a link opened on demand after this time without envelopes. A
	// shorter time reopens links more often, a longer one keeps more open. Default 60 s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before a peer is dialed again.
	// Defaults 100 ms and 5 s.
	BackoffMin, BackoffMax time.Duration
	// MaxQueueBytes limits the estimated size of the messages queued on one link. A
	// lower limit closes links during short delays of a peer, a higher one takes more memory
	// for each peer that does not read. Default 4 MiB.
	MaxQueueBytes int
	// BulkRate limits bulk messages, in bytes per second over all links together.
	// Default 0, no limit.
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

// Handler receives the events of links. Calls for one link are sequential and ordered:
// LinkUp, then Envelope, then LinkDown.
type Handler interface {
	// Envelope handles a received envelope.
	Envelope(from string, env *wire.Envelope)
	// LinkUp reports that a link is open.
	LinkUp(peer Identity)
	// LinkDown reports that a link ended, or that one could not be opened on demand.
	// Envelopes accepted by Send may be lost.
	LinkDown(id string, err error)
}

// Target is a peer to which a link is kept open.
type Target struct {
	// ID of the instance; empty when only the address is available.
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

// Config configures Links.
type Config struct {
	// Self is sent to peers in the handshake.
	Self Identity
	// Keys are accepted from peers; the first one signs. At least one is required.
	Keys []Key
	// Listener accepts the connections of peers.
	Listener net.Listener
	// Accepted is told of an accepted connection that has become a link. The link is closed if
	// it returns false; nil accepts all.
	Accepted func(conn net.Conn) bool
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Resolve returns the address of a peer for a link on demand; nil disables such
	// links.
	Resolve func(id string) (address string, ok bool)
	// Other handles HTTP requests on other paths than Path; nil answers them with 404. The
	// context ends with Run; the request must not be used after the handler returned.
	Other func(ctx context.Context, request *fasthttp.RequestCtx)
	// Handler receives events.
	Handler Handler
	// Timing; zero values select the defaults.
	Timing Timing
	// Log; nil disables logging.
	Log *zap.Logger
}
