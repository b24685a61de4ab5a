package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/placement"
	"basilrudder/internal/standin/faultnet"
)

// maxReadOfEndless is how many bytes of an answer without end may be read that is not
// passed on: a 64th of the memory of the smallest instance, in bytes.
const maxReadOfEndless = 184 << 20 / 64

// sendingWithoutEnd answers with head, and then unit until its connection is closed. It adds
// the bytes that were read of the units to sent.
func sendingWithoutEnd(sent *atomic.Int64, head, unit string) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		faultnet.SendWithoutEnd(c, head, unit, sent)
		_, _ = in.ReadByte()
	}
}

const (
	refusalHead = "HTTP/1.1 503 Full\r\nX-Id: r\r\nX-Not-Run: 1\r\n"
	strayHead   = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: first\r\n"
)

// answersWithoutEnd are answers of which nothing is passed on. The server has refused the
// request in some of them; some are malformed from their first bytes on.
var answersWithoutEnd = []struct {
	name, head, unit   string
	refused, malformed bool
}{
	{"bytes in place of a head", "", "x", false, false},
	{"status line", "HTTP/1.1 200 ", "O", false, false},
	{"header line", "HTTP/1.1 200 OK\r\nX-Seal: ", "s", false, false},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: v\r\n", false, false},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false, true},
	{"header lines of an interim answer", "HTTP/1.1 103 Early Hints\r\n", "X-More: v\r\n", false, false},
	{"body of another request's answer", strayHead + "\r\n", "x", false, false},
	{"chunks of another request's answer", strayHead + "Transfer-Encoding: chunked\r\n\r\n", chunk("xxxxxxxx"), false, false},
	{"size of a chunk", streamHead, "0", false, true},
	{"trailers", streamHead + "0\r\n", "X-More: v\r\n", false, true},
	{"body of a refusal", refusalHead + "\r\n", "x", true, false},
	{"chunks of a refusal", refusalHead + "Transfer-Encoding: chunked\r\n\r\n", chunk("xxxxxxxx"), true, false},
}

// Guards against answers without end that use up an instance's memory or all the time of a request.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	for _, c := range answersWithoutEnd {
		for _, path := range []string{"/again/", "/once/", "/stream/", "/resumable/"} {
			t.Run(c.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var sent atomic.Int64
					body := "{}"
					if path == "/stream/" || path == "/resumable/" {
						body = events(1, 2)
					}
					b := newRig(t, allRoutes, map[string][]script{
						"s1": {sendingWithoutEnd(&sent, c.head, c.unit)},
						"s2": {replying(answer("r", http.StatusOK, "", body))},
					}, "s1", "s2")
					begun := time.Now()
					rec, _ := b.serve(request("POST", path, "r", "x"))
					took := time.Since(begun)
					b.close()
					want := http.StatusBadGateway
					if c.refused || path == "/again/" || path == "/resumable/" {
						want = http.StatusOK
					}
					if path == "/stream/" && c.refused {
						want = http.StatusServiceUnavailable // its route allows one attempt
					}
					if rec.Code != want || took != 0 || sent.Load() > maxReadOfEndless {
						t.Errorf("status %d after %v, want %d at once; %d bytes were read", rec.Code, took, want, sent.Load())
					}
					if !slices.Contains(b.fleet.outcomes, "s1 "+fmt.Sprint(outcomeOf(c.refused))) {
						t.Errorf("outcomes %v", b.fleet.outcomes)
					}
					if !c.malformed && len(b.fleet.crashed)+len(b.fleet.brokeOff) != 0 {
						t.Errorf("suspected of a crash: %v, %v", b.fleet.crashed, b.fleet.brokeOff)
					}
				})
			})
		}
	}
}

func outcomeOf(refused bool) placement.Outcome {
	if refused {
		return placement.Refused
	}
	return placement.Failed
}

// Guards against events without end that are passed on until the deadline.
func TestAnEventWithoutEndBreaksTheStreamOff(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/"} {
		for name, head := range map[string]string{"chunks": streamHead, "close": closeStreamHead} {
			for _, before := range []string{"", events(1, 2)} {
				t.Run(fmt.Sprint(name, path, len(before)), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var sent atomic.Int64
						first, unit := before+"data: ", strings.Repeat("x", 1<<10)
						if name == "chunks" {
							first, unit = chunk(first), chunk(unit)
						}
						b := newRig(t, allRoutes, map[string][]script{"s1": {sendingWithoutEnd(&sent, head+first, unit)}}, "s1")
						begun := time.Now()
						_, aborted := b.serve(request("POST", path, "r", "x"))
						took := time.Since(begun)
						b.close()
						if !aborted || took != 0 || sent.Load() > maxReadOfEndless {
							t.Errorf("aborted %v after %v, want at once; %d bytes were read", aborted, took, sent.Load())
						}
					})
				})
			}
		}
	}
}

// stalledWriter is an answer to a caller that stops reading.
type stalledWriter struct {
	http.ResponseWriter
	released <-chan struct{}
}

func (w stalledWriter) Write([]byte) (int, error) {
	<-w.released
	return 0, io.ErrClosedPipe
}

// Guards against a body without end that is read faster than its caller takes it.
func TestABodyWithoutEndIsReadAsItsCallerTakesIt(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int64
				b := newRig(t, allRoutes, map[string][]script{"s1": {sendingWithoutEnd(&sent, closeStreamHead, "data: x\n\n")}}, "s1")
				gone := make(chan struct{})
				w := stalledWriter{httptest.NewRecorder(), gone}
				b.running.Go(func() {
					defer func() { _ = recover() }()
					b.relay.ServeHTTP(w, request("POST", path, "r", "x"))
				})
				synctest.Wait()
				if sent.Load() > maxReadOfEndless {
					t.Errorf("%d bytes were read", sent.Load())
				}
				close(gone)
				b.close()
			})
		})
	}
}

// Guards against a body without end that holds its request beyond the deadline.
func TestABodyWithoutEndEndsWithTheDeadline(t *testing.T) {
	for name, head := range map[string]string{"chunks": streamHead, "close": closeStreamHead} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				unit := events(1, 1)
				if name == "chunks" {
					unit = chunk(unit)
				}
				b := newRig(t, allRoutes, map[string][]script{"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
					readRequest(t, in)
					for _, err := io.WriteString(c, head); err == nil; _, err = io.WriteString(c, unit) {
						time.Sleep(time.Millisecond)
					}
				}}}, "s1")
				begun := time.Now()
				_, aborted := b.serve(request("POST", "/stream/", "r", "x"))
				took := time.Since(begun)
				b.close()
				if !aborted || took > stream.Timeout {
					t.Errorf("aborted %v after %v, the deadline is %v", aborted, took, stream.Timeout)
				}
			})
		})
	}
}
