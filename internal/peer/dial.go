package peer

import (
	"context"
	"net"
	"time"

	"github.com/fasthttp/websocket"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/timer"
)

// dial is the state of the attempts to open a link to one target.
type dial struct {
	target      Target
	running     bool
	retryAt     monotime.Instant
	backoff     time.Duration
	pending     []outgoing // queued by Send until the link opens
	pendingCost int
}

// manage opens links to targets and to peers with pending envelopes, and closes idle ones.
func (s *Links) manage(ctx context.Context) error {
	next := timer.New(maxCheckInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wakeup:
		case <-next.C:
		}
		now := monotime.Now()
		wait := s.startDials(ctx, now)
		s.closeIdle(now)
		next.Reset(min(wait, maxCheckInterval, s.cfg.Timing.IdleTimeout))
	}
}

// startDials starts the dials that are due and returns the delay until the next one.
func (s *Links) startDials(ctx context.Context, now monotime.Instant) time.Duration {
	wait := maxCheckInterval
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, target := range s.targets {
		d := s.dials[key]
		if d == nil {
			d = &dial{}
			s.dials[key] = d
		}
		d.target = target
	}
	for key, d := range s.dials {
		_, isTarget := s.targets[key]
		switch {
		case d.running:
		case s.links[key] != nil:
			delete(s.dials, key)
		case now < d.retryAt:
			wait = min(wait, d.retryAt.Sub(now))
		case !isTarget && len(d.pending) == 0:
			delete(s.dials, key)
		default:
			d.running = true
			target := d.target
			s.tasks.Go(func() error {
				s.dialOnce(ctx, d, target)
				return nil
			})
		}
	}
	return wait
}

// sendOnDemand queues an envelope for a peer without a link. s.mu is held.
func (s *Links) sendOnDemand(to string, env *wire.Envelope) bool {
	d := s.dials[to]
	if d == nil {
		address, ok := s.cfg.Resolve(to)
		if !ok || s.stopped || to == s.cfg.Self.ID {
			return false
		}
		d = &dial{target: Target{ID: to, Address: address}}
		s.dials[to] = d
	}
	add := cost(env)
	// A peer in its backoff is not dialed soon, so the sender gets the failure at once
	// instead of a queued envelope.
	if d.backoff > 0 && !d.running || d.pendingCost+add > s.cfg.Timing.MaxQueueBytes {
		return false
	}
	d.pending = append(d.pending, outgoing{env: env})
	d.pendingCost += add
	return true
}

// takePending returns and clears the envelopes that were pending for a new link.
// s.mu is held.
func (s *Links) takePending(id string) []outgoing {
	d := s.dials[id]
	if d == nil {
		return nil
	}
	queue := d.pending
	d.pending, d.pendingCost, d.backoff, d.retryAt = nil, 0, 0, 0
	return queue
}

// dialOnce opens one connection and serves it until it ends.
func (s *Links) dialOnce(ctx context.Context, d *dial, target Target) {
	s.counters.dials.Add(1)
	begin := monotime.Now()
	conn, err := s.connect(ctx, target.Address)
	if err == nil {
		err = s.serveConn(conn, true, target.ID)
	}
	if err != nil {
		s.counters.dialFailures.Add(1)
	}
	s.dialEnded(target.key(), d, begin, err)
}

func (s *Links) dialEnded(key string, d *dial, begin monotime.Instant, err error) {
	s.events.Lock()
	defer s.events.Unlock()
	s.mu.Lock()
	now := monotime.Now()
	d.running = false
	lasted := now.Sub(begin) >= s.cfg.Timing.PeerTimeout
	// A link that ends soon after it opened counts as a failed dial; otherwise such a
	// peer would be dialed without backoff.
	if err == nil && lasted {
		d.backoff = 0
	} else {
		d.backoff = min(max(s.cfg.Timing.BackoffMin, 2*d.backoff), s.cfg.Timing.BackoffMax)
	}
	d.retryAt = now.Add(jittered(max(d.backoff, s.cfg.Timing.BackoffMin)))
	lost := err != nil && len(d.pending) > 0 && s.links[key] == nil
	if err != nil {
		d.pending, d.pendingCost = nil, 0
	}
	s.mu.Unlock()
	s.wake()
	if lost {
		s.cfg.Handler.LinkDown(key, err)
	}
}

func (s *Links) connect(ctx context.Context, address string) (*websocket.Conn, error) {
	stop := func() bool { return true }
	limit := &netconn.LimitedReader{}
	limit.SetLimit(maxUpgradeHead)
	dialer := websocket.Dialer{
		HandshakeTimeout: s.cfg.Timing.HandshakeTimeout,
		NetDialContext: func(dialCtx context.Context, _, _ string) (net.Conn, error) {
			raw, err := s.cfg.Dial(dialCtx, address)
			if err != nil {
				return nil, err
			}
			// The library ignores the context while it waits for the upgrade response, so
			// ctx closes the connection. dialCtx is canceled when the library returns and
			// must not close it.
			stop = context.AfterFunc(ctx, func() { raw.Close() })
			limit.R = raw
			return limitedConn{raw, limit}, nil
		},
	}
	conn, response, err := dialer.DialContext(ctx, "ws://"+address+Path, nil)
	if response != nil {
		response.Body.Close()
	}
	stop()
	err = limit.EndLimit(err)
	return conn, err
}

// maxUpgradeHead bounds the answer to a request for a link, in bytes. Another process may
// have the address of a peer that is gone.
const maxUpgradeHead = 16 << 10

// limitedConn is a connection that is read through a limit.
type limitedConn struct {
	net.Conn
	limit *netconn.LimitedReader
}

// Read implements net.Conn.
func (c limitedConn) Read(p []byte) (int, error) { return c.limit.Read(p) }

// closeIdle closes links that this side opened on demand and that were unused for
// IdleTimeout.
func (s *Links) closeIdle(now monotime.Instant) {
	s.mu.Lock()
	var idle []*link
	for id, l := range s.links {
		if _, isTarget := s.targets[id]; !isTarget && l.dialer && l.idleFor(now) >= s.cfg.Timing.IdleTimeout {
			idle = append(idle, l)
		}
	}
	s.mu.Unlock()
	for _, l := range idle {
		l.close(errIdle)
	}
}
