package peer

import (
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
)

// simultaneousRatio times Timing.SignOfLife is the age below which two links
// count as opened at the same time.
const simultaneousRatio = 2

var upgrader = websocket.FastHTTPUpgrader{
	// Peers prove a key; browsers and their origins play no part.
	CheckOrigin: func(*fasthttp.RequestCtx) bool { return true },
}

func (s *Links) accept(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	err := upgrader.Upgrade(ctx, func(conn *websocket.Conn) {
		s.run(conn, false, "")
	})
	if err != nil {
		s.counters.refused.Add(1)
	}
}

// run shakes hands on a connection and serves it as a link until it ends. It
// returns nil once the link was open.
func (s *Links) run(conn *websocket.Conn, dialer bool, expect string) error {
	defer conn.Close()
	if !s.begin(conn) {
		return errStopped
	}
	defer s.end(conn)
	agreed, err := s.shake(conn, dialer)
	if err == nil && expect != "" && agreed.peer.ID != expect {
		err = errors.Errorf("address of %s answers as %s", expect, agreed.peer.ID)
	}
	if err != nil {
		s.counters.refused.Add(1)
		s.cfg.Log.Warn("peer handshake failed", zap.Error(err), zap.Bool("dialer", dialer))
		return err
	}
	now := monotime.Now()
	l := &link{
		conn: conn, set: s, peer: agreed.peer, keyID: agreed.keyID, dialer: dialer,
		packs:  agreed.version >= versionPacked,
		opened: now, lastUsed: now,
		kick: make(chan struct{}, 1), done: make(chan struct{}), finished: make(chan struct{}),
	}
	l.heardAt.Store(int64(now))
	if !s.register(l) {
		return nil
	}
	reason := l.serve()
	close(l.finished)
	s.unregister(l, reason)
	return nil
}

// begin counts a connection that Run has to wait for, unless Run is over.
func (s *Links) begin(conn *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.served.Add(1)
	s.conns[conn] = struct{}{}
	return true
}

func (s *Links) end(conn *websocket.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.served.Done()
}

func (s *Links) shake(conn *websocket.Conn, dialer bool) (agreement, error) {
	s.mu.Lock()
	keys := s.keys
	s.mu.Unlock()
	conn.SetReadLimit(maxHelloFrame)
	conn.NetConn().SetDeadline(time.Now().Add(s.cfg.Timing.Handshake))
	defer conn.NetConn().SetDeadline(time.Time{})
	raw := rawFrames{conn, &s.counters, dialer}
	if dialer {
		return shakeAsDialer(raw, s.cfg.Self, keys)
	}
	return shakeAsAcceptor(raw, s.cfg.Self, keys)
}

// register makes l the link to its peer and reports whether it was taken.
func (s *Links) register(l *link) bool {
	s.events.Lock()
	defer s.events.Unlock()
	s.mu.Lock()
	old := s.links[l.peer.ID]
	if s.stopped || old != nil && !s.prefer(l, old) {
		s.mu.Unlock()
		return false
	}
	l.preload(s.takePending(l.peer.ID))
	if old != nil {
		old.close(errReplaced)
		if old.peer.Incarnation == l.peer.Incarnation {
			l.preload(old.takeAll())
		}
	}
	s.links[l.peer.ID] = l
	s.mu.Unlock()
	if old != nil {
		// Nothing of the old link may reach the handler once the new one is
		// up: it may come from an earlier incarnation.
		<-old.finished
		s.counters.replaced.Add(1)
		s.cfg.Handler.LinkDown(l.peer.ID, errReplaced)
	} else {
		s.counters.open.Add(1)
	}
	s.cfg.Handler.LinkUp(l.peer)
	return true
}

// prefer decides between two links to one peer. When both sides dialed at the
// same time, both keep the one that the lower id opened. Otherwise the newer
// one wins: its dialer has found the older one broken, of which this side may
// know nothing yet.
func (s *Links) prefer(fresh, old *link) bool {
	if fresh.peer.Incarnation != old.peer.Incarnation || fresh.dialer == old.dialer {
		return true
	}
	if fresh.opened.Sub(old.opened) >= simultaneousRatio*s.cfg.Timing.SignOfLife {
		return true
	}
	return fresh.dialer == (s.cfg.Self.ID < fresh.peer.ID)
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
		s.counters.open.Add(-1)
		s.cfg.Handler.LinkDown(l.peer.ID, reason)
		s.wake()
	}
}

// logEnd logs what the link was busy with when it ended.
func (s *Links) logEnd(l *link, reason error) {
	now := monotime.Now()
	l.mu.Lock()
	queued := l.queued
	l.mu.Unlock()
	s.cfg.Log.Info("link_ended", zap.String("peer", l.peer.ID), zap.String("cause", reason.Error()), zap.Bool("dialer", l.dialer),
		zap.Duration("lasted_ms", now.Sub(l.opened)),
		zap.Int("queued_bytes", queued), zap.Duration("queue_delay_ms", l.delay(now)),
		zap.Int64("partial_bytes", l.partial.Load()),
		zap.Duration("heard_ms", now.Sub(monotime.Instant(l.heardAt.Load()))))
}
