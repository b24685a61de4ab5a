package callers

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/answers"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// relayTo returns a backend for which all ids are bound to the instance at address.
func relayTo(address string) *fakeBackend {
	backend := newFakeBackend(func(*Request, *answers.Log) { panic("ran at the wrong instance") })
	backend.home = func(string) (string, bool, *verdict.Error) { return address, false, nil }
	return backend
}

// An instance that receives a request bound to another one must relay it and stream the
// answer back instead of starting the request itself.
func TestRequestIsRelayedToItsHome(t *testing.T) {
	home := newFakeBackend(serveTokens("a", "b"))
	address := startServer(t, Config{}, relayTo(startServer(t, Config{}, home)))
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "letter", HeaderRequestID, "local-1")
	events, err := readEvents(response.Body)
	if err != nil || len(events) != 3 || events[2].data != "[DONE]" {
		t.Errorf("%+v, %v", events, err)
	}
	if response.Header.Get(HeaderRequestID) != "local-1" || response.Header.Get(HeaderVerdict) != verdict.TextRan {
		t.Errorf("%v", response.Header)
	}
	whole := send(t, "GET", address, "/v1/requests/local-1/answer", "")
	if text := readAll(t, whole); !strings.Contains(text, `"content":"ab"`) {
		t.Error(text)
	}
	other := send(t, "GET", address, "/v1/requests/local-1/answer", "", "Authorization", "Bearer "+otherCredential)
	wantRefusal(t, other, http.StatusNotFound, verdict.MayHaveRun, verdict.ReasonUnknownRequest)
}

func TestServiceCallIsRelayedUnchanged(t *testing.T) {
	home := newFakeBackend(func(request *Request, log *answers.Log) {
		_ = log.SetService(answers.ServiceAnswer{Status: 201, Body: []byte(request.Service.Path + string(request.Body))})
		log.Close(nil)
	})
	address := startServer(t, Config{}, relayTo(startServer(t, Config{}, home)))
	response := send(t, "POST", address, "/v1/services/registry/a%2F../b?q=1", "body",
		HeaderClass, "lookup", HeaderRequestID, "local-1")
	if text := readAll(t, response); response.StatusCode != 201 || text != "/a%2F../b?q=1body" {
		t.Errorf("%d %q", response.StatusCode, text)
	}
}

// Two instances each take the other for the home of an id. The second one must end the
// loop. Its verdict is not "not run", since the id may have run elsewhere.
func TestRelayLoopEnds(t *testing.T) {
	var second *fakeBackend
	firstBackend := relayTo("")
	first := startServer(t, Config{}, firstBackend)
	second = relayTo(first)
	address := startServer(t, Config{}, second)
	firstBackend.home = func(string) (string, bool, *verdict.Error) { return address, false, nil }
	response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "letter", HeaderRequestID, "local-1")
	wantRefusal(t, response, http.StatusServiceUnavailable, verdict.MayHaveRun, verdict.ReasonHomeUnreachable)
}

// The home of the id is unreachable. Only it has a record of whether the id ran, so the
// verdict is "may have run" although this attempt started nothing.
func TestUnreachableHome(t *testing.T) {
	address := startServer(t, Config{}, relayTo("127.0.0.1:1"))
	response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "letter", HeaderRequestID, "local-1")
	refusal := wantRefusal(t, response, http.StatusServiceUnavailable, verdict.MayHaveRun, verdict.ReasonHomeUnreachable)
	if refusal.RetryAfterMS == 0 {
		t.Error("no retry_after_ms")
	}
}

func TestHomeGone(t *testing.T) {
	backend := relayTo("")
	backend.home = func(string) (string, bool, *verdict.Error) {
		return "", false, verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone, "gone")
	}
	address := startServer(t, Config{}, backend)
	response := send(t, "GET", address, "/v1/requests/local-1", "")
	wantRefusal(t, response, http.StatusGone, verdict.MayHaveRun, verdict.ReasonHomeGone)
}

