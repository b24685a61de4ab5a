package inbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/membudget"
	"basilrudder/internal/monotime"
)

// testMemory is what requests may hold, in bytes.
const testMemory = 8 << 20

// callerServerWith serves callers under a budget for a process with so many descriptors.
func callerServerWith(t *testing.T, limit int, handler func(c *Conns) http.Handler) (c *Conns, address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c = New(descriptors.Callers, descriptors.New(limit), membudget.New(testMemory), zap.NewNop())
	server := &http.Server{Handler: handler(c), ConnState: c.StateChanged, ConnContext: WithConn}
	go func() { _ = server.Serve(c.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return c, listener.Addr().String()
}

// mustReceive aborts a request whose connection was closed before it was read whole.
func mustReceive(r *http.Request) {
	if !FromContext(r.Context()).Received() {
		panic(http.ErrAbortHandler)
	}
}

// heldByRequests returns the memory that is held beside that of connections.
func (c *Conns) heldByRequests() int64 {
	return c.memory.Used() - connCost*int64(c.budget.Used()[c.kind.String()])
}

// testCaller is a caller's connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, address string) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &testCaller{c, bufio.NewReader(c)}
}

// ask sends a request and returns the status of the answer.
func (c *testCaller) ask() (status int, err error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return 0, err
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against callers that use up the descriptors, and active ones that are closed for idle ones.
func TestTheCallerThatHasBeenIdleForLongestIsClosedFirst(t *testing.T) {
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	})
	var callers []*testCaller
	ask := func(caller *testCaller) {
		t.Helper()
		if _, err := caller.ask(); err != nil {
			t.Fatal(err)
		}
		// The server counts a connection as idle only after it has sent the answer.
		waitFor(t, "idle callers", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.idle.Len() == len(callers)
		})
	}
	for range c.budget.Free(descriptors.Callers) {
		callers = append(callers, dialCaller(t, address))
		ask(callers[len(callers)-1])
	}
	for _, again := range callers[:5] {
		ask(again)
	}
	if status, err := dialCaller(t, address).ask(); status != http.StatusOK {
		t.Fatalf("one more caller: %d, %v", status, err)
	}
	for i, caller := range callers {
		_, err := caller.ask()
		if closed := err != nil; closed != (i == 5) {
			t.Errorf("caller %d: %v", i, err)
		}
	}
	if !c.Full() {
		t.Error("not full")
	}
}

// Guards against callers without an answer while all descriptors are in use, and descriptors that are lost.
func TestCallersWithoutADescriptorAreRefused(t *testing.T) {
	finish := make(chan struct{})
	var begun atomic.Int64
	c, address := callerServerWith(t, 200, func(c *Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if Refuses(r.Context()) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mustReceive(r)
			begun.Add(1)
			<-finish
		})
	})
	free := c.budget.Free(descriptors.Callers)
	var active sync.WaitGroup
	for range free {
		caller := dialCaller(t, address)
		active.Go(func() {
			if status, err := caller.ask(); status != http.StatusOK {
				t.Errorf("%d, %v", status, err)
			}
		})
	}
	waitFor(t, "active callers", func() bool { return begun.Load() == int64(free) })
	for range 3 * refusableConns {
		if status, err := dialCaller(t, address).ask(); status != http.StatusServiceUnavailable {
			t.Fatalf("%d, %v", status, err)
		}
	}
	refusable := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.refusable
	}
	waitFor(t, "refused callers", func() bool { return refusable() == 0 })
	for range refusableConns {
		dialCaller(t, address)
	}
	waitFor(t, "silent callers", func() bool { return refusable() == refusableConns })
	if status, err := dialCaller(t, address).ask(); err == nil {
		t.Errorf("%d for a caller that can't be refused", status)
	}
	close(finish)
	active.Wait()
	if status, err := dialCaller(t, address).ask(); status != http.StatusOK {
		t.Errorf("%d, %v later", status, err)
	}
}

