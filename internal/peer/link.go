package peer

import (
	"io"
	"slices"
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
	set    *Links
	peer   Identity
	keyID  string
	packs  bool // the peer understands compressed frames
	dialer bool // this side opened it
	opened monotime.Instant

	// partial is the size of the part that has come of a message, in bytes, and
	// heardAt when the last bytes came, as a monotime.Instant.
	partial, heardAt atomic.Int64

	mu       sync.Mutex
	queue    []outgoing
	bulk     []outgoing // sent while queue is empty
	queued   int        // cost of queue and bulk
	lastUsed monotime.Instant
	// writing is when what is being written was queued; 0 for nothing.
	writing monotime.Instant
	closing bool
	reason  error

	kick     chan struct{}
	done     chan struct{} // closed when the link is to end
	finished chan struct{} // closed when it has ended
}

// Reasons to close a link.
var (
	errSilent   = errors.New("peer was silent")
	errOverfull = errors.New("outbound queue is full")
	errReplaced = errors.New("replaced by another link")
	errIdle     = errors.New("idle")
	errKey      = errors.New("key is not accepted any more")
	errStopped  = errors.New("stopped")
)

// enqueue adds an envelope without waiting. An over-full queue means that the
// peer reads more slowly than is sent; the link is closed, so that both sides
// know that messages were lost, where dropping some would leave them to guess.
func (l *link) enqueue(o outgoing) bool {
	add := o.cost()
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return false
	}
	if l.queued+add > l.set.cfg.Timing.QueueBytes {
		l.mu.Unlock()
		l.set.counters.overfull.Add(1)
		l.close(errOverfull)
		return false
	}
	o.queuedAt = monotime.Now()
	l.append(o)
	l.lastUsed = o.queuedAt
	l.mu.Unlock()
	l.wake()
	return true
}

// append puts an envelope into its queue; mu is held.
func (l *link) append(o outgoing) {
	l.queued += o.cost()
	if o.isBulk() {
		l.bulk = append(l.bulk, o)
		return
	}
	l.queue = append(l.queue, o)
}

// preload puts envelopes that waited for the link into its queue.
func (l *link) preload(waited []outgoing) {
	for _, o := range waited {
		l.append(o)
	}
	if len(waited) > 0 {
		l.wake()
	}
}

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// take returns what is queued but for bulk.
func (l *link) take() []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	for _, o := range queue {
		l.queued -= o.cost()
	}
	return queue
}

// takeAll returns all that is queued.
func (l *link) takeAll() []outgoing {
	queue := l.take()
	l.mu.Lock()
	defer l.mu.Unlock()
	queue = append(queue, l.bulk...)
	l.bulk, l.queued = nil, 0
	return queue
}

// takeBulk returns the next of bulk. When something else is queued, or the pace does not
// allow it yet, there is none; wait is how long until it does, or 0.
func (l *link) takeBulk(now monotime.Instant) (o outgoing, wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 || len(l.bulk) == 0 {
		return outgoing{}, 0, false
	}
	if wait = l.set.pace.take(l.bulk[0].cost(), now); wait > 0 {
		return outgoing{}, wait, false
	}
	o, l.bulk = l.bulk[0], l.bulk[1:]
	l.queued -= o.cost()
	return o, 0, true
}

func (l *link) noteWriting(queuedAt monotime.Instant) {
	l.mu.Lock()
	l.writing = queuedAt
	l.mu.Unlock()
}

// delay returns how long ago the oldest message was queued that is not written yet.
func (l *link) delay(now monotime.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.writing != 0:
		return now.Sub(l.writing)
	case len(l.queue) > 0:
		return now.Sub(l.queue[0].queuedAt)
	case len(l.bulk) > 0:
		return now.Sub(l.bulk[0].queuedAt)
	default:
		return 0
	}
}

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

// write sends what is queued, coalesced over a short delay, and a sign of life
// when there was nothing to send.
func (l *link) write() {
	timing := l.set.cfg.Timing
	life := time.NewTicker(timing.SignOfLife)
	defer life.Stop()
	paced := time.NewTimer(time.Hour)
	defer paced.Stop()
	quiet := time.Duration(0)
	for {
		select {
		case <-l.done:
			return
		case <-l.kick:
			if !l.gathered() && !l.pause(timing.Coalesce) {
				return
			}
			quiet = -1
			if err := l.flush(paced); err != nil {
				l.close(err)
				return
			}
		case <-paced.C:
			quiet = -1
			if err := l.flush(paced); err != nil {
				l.close(err)
				return
			}
		case <-life.C:
			quiet++
			if quiet < l.patience() {
				continue
			}
			quiet = 0
			if err := l.signOfLife(); err != nil {
				l.close(err)
				return
			}
		}
	}
}

// gathered reports whether all that is queued is for several peers. Its sender has
// gathered it already, and a further wait on each link would be a timer a message.
func (l *link) gathered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.queue {
		if o.shared == nil {
			return false
		}
	}
	return true
}

func (l *link) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}

// flush writes what is queued, and of bulk what there is time for. paced is set for the
// rest.
func (l *link) flush(paced *time.Timer) error {
	for {
		for _, o := range coalesce(l.take()) {
			if err := l.send(o); err != nil {
				return err
			}
		}
		o, wait, ok := l.takeBulk(monotime.Now())
		switch {
		case wait > 0:
			paced.Reset(wait)
			return nil
		case ok:
			if err := l.send(o); err != nil {
				return err
			}
		case !l.waits():
			return nil
		}
	}
}

