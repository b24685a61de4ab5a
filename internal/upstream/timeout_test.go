package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

// newPipeClient returns a client whose connections are pipes, for use in a synctest
// bubble. serve handles the first request on each connection.
func newPipeClient(t *testing.T, cfg upstream.Config, serve func(serverEnd net.Conn)) *upstream.Client {
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	cfg.Dial = func(context.Context, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		serving.Go(func() {
			var req fasthttp.Request
			if req.Read(bufio.NewReader(serverEnd)) == nil {
				serve(serverEnd)
			}
		})
		return clientEnd, nil
	}
	return upstream.New(cfg)
}

const eventStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Started: true\r\n\r\n"

var pipeTarget = upstream.Target{Address: "pipe", Server: "s0", Engine: "e0"}

// The engine accepts the request and sends one token, then its connection becomes
// unresponsive. TCP would report no error for minutes; the client must fail within
// TokenGapTimeout.
func TestUnresponsiveStreamIsDetectedWithinTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, upstream.Config{TokenGapTimeout: 2 * time.Second}, func(serverEnd net.Conn) {
			_, _ = io.WriteString(serverEnd, eventStream+"data: {\"offset\":0,\"text\":\"a\"}\n\n")
		})
		start := time.Now()
		err := client.Generate(background, pipeTarget, generate("a", 3), newCollector())
		checkVerdict(t, err, verdict.Ran, verdict.ReasonUpstreamSilent)
		if took := time.Since(start); took > 2*time.Second || took < time.Second {
			t.Errorf("detected after %v, want at most 2s", took)
		}
	})
}

// The engine never answers a request that was written, so it may have run.
func TestNoAnswerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, upstream.Config{FirstByteTimeout: 3 * time.Second}, func(net.Conn) {})
		start := time.Now()
		err := client.Generate(background, pipeTarget, generate("a", 3), newCollector())
		checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUpstreamSilent)
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("detected after %v, want 3s", took)
		}
	})
}

// The request waits in the engine's queue for a minute. The engine sends comments in the
// meantime, which must keep the stream alive.
func TestCommentsKeepAWaitingStreamAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, upstream.Config{TokenGapTimeout: 2 * time.Second}, func(serverEnd net.Conn) {
			_, _ = io.WriteString(serverEnd, eventStream)
			for range 60 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(serverEnd, ":\n\n")
			}
			_, _ = io.WriteString(serverEnd, "data: {\"offset\":0,\"text\":\"a\",\"finish\":\"stop\"}\n\n")
		})
		if err := client.Generate(background, pipeTarget, generate("a", 1), newCollector()); err != nil {
			t.Error(err)
		}
	})
}

// The other end accepts no bytes; the write must not block forever.
func TestBlockedWriteTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := upstream.New(upstream.Config{Dial: func(context.Context, string) (net.Conn, error) {
			clientEnd, _ := net.Pipe()
			return clientEnd, nil
		}})
		err := client.Generate(background, pipeTarget, generate("a", 1), newCollector())
		checkVerdict(t, err, verdict.NotRun, verdict.ReasonUpstreamSilent)
	})
}

// A service sends its header and then single bytes without end. The timeout applies to
// the whole answer, so the call must end.
func TestSlowServiceAnswerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, upstream.Config{ServiceTimeout: 5 * time.Second}, func(serverEnd net.Conn) {
			_, err := io.WriteString(serverEnd, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
			for err == nil {
				time.Sleep(time.Second)
				_, err = serverEnd.Write([]byte{'x'})
			}
		})
		start := time.Now()
		_, err := client.CallService(background, pipeTarget, upstream.ServiceCall{Method: "GET", Path: "/"})
		checkVerdict(t, err, verdict.Ran, verdict.ReasonUpstreamSilent)
		if took := time.Since(start); took != 5*time.Second {
			t.Errorf("ended after %v, want 5s", took)
		}
	})
}
