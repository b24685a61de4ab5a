// Package peer maintains the links between instances: WebSocket connections that carry
// CBOR envelopes. Links are mutually authenticated, send keep-alive pings in both
// directions, and are reopened after a timeout. Sending never blocks.
//
// A frame is one WebSocket message with one envelope. It may hold several messages. A
// receiver handles them in this order, which keeps cause before effect when envelopes were
// coalesced: Members, MemberSync, Ping, Pong, ConfigOffer, ConfigWant, ConfigPart, Progress,
// Releases, Acquires, Withdraws, Grants, Refuses, Queued, PermitAsks, PermitGives, LoadAsk,
// LoadGive, News.
package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/inbound"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/wire"
)

// Path is the HTTP path of links on the listener for peers.
const Path = "/v1/peer"

const (
	// maxHandshakes is the maximum number of concurrent HTTP upgrades; more are refused. A
	// lower limit refuses peers when a large fleet reconnects at once.
	maxHandshakes = 1024
	// maxHeaderBytes limits the HTTP header of an upgrade; a longer one is refused.
	maxHeaderBytes = 4 << 10
	// maxCheckInterval is the longest interval between two checks of dials and idle links.
	// Idle links are closed up to this much late.
	maxCheckInterval = time.Second
)

// Links manages the links of one instance.
type Links struct {
	cfg         Config
	counters    Counters
	bulkLimiter bulkLimiter
	tasks       errgroup.Group
	served      sync.WaitGroup
	wakeup      chan struct{}

	// events serialises opening and closing links with the handler's calls for them.
	// It is locked before mu.
	events sync.Mutex

	mu      sync.Mutex
	keys    []Key
	links   map[string]*link
	conns   map[*websocket.Conn]struct{} // links and connections in their handshake
	dials   map[string]*dial
	targets map[string]Target
	stopped bool
}

// New returns Links that are inactive until Run.
func New(cfg Config) (*Links, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.New("peer links require at least one key")
	}
	cfg.Timing = cfg.Timing.withDefaults()
	if cfg.Dial == nil {
		cfg.Dial = netconn.Dial
	}
	if cfg.Resolve == nil {
		cfg.Resolve = func(string) (string, bool) { return "", false }
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Links{
		cfg:         cfg,
		bulkLimiter: bulkLimiter{rate: cfg.Timing.BulkRate},
		wakeup:      make(chan struct{}, 1),
		keys:        slices.Clone(cfg.Keys),
		links:       make(map[string]*link),
		conns:       make(map[*websocket.Conn]struct{}),
		dials:       make(map[string]*dial),
		targets:     make(map[string]Target),
	}, nil
}

// Counters returns the counters for expvar.
func (s *Links) Counters() *Counters {
	return &s.counters
}

// Run accepts and opens links until ctx is canceled, then closes all of them.
func (s *Links) Run(ctx context.Context) error {
	group, running := errgroup.WithContext(ctx)
	server := &fasthttp.Server{
		Handler:                      func(request *fasthttp.RequestCtx) { s.accept(running, request) },
		Concurrency:                  maxHandshakes,
		ReadTimeout:                  s.cfg.Timing.HandshakeTimeout,
		WriteTimeout:                 s.cfg.Timing.HandshakeTimeout,
		IdleTimeout:                  s.cfg.Timing.HandshakeTimeout,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           1,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		// Without this, closing an accepted connection has no effect until its handler
		// returns, while the handler waits for the connection to close.
		KeepHijackedConns: true,
		Logger:            zap.NewStdLog(s.cfg.Log),
	}
	inbound.FreeHeads(server)
	group.Go(func() error { return server.Serve(s.cfg.Listener) })
	group.Go(func() error { return s.manage(running) })
	group.Go(func() error {
		<-running.Done()
		// While the listener is open, peers dial again as their links close.
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
	// Connections in their handshake would delay the end by up to its timeout.
	for conn := range s.conns {
		conn.NetConn().Close()
	}
	s.mu.Unlock()
}

// SetTargets replaces the set of peers to which links are kept open.
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
// signed with a removed key are closed and opened again.
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

// QueueDelay returns the age of the oldest envelope on any link that is not yet written.
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

// Send queues an envelope for a peer and reports whether it was accepted. If there is
// no link, it opens one, provided that Resolve returns the address. It does not block and
// may be called from the handler. The envelope must not be modified afterwards.
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

// SendBulk queues an envelope for a peer with a link as bulk: later envelopes may pass it,
// so its content must be valid whenever it arrives. It should not be larger than a few tens
// of kilobytes, as urgent envelopes wait while one is written. It does not block.
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
	// Age of the link since it opened.
	Age time.Duration
	// Wanted reports whether the peer is a target of this side.
	Wanted bool
}

// Peers returns the open links, sorted by ID.
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

// jittered returns a random duration from d/2 to 3d/2, so peers do not dial all at once.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