// waits reports whether anything is queued but bulk.
func (l *link) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}

func (l *link) send(o outgoing) error {
	l.noteWriting(o.queuedAt)
	defer l.noteWriting(0)
	data, err := o.encode(l.packs)
	if err != nil {
		return err
	}
	l.set.counters.framesOut.Add(1)
	count(&l.set.counters.out, o.env, len(data), l.dialer)
	if err := l.writeMessage(data); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

// fragmentBytes is the most that is written under one deadline.
const fragmentBytes = 16 << 10

// writeMessage writes a message in fragments. A peer that is stopped or cut off does not
// read, and the deadline of a fragment ends the wait that TCP would draw out for minutes;
// a peer behind a slow link takes one fragment after the other.
func (l *link) writeMessage(data []byte) error {
	writer, err := l.conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for fragment := range slices.Chunk(data, fragmentBytes) {
		l.conn.SetWriteDeadline(time.Now().Add(l.set.cfg.Timing.Silence))
		if _, err := writer.Write(fragment); err != nil {
			return err
		}
	}
	return writer.Close()
}

func (l *link) signOfLife() error {
	deadline := time.Now().Add(l.set.cfg.Timing.Silence)
	if err := l.conn.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
		return errors.Wrap(err, "write sign of life")
	}
	l.set.counters.framesOut.Add(1)
	l.set.counters.out[KindFraming].Add(uint64(framing(0, l.dialer)))
	return nil
}

// onDemandPatience is how much longer a link that was opened on demand may be
// silent. An instance under load has one to most of the fleet, and a sign of life
// each second on all of them would cost more than the heartbeats. That such a
// link is dead shows sooner by the acquires on it, each of which is answered at
// once; the sign of life only has it closed. Where one side takes the link for a
// neighbour's and the other does not, the neighbour's heartbeats are answered
// each second, so that neither side finds it silent.
const onDemandPatience = 5

// patience is by how much the link's times are longer than those of a neighbour's.
func (l *link) patience() time.Duration {
	if l.set.isWanted(l.peer.ID) {
		return 1
	}
	return onDemandPatience
}

// silence is how long nothing may come.
func (l *link) silence() time.Duration {
	return l.set.cfg.Timing.Silence * l.patience()
}

// read hands envelopes to the handler until the link ends. Each side sends
// something at least every SignOfLife, so a link from which nothing came for
// Silence has lost one direction or the whole path, although TCP still calls
// it open. Each byte counts, also of a message that is not complete.
func (l *link) read() error {
	l.conn.SetReadLimit(MaxFrame)
	l.conn.SetPingHandler(func(string) error {
		l.set.counters.framesIn.Add(1)
		l.set.counters.in[KindFraming].Add(uint64(framing(0, !l.dialer)))
		return l.conn.SetReadDeadline(time.Now().Add(l.silence()))
	})
	for {
		l.conn.SetReadDeadline(time.Now().Add(l.silence()))
		data, err := l.readMessage()
		if err != nil {
			return err
		}
		env, err := Decode(data)
		if err != nil {
			l.set.counters.invalid.Add(1)
			return err
		}
		l.set.counters.framesIn.Add(1)
		count(&l.set.counters.in, env, len(data), !l.dialer)
		l.mu.Lock()
		l.lastUsed = monotime.Now()
		l.mu.Unlock()
		l.set.cfg.Handler.Envelope(l.peer.ID, env)
	}
}

func (l *link) readMessage() ([]byte, error) {
	_, reader, err := l.conn.NextReader()
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(&partialReader{reader, l})
	if err == nil {
		l.partial.Store(0)
	}
	return data, err
}

// partialReader reads a message for as long as bytes of it come.
type partialReader struct {
	io.Reader
	link *link
}

func (r *partialReader) Read(p []byte) (int, error) {
	if err := r.link.conn.SetReadDeadline(time.Now().Add(r.link.silence())); err != nil {
		return 0, err
	}
	n, err := r.Reader.Read(p)
	r.link.partial.Add(int64(n))
	r.link.heardAt.Store(int64(monotime.Now()))
	return n, err
}

// serve runs the link until it ends and returns why.
func (l *link) serve() error {
	var writer sync.WaitGroup
	writer.Go(l.write)
	err := l.read()
	if netconn.IsTimeout(err) {
		l.set.counters.silent.Add(1)
		err = errSilent
	}
	l.close(err)
	// The WebSocket library takes its write buffer back when the connection's
	// handler returns, so the writer must have ended by then.
	writer.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// rawFrames carries the handshake.
type rawFrames struct {
	conn     *websocket.Conn
	counters *Counters
	dialer   bool
}

func (r rawFrames) writeEnvelope(env *wire.Envelope) error {
	data, err := Encode(env)
	if err != nil {
		return err
	}
	r.counters.framesOut.Add(1)
	count(&r.counters.out, env, len(data), r.dialer)
	return r.conn.WriteMessage(websocket.BinaryMessage, data)
}

func (r rawFrames) readEnvelope() (*wire.Envelope, error) {
	_, data, err := r.conn.ReadMessage()
	if err != nil {
		return nil, err
	}
	env, err := Decode(data)
	if err != nil {
		return nil, err
	}
	r.counters.framesIn.Add(1)
	count(&r.counters.in, env, len(data), !r.dialer)
	return env, nil
}
