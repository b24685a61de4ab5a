package peer

import (
	"context"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
)

// simultaneousIntervals times Timing.KeepAliveInterval is the difference in age below which
// two links count as opened simultaneously. If it is too low, the sides may keep different
// links and close both; if too high, a new link loses to a broken one.
const simultaneousIntervals = 2

var upgrader = websocket.FastHTTPUpgrader{
	// Peers authenticate with a key; the origin header of browsers is irrelevant.
	CheckOrigin: func(*fasthttp.RequestCtx) bool { return true },
}

func (s *Links) accept(ctx context.Context, request *fasthttp.RequestCtx) {
	if string(request.Path()) != Path {
		s.serveOther(ctx, request)
		return
	}
	err := upgrader.Upgrade(request, func(conn *websocket.Conn) {
		s.serveConn(conn, false, "")
	})
	if err != nil {
		s.counters.handshakesRefused.Add(1)
	}
}

func (s *Links) serveOther(ctx context.Context, request *fasthttp.RequestCtx) {
	if s.cfg.Other == nil {
		request.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s.cfg.Other(ctx, request)
}

// serveConn runs the handshake on a connection and serves it as a link until it ends. It
// returns an error only if the handshake failed or Run has ended.
func (s *Links) serveConn(conn *websocket.Conn, dialer bool, expectedID string) error {
	defer conn.Close()
	if !s.trackConn(conn) {
		return errStopped
	}
	defer s.untrackConn(conn)
	result, err := s.handshake(conn, dialer)
	if err == nil && expectedID != "" && result.peer.ID != expectedID {
		err = errors.Errorf("address of %s belongs to %s", expectedID, result.peer.ID)
	}
	if err != nil {
		s.counters.handshakesRefused.Add(1)
		s.cfg.Log.Warn("peer handshake failed", zap.Error(err), zap.Bool("dialer", dialer))
		return err
	}
	if !dialer && s.cfg.Accepted != nil && !s.cfg.Accepted(conn.NetConn()) {
		return errNotKept
	}
	now := monotime.Now()
	l := &link{
		conn: conn, links: s, peer: result.peer, keyID: result.keyID, dialer: dialer,
		compression: result.version >= versionCompressed,
		openedAt:    now, lastUsed: now,
		wakeup: make(chan struct{}, 1), done: make(chan struct{}), finished: make(chan struct{}),
	}
	l.receivedAt.Store(int64(now))
	if !s.register(l) {
		return nil
	}
	reason := l.serve()
	close(l.finished)
	s.unregister(l, reason)
	return nil
}

// trackConn registers a connection for which Run waits at its end. It reports false once Run
// is stopping.
func (s *Links) trackConn(conn *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.served.Add(1)
	s.conns[conn] = struct{}{}
	return true
}

func (s *Links) untrackConn(conn *websocket.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.served.Done()
}

func (s *Links) handshake(conn *websocket.Conn, dialer bool) (handshakeResult, error) {
	s.mu.Lock()
	keys := s.keys
	s.mu.Unlock()
	conn.SetReadLimit(maxHelloFrame)
	conn.NetConn().SetDeadline(time.Now().Add(s.cfg.Timing.HandshakeTimeout))
	defer conn.NetConn().SetDeadline(time.Time{})
	raw := handshakeConn{conn, &s.counters, dialer}
	if dialer {
		return handshakeAsDialer(raw, s.cfg.Self, keys)
	}
	return handshakeAsAcceptor(raw, s.cfg.Self, keys)
}

// register makes l the link to its peer, unless an existing one is preferred, and reports
// whether it did.
func (s *Links) register(l *link) bool {
	s.events.Lock()
	defer s.events.Unlock()
	s.mu.Lock()
	old := s.links[l.peer.ID]
	if s.stopped || old != nil && !s.prefers(l, old) {
		s.mu.Unlock()
		return false
	}
	l.appendPending(s.takePending(l.peer.ID))
	if old != nil {
		old.close(errReplaced)
		if old.peer.Incarnation == l.peer.Incarnation {
			l.appendPending(old.takeAll())
		}
	}
	s.links[l.peer.ID] = l
	s.mu.Unlock()
	if old != nil {
		// No envelope of the old link may reach the handler after LinkUp of the new one, as
		// it may be from an earlier incarnation.
		<-old.finished
		s.counters.replaced.Add(1)
		s.cfg.Handler.LinkDown(l.peer.ID, errReplaced)
	} else {
		s.counters.openLinks.Add(1)
	}
	s.cfg.Handler.LinkUp(l.peer)
	return true
}

// prefers reports whether candidate replaces the old link to the same peer. If both sides
// dialed simultaneously, both keep the link opened by the lower ID. Otherwise the newer one
// replaces the older: its dialer has detected that the older is broken, which this side may
// not have detected yet.
func (s *Links) prefers(candidate, old *link) bool {
	if candidate.peer.Incarnation != old.peer.Incarnation || candidate.dialer == old.dialer {
		return true
	}
	if candidate.openedAt.Sub(old.openedAt) >= simultaneousIntervals*s.cfg.Timing.KeepAliveInterval {
		return true
	}
	return candidate.dialer == (s.cfg.Self.ID < candidate.peer.ID)
}

func (s *Links) unregister(l *link, reason error) {
	s.events.Lock()
	defer s.events.Unlock()
	s.mu.Lock()
	current := s.links[l.peer.ID] == l
	if current {
		delete(s.links, l.peer.ID)
	}
	s.mu.Unlock()
	s.logEnd(l, reason)
	if current {
		s.counters.openLinks.Add(-1)
		s.cfg.Handler.LinkDown(l.peer.ID, reason)
		s.wake()
	}
}

// logEnd logs the end of a link, with its queue and its last received data.
func (s *Links) logEnd(l *link, reason error) {
	now := monotime.Now()
	l.mu.Lock()
	queued := l.queuedBytes
	l.mu.Unlock()
	s.cfg.Log.Info("link_ended", zap.String("peer", l.peer.ID), zap.String("cause", reason.Error()), zap.Bool("dialer", l.dialer),
		zap.Duration("lasted_ms", now.Sub(l.openedAt)),
		zap.Int("queued_bytes", queued), zap.Duration("queue_delay_ms", l.delay(now)),
		zap.Int64("partial_bytes", l.partialBytes.Load()),
		zap.Duration("heard_ms", now.Sub(monotime.Instant(l.receivedAt.Load()))))
}
