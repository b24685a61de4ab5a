package tunnel

import (
	"context"
	"crypto/hmac"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
)

const (
	// closeTimeout is how long the opener of a tunnel may take to read the rest of it
	// after the server has closed its side.
	closeTimeout = 2 * time.Second
	// idleTimeout closes a tunnel without bytes in either direction. It is above the
	// longest time for which an opener keeps one unused.
	idleTimeout = 30 * time.Second
	// rateWindow is the span over which the rate of passed bytes is taken.
	rateWindow = time.Second
)

// Server opens tunnels for peers.
type Server struct {
	// Self is the process that serves.
	Self Instance
	// Secret of the links between instances.
	Secret string
	// Connect opens a direct connection to a server, or returns one of the errors of this
	// package.
	Connect func(ctx context.Context, server string) (net.Conn, error)
	// MaxOpen bounds the tunnels that are open at once.
	MaxOpen int
	// MaxRate bounds the bytes a second passed on in all tunnels, in one direction: beyond
	// it no further tunnel is opened. 0 for no bound.
	MaxRate int
	// Descriptors are shared with the tunnels.
	Descriptors *descriptors.Budget
	// Log receives a line for each tunnel.
	Log *zap.Logger

	open  atomic.Int64
	total atomic.Int64
	rate  rateMeter
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// Total returns the number of tunnels opened since the start.
func (s *Server) Total() int64 { return s.total.Load() }

// Handle answers a request for a tunnel. Connect gets ctx, which must outlive the request:
// timers of an attempt to connect may still use it after the answer.
func (s *Server) Handle(ctx context.Context, request *fasthttp.RequestCtx) {
	header := func(name string) string { return string(request.Request.Header.Peek(name)) }
	from := Instance{ID: header(headerInstance), Incarnation: header(headerIncarnation)}
	server, id := header(headerServer), header(headerTunnel)
	if !hmac.Equal([]byte(token(s.Secret, from, s.Self, server, id)), []byte(header(headerToken))) {
		s.refuse(request, from.ID, server, id, ErrUnauthenticated)
		return
	}
	if !s.reserve() {
		s.refuse(request, from.ID, server, id, ErrBusy)
		return
	}
	begun := monotime.Now()
	upstream, err := s.Connect(ctx, server)
	if err != nil {
		s.release()
		s.refuse(request, from.ID, server, id, err)
		return
	}
	s.total.Add(1)
	s.Log.Info("tunnel_opened", zap.String("tunnel", id), zap.String("for", from.ID), zap.String("server", server),
		zap.Duration("connect_ms", monotime.Now().Sub(begun)))
	request.SetStatusCode(fasthttp.StatusSwitchingProtocols)
	request.Response.Header.Set("Connection", "Upgrade")
	request.Response.Header.Set("Upgrade", upgradeProtocol)
	request.Hijack(func(near net.Conn) {
		defer s.release()
		p := &passage{near: near, upstream: upstream, rate: &s.rate}
		err := p.run()
		s.Log.Info("tunnel_closed", zap.String("tunnel", id), zap.String("for", from.ID), zap.String("server", server),
			zap.Duration("lasted_ms", monotime.Now().Sub(begun)), zap.Int64("up_bytes", p.up.Load()), zap.Int64("down_bytes", p.down.Load()),
			eventlog.Cause(err))
	})
}

// descriptorsPerTunnel are the connections to the server and to the instance that asked.
const descriptorsPerTunnel = 2

// reserve counts a further tunnel as open, unless that exceeds a bound.
func (s *Server) reserve() bool {
	if int(s.open.Add(1)) > s.MaxOpen || s.MaxRate > 0 && s.rate.perSecond(monotime.Now()) > s.MaxRate ||
		!s.Descriptors.Take(descriptors.Tunnels, descriptorsPerTunnel) {
		s.open.Add(-1)
		return false
	}
	return true
}

func (s *Server) release() {
	s.open.Add(-1)
	s.Descriptors.Release(descriptors.Tunnels, descriptorsPerTunnel)
}

func (s *Server) refuse(request *fasthttp.RequestCtx, from, server, id string, err error) {
	s.Log.Info("tunnel_refused", zap.String("tunnel", id), zap.String("for", from), zap.String("server", server), eventlog.Cause(err))
	request.SetStatusCode(fasthttp.StatusServiceUnavailable)
	request.Response.Header.Set(headerReason, reasonText(err))
	request.SetConnectionClose()
}

// passage passes the bytes of one tunnel on.
type passage struct {
	near, upstream net.Conn
	rate           *rateMeter
	up, down       atomic.Int64

	mu sync.Mutex
	// closing is set once the deadline of near is that of the end.
	closing bool

	writing  sync.Mutex // held while bytes are written to upstream
	writeErr error      // first error of writing to upstream
}

// run returns when both connections are closed. The error is that of the server's side, or
// nil if the server closed it.
func (p *passage) run() error {
	_ = p.near.SetDeadline(time.Time{})
	var upwards sync.WaitGroup
	upwards.Go(func() {
		// The opener closes a tunnel when nobody waits for the answer any more, so the
		// server has to stop at once.
		defer p.upstream.Close()
		p.passUp()
	})
	err := writeFrames(p.near, upstreamReader{p}, p.countDown)
	left := time.Duration(0)
	if err == nil {
		// Closing with unread bytes would reset the connection and drop the answer.
		left = closeTimeout
	}
	p.endWithin(left)
	// The connection of a hijacked request must not be used after it was closed.
	upwards.Wait()
	_ = p.near.Close()
	return err
}

// passUp passes bytes on to the server until the opener closes the tunnel or nothing was
// passed on in either direction for idleTimeout: the opener may be gone without a sign.
func (p *passage) passUp() {
	buffer := make([]byte, bufferSize)
	for {
		before := p.down.Load()
		p.extendDeadline()
		n, err := p.near.Read(buffer)
		if n > 0 {
			p.countUp(n)
			p.writeUp(buffer[:n])
		}
		idle := p.down.Load() == before
		if err != nil && (idle || !netconn.IsTimeout(err) || p.isClosing()) {
			return
		}
	}
}

// writeUp writes to the server. After a failure it drops the bytes: the server may have
// answered already, and the answer is passed on to its end.
func (p *passage) writeUp(b []byte) {
	p.writing.Lock()
	defer p.writing.Unlock()
	if p.writeErr == nil {
		_, p.writeErr = p.upstream.Write(b)
	}
}

// resetWhileWriting stops writing to the server and reports whether the connection was lost
// before.
func (p *passage) resetWhileWriting() bool {
	if err := p.upstream.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return true
	}
	p.writing.Lock()
	defer p.writing.Unlock()
	return netconn.IsWriteLoss(p.writeErr)
}

