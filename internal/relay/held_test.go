package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/membudget"
)

// Guards against an instance that runs out of memory because bodies on their way don't count as held.
func TestBodiesOnTheirWayCountAsHeld(t *testing.T) {
	for _, declared := range []bool{true, false} {
		t.Run(fmt.Sprint("declared ", declared), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 1 << 20
				memory := membudget.New(16 * size)
				b := newRig(t, allRoutes, map[string][]script{"s1": {replying(answer("r", http.StatusOK, "", "{}"))}}, "s1")
				slow := func() (*http.Request, *io.PipeWriter) {
					reader, writer := io.Pipe()
					req := request("POST", "/once/", "r", "")
					req.Body, req.ContentLength = reader, -1
					if declared {
						req.ContentLength = size
					}
					return req, writer
				}
				b.relay.cfg.Intake = newBudgetIntake(memory)
				var writers []*io.PipeWriter
				for range 13 { // of 16: two are for small ones, and a body that grows needs half more
					req, writer := slow()
					writers = append(writers, writer)
					b.running.Go(func() { b.serve(req) })
					_, _ = writer.Write(make([]byte, size-1))
				}
				synctest.Wait()
				one := request("POST", "/once/", "r", strings.Repeat("x", size))
				if rec, _ := b.serve(one); rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
					t.Errorf("one more body: status %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
				}
				for _, writer := range writers {
					_ = writer.CloseWithError(io.ErrUnexpectedEOF)
				}
				synctest.Wait()
				if held := memory.Used(); held != 0 {
					t.Errorf("%d bytes count as held", held)
				}
				if rec, _ := b.serve(request("POST", "/once/", "r", "x")); rec.Code != http.StatusOK {
					t.Errorf("status %d after the bodies are gone", rec.Code)
				}
				b.close()
			})
		})
	}
}

// Guards against small requests that are refused because a few large bodies fill the memory.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	memory := membudget.New(48 << 20)
	large, small := 0, 0
	for memory.Take(4<<20, 0) {
		large++
	}
	for memory.Take(membudget.Small, 0) {
		small++
	}
	if large < 8 {
		t.Errorf("only %d large bodies are held", large)
	}
	if small < int(memory.Limit())/8/membudget.Small {
		t.Errorf("only %d small bodies beside them", small)
	}
	if memory.Used() > memory.Limit() {
		t.Errorf("%d bytes are held", memory.Used())
	}
}

// Guards against callers whose connection is reset while they send a body that was refused,
// so that they never read the refusal.
func TestACallerWhoStillSendsReadsTheRefusal(t *testing.T) {
	front := httptest.NewServer(New(Config{Fleet: &fakeFleet{}, Protocol: plainProtocol{}}))
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := range 2 {
		const chunks, size = 8, 512 << 10
		_, err = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: x\r\nX-Id: r\r\nContent-Length: %d\r\n\r\n", chunks*size)
		for range chunks {
			if _, err = c.Write(make([]byte, size)); err != nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if err != nil {
			t.Fatalf("request %d: %v while sending", n, err)
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		if _, _ = io.Copy(io.Discard, answer.Body); answer.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: status %d", n, answer.StatusCode)
		}
	}
}
