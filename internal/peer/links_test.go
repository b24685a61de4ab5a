package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/standin/faultnet"
	"basilrudder/internal/timer"
)

var testTiming = Timing{
	KeepAliveInterval: 20 * time.Millisecond,
	PeerTimeout:       150 * time.Millisecond,
	HandshakeTimeout:  time.Second,
	BackoffMin:        5 * time.Millisecond,
	BackoffMax:        20 * time.Millisecond,
}

type received struct {
	from string
	env  *wire.Envelope
}

type recorder struct {
	envelopes chan received
	up        chan Identity
	down      chan error
}

func (r *recorder) Envelope(from string, env *wire.Envelope) { r.envelopes <- received{from, env} }
func (r *recorder) LinkUp(peer Identity)                     { r.up <- peer }
func (r *recorder) LinkDown(_ string, err error)             { r.down <- err }

// droppingConn is a connection that can drop all data in both directions without an error at
// either end.
type droppingConn struct {
	net.Conn
	dropping *atomic.Bool
}

func (m droppingConn) Write(p []byte) (int, error) {
	if m.dropping.Load() {
		return len(p), nil
	}
	return m.Conn.Write(p)
}

func (m droppingConn) Read(p []byte) (int, error) {
	for {
		n, err := m.Conn.Read(p)
		if err != nil || !m.dropping.Load() {
			return n, err
		}
	}
}

type instance struct {
	*Links
	*recorder
	address  string
	dropping atomic.Pointer[atomic.Bool] // of the last connection dialed
}

func start(t *testing.T, id string, change func(*Config)) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := &instance{
		recorder: &recorder{make(chan received, 4096), make(chan Identity, 4096), make(chan error, 4096)},
		address:  listener.Addr().String(),
	}
	cfg := Config{
		Self:     Identity{ID: id, Incarnation: "1", DataCentre: "dc1", PeerAddress: in.address},
		Keys:     []Key{{"k1", "a secret of the fleet"}},
		Listener: listener,
		Handler:  in.recorder,
		Timing:   testTiming,
	}
	cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := netconn.Dial(ctx, address)
		in.dropping.Store(new(atomic.Bool))
		return droppingConn{conn, in.dropping.Load()}, err
	}
	if change != nil {
		change(&cfg)
	}
	if in.Links, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- in.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return in
}

func receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-timer.New(20 * time.Second).C:
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := timer.New(20 * time.Second).C
	poll := timer.NewTicker(time.Millisecond)
	defer poll.Stop()
	for !holds() {
		select {
		case <-poll.C:
		case <-deadline:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func ping(seq int) *wire.Envelope { return &wire.Envelope{Ping: &wire.Ping{Seq: seq}} }

// deliver sends an envelope until it is received; one may be lost when its link is
// replaced.
func deliver(t *testing.T, from, to *instance, id string, seq int) {
	t.Helper()
	deadline := timer.New(20 * time.Second).C
	for {
		from.Send(id, ping(seq))
		select {
		case got := <-to.envelopes:
			if got.env.Ping != nil && got.env.Ping.Seq == seq {
				return
			}
		case <-timer.New(20 * time.Millisecond).C:
		case <-deadline:
			t.Fatalf("envelope %d never arrived", seq)
		}
	}
}

// Guards against a data race between the end of an instance and a link that opens.
func TestALinkMayBeCancelledWhileItOpens(t *testing.T) {
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		links := &Links{cfg: Config{Timing: testTiming, Dial: func(context.Context, string) (net.Conn, error) {
			go cancel()
			return near, nil
		}}}
		if _, err := links.connect(ctx, "10.0.0.1:1"); err == nil {
			t.Error("the link opened")
		}
	}
}

// Guards against memory used up by whatever has the address of a peer that is gone.
func TestAnUpgradeWithoutEndIsGivenUp(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	var sent atomic.Int64
	go func() {
		defer far.Close()
		faultnet.SendWithoutEnd(far, "HTTP/1.1 101 Switching Protocols\r\n", "X-More: v\r\n", &sent)
	}()
	links := &Links{cfg: Config{Timing: testTiming, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}}
	if _, err := links.connect(t.Context(), "10.0.0.1:1"); !errors.Is(err, netconn.ErrTooLong) {
		t.Errorf("error %v", err)
	}
	if sent.Load() > 2*maxUpgradeHead {
		t.Errorf("%d bytes were read", sent.Load())
	}
}

func TestLinkCarriesBothWays(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	if got := receive(t, "link at a", a.up); got.ID != "b" || got.PeerAddress != b.address {
		t.Errorf("a is linked to %+v", got)
	}
	receive(t, "link at b", b.up)
	a.Send("b", ping(1))
	b.Send("a", &wire.Envelope{Grants: []wire.Grant{{Seq: 7, Group: "g", Server: "s", Engine: "e", LeaseMS: 1}}})
	if got := receive(t, "ping", b.envelopes); got.from != "a" || got.env.Ping.Seq != 1 {
		t.Errorf("b got %+v", got)
	}
	if got := receive(t, "grant", a.envelopes); got.env.Grants[0].Seq != 7 {
		t.Errorf("a got %+v", got)
	}
	snap := a.Counters().Snapshot()
	if snap.BytesOut["ping"] == 0 || snap.BytesIn["grant"] == 0 || snap.BytesOut["hello"] == 0 {
		t.Errorf("counters: %+v", snap)
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	// A process without the key connects, in either direction. It must be refused before
	// anything it sends reaches the handler.
	b := start(t, "b", nil)
	a := start(t, "a", func(cfg *Config) { cfg.Keys = []Key{{"k1", "another secret entirely"}} })
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	b.SetTargets([]Target{{ID: "a", Address: a.address}})
	eventually(t, "refusals at both", func() bool {
		return min(a.Counters().Snapshot().HandshakesRefused, b.Counters().Snapshot().HandshakesRefused) >= 3
	})
	if len(a.up)+len(b.up) != 0 {
		t.Error("a link opened without the key")
	}
}

func TestKeyRotation(t *testing.T) {
	// Operators add a key, make it the first, and remove the old one; instances apply each
	// step at different times. Links must stay open, except that those opened with the old
	// key are closed and opened again when it is removed.
	k1, k2 := Key{"k1", "a secret of the fleet"}, Key{"k2", "its successor"}
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	receive(t, "link", a.up)
	a.SetKeys([]Key{k1, k2})
	b.SetKeys([]Key{k1, k2})
	a.SetKeys([]Key{k2, k1})
	deliver(t, a, b, "b", 1)
	if len(a.down) != 0 {
		t.Error("the link ended while its key was still accepted")
	}
	b.SetKeys([]Key{k2, k1})
	a.SetKeys([]Key{k2})
	receive(t, "end of the link opened with the old key", a.down)
	receive(t, "new link", a.up)
	b.SetKeys([]Key{k2})
	deliver(t, a, b, "b", 2)
}

func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	// The network drops all data of a connection without an error at either end, while a
	// new connection works. Both sides miss the keep-alive pings, and a new link replaces
	// the old one.
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	receive(t, "link at a", a.up)
	receive(t, "link at b", b.up)
	a.dropping.Load().Store(true)
	receive(t, "end at a", a.down)
	receive(t, "end at b", b.down)
	receive(t, "new link at a", a.up)
	receive(t, "new link at b", b.up)
	deliver(t, a, b, "b", 1)
	deliver(t, b, a, "a", 2)
}

func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	// Both instances dial each other simultaneously. Both must keep the same of the two
	// links; otherwise each would close the one that the other keeps, forever.
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	b.SetTargets([]Target{{ID: "a", Address: a.address}})
	deliver(t, a, b, "b", 1)
	deliver(t, b, a, "a", 2)
	eventually(t, "the same link at both", func() bool {
		atA, atB := a.Links.link("b"), b.Links.link("a")
		return atA != nil && atB != nil && atA.dialer != atB.dialer
	})
}

func TestFullQueueClosesLink(t *testing.T) {
	// A peer stops reading, as a stopped process does. When the sender's queue is full, Send
	// must return false without blocking, and the link must be closed to report the loss
	// of messages to both sides.
	block := make(chan struct{})
	b := start(t, "b", func(cfg *Config) { cfg.Handler = blockingHandler{cfg.Handler, block} })
	a := start(t, "a", func(cfg *Config) { cfg.Timing.MaxQueueBytes = 1 << 20 })
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	receive(t, "link", a.up)
	data := make([]byte, 64<<10)
	for i := 0; a.Send("b", &wire.Envelope{ConfigPart: &wire.ConfigPart{Revision: i, Data: data}}); i++ {
	}
	if err := receive(t, "end of the link", a.down); !errors.Is(err, errQueueFull) {
		t.Errorf("link ended with %v", err)
	}
	close(block)
}

