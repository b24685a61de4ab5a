package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

func TestGenerateDeliversEachTokenOnce(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	for _, id := range []string{"a", "b", "c"} {
		sink := newCollector()
		if err := client.Generate(background, target, generate(id, 30), sink); err != nil {
			t.Fatal(err)
		}
		sink.checkComplete(t, id, 30)
	}
	if runs := len(server.Engine("e0").Runs()); runs != 3 {
		t.Errorf("%d runs, want 3", runs)
	}
	if conns := server.Accepted(); conns != 1 {
		t.Errorf("%d connections, want one, reused", conns)
	}
}

// Nothing listens at the address. Without a connection no byte of the request can have
// been sent, so the verdict is "not run".
func TestConnectRefusedIsNotRun(t *testing.T) {
	ln := listen(t)
	_ = ln.Close()
	target := upstream.Target{Address: ln.Addr().String(), Server: "s0", Engine: "e0"}
	err := upstream.New(shortConfig()).Generate(background, target, generate("a", 3), newCollector())
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonConnect)
}

// failingConn fails each write after accepting some bytes, and closes the connection.
type failingConn struct {
	net.Conn
	accepts int
}

func (c *failingConn) Write(p []byte) (int, error) {
	n := min(len(p), c.accepts)
	if n > 0 {
		_, _ = c.Conn.Write(p[:n])
	}
	_ = c.Conn.Close()
	return n, &net.OpError{Op: "write", Net: "tcp", Err: errors.New("connection reset by peer")}
}

// The connection fails while the request is written. If it accepted no byte, the upstream
// can't have received the request. If it accepted even one, the rest may have been
// accepted by the time of the error, so the verdict must be "may have run".
func TestWriteFailureVerdictDependsOnBytesWritten(t *testing.T) {
	for _, c := range []struct {
		name    string
		accepts int
		want    verdict.Verdict
	}{
		{"none", 0, verdict.NotRun},
		{"one", 1, verdict.MayHaveRun},
		{"most", 100, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := shortConfig()
			cfg.Dial = func(context.Context, string) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				go func() { _, _ = serverEnd.Read(make([]byte, 1000)) }()
				return &failingConn{Conn: clientEnd, accepts: c.accepts}, nil
			}
			err := upstream.New(cfg).Generate(background, upstream.Target{Server: "s0", Address: "a"}, generate("a", 3), newCollector())
			checkVerdict(t, err, c.want, verdict.ReasonUpstreamLost)
		})
	}
}

// The server reads the request and its process ends before it answers. The engine may
// have started, so the verdict is "may have run". The request must not be sent again,
// neither on a new connection nor on a reused one.
func TestLostAfterWriteMayHaveRunAndIsNotSentAgain(t *testing.T) {
	whole := stream("data: {\"offset\":0,\"text\":\"x\",\"finish\":\"stop\"}\n\n")
	server, target := startScripted(t, func(conn net.Conn, request int) bool {
		return request == 1 && reply(whole)(conn, request)
	})
	client := upstream.New(shortConfig())
	if err := client.Generate(background, target, generate("a", 1), newCollector()); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"on a used connection", "on a new connection"} {
		err := client.Generate(background, target, generate(id, 1), newCollector())
		checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUpstreamLost)
	}
	if sent := server.requests.Load(); sent != 3 {
		t.Errorf("%d requests received, want 3", sent)
	}
}

// The server restarts between two requests and closes the pooled connection. The second
// request must not be lost: the pool detects the closed connection and a new one is
// opened.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	for _, id := range []string{"a", "b"} {
		sink := newCollector()
		if err := client.Generate(background, target, generate(id, 3), sink); err != nil {
			t.Fatal(err)
		}
		sink.checkComplete(t, id, 3)
		server.Cut()
	}
}

// A pooled connection becomes unresponsive while unused. The next request is written to
// it and gets no answer, so it may have run. The other unused connections to the address
// are closed as well, so the request after that succeeds.
func TestUnresponsiveIdleConnectionsAreClosed(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	done := make(chan *verdict.Error)
	for _, id := range []string{"a", "b"} {
		go func() { done <- client.Generate(background, target, generate(id, 20), newCollector()) }()
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	server.Silence()
	err := client.Generate(background, target, generate("c", 3), newCollector())
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUpstreamSilent)
	if err := client.Generate(background, target, generate("d", 3), newCollector()); err != nil {
		t.Errorf("the next request: %v", err)
	}
}

func TestVerdictOfUnsuccessfulAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{"429 not started", "429 Too Many Requests\r\nX-Not-Started: true\r\nRetry-After: 7", verdict.NotRun, verdict.ReasonUpstreamRefused},
		{"503 not started", "503 Service Unavailable\r\nX-Not-Started: true\r\nRetry-After: 7", verdict.NotRun, verdict.ReasonUpstreamRefused},
		{"503 alone", "503 Service Unavailable\r\nRetry-After: 7", verdict.MayHaveRun, verdict.ReasonUpstreamError},
		{"502 alone", "502 Bad Gateway\r\nRetry-After: 7", verdict.MayHaveRun, verdict.ReasonUpstreamError},
		{"409 alone", "409 Conflict\r\nRetry-After: 7", verdict.Ran, verdict.ReasonUpstreamError},
		{"both flags", "503 Service Unavailable\r\nX-Not-Started: true\r\nX-Started: true\r\nRetry-After: 7", verdict.Ran, verdict.ReasonUpstreamError},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, target := startScripted(t, reply("HTTP/1.1 "+c.answer+"\r\nContent-Length: 2\r\n\r\nno"))
			err := upstream.New(shortConfig()).Generate(background, target, generate("a", 3), newCollector())
			checkVerdict(t, err, c.want, c.reason)
			if err.RetryAfter != 7*time.Second {
				t.Errorf("retry after %v, want 7s", err.RetryAfter)
			}
		})
	}
}

func TestEngineRefusalIsNotRun(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	server.Engine("e0").SetRefusing(true)
	err := upstream.New(shortConfig()).Generate(background, target, generate("a", 3), newCollector())
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonUpstreamRefused)
	if runs := len(server.Engine("e0").Runs()); runs != 0 {
		t.Errorf("%d runs, want none", runs)
	}
}

// Another instance sends a request ID that the engine has already accepted. The engine
// refuses it; the verdict is "ran", since the first request did, and there is still one
// run.
func TestDuplicateRequestIDIsRan(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	if err := client.Generate(background, target, generate("a", 3), newCollector()); err != nil {
		t.Fatal(err)
	}
	err := client.Generate(background, target, generate("a", 3), newCollector())
	checkVerdict(t, err, verdict.Ran, verdict.ReasonUpstreamError)
	if runs := len(server.Engine("e0").Runs()); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// The caller disconnects in the middle of an answer. The context ends and the connection
// is closed at once, although a read is blocked on it. The engine detects the closed
// connection and abandons the run after its linger time.
func TestContextEndClosesTheConnection(t *testing.T) {
	cfg := fastEngine()
	cfg.Engines[0].Model.Linger = 20 * time.Millisecond
	server, target := startEngine(t, cfg)
	ctx, cancel := context.WithCancel(background)
	sink := newCollector()
	go func() {
		<-sink.seen
		cancel()
	}()
	err := upstream.New(shortConfig()).Generate(ctx, target, generate("a", 1_000_000), sink)
	checkVerdict(t, err, verdict.Ran, verdict.ReasonCallerGone)
	server.Engine("e0").WaitForRun(func(r enginemodel.Run) bool { return r.End == enginemodel.Abandoned })
}

func TestCancelledContextIsNotRun(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	ctx, cancel := context.WithCancel(background)
	cancel()
	err := upstream.New(shortConfig()).Generate(ctx, target, generate("a", 3), newCollector())
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonCallerGone)
	if runs := len(server.Engine("e0").Runs()); runs != 0 {
		t.Errorf("%d runs, want none", runs)
	}
}

func TestCancelEndsTheRun(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	sink := newCollector()
	done := make(chan *verdict.Error)
	go func() { done <- client.Generate(background, target, generate("a", 1_000_000), sink) }()
	<-sink.seen
	if err := client.Cancel(background, target, "a"); err != nil {
		t.Fatal(err)
	}
	checkVerdict(t, <-done, verdict.Ran, verdict.ReasonUpstreamLost)
	server.Engine("e0").WaitForRun(func(r enginemodel.Run) bool { return r.End == enginemodel.Cancelled })
	if err := client.Cancel(background, target, "unknown"); err != nil {
		t.Errorf("cancel of an unknown request: %v", err)
	}
}

func TestSinkErrorEndsTheStream(t *testing.T) {
	_, target := startEngine(t, fastEngine())
	sink := newCollector()
	sink.tokenErr = errors.New("no more")
	err := upstream.New(shortConfig()).Generate(background, target, generate("a", 50), sink)
	checkVerdict(t, err, verdict.Ran, verdict.ReasonCallerGone)
	if !errors.Is(err, sink.tokenErr) || len(sink.events) != 1 {
		t.Errorf("error %v after %d tokens", err, len(sink.events))
	}
}
