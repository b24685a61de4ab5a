package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/netconn"
	"basilrudder/internal/standin/faultnet"
)

const secret = "secret"

var (
	self = Instance{ID: "me", Incarnation: "me/1"}
	peer = Instance{ID: "peer", Incarnation: "peer/1"}
)

// pair is an instance and a peer that opens tunnels to one server, over loopback.
type pair struct {
	t       testing.TB
	server  *Server
	client  *Client
	address string
	// upstreams receives the server's end of each connection.
	upstreams chan net.Conn
}

func newPair(t testing.TB) *pair {
	p := &pair{t: t, upstreams: make(chan net.Conn, 8)}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	upstream := listen()
	go func() {
		for {
			c, err := upstream.Accept()
			if err != nil {
				return
			}
			p.upstreams <- c
		}
	}()
	p.server = &Server{
		Self: peer, Secret: secret, MaxOpen: 2, Descriptors: descriptors.Unlimited(), Log: zap.NewNop(),
		Connect: func(ctx context.Context, server string) (net.Conn, error) {
			if server != "s1" {
				return nil, ErrUnknownServer
			}
			return new(net.Dialer).DialContext(ctx, "tcp", upstream.Addr().String())
		},
	}
	front := listen()
	handle := func(request *fasthttp.RequestCtx) { p.server.Handle(t.Context(), request) }
	web := &fasthttp.Server{Handler: handle, KeepHijackedConns: true, NoDefaultServerHeader: true}
	go func() { _ = web.Serve(front) }()
	p.address = front.Addr().String()
	p.client = &Client{Self: self, Secret: secret, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}}
	return p
}

func (p *pair) open() (near, far net.Conn) {
	p.t.Helper()
	near, err := p.client.Open(p.t.Context(), NewID(), peer, p.address, "s1")
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { near.Close() })
	return near, <-p.upstreams
}

// Guards against bytes that are changed, reordered or held back on the way.
func TestATunnelPassesBytesOn(t *testing.T) {
	near, far := newPair(t).open()
	request := bytes.Repeat([]byte("request "), 40_000)
	answer := bytes.Repeat([]byte("answer "), 40_000)
	go func() {
		_, _ = near.Write(request)
	}()
	got := make([]byte, len(request))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, request) {
		t.Fatal("request", err)
	}
	go func() {
		_, _ = far.Write(answer)
		_ = far.Close()
	}()
	back, err := io.ReadAll(near)
	if err != nil || !bytes.Equal(back, answer) {
		t.Error("answer", len(back), err)
	}
}

// Guards against an answer that looks complete though its server was reset.
func TestAResetOfTheServerIsNoEnd(t *testing.T) {
	near, far := newPair(t).open()
	_, _ = far.Write([]byte("part"))
	part := make([]byte, 4)
	if _, err := io.ReadFull(near, part); err != nil {
		t.Fatal(err)
	}
	faultnet.Reset(far)
	if _, err := io.ReadAll(near); err == nil {
		t.Error("the tunnel ended like a complete answer")
	}
}

// Guards against an answer that looks complete because the kernel closed a killed peer.
func TestTheEndOfThePeerIsNoEndOfTheServer(t *testing.T) {
	near, far := net.Pipe()
	conn := newConn(near, bufio.NewReader(near))
	go func() {
		_, _ = far.Write([]byte{0, 0, 0, 4, 'p', 'a', 'r', 't'})
		_ = far.Close()
	}()
	got, err := io.ReadAll(conn)
	if string(got) != "part" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a server that goes on working for a caller that has left.
func TestClosingATunnelClosesTheServersConnection(t *testing.T) {
	near, far := newPair(t).open()
	_ = near.Close()
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the server's connection is still open")
	}
}