// Guards against requests that began and whose connection is closed for another's.
func TestNoRequestThatBeganLosesItsConnection(t *testing.T) {
	var begun, answered, closed atomic.Int64
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mustReceive(r)
			begun.Add(1)
			_, _ = io.WriteString(w, "ok")
		})
	})
	free := c.budget.Free(descriptors.Callers)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for n := range 200 {
		callers.Go(func() {
			for ctx.Err() == nil {
				raw, err := net.Dial("tcp4", address)
				if err != nil {
					t.Error(err)
					return
				}
				caller := &testCaller{raw, bufio.NewReader(raw)}
				for err == nil && ctx.Err() == nil {
					status := 0
					if status, err = caller.ask(); status == http.StatusOK {
						answered.Add(1)
					} else if err == nil {
						t.Errorf("answer %d", status)
					}
					time.Sleep(time.Duration(n%7) * time.Millisecond)
				}
				if err != nil {
					closed.Add(1)
				}
				_ = raw.Close()
			}
		})
	}
	callers.Wait()
	if begun.Load() != answered.Load() || closed.Load() == 0 {
		t.Errorf("%d requests began, %d were answered, %d connections closed", begun.Load(), answered.Load(), closed.Load())
	}
	waitFor(t, "closed connections", func() bool { return c.budget.Used()[descriptors.Callers.String()] <= 0 })
	if got := c.budget.Free(descriptors.Callers); got != free {
		t.Errorf("%d of %d descriptors are free again", got, free)
	}
}

func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for range 500 {
		if reached() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited too long: %s", what)
}

// Guards against a whole answer that looks broken since its caller sent the next request meanwhile.
func TestAnAnswerEndedByItsConnectionIsNotResetByALaterRequest(t *testing.T) {
	sent := make(chan struct{})
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := ResetOnClose(r.Context(), true); err != nil {
				t.Error(err)
			}
			w.Header().Set("Transfer-Encoding", "identity")
			_ = http.NewResponseController(w).Flush()
			<-sent
			_, _ = io.WriteString(w, "whole")
			_ = http.NewResponseController(w).Flush()
			if err := ResetOnClose(r.Context(), false); err != nil {
				t.Error(err)
			}
		})
	})
	free := c.budget.Free(descriptors.Callers)
	caller := dialCaller(t, address)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, _ = io.WriteString(caller, request)
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(caller, request)
	close(sent)
	if body, err := io.ReadAll(response.Body); string(body) != "whole" || err != nil {
		t.Errorf("%q, %v", body, err)
	}
	_ = caller.Close()
	waitFor(t, "the descriptor", func() bool { return c.budget.Free(descriptors.Callers) == free })
}

// Guards against clients that send slowly and keep others out, and whole requests that are closed for others.
func TestTheOldestIncompleteRequestMakesRoom(t *testing.T) {
	finish := make(chan struct{})
	var begun atomic.Int64
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mustReceive(r)
			if begun.Add(1) == 1 {
				<-finish
			}
		})
	})
	whole := dialCaller(t, address)
	var answered sync.WaitGroup
	answered.Go(func() {
		if status, err := whole.ask(); status != http.StatusOK {
			t.Errorf("%d, %v for the request that was read whole", status, err)
		}
	})
	waitFor(t, "the whole request", func() bool { return begun.Load() == 1 })
	incomplete := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.incomplete.Len()
	}
	free := c.budget.Free(descriptors.Callers)
	stopped := make([]*testCaller, free)
	for n := range stopped {
		stopped[n] = dialCaller(t, address)
		_, _ = io.WriteString(stopped[n], "GET / HT")
		waitFor(t, "the head", func() bool { return incomplete() == n+1 })
	}
	time.Sleep(incompleteGrace)
	if status, err := dialCaller(t, address).ask(); status != http.StatusOK {
		t.Errorf("%d, %v for one more", status, err)
	}
	close(finish)
	answered.Wait()
	_ = stopped[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := stopped[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest is still open: %v", err)
	}
	if n := c.closedIncomplete.Load(); n != 1 || incomplete() != free-1 {
		t.Errorf("%d were closed, %d are left of %d", n, incomplete(), free)
	}
}

// Guards against requests that never end and hold the memory of others, and memory that is lost.
func TestTheOldestIncompleteRequestGivesUpItsMemory(t *testing.T) {
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := FromContext(r.Context())
			conn.Handle()
			held := conn.Hold(testMemory / 2)
			defer conn.Release(testMemory / 2)
			if _, err := io.ReadAll(r.Body); held && err == nil && conn.Received() {
				return
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	})
	const unfinished = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx"
	for range 3 {
		oldest := dialCaller(t, address)
		_, _ = io.WriteString(oldest, unfinished)
		waitFor(t, "the held memory", func() bool { return c.heldByRequests() >= testMemory/2 })
		if status, err := dialCaller(t, address).ask(); status != http.StatusOK {
			t.Errorf("%d, %v for the younger one", status, err)
		}
		_ = oldest.SetReadDeadline(time.Now().Add(5 * time.Second))
		if response, err := http.ReadResponse(oldest.reader, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%v, %v for the oldest", response, err)
		}
		waitFor(t, "free memory", func() bool { return c.heldByRequests() == 0 })
	}
}

