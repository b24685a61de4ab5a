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
	conn   *websocket.Conn
	links    *Links
	peer   Identity
	keyID  string
	compression  bool // the peer understands compressed frames
	dialer bool // this side opened it
	openedAt monotime.Instant

	// partialBytes is the size of the part that has come of a message, in bytes, and
	// receivedAt when the last bytes came, as a monotime.Instant.
	partialBytes, receivedAt atomic.Int64

	mu       sync.Mutex
	queue    []outgoing
	bulk     []outgoing // sent while queue is empty
	queuedBytes   int        // cost of queue and bulk
	lastUsed monotime.Instant
	// writingSince is when what is being written was queued; 0 for nothing.
	writingSince monotime.Instant
	closing bool
	reason  error

	wakeup     chan struct{}
	done     chan struct{} // closed when the link is to end
	finished chan struct{} // closed when it has ended
}

// Reasons to close a link.
var (
	errPeerTimeout   = errors.New("peer was silent")
	errQueueFull = errors.New("outbound queue is full")
	errReplaced = errors.New("replaced by another link")
	errIdle     = errors.New("idle")
	errKeyRemoved      = errors.New("key is not accepted any more")
	errStopped  = errors.New("stopped")
)

// close ends the link; the first reason counts.
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

// onDemandFactor is how much longer a link that was opened on demand may be
// silent. An instance under load has one to most of the fleet, and a sign of life
// each second on all of them would cost more than the heartbeats. That such a
// link is dead shows sooner by the acquires on it, each of which is answered at
// once; the sign of life only has it closed. Where one side takes the link for a
// neighbour's and the other does not, the neighbour's heartbeats are answered
// each second, so that neither side finds it silent.
const onDemandFactor = 5

// timeFactor is by how much the link's times are longer than those of a neighbour's.
func (l *link) timeFactor() time.Duration {
	if l.links.isTarget(l.peer.ID) {
		return 1
	}
	return onDemandFactor
}

// timeout is how long nothing may come.
func (l *link) timeout() time.Duration {
	return l.links.cfg.Timing.PeerTimeout * l.timeFactor()
}

// readLoop hands envelopes to the handler until the link ends. Each side sends
// something at least every SignOfLife, so a link from which nothing came for
// Silence has lost one direction or the whole path, although TCP still calls
// it open. Each byte counts, also of a message that is not complete.
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

// partialReader reads a message for as long as bytes of it come.
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

// serve runs the link until it ends and returns why.
func (l *link) serve() error {
	var writer sync.WaitGroup
	writer.Go(l.writeLoop)
	err := l.readLoop()
	if netconn.IsTimeout(err) {
		l.links.counters.timedOut.Add(1)
		err = errPeerTimeout
	}
	l.close(err)
	// The WebSocket library takes its write buffer back when the connection's
	// handler returns, so the writer must have ended by then.
	writer.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// handshakeConn carries the handshake.
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