// The home's host fails without closing its connections while a relayed request waits.
// Once the fleet detects it, the caller must be refused instead of waiting until TCP
// times out.
func TestHomeGoneWhileARequestWaits(t *testing.T) {
	waiting := make(chan struct{})
	home := newFakeBackend(func(*Request, *answers.Log) { close(waiting) })
	homeAddress := startServer(t, Config{}, home)
	backend := relayTo("")
	var gone atomic.Bool
	backend.home = func(string) (string, bool, *verdict.Error) {
		if gone.Load() {
			return "", false, verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone, "gone")
		}
		return homeAddress, false, nil
	}
	address := startServer(t, Config{HomeCheckInterval: time.Millisecond}, backend)
	go func() {
		<-waiting
		gone.Store(true)
	}()
	response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "letter", HeaderRequestID, "local-1")
	wantRefusal(t, response, http.StatusGone, verdict.MayHaveRun, verdict.ReasonHomeGone)
}

// The home is paused while a relayed request waits: its connections stay open and send
// nothing. It may resume and finish the answer, so the caller must be refused with a
// retry under the same id, and not with the loss of the answer.
func TestUnresponsiveHomeWhileARequestWaits(t *testing.T) {
	waiting := make(chan struct{})
	home := newFakeBackend(func(*Request, *answers.Log) { close(waiting) })
	homeAddress := startServer(t, Config{}, home)
	backend := relayTo("")
	var unresponsive atomic.Bool
	backend.home = func(string) (string, bool, *verdict.Error) {
		if unresponsive.Load() {
			return "", false, verdict.New(verdict.MayHaveRun, verdict.ReasonHomeUnreachable, "silent").After(time.Second)
		}
		return homeAddress, false, nil
	}
	address := startServer(t, Config{HomeCheckInterval: time.Millisecond}, backend)
	go func() {
		<-waiting
		unresponsive.Store(true)
	}()
	response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "letter", HeaderRequestID, "local-1")
	refusal := wantRefusal(t, response, http.StatusServiceUnavailable, verdict.MayHaveRun, verdict.ReasonHomeUnreachable)
	if refusal.RetryAfterMS != 1000 {
		t.Errorf("retry after %d ms, want 1000", refusal.RetryAfterMS)
	}
}

// The caller of a relayed request disconnects. The home must detect it, since the
// request runs there.
func TestCallerGoneReachesTheHome(t *testing.T) {
	home := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
	})
	address := startServer(t, Config{}, relayTo(startServer(t, Config{}, home)))
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "letter", HeaderRequestID, "local-1")
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	<-home.gone
}

// An answer fails in the middle of a relayed stream. The caller must see the truncation
// as it would at the home.
func TestTruncationIsRelayed(t *testing.T) {
	home := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
		log.Close(verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "engine lost"))
	})
	address := startServer(t, Config{}, relayTo(startServer(t, Config{}, home)))
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "letter", HeaderRequestID, "local-1")
	events, err := readEvents(response.Body)
	if err == nil || len(events) != 2 || events[1].name != "error" {
		t.Errorf("%+v, %v", events, err)
	}
}

// Guards against a body that is held twice while it is sent to its home, though it counts once.
func TestARelayedBodyIsNotCopied(t *testing.T) {
	const size = 1 << 20
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI(pathChat)
	ctx.Request.Header.SetHost("s")
	ctx.Request.SetBodyRaw(make([]byte, size))
	home, far := net.Pipe()
	received := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, far)
		received <- n
	}()
	relayed := relayedRequest{homeConn: home}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := relayed.send(&ctx); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	_ = home.Close()
	if n := <-received; n < size {
		t.Errorf("%d bytes were sent, less than %d", n, size)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > size/2 {
		t.Errorf("%d bytes allocated to send %d", allocated, size)
	}
}
