package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

// shortTimeout makes timeouts expire soon; the tests assert no durations.
const shortTimeout = 150 * time.Millisecond

func shortConfig() upstream.Config {
	return upstream.Config{
		FirstByteTimeout:  shortTimeout,
		FirstTokenTimeout: 5 * time.Second,
		TokenGapTimeout:   shortTimeout,
	}
}

// fastEngine answers quickly and sends heartbeats often enough for shortTimeout.
func fastEngine() engine.Config {
	return engine.Config{
		Engines:   []engine.EngineConfig{{Model: enginemodel.Config{Name: "e0", StepMS: 2}}},
		Heartbeat: shortTimeout / 10,
	}
}

// startEngine serves a stand-in engine on loopback and returns its address.
func startEngine(t testing.TB, cfg engine.Config) (*engine.Server, upstream.Target) {
	t.Helper()
	server := engine.New(cfg)
	ln := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return server, upstream.Target{Address: ln.Addr().String(), Server: "s0", Engine: "e0"}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// scriptedServer answers requests with a function of the test and counts requests and
// connections.
type scriptedServer struct {
	requests atomic.Int64
	conns    atomic.Int64
}

// startScripted starts an upstream that calls answer for each request. If answer returns
// false, the connection is closed.
func startScripted(t testing.TB, answer func(conn net.Conn, request int) bool) (*scriptedServer, upstream.Target) {
	t.Helper()
	s := new(scriptedServer)
	ln := listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answer)
		}
	}()
	return s, upstream.Target{Address: ln.Addr().String(), Server: "s0", Engine: "e0"}
}

func (s *scriptedServer) serve(conn net.Conn, answer func(net.Conn, int) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var req fasthttp.Request
	for {
		if err := req.Read(reader); err != nil {
			return
		}
		if !answer(conn, int(s.requests.Add(1))) {
			return
		}
	}
}

func reply(text string) func(net.Conn, int) bool {
	return func(conn net.Conn, _ int) bool {
		_, err := conn.Write([]byte(text))
		return err == nil
	}
}

func stream(events string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Started: true\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events)
}

// collector is a Sink that keeps every token and sends its offset on seen.
type collector struct {
	events   []engineapi.TokenEvent
	seen     chan int
	tokenErr error
}

func newCollector() *collector {
	return &collector{seen: make(chan int, 10_000)}
}

func (c *collector) Token(event engineapi.TokenEvent) error {
	c.events = append(c.events, event)
	c.seen <- event.Offset
	return c.tokenErr
}

// checkComplete checks that the collector has received the whole answer to the request,
// in order.
func (c *collector) checkComplete(t testing.TB, id string, tokens int) {
	t.Helper()
	if len(c.events) != tokens {
		t.Fatalf("%d tokens, want %d", len(c.events), tokens)
	}
	for i, event := range c.events {
		if event.Offset != i || event.Text != engine.TokenText(id, i) {
			t.Fatalf("token %d is %+v", i, event)
		}
	}
	if last := c.events[tokens-1]; last.Finish != engine.FinishStop {
		t.Errorf("finish %q, want %q", last.Finish, engine.FinishStop)
	}
}

func generate(id string, tokens int) upstream.GenerateRequest {
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"prompt_tokens":10}`, tokens)
	return upstream.GenerateRequest{RequestID: id, Body: []byte(body)}
}

func checkVerdict(t testing.TB, err *verdict.Error, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %s (%s)", reason, v)
	}
	if err.Verdict != v || err.Reason != reason {
		t.Errorf("got %v, want %s (%s)", err, reason, v)
	}
}

var background = context.Background()

// runAtToken calls run once the token at the offset has been received.
func (c *collector) runAtToken(offset int, run func()) {
	for seen := range c.seen {
		if seen == offset {
			run()
			return
		}
	}
}
