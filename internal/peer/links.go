// Package peer keeps the links between instances: WebSocket connections with
// CBOR envelopes. Links are authenticated both ways, carry a sign of life both
// ways, and are replaced when they fall silent. Sending never blocks.
//
// A frame may hold several parts. A receiver handles them in this order, which
// keeps cause before effect when envelopes were coalesced: Members, MemberSync,
// Ping, Pong, ConfigOffer, ConfigWant, ConfigPart, Progress, Releases, Acquires,
// Withdraws, Grants, Refuses, Queued, PermitAsks, PermitGives, LoadAsk, LoadGive,
// News.
package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Path of the links on the peers' listener.
const Path = "/v1/peer"

const (
	maxHandshakes = 1024
	maxHeaderBytes      = 4 << 10
	// maxCheckInterval is how long the dialing may rest when nothing is due.
	maxCheckInterval = time.Second
)

// Links is the set of links of one instance.
type Links struct {
	cfg      Config
	counters Counters
	bulkLimiter     bulkLimiter
	tasks    errgroup.Group
	served   sync.WaitGroup
	wakeup     chan struct{}

	// events serialises the opening and closing of links with the handler's
	// calls for them; it is taken before mu.
	events sync.Mutex

	mu      sync.Mutex
	keys    []Key
	links   map[string]*link
	conns   map[*websocket.Conn]struct{} // served, links or in their handshake
	dials   map[string]*dial
	targets  map[string]Target
	stopped bool
}

// New returns Links that do nothing until Run.
func New(cfg Config) (*Links, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.New("peer links need a key")
	}
	cfg.Timing = cfg.Timing.withDefaults()
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Resolve == nil {
		cfg.Resolve = func(string) (string, bool) { return "", false }
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Links{
		cfg:    cfg,
		bulkLimiter:   bulkLimiter{rate: cfg.Timing.BulkRate},
		wakeup:   make(chan struct{}, 1),
		keys:   slices.Clone(cfg.Keys),
		links:  make(map[string]*link),
		conns:  make(map[*websocket.Conn]struct{}),
		dials:  make(map[string]*dial),
		targets: make(map[string]Target),
	}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// Counters returns the counters for expvar.
func (s *Links) Counters() *Counters {
	return &s.counters
}

// Run accepts and opens links until the context ends, then closes all of them.
func (s *Links) Run(ctx context.Context) error {
	server := &fasthttp.Server{
		Handler:                      s.accept,
		Concurrency:                  maxHandshakes,
		ReadTimeout:                  s.cfg.Timing.HandshakeTimeout,
		WriteTimeout:                 s.cfg.Timing.HandshakeTimeout,
		IdleTimeout:                  s.cfg.Timing.HandshakeTimeout,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           1,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		// Without it closing an accepted connection does nothing until its
		// handler returns, and the handler waits for the connection to close.
		KeepHijackedConns: true,
		Logger:            zap.NewStdLog(s.cfg.Log),
	}
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(s.cfg.Listener) })
	group.Go(func() error { return s.manage(running) })
	group.Go(func() error {
		<-running.Done()
		// With the listener open a peer would dial again while links close.
		s.cfg.Listener.Close()
		s.stop()
		return server.Shutdown()
	})
	err := group.Wait()
	s.served.Wait()
	s.tasks.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Links) stop() {
	s.mu.Lock()
	s.stopped = true
	for _, l := range s.links {
		l.close(errStopped)
	}
	// Connections in their handshake would hold up the end for its timeout.
	for conn := range s.conns {
		conn.NetConn().Close()
	}
	s.mu.Unlock()
}

// SetTargets replaces the set of peers to keep links to.
func (s *Links) SetTargets(targets []Target) {
	byKey := make(map[string]Target, len(targets))
	for _, t := range targets {
		byKey[t.key()] = t
	}
	s.mu.Lock()
	same := maps.Equal(s.targets, byKey)
	s.targets = byKey
	s.mu.Unlock()
	if !same {
		s.wake()
	}
}

// SetKeys replaces the accepted keys; the first one signs. Links whose peer
// signed with a key that is gone are closed and opened anew.
func (s *Links) SetKeys(keys []Key) {
	if len(keys) == 0 {
		return
	}
	s.mu.Lock()
	s.keys = slices.Clone(keys)
	var stale []*link
	for _, l := range s.links {
		if !slices.ContainsFunc(keys, func(k Key) bool { return k.ID == l.keyID }) {
			stale = append(stale, l)
		}
	}
	s.mu.Unlock()
	for _, l := range stale {
		l.close(errKeyRemoved)
	}
}

// QueueDelay returns how long ago the oldest message was queued that is not written yet,
// on any link.
func (s *Links) QueueDelay() time.Duration {
	now := monotime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, l := range s.links {
		longest = max(longest, l.delay(now))
	}
	return longest
}

// Send queues an envelope for a peer and reports whether it was taken. It
// opens a link when there is none and Resolve knows the address. It does not
// block and may be called from the handler. The envelope must not be changed
// afterwards.
func (s *Links) Send(to string, env *wire.Envelope) bool {
	s.mu.Lock()
	l := s.links[to]
	if l == nil {
		taken := s.sendOnDemand(to, env)
		s.mu.Unlock()
		if taken {
			s.wake()
		}
		return taken
	}
	s.mu.Unlock()
	return l.enqueue(outgoing{env: env})
}

// SendBulk queues an envelope for a peer with a link, as bulk: what it holds must count
// whenever it comes. It should not be longer than a few ten kilobytes. It does not block.
func (s *Links) SendBulk(to string, env *wire.Envelope) bool {
	l := s.link(to)
	return l != nil && l.enqueue(outgoing{env: env, bulk: true})
}

func (s *Links) isTarget(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.targets[id]
	return ok
}

// Linked reports whether a link to the peer is open.
func (s *Links) Linked(id string) bool {
	return s.link(id) != nil
}

func (s *Links) link(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[id]
}

// Peer describes one open link.
type Peer struct {
	Identity
	// Age of the link.
	Age time.Duration
	// Wanted says whether this side keeps the link open.
	Wanted bool
}

// Peers lists the open links by id.
func (s *Links) Peers() []Peer {
	now := monotime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Peer, 0, len(s.links))
	for id, l := range s.links {
		_, isTarget := s.targets[id]
		out = append(out, Peer{Identity: l.peer, Age: now.Sub(l.openedAt), Wanted: isTarget})
	}
	slices.SortFunc(out, func(a, b Peer) int {
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

func (s *Links) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