// Guards against tunnels without a secret, to another process or server, or too many.
func TestRefusedTunnels(t *testing.T) {
	p := newPair(t)
	for _, c := range []struct {
		name   string
		client Client
		to     Instance
		server string
		want   error
	}{
		{"secret", Client{Self: self, Secret: "other", Dial: p.client.Dial}, peer, "s1", ErrUnauthenticated},
		{"process", *p.client, Instance{ID: "peer", Incarnation: "peer/0"}, "s1", ErrUnauthenticated},
		{"server", *p.client, peer, "s2", ErrUnknownServer},
	} {
		if _, err := c.client.Open(t.Context(), NewID(), c.to, p.address, c.server); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	for range p.server.MaxOpen {
		p.open()
	}
	if _, err := p.client.Open(t.Context(), NewID(), peer, p.address, "s1"); !errors.Is(err, ErrBusy) {
		t.Errorf("one more than %d: %v", p.server.MaxOpen, err)
	}
}

// Guards against memory used up by whatever has the address of a peer that is gone.
func TestAPeersAnswerWithoutEndIsGivenUp(t *testing.T) {
	near, far := net.Pipe()
	client := Client{Self: self, Secret: secret, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
	go func() { _, _ = io.Copy(io.Discard, far) }()
	var sent atomic.Int64
	go func() {
		defer far.Close()
		faultnet.SendWithoutEnd(far, "HTTP/1.1 101 Switching Protocols\r\n", "X-More: v\r\n", &sent)
	}()
	if _, err := client.Open(t.Context(), NewID(), peer, "", "s1"); !errors.Is(err, netconn.ErrTooLong) {
		t.Errorf("error %v", err)
	}
	if sent.Load() > 2*maxAnswerHead {
		t.Errorf("%d bytes were read", sent.Load())
	}
}

// Guards against errors that lose their meaning on the way to the instance that asked.
func TestReasonsKeepTheirMeaning(t *testing.T) {
	for text, want := range reasons {
		if got := reasonText(errors.Wrap(want, "detail")); got != text {
			t.Errorf("%q became %q", text, got)
		}
	}
	if !errors.Is(ErrRefused, ErrUnreachable) {
		t.Error("a refusing server is not unreachable")
	}
}

// Guards against a frame that is lost because a deadline passed in the middle of it.
func TestADeadlineLeavesATunnelUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := newConn(near, bufio.NewReader(near))
		go func() {
			for _, piece := range []string{"\x00\x00", "\x00\x05he", "llo", "\x00\x00\x00\x00"} {
				_, _ = far.Write([]byte(piece))
				time.Sleep(time.Second)
			}
			far.Close()
		}()
		var got strings.Builder
		buffer := make([]byte, 16)
		for got.Len() < 5 {
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			n, err := conn.Read(buffer)
			got.Write(buffer[:n])
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
		}
		_ = conn.SetReadDeadline(time.Time{})
		if n, err := conn.Read(buffer); n != 0 || err != io.EOF || got.String() != "hello" {
			t.Errorf("%q, then %d %v", got.String(), n, err)
		}
		time.Sleep(2 * time.Second)
	})
}

// FuzzFrames checks that any bytes of a peer are read as frames or rejected, and that only
// the closing frame ends a tunnel like the server's own end.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 'x', 0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		got, err := io.ReadAll(&Conn{reader: reader})
		if len(got) > len(data) {
			t.Errorf("%d bytes out of %d", len(got), len(data))
		}
		if err == nil && !bytes.Contains(data, make([]byte, frameHeader)) {
			t.Errorf("%q ended without the closing frame", data)
		}
	})
}

// Guards against timers of a connection attempt that read a request which is answered already.
func TestTimersOfConnectMayOutliveTheRequest(t *testing.T) {
	p := newPair(t)
	var pending sync.WaitGroup
	p.server.Connect = func(ctx context.Context, _ string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, time.Millisecond)
		pending.Go(func() {
			defer cancel()
			<-limited.Done()
		})
		return nil, ErrUnreachable
	}
	for range 20 {
		if _, err := p.client.Open(t.Context(), NewID(), peer, p.address, "s1"); !errors.Is(err, ErrUnreachable) {
			t.Fatal(err)
		}
	}
	pending.Wait()
}