type blockingHandler struct {
	Handler
	block chan struct{}
}

func (b blockingHandler) Envelope(string, *wire.Envelope) { <-b.block }

func TestLinkOnDemand(t *testing.T) {
	// An envelope for a peer that is no target opens a link, and the link is closed after
	// IdleTimeout without use.
	b := start(t, "b", nil)
	a := start(t, "a", func(cfg *Config) {
		cfg.Timing.IdleTimeout = 200 * time.Millisecond
		cfg.Resolve = func(id string) (string, bool) { return b.address, id == "b" }
	})
	if !a.Send("b", ping(1)) {
		t.Fatal("envelope was not accepted")
	}
	if got := receive(t, "ping", b.envelopes); got.env.Ping.Seq != 1 {
		t.Errorf("b got %+v", got.env)
	}
	if err := receive(t, "end of the idle link", a.down); !errors.Is(err, errIdle) {
		t.Errorf("link ended with %v", err)
	}
	if a.Send("nobody", ping(2)) {
		t.Error("accepted an envelope for a peer without an address")
	}
}

func TestUnreachablePeerOnDemand(t *testing.T) {
	// Nothing listens at the address. The loss of the envelope must be reported, and during
	// the backoff Send must refuse envelopes for the peer.
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	a := start(t, "a", func(cfg *Config) {
		cfg.Timing.BackoffMin, cfg.Timing.BackoffMax = time.Hour, time.Hour
		cfg.Resolve = func(string) (string, bool) { return closed.Addr().String(), true }
	})
	a.Send("b", ping(1))
	receive(t, "loss", a.down)
	if a.Send("b", ping(2)) {
		t.Error("accepted an envelope during the backoff")
	}
}

func TestRestartedPeerReplacesItsLink(t *testing.T) {
	// A process restarts under its ID while the old connection still appears open. The link
	// of the new incarnation must replace the old one at once, and nothing from the old one
	// may follow. The side that accepted the old link must end it itself: with a timeout of
	// an hour, nothing else does.
	longTimeout := func(cfg *Config) { cfg.Timing.PeerTimeout = time.Hour }
	b := start(t, "b", longTimeout)
	for i := 1; i <= 3; i++ {
		old := start(t, "a", func(cfg *Config) {
			longTimeout(cfg)
			cfg.Self.Incarnation = fmt.Sprint(i)
		})
		old.SetTargets([]Target{{ID: "b", Address: b.address}})
		for got := receive(t, "link at b", b.up); got.Incarnation != fmt.Sprint(i); {
			got = receive(t, "link at b", b.up)
		}
		old.SetTargets(nil)
	}
}

// Guards against an instance that stops and keeps an accepted link open until PeerTimeout.
// By default the HTTP library keeps a hijacked connection open until its handler returns,
// while the handler waits for the peer's next message.
func TestAcceptedLinkIsClosedAtOnce(t *testing.T) {
	longTimeout := func(cfg *Config) { cfg.Timing.PeerTimeout = time.Hour }
	acceptor := start(t, "a", longTimeout)
	dialer := start(t, "b", longTimeout)
	dialer.SetTargets([]Target{{ID: "a", Address: acceptor.address}})
	receive(t, "link", dialer.up)
	receive(t, "link", acceptor.up)
	acceptor.stop()
	receive(t, "end of the link", acceptor.down)
	receive(t, "end of the link", dialer.down)
}

// An instance under load has a link to most of the fleet. A ping each second on all of them
// would cost more than the heartbeats, so links opened on demand have longer intervals and
// timeouts, on both sides, than links to targets.
func TestOnDemandLinkHasLongerTimeout(t *testing.T) {
	links, err := New(Config{Keys: []Key{{ID: "k", Secret: "a-secret-for-tests"}}})
	if err != nil {
		t.Fatal(err)
	}
	l := &link{links: links, peer: Identity{ID: "b"}}
	onDemand := l.timeout()
	links.SetTargets([]Target{{ID: "b", Address: "127.0.0.1:1"}})
	if targetTimeout := l.timeout(); targetTimeout != links.cfg.Timing.PeerTimeout || onDemand != onDemandFactor*targetTimeout {
		t.Errorf("timeout of %v on demand and %v for a target", onDemand, targetTimeout)
	}
}
