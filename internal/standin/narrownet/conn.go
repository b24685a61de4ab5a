package narrownet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"basilrudder/internal/timer"
)

// stream is one direction of a connection.
type stream struct {
	up, down *direction
	path     *path
	// opposite is the other direction of the connection.
	opposite *stream

	mu        sync.Mutex
	parts     []part
	buffered  int
	closed    bool          // by the writer
	abandoned bool          // by the reader
	reset     bool          // by the network
	broken    bool          // bytes were held up for the user timeout
	watching  bool          // watchHeldUp is pending
	changed   chan struct{} // closed and replaced by notifyChange
}

type part struct {
	at   time.Time
	data []byte
}

// newStreams returns both directions of a connection.
func newStreams(near, far *Host, there, back *path) (out, in *stream) {
	out, in = newStream(near.up, far.down, there), newStream(far.up, near.down, back)
	out.opposite, in.opposite = in, out
	return out, in
}

func newStream(up, down *direction, p *path) *stream {
	return &stream{up: up, down: down, path: p, changed: make(chan struct{})}
}

// notifyChange wakes all waiting readers and writers. The caller holds mu.
func (s *stream) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.notifyChange()
}

func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	s.notifyChange()
}

// put buffers up to one segment of p, as far as the window allows. If n is 0, wait is closed
// at the next change, when the window may have space.
func (s *stream) put(p []byte) (n int, wait <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || s.abandoned:
		return 0, nil, net.ErrClosed
	case s.reset:
		return 0, nil, syscall.ECONNRESET
	case s.broken:
		return 0, nil, timeoutError{}
	}
	n = min(len(p), window-s.buffered, segment)
	if n <= 0 {
		return 0, s.changed, nil
	}
	left := s.up.transmit(time.Now(), n)
	s.parts = append(s.parts, part{at: s.down.transmit(left.Add(propagationDelay), n), data: append([]byte(nil), p[:n]...)})
	s.buffered += n
	s.watchHeldUp()
	s.notifyChange()
	return n, nil, nil
}

// get copies bytes that have arrived into p. If n is 0, until is the arrival time of the
// next bytes, or zero if none are in flight, and wait is closed at the next change.
func (s *stream) get(p []byte) (n int, until time.Time, wait <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.abandoned:
		return 0, until, nil, net.ErrClosed
	case s.reset:
		return 0, until, nil, syscall.ECONNRESET
	case s.broken:
		return 0, until, nil, timeoutError{}
	case s.path.silent():
		return 0, until, s.changed, nil
	case len(s.parts) == 0 && s.closed:
		return 0, until, nil, io.EOF
	case len(s.parts) == 0:
		return 0, until, s.changed, nil
	}
	first := &s.parts[0]
	if first.at.After(time.Now()) {
		return 0, first.at, s.changed, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.parts = s.parts[1:]
	}
	s.buffered -= n
	s.notifyChange()
	return n, until, nil, nil
}

type conn struct {
	write, read *stream
	remote      addr

	mu                      sync.Mutex
	readUntil, writeUntil   time.Time
	readChange, writeChange chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, until, wait, err := c.read.get(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := c.await(wait, until, &c.readUntil, &c.readChange); err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	for written < len(p) {
		n, wait, err := c.write.put(p[written:])
		written += n
		if err != nil {
			return written, err
		}
		if n > 0 {
			continue
		}
		if err := c.await(wait, time.Time{}, &c.writeUntil, &c.writeChange); err != nil {
			return written, err
		}
	}
	return written, nil
}

// await returns nil at a change of the stream, at until (if not zero) or when the deadline
// is moved. It returns os.ErrDeadlineExceeded if the deadline passes first.
func (c *conn) await(change <-chan struct{}, until time.Time, deadline *time.Time, deadlineChange *chan struct{}) error {
	c.mu.Lock()
	limit := *deadline
	if *deadlineChange == nil {
		*deadlineChange = make(chan struct{})
	}
	deadlineMoved := *deadlineChange
	c.mu.Unlock()
	deadlineFirst := !limit.IsZero() && (until.IsZero() || limit.Before(until))
	if deadlineFirst {
		until = limit
	}
	if until.IsZero() {
		select {
		case <-change:
		case <-deadlineMoved:
		}
		return nil
	}
	end := timer.New(time.Until(until))
	defer end.Stop()
	select {
	case <-change:
	case <-deadlineMoved:
	case <-end.C:
		if deadlineFirst {
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// Close implements net.Conn. The peer can still read bytes that are in flight.
func (c *conn) Close() error {
	c.write.close()
	c.read.abandon()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr("here") }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadline(t, &c.readUntil, &c.readChange)
	c.setDeadline(t, &c.writeUntil, &c.writeChange)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(t, &c.readUntil, &c.readChange)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(t, &c.writeUntil, &c.writeChange)
	return nil
}

func (c *conn) setDeadline(t time.Time, deadline *time.Time, deadlineChange *chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*deadline = t
	if *deadlineChange != nil {
		close(*deadlineChange)
		*deadlineChange = nil
	}
}