// upstreamReader reads from the server. A socket reports a reset once. If the writer gets it,
// reading ends as if the server had closed its side.
type upstreamReader struct{ *passage }

// Read implements io.Reader.
func (r upstreamReader) Read(b []byte) (int, error) {
	n, err := r.upstream.Read(b)
	if err == io.EOF && r.resetWhileWriting() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (p *passage) extendDeadline() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closing {
		_ = p.near.SetReadDeadline(time.Now().Add(idleTimeout))
	}
}

// endWithin bounds the rest of the tunnel.
func (p *passage) endWithin(left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	_ = p.near.SetDeadline(time.Now().Add(left))
}

func (p *passage) isClosing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing
}

func (p *passage) countUp(n int) {
	p.up.Add(int64(n))
	p.rate.add(n, monotime.Now())
}

func (p *passage) countDown(n int) {
	p.down.Add(int64(n))
	p.rate.add(n, monotime.Now())
}

// rateMeter measures bytes a second.
type rateMeter struct {
	mu           sync.Mutex
	since        monotime.Instant
	bytes        int
	lastInterval int // bytes of the last whole window
}

func (m *rateMeter) add(n int, now monotime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.bytes += n
}

func (m *rateMeter) perSecond(now monotime.Instant) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return max(m.bytes, m.lastInterval)
}

func (m *rateMeter) advance(now monotime.Instant) {
	elapsed := now.Sub(m.since)
	if elapsed < rateWindow {
		return
	}
	m.lastInterval = m.bytes
	if elapsed >= 2*rateWindow {
		m.lastInterval = 0
	}
	m.since, m.bytes = now, 0
}
