package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basilrudder/internal/answers"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// rawRequest returns a request as bytes, for tests that need no HTTP client.
func rawRequest(class, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\n", pathChat, credential)
	fmt.Fprintf(&b, "%s: %s\r\nContent-Length: %d\r\n", HeaderClass, class, len(body))
	for i := 0; i < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return b.String() + "\r\n" + body
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A caller closes the connection while its request is queued, before the first token.
// The handler neither reads nor writes then. CallerGone must be called all the same, or
// the request would run although nobody waits for it.
func TestCallerGoneWhileQueuedIsNoticed(t *testing.T) {
	queued := make(chan struct{})
	backend := newFakeBackend(func(*Request, *answers.Log) { close(queued) })
	address := startServer(t, Config{}, backend)
	c := dial(t, address)
	_, _ = io.WriteString(c, rawRequest("draft", chatBodyWhole))
	<-queued
	_ = c.Close()
	if id := <-backend.gone; id != "local-1" {
		t.Errorf("gone %q", id)
	}
}

// The caller disconnects between two tokens of a stream. No write can fail, since the
// engine sends nothing, so the background read must detect it.
func TestCallerGoneWhileStreamingIsNoticed(t *testing.T) {
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
	})
	address := startServer(t, Config{}, backend)
	c := dial(t, address)
	_, _ = io.WriteString(c, rawRequest("draft", chatBodyStream))
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	<-backend.gone
}

// A caller retries under its id on a new connection and then closes the old one. The
// answer still has a follower, so CallerGone must not be called.
func TestCallerGoneOnlyAfterItsLastConnectionCloses(t *testing.T) {
	finish := make(chan struct{})
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
		<-finish
		_ = log.Append(engineapi.TokenEvent{Offset: 1, Text: "b", Finish: "stop"})
		log.Close(nil)
	})
	server := NewServer(Config{}, backend)
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Shutdown(t.Context()) }()
	address := ln.Addr().String()
	first := dial(t, address)
	second := dial(t, address)
	request := rawRequest("letter", chatBodyStream, HeaderRequestID, "local-x", "Connection", "close")
	reader := bufio.NewReader(second)
	for _, c := range []net.Conn{first, second} {
		_, _ = io.WriteString(c, request)
	}
	// Both follow the answer once both have received its first bytes.
	_, _ = bufio.NewReader(first).ReadString('\n')
	_, _ = reader.ReadString('\n')
	_ = first.Close()
	// Wait until the gauge shows that the first connection has ended.
	for server.counts.connections.Value() > 1 {
		runtime.Gosched()
	}
	close(finish)
	rest, err := io.ReadAll(reader)
	if err != nil || !strings.Contains(string(rest), "[DONE]") {
		t.Errorf("%q, %v", rest, err)
	}
	<-backend.delivered
	select {
	case id := <-backend.gone:
		t.Errorf("CallerGone was called for %q", id)
	default:
	}
}

// A caller pipelines a second request while the first one waits. The background read
// gets its first byte, which must not be lost.
func TestPipelinedRequestIsServed(t *testing.T) {
	release := make(chan struct{})
	var served atomic.Int32
	backend := newFakeBackend(func(request *Request, log *answers.Log) {
		if served.Add(1) == 1 {
			<-release
		}
		serveTokens(string(rune('a'+len(request.ID))))(request, log)
	})
	address := startServer(t, Config{}, backend)
	c := dial(t, address)
	_, _ = io.WriteString(c, rawRequest("draft", chatBodyWhole, HeaderRequestID, "local-1"))
	<-backend.arrived
	_, _ = io.WriteString(c, rawRequest("draft", chatBodyStream, HeaderRequestID, "local-22"))
	close(release)
	reader := bufio.NewReader(c)
	for _, want := range []string{"local-1", "local-22"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := response.Header.Get(HeaderRequestID); got != want {
			t.Errorf("got the answer to %q, want %q", got, want)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// A connection serves many requests in a row, some of them streamed. The background read
// of one must not consume bytes of the next or leave a read deadline set.
func TestConnectionIsReused(t *testing.T) {
	backend := newFakeBackend(serveTokens("a", "b"))
	address := startServer(t, Config{}, backend)
	c := dial(t, address)
	reader := bufio.NewReader(c)
	for i := range 200 {
		body := chatBodyWhole
		if i%2 == 0 {
			body = chatBodyStream
		}
		_, _ = io.WriteString(c, rawRequest("draft", body))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		<-backend.delivered
	}
}

// A caller reads nothing while a long answer is written, and the socket buffers fill.
// After the stall timeout the connection must be closed, or it would hold memory. The
// caller may still fetch the answer.
func TestCallerThatAcceptsNoBytesIsDisconnected(t *testing.T) {
	text := strings.Repeat("x", 1<<20)
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		for i := range 64 {
			finish := ""
			if i == 63 {
				finish = "stop"
			}
			_ = log.Append(engineapi.TokenEvent{Offset: i, Text: text, Finish: finish})
		}
		log.Close(nil)
	})
	address := startServer(t, Config{WriteStall: 100 * time.Millisecond}, backend)
	c := dial(t, address)
	_, _ = io.WriteString(c, rawRequest("draft", chatBodyStream))
	if id := <-backend.gone; id != "local-1" {
		t.Errorf("gone %q", id)
	}
}

// A caller that sends its request too slowly must be refused with "not run".
func TestSlowSenderIsRefused(t *testing.T) {
	address := startServer(t, Config{ReadTimeout: 50 * time.Millisecond}, newFakeBackend(nil))
	c := dial(t, address)
	request := rawRequest("draft", chatBodyWhole)
	_, _ = io.WriteString(c, request[:len(request)-5])
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, response, http.StatusRequestTimeout, verdict.NotRun, verdict.ReasonBadRequest)
}

// More callers connect than the limit allows. The next one must get a refusal with a
// Retry-After, and earlier ones must still be served.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	backend := newFakeBackend(func(request *Request, log *answers.Log) {
		<-release
		serveTokens("a")(request, log)
	})
	address := startServer(t, Config{Connections: 1}, backend)
	first := dial(t, address)
	_, _ = io.WriteString(first, rawRequest("draft", chatBodyWhole))
	<-backend.arrived
	second := dial(t, address)
	_, _ = io.WriteString(second, rawRequest("draft", chatBodyWhole))
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, response, http.StatusServiceUnavailable, verdict.NotRun, verdict.ReasonOverloaded)
	if response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("%v", response.Header)
	}
	close(release)
	if response, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || response.StatusCode != 200 {
		t.Errorf("%v, %v", response, err)
	}
}

// The time of a shutdown ends while an answer is streamed. The caller must get the
// verdict and see that the answer is truncated.
func TestForcedShutdownSendsTheVerdict(t *testing.T) {
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
	})
	server := NewServer(Config{}, backend)
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	go func() { _ = server.Serve(ln) }()
	response := send(t, "POST", ln.Addr().String(), pathChat, chatBodyStream, HeaderClass, "letter")
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	_ = server.Shutdown(expired)
	events, err := readEvents(response.Body)
	if err == nil || len(events) != 2 || !strings.Contains(events[1].data, string(verdict.ReasonDraining)) {
		t.Errorf("%+v, %v", events, err)
	}
}