// Guards against heads of many short fields that count as their bytes, and heads that are waited for too long.
func TestHeadsCountWhatTheyTakeUntilTheyAreTooSlow(t *testing.T) {
	const fields = 500
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler { return http.NotFoundHandler() })
	slow := dialCaller(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", fields))
	waitFor(t, "the head", func() bool { return c.heldByRequests() >= fields*headFieldCost })
	c.CloseSlow(time.Hour)
	if status, err := dialCaller(t, address).ask(); status != http.StatusNotFound {
		t.Errorf("%d, %v for another", status, err)
	}
	c.CloseSlow(time.Nanosecond)
	if _, err := slow.Read(make([]byte, 1)); err == nil {
		t.Error("the slow one is still open")
	}
	waitFor(t, "free memory", func() bool { return c.heldByRequests() == 0 })
}

// Guards against clients that ask and don't read, and keep connections and memory for as long as they like.
func TestTheClientThatReadsLeastMakesRoom(t *testing.T) {
	c, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := FromContext(r.Context())
			if conn.Handle(); !conn.Received() || r.URL.Path != "/large" {
				return
			}
			if !conn.Hold(testMemory / 2) {
				t.Error("no memory for the large answer")
			}
			_, _ = w.Write(make([]byte, 32<<20)) // fails when the connection is closed
		})
	})
	unread := dialCaller(t, address)
	_ = unread.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(unread, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the answer", func() bool { return c.heldByRequests() >= testMemory/2 })
	makeRoom := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.makeRoom()
	}
	if makeRoom() {
		t.Error("closed at once")
	}
	waitFor(t, "the stalled client", makeRoom)
	waitFor(t, "free memory", func() bool { return c.memory.Used() == 0 && c.budget.Used()[c.kind.String()] == 0 })
	if status, err := dialCaller(t, address).ask(); status != http.StatusOK {
		t.Errorf("%d, %v for another", status, err)
	}
}

// Guards against clients that send without waiting for answers, and clients that wait and are taken for such.
func TestAClientThatDoesNotWaitForAnswersIsClosed(t *testing.T) {
	var answered atomic.Int64
	_, address := callerServerWith(t, 200, func(*Conns) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mustReceive(r)
			answered.Add(1)
			if FromContext(r.Context()).Ahead() {
				w.Header().Set("Connection", "close")
			}
		})
	})
	ahead := dialCaller(t, address)
	_, _ = io.WriteString(ahead, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	_ = ahead.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, ahead); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open")
	}
	if n := answered.Load(); n != maxAhead+1 {
		t.Errorf("%d requests were answered", n)
	}
	waits := dialCaller(t, address)
	for range 10 * maxAhead {
		if status, err := waits.ask(); status != http.StatusOK {
			t.Fatalf("%d, %v for a client that waits", status, err)
		}
	}
}

// Guards against links and tunnels that are counted twice, or closed for others.
func TestADetachedConnectionIsCountedElsewhere(t *testing.T) {
	c := New(descriptors.Control, descriptors.New(200), membudget.New(testMemory), zap.NewNop())
	near, far := net.Pipe()
	go func() { _, _ = io.WriteString(near, "GET / HTTP/1.1\r\n\r\n") }()
	conn := c.admit(far)
	if _, err := conn.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if !Detach(conn) || c.memory.Used() != 0 || c.budget.Used()[c.kind.String()] != 0 {
		t.Errorf("%d bytes and %v are held", c.memory.Used(), c.budget.Used())
	}
	c.mu.Lock()
	if c.closeStalled(monotime.Now(), 0) || c.makeRoom() {
		t.Error("closed for others")
	}
	c.mu.Unlock()
	_, _ = conn.Close(), near.Close()
	if c.memory.Used() != 0 || c.budget.Used()[c.kind.String()] != 0 {
		t.Errorf("%d bytes and %v are held after the end", c.memory.Used(), c.budget.Used())
	}
}
