package peer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/wire"
)

// link is one authenticated connection to a peer.
type link struct {
	conn        *websocket.Conn
	links       *Links
	peer        Identity
	keyID       string
	compression bool // the peer accepts compressed frames
	dialer      bool // this side opened the connection
	openedAt    monotime.Instant

	// partialBytes is the number of bytes received of an incomplete message, and
	// receivedAt the time of the last received bytes, as a monotime.Instant.
	partialBytes, receivedAt atomic.Int64

	mu          sync.Mutex
	queue       []outgoing
	bulk        []outgoing // sent only while queue is empty
	queuedBytes int        // estimated size of queue and bulk
	lastUsed    monotime.Instant
	// writingSince is the time when the envelope being written was queued; 0 for none.
	writingSince monotime.Instant
	closing      bool
	reason       error

	wakeup   chan struct{}
	done     chan struct{} // closed to end the link
	finished chan struct{} // closed when the link has ended
}

// Reasons to close a link.
var (
	errPeerTimeout = errors.New("no data received from the peer within the timeout")
	errQueueFull   = errors.New("outbound queue is full")
	errReplaced    = errors.New("replaced by another link")
	errIdle        = errors.New("idle")
	errKeyRemoved  = errors.New("key of the peer is no longer accepted")
	errStopped     = errors.New("stopped")
	errNotKept     = errors.New("connection was closed for others")
)

// close ends the link. The reason of the first call is kept.
func (l *link) close(reason error) {
	l.mu.Lock()
	first := !l.closing
	if first {
		l.closing = true
		l.reason = reason
	}
	l.mu.Unlock()
	if first {
		close(l.done)
		l.conn.NetConn().Close()
	}
}

func (l *link) idleFor(now monotime.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastUsed)
}

// onDemandFactor multiplies the keep-alive interval and the read timeout of links opened on
// demand. An instance under load has one to most of the fleet; a ping each second on all of
// them would cost more than the heartbeats. A higher factor closes broken links later, but
// acquires, which are answered at once, reveal these sooner. If a link goes to a target on
// one side only, the heartbeats on it are answered each second, so neither side reaches its
// timeout.
const onDemandFactor = 5

// timeFactor returns the factor of the link's keep-alive interval and read timeout.
func (l *link) timeFactor() time.Duration {
	if l.links.isTarget(l.peer.ID) {
		return 1
	}
	return onDemandFactor
}

// timeout returns the maximum time without received bytes.
func (l *link) timeout() time.Duration {
	return l.links.cfg.Timing.PeerTimeout * l.timeFactor()
}

// readLoop passes envelopes to the handler until the link ends. Each side sends at least a
// ping every KeepAliveInterval times timeFactor. If nothing is received within the timeout,
// one direction or the whole path is lost, although TCP still reports the connection as
// open. Each received byte extends the deadline, also within an incomplete message.
func (l *link) readLoop() error {
	l.conn.SetReadLimit(MaxFrame)
	l.conn.SetPingHandler(func(string) error {
		l.links.counters.framesIn.Add(1)
		l.links.counters.in[KindFraming].Add(uint64(frameOverhead(0, !l.dialer)))
		return l.conn.SetReadDeadline(time.Now().Add(l.timeout()))
	})
	for {
		l.conn.SetReadDeadline(time.Now().Add(l.timeout()))
		data, err := l.readMessage()
		if err != nil {
			return err
		}
		env, err := Decode(data)
		if err != nil {
			l.links.counters.invalid.Add(1)
			return err
		}
		l.links.counters.framesIn.Add(1)
		countFrame(&l.links.counters.in, env, len(data), !l.dialer)
		l.mu.Lock()
		l.lastUsed = monotime.Now()
		l.mu.Unlock()
		l.links.cfg.Handler.Envelope(l.peer.ID, env)
	}
}

func (l *link) readMessage() ([]byte, error) {
	_, reader, err := l.conn.NextReader()
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(&partialReader{reader, l})
	if err == nil {
		l.partialBytes.Store(0)
	}
	return data, err
}

// partialReader reads a message and extends the read deadline before each read.
type partialReader struct {
	io.Reader
	link *link
}

func (r *partialReader) Read(p []byte) (int, error) {
	if err := r.link.conn.SetReadDeadline(time.Now().Add(r.link.timeout())); err != nil {
		return 0, err
	}
	n, err := r.Reader.Read(p)
	r.link.partialBytes.Add(int64(n))
	r.link.receivedAt.Store(int64(monotime.Now()))
	return n, err
}

// serve runs the link until it ends and returns the reason.
func (l *link) serve() error {
	var writer sync.WaitGroup
	writer.Go(l.writeLoop)
	err := l.readLoop()
	if netconn.IsTimeout(err) {
		l.links.counters.timedOut.Add(1)
		err = errPeerTimeout
	}
	l.close(err)
	// The WebSocket library reuses the write buffer when the connection's handler returns,
	// so the writer must have ended by then.
	writer.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// handshakeConn is an envelopeConn over a WebSocket connection.
type handshakeConn struct {
	conn     *websocket.Conn
	counters *Counters
	dialer   bool
}

func (r handshakeConn) writeEnvelope(env *wire.Envelope) error {
	data, err := Encode(env)
	if err != nil {
		return err
	}
	r.counters.framesOut.Add(1)
	countFrame(&r.counters.out, env, len(data), r.dialer)
	return r.conn.WriteMessage(websocket.BinaryMessage, data)
}

func (r handshakeConn) readEnvelope() (*wire.Envelope, error) {
	_, data, err := r.conn.ReadMessage()
	if err != nil {
		return nil, err
	}
	env, err := Decode(data)
	if err != nil {
		return nil, err
	}
	r.counters.framesIn.Add(1)
	countFrame(&r.counters.in, env, len(data), !r.dialer)
	return env, nil
}
