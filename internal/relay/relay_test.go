package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
)

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got *http.Request
		var body string
		b := newRig(t, allRoutes, map[string][]script{"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
			got, body = readRequest(t, in)
			_, _ = io.WriteString(c, answer("r1", 201, "X-Other: kept\r\nKeep-Alive: timeout=5\r\n", "hello"))
			_, _ = in.ReadByte()
		}}}, "s1")
		req := request("POST", "/once/a%2Fb?q=1", "r1", "body")
		req.Header.Set("Connection", "X-Drop")
		req.Header.Set("X-Drop", "1")
		rec, aborted := b.serve(req)
		b.close()
		if aborted || rec.Code != 201 || rec.Body.String() != "hello" || rec.Header().Get("X-Other") != "kept" || rec.Header().Get("X-Seal") != "s" {
			t.Errorf("aborted %v, %d %q %v", aborted, rec.Code, rec.Body, rec.Header())
		}
		if rec.Header().Get("Keep-Alive") != "" {
			t.Error("a hop-by-hop header reached the caller")
		}
		if got.RequestURI != "/once/a%2Fb?q=1" || body != "body" || got.Host != "h.example" {
			t.Errorf("server got %s %q for %s", got.RequestURI, body, got.Host)
		}
		want := map[string]string{"X-Server": string(nameOf("s1")), "X-Customer": "acme", "X-Key": "", "X-Drop": "", "X-Id": "r1"}
		for name, value := range want {
			if got.Header.Get(name) != value {
				t.Errorf("%s: %q, want %q", name, got.Header.Get(name), value)
			}
		}
	})
}

// A caller gets a final answer for each kind of server failure. The request reaches a
// second server only if it may run twice or has certainly not run. A 503 states that it
// has not run, so it must not follow a failure after which that is uncertain.
func TestTheFinalAnswerForEachServerFailure(t *testing.T) {
	notRun := answer("r", 503, "X-Not-Run: 1\r\n", "")
	good := answer("r", 200, "", "ok")
	for _, c := range []struct {
		name        string
		path        string
		first       script
		status      int
		secondAsked bool
	}{
		{"closed, at most once", "/once/", replying(""), 502, false},
		{"closed, idempotent", "/again/", replying(""), 200, true},
		{"refused, at most once", "/once/", replying(notRun), 200, true},
		{"503 without a promise", "/once/", replying(answer("r", 503, "", "")), 502, false},
		{"unsigned success", "/once/", replying("HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nok"), 502, false},
		{"no id", "/once/", replying("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"), 502, false},
		{"not HTTP", "/once/", replying("garbage\r\n\r\n"), 502, false},
		{"cut answer, at most once", "/once/", replying("HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nok", ""), 502, false},
		{"encoded", "/once/", replying(answer("r", 200, "Content-Encoding: gzip\r\n", "ok")), 502, false},
		{"own failure, at most once", "/once/", replying(answer("r", 500, "", "no")), 500, false},
		{"own failure, idempotent", "/again/", replying(answer("r", 500, "", "no")), 200, true},
		{"silent, at most once", "/once/", unresponsive, 504, false},
		{"silent, idempotent", "/again/", unresponsive, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := func(t *testing.T, conn net.Conn, in *bufio.Reader) {
					if strings.HasPrefix(c.name, "cut") {
						readRequest(t, in)
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nok")
						return
					}
					c.first(t, conn, in)
				}
				b := newRig(t, allRoutes, map[string][]script{"s1": {first}, "s2": {replying(good)}}, "s1", "s2")
				rec, _ := b.serve(request("POST", c.path, "r", "x"))
				b.close()
				if rec.Code != c.status {
					t.Errorf("status %d, want %d", rec.Code, c.status)
				}
				if asked := b.dials["s2"] > 0; asked != c.secondAsked {
					t.Errorf("second server asked: %v, want %v", asked, c.secondAsked)
				}
				if len(b.fleet.begun) != b.fleet.ended {
					t.Errorf("%d runs begun, %d ended", len(b.fleet.begun), b.fleet.ended)
				}
			})
		})
	}
}

// All servers report that they did not run the request. The caller gets the same, with a
// Retry-After time, as soon as the allowed attempts are used up.
func TestARefusalCarriesRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := replying(answer("r", 503, "X-Not-Run: 1\r\nRetry-After: 0.4\r\n", ""))
		b := newRig(t, allRoutes, map[string][]script{"s1": {full}, "s2": {full}, "s3": {full}}, "s1", "s2", "s3")
		rec, _ := b.serve(request("POST", "/once/", "r", "x"))
		b.close()
		if rec.Code != 503 || rec.Header().Get("Retry-After") != "0.4" || b.dials["s3"] != 0 {
			t.Errorf("%d, Retry-After %q, third server dialled %d times", rec.Code, rec.Header().Get("Retry-After"), b.dials["s3"])
		}
	})
}

// Servers report their state in answers of every kind: one that is passed on, a refusal,
// a failure. The instance applies each. A refusal by another incarnation that now holds
// the address does not concern the intended server.
func TestServerNoticesAreApplied(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         []string
	}{
		{"an answer", answer("r", 200, "X-Leaving: 1\r\n", "x"), []string{"s1 {Leaving:true Limited:false Rate:0 Pause:0s Brittle:false MaxRefusals:0 Refused:false}"}},
		{"a refusal", answer("r", 503, "X-Not-Run: 1\r\nRetry-After: 2.5\r\n", ""), []string{"s1 {Leaving:false Limited:false Rate:0 Pause:2.5s Brittle:false MaxRefusals:0 Refused:true}"}},
		{"a refusal without a promise", answer("r", 503, "X-Leaving: 1\r\nRetry-After: 2\r\n", ""), []string{"s1 {Leaving:true Limited:false Rate:0 Pause:2s Brittle:false MaxRefusals:0 Refused:false}"}},
		{"a failure", answer("r", 500, "X-Leaving: 1\r\nRetry-After: 3\r\n", ""), []string{"s1 {Leaving:true Limited:false Rate:0 Pause:0s Brittle:false MaxRefusals:0 Refused:false}"}},
		{"another incarnation", answer("r", 421, "X-Not-Run: 1\r\nX-Leaving: 1\r\n", ""), nil},
		{"no time that can be read", answer("r", 503, "X-Not-Run: 1\r\nRetry-After: NaN\r\n", ""), []string{"s1 {Leaving:false Limited:false Rate:0 Pause:0s Brittle:false MaxRefusals:0 Refused:true}"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRig(t, allRoutes, map[string][]script{"s1": {replying(c.answer)}}, "s1")
				b.serve(request("POST", "/once/", "r", "x"))
				b.close()
				if diff := cmp.Diff(c.want, b.fleet.notices); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestServersThatCannotBeReachedArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s3": {replying(answer("r", 200, "", "ok"))}}, "s1", "s2", "s3")
		rec, _ := b.serve(request("POST", "/once/", "r", "x"))
		b.close()
		if rec.Code != 200 {
			t.Errorf("status %d", rec.Code)
		}
		if diff := cmp.Diff([]string{"s1 2", "s2 2", "s3 0"}, b.fleet.outcomes); diff != "" {
			t.Error(diff)
		}
	})
}

func TestASecondSendNeedsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying("")}, "s2": {replying(answer("r", 200, "", "ok"))}}, "s1", "s2")
		b.fleet.noBudget = true
		rec, _ := b.serve(request("GET", "/again/", "r", ""))
		b.close()
		if rec.Code != 502 || b.dials["s2"] != 0 {
			t.Errorf("status %d, second server asked %d times", rec.Code, b.dials["s2"])
		}
	})
}

// A server answers an earlier request a second time, just before its next answer. The
// caller must get the answer to its own request.
func TestALateDuplicateAnswerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying(
			answer("r1", 200, "", "one"),
			answer("r1", 200, "", "one")+answer("r2", 200, "", "two"),
		)}}, "s1")
		first, _ := b.serve(request("POST", "/once/", "r1", "x"))
		second, _ := b.serve(request("POST", "/once/", "r2", "x"))
		b.close()
		if first.Body.String() != "one" || second.Body.String() != "two" || b.dials["s1"] != 1 {
			t.Errorf("%q, %q over %d connections", first.Body, second.Body, b.dials["s1"])
		}
	})
}

// A server sends bytes after its answer, before the next request. They belong to no
// request, so the connection must not be reused.
func TestAConnectionWithBytesLeftIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {
			replying(answer("r1", 200, "", "one") + "HTTP/1.1 200 OK\r\n\r\n"),
			replying(answer("r2", 200, "", "two")),
		}}, "s1")
		_, _ = b.serve(request("POST", "/once/", "r1", "x"))
		second, _ := b.serve(request("POST", "/once/", "r2", "x"))
		b.close()
		if second.Body.String() != "two" || b.dials["s1"] != 2 {
			t.Errorf("%q over %d connections", second.Body, b.dials["s1"])
		}
	})
}

// A server answers before it has read a long body and keeps the connection. The rest of
// the body must follow, or the server would read the next request as that rest.
func TestTheRestOfALongBodyFollowsAnEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := strings.Repeat("x", 200<<10)
		b := newRig(t, allRoutes, map[string][]script{"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
			req, err := http.ReadRequest(in)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, answer("r1", 400, "", "early"))
			rest, err := io.ReadAll(req.Body)
			if err != nil || len(rest) != len(long) {
				t.Errorf("%d bytes of the body, %v", len(rest), err)
			}
			readRequest(t, in)
			_, _ = io.WriteString(c, answer("r2", 200, "", "two"))
			_, _ = in.ReadByte()
		}}}, "s1")
		first, _ := b.serve(request("POST", "/once/", "r1", long))
		second, _ := b.serve(request("POST", "/once/", "r2", "x"))
		b.close()
		if first.Code != 400 || second.Body.String() != "two" || b.dials["s1"] != 1 {
			t.Errorf("%d, %q over %d connections", first.Code, second.Body, b.dials["s1"])
		}
	})
}

func TestACallerThatLeavesFreesItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Time, 1)
		b := newRig(t, allRoutes, map[string][]script{"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
			readRequest(t, in)
			_, _ = in.ReadByte()
			closed <- time.Now()
		}}}, "s1")
		ctx, cancel := context.WithCancel(t.Context())
		left := time.Now().Add(100 * time.Millisecond)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, _ = b.serve(request("POST", "/stream/", "r", "x").WithContext(ctx))
		b.close()
		if at := <-closed; at.After(left) {
			t.Errorf("the server's connection was closed %v after the caller left", at.Sub(left))
		}
		if len(b.fleet.outcomes) != 0 {
			t.Errorf("outcomes were recorded for the server: %v", b.fleet.outcomes)
		}
	})
}

// A server never answers. The deadlines of its connection and of the request pass at the
// same instant, and their timers fire in either order. The caller must get a 504 each
// time, at the timeout of the route.
func TestTheFinalAnswerComesByTheRoutesTimeout(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {unresponsive}}, "s1")
			began := time.Now()
			rec, _ := b.serve(request("POST", "/once/", "r", "x"))
			b.close()
			if took := time.Since(began); rec.Code != 504 || took != once.Timeout {
				t.Errorf("%d after %v", rec.Code, took)
			}
		})
	}
}

// A route or key missing from the table in force may be new. An instance that can't
// confirm its table must answer with a Retry-After; callers would never retry after a 404
// or 401.
func TestUnknownRoutesAndKeysAreRefusedForGoodOnlyWhenConfirmed(t *testing.T) {
	for _, c := range []struct {
		path, key string
		confirmed bool
		want      int
	}{
		{"/nowhere/", "key", true, 404},
		{"/nowhere/", "key", false, 503},
		{"/once/", "wrong", true, 401},
		{"/once/", "wrong", false, 503},
	} {
		b := newRig(t, allRoutes, nil)
		b.fleet.confirmed = c.confirmed
		req := request("GET", c.path, "r", "")
		req.Header.Set("X-Key", c.key)
		if rec, _ := b.serve(req); rec.Code != c.want {
			t.Errorf("%s with key %q, confirmed %v: %d, want %d", c.path, c.key, c.confirmed, rec.Code, c.want)
		}
	}
}

func TestWithoutAConfigurationRequestsAreRetryable(t *testing.T) {
	b := newRig(t, allRoutes, nil)
	b.fleet.table = nil
	rec, _ := b.serve(request("GET", "/once/", "r", ""))
	if rec.Code != 503 || rec.Header().Get("Retry-After") == "" {
		t.Errorf("%d %v", rec.Code, rec.Header())
	}
}

// The process is draining and will be killed, but callers still send on open connections.
// Requests that can end in time are served with Connection: close; a stream that would be
// cut off is refused at once.
func TestADrainServesShortRequestsAndRefusesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying(answer("a", 200, "", "ok"))}}, "s1")
		b.relay.Drain()
		time.Sleep(drainStreamWindow + time.Millisecond)
		served, _ := b.serve(request("POST", "/once/", "a", "x"))
		refused, _ := b.serve(request("POST", "/stream/", "b", "x"))
		b.close()
		if served.Code != 200 || served.Header().Get("Connection") != "close" {
			t.Errorf("short request: %d %v", served.Code, served.Header())
		}
		if refused.Code != 503 || refused.Header().Get("Retry-After") != "0.02" {
			t.Errorf("stream: %d %v", refused.Code, refused.Header())
		}
	})
}

// lateBody is a body whose only byte comes after a time.
type lateBody struct{ after time.Duration }

func (b *lateBody) Read(p []byte) (int, error) {
	time.Sleep(b.after)
	return copy(p, "x"), io.EOF
}

// Guards against a request that is passed on late in a drain, since its head came early or a server refused it.
func TestADrainRefusesWhatItCouldNotEnd(t *testing.T) {
	refusing := replying(answer("r", 503, "X-Not-Run: 1\r\n", ""))
	for _, c := range []struct {
		name, path string
		body       time.Duration // after which it comes
		drain      time.Duration // when the drain begins
		dials      int
		status     int
	}{
		{"a stream whose body is late", "/stream/", drainStreamWindow + 2, 1, 0, 503},
		{"a stream whose body is late, no drain", "/stream/", drainStreamWindow + 2, time.Minute, 1, 503},
		{"a stream that a server refuses late", "/resumable/", drainStreamWindow - 1, 1, 1, 503},
		{"a short request whose body is late", "/once/", 500 * time.Millisecond, 1, 2, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := func(t *testing.T, conn net.Conn, in *bufio.Reader) {
					time.Sleep(time.Millisecond)
					refusing(t, conn, in)
				}
				b := newRig(t, allRoutes, map[string][]script{"s1": {slow}, "s2": {refusing}}, "s1", "s2")
				drain := time.AfterFunc(c.drain, b.relay.Drain)
				defer drain.Stop()
				req := request("POST", c.path, "r", "")
				req.Body, req.ContentLength = io.NopCloser(&lateBody{c.body}), 1
				rec, _ := b.serve(req)
				b.close()
				if dials := b.dials["s1"] + b.dials["s2"]; rec.Code != c.status || dials != c.dials || rec.Header().Get("Retry-After") == "" {
					t.Errorf("%d after %d sends, Retry-After %q", rec.Code, dials, rec.Header().Get("Retry-After"))
				}
			})
		})
	}
}

// events returns the events from first to last, of two lines each.
func events(first, last int) string {
	var out strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: %d\n\n", i, i)
	}
	return out.String()
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: first\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// sendThenClose sends parts of a stream and closes the connection.
func sendThenClose(parts ...string) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
		}
	}
}

func TestAStreamIsPassedOnWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying(streamHead + chunk(events(1, 2)) + chunk(events(3, 3)) + lastChunk)}}, "s1")
		rec, aborted := b.serve(request("POST", "/stream/", "r", "x"))
		b.close()
		if aborted || rec.Body.String() != events(1, 3) || !rec.Flushed {
			t.Errorf("aborted %v: %q", aborted, rec.Body)
		}
	})
}

// A server fails in the middle of a stream that must not run twice. The caller has
// received the first events; its connection must be aborted, so that the stream does not
// look complete, and no other server may get the request.
func TestACutStreamDoesNotLookComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenClose(streamHead, chunk(events(1, 2)))}, "s2": {unresponsive}}, "s1", "s2")
		rec, aborted := b.serve(request("POST", "/stream/", "r", "x"))
		b.close()
		if !aborted || rec.Body.String() != events(1, 2) || b.dials["s2"] != 0 {
			t.Errorf("aborted %v: %q", aborted, rec.Body)
		}
	})
}

// A server fails in the middle of the third event of a resumable stream. The second
// server must be asked for what follows the second event, and the caller gets each event
// once, under the first server's headers.
func TestABrokenResumableStreamResumesOnAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var after string
		b := newRig(t, allRoutes, map[string][]script{
			"s1": {sendThenClose(streamHead, chunk(events(1, 2)+"id: 3\nda"))},
			"s2": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
				req, _ := readRequest(t, in)
				after = req.Header.Get("X-Resume")
				_, _ = io.WriteString(c, strings.Replace(streamHead, "first", "second", 1)+chunk(events(3, 5))+lastChunk)
				_, _ = in.ReadByte()
			}},
		}, "s1", "s2")
		rec, aborted := b.serve(request("POST", "/resumable/", "r", "x"))
		b.close()
		if aborted || rec.Body.String() != events(1, 5) || after != "2" || rec.Header().Get("X-Seal") != "first" {
			t.Errorf("aborted %v: %q, resumed after %q, %v", aborted, rec.Body, after, rec.Header())
		}
	})
}

// A server stalls in the middle of a resumable stream without closing the connection. The
// caller would give up after two seconds; another server must resume the stream before.
func TestAStalledResumableStreamResumesOnAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{
			"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
				readRequest(t, in)
				_, _ = io.WriteString(c, streamHead+chunk(events(1, 1)))
				_, _ = in.ReadByte()
			}},
			"s2": {replying(streamHead + chunk(events(2, 2)) + lastChunk)},
		}, "s1", "s2")
		began := time.Now()
		rec, aborted := b.serve(request("POST", "/resumable/", "r", "x"))
		b.close()
		if took := time.Since(began); aborted || rec.Body.String() != events(1, 2) || took > 1900*time.Millisecond {
			t.Errorf("aborted %v after %v: %q", aborted, took, rec.Body)
		}
	})
}

func TestIdleConnectionsEndBeforeTheServerClosesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {
			replying(answer("r1", 200, "Keep-Alive: timeout=2\r\n", "one")),
			replying(answer("r2", 200, "", "two")),
		}}, "s1")
		_, _ = b.serve(request("POST", "/once/", "r1", "x"))
		time.Sleep(2*time.Second - idleReserve)
		rec, _ := b.serve(request("POST", "/once/", "r2", "x"))
		b.close()
		if rec.Body.String() != "two" || b.dials["s1"] != 2 {
			t.Errorf("%q over %d connections", rec.Body, b.dials["s1"])
		}
	})
}

func TestConnectionsToAServerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(directConnector{func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { far.Close() })
			return near, nil
		}}, descriptors.Unlimited())
		target := Target{MaxConns: 2}
		target.ID = "s"
		var open []*conn
		for range 2 {
			c, err := p.get(t.Context(), target, &placement.Work{})
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, c)
		}
		if _, err := p.get(t.Context(), target, &placement.Work{}); err == nil {
			t.Error("a third connection was opened")
		}
		p.discard(open[0])
		c, err := p.get(t.Context(), target, &placement.Work{})
		if err != nil {
			t.Errorf("after one was closed: %v", err)
		} else {
			p.discard(c)
		}
		p.discard(open[1])
		if len(p.count) != 0 {
			t.Errorf("counts left: %v", p.count)
		}
	})
}

func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	b := newRig(t, allRoutes, nil, "s1")
	rec, _ := b.serve(request("POST", "/once/", "r", strings.Repeat("x", 1<<20+1)))
	if rec.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", rec.Code)
	}
}

// A server is slower than predicted: the first event of a stream comes after 700 ms,
// within its goal of 800 ms. Switching to another server before would have made it late,
// since that one has to read the prompt again.
func TestASlowServerIsNotReplacedBeforeTheGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{
			"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
				readRequest(t, in)
				time.Sleep(700 * time.Millisecond)
				_, _ = io.WriteString(c, streamHead+chunk(events(1, 2))+lastChunk)
				_, _ = in.ReadByte()
			}},
			"s2": {unresponsive},
		}, "s1", "s2")
		began := time.Now()
		rec, aborted := b.serve(request("POST", "/resumable/", "r", "x"))
		took := time.Since(began)
		b.close()
		if aborted || rec.Body.String() != events(1, 2) || took != 700*time.Millisecond || b.dials["s2"] != 0 {
			t.Errorf("aborted %v after %v: %q; second server asked %d times", aborted, took, rec.Body, b.dials["s2"])
		}
	})
}

// A server accepts a stream and never answers. The caller would give up after 3.2
// seconds; another server must deliver the stream before, late but complete.
func TestAnUnresponsiveServerIsReplacedBeforeTheCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{
			"s1": {unresponsive}, "s2": {replying(streamHead + chunk(events(1, 2)) + lastChunk)},
		}, "s1", "s2")
		began := time.Now()
		rec, aborted := b.serve(request("POST", "/resumable/", "r", "x"))
		took := time.Since(began)
		b.close()
		if aborted || rec.Body.String() != events(1, 2) || took > 2*time.Second {
			t.Errorf("aborted %v after %v: %q", aborted, took, rec.Body)
		}
	})
}

func TestWhenAllServersAreFullRequestsAreRetryable(t *testing.T) {
	b := newRig(t, allRoutes, nil, "s1")
	b.fleet.full = true
	rec, _ := b.serve(request("POST", "/stream/", "r", "x"))
	if rec.Code != 503 || rec.Header().Get("Retry-After") == "" || rec.Body.String() != "overloaded\n" {
		t.Errorf("%d %v %q", rec.Code, rec.Header(), rec.Body)
	}
}

// A connection to a server is open, but other requests have meanwhile used up the
// server's limit after its start. Nothing was written to it, so the request goes to
// another server, even if it may run only once.
func TestARequestRejectedByAColdServersLimitGoesToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{
			"s1": {func(_ *testing.T, _ net.Conn, in *bufio.Reader) {
				if _, err := in.ReadByte(); err == nil {
					t.Error("the cold server received data")
				}
			}},
			"s2": {replying(answer("r", 200, "", "ok"))},
		}, "s1", "s2")
		b.fleet.cold = map[string]bool{"s1": true}
		rec, _ := b.serve(request("POST", "/once/x", "r", "body"))
		b.close()
		if rec.Code != http.StatusOK || rec.Body.String() != "ok" {
			t.Errorf("%d %q", rec.Code, rec.Body)
		}
		if diff := cmp.Diff([]string{"s2"}, b.fleet.begun); diff != "" {
			t.Error(diff)
		}
	})
}

// All servers are rate limited and at their limits. A request for which one becomes
// available a moment later is served without a retry by its caller; otherwise it is
// refused soon, with a Retry-After.
func TestARequestWaitsBrieflyForARateLimitedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			places  int
			status  int
			maxWait time.Duration
		}{
			{0, 200, 0},
			{4, 200, 4 * rateLimitPoll},
			{1000, 503, maxRateLimitWait + rateLimitPoll},
		} {
			route := again
			route.Goal = 2 * time.Second
			b := newRig(t, []routing.Route{route}, map[string][]script{"s1": {replying(answer("r", 200, "", "ok"))}}, "s1")
			b.fleet.coldPlaces = c.places
			began := time.Now()
			rec, _ := b.serve(request("GET", "/again/x", "r", ""))
			if took := time.Since(began); rec.Code != c.status || took > c.maxWait {
				t.Errorf("cold %d times: %d after %v", c.places, rec.Code, took)
			}
			if c.status == 503 && (rec.Header().Get("Retry-After") == "" || len(b.fleet.begun) > 0) {
				t.Errorf("refused without a Retry-After, or sent to %v", b.fleet.begun)
			}
			b.close()
		}
	})
}

// No instance reaches a service. Callers retry once, so their Retry-After times must lie
// where servers may have recovered, differ from each other, and stay within the time that
// the callers wait.
func TestRetryAfterInAnOutageIsLongAndSpread(t *testing.T) {
	shortest, longest := time.Hour, time.Duration(0)
	for range 200 {
		after := retryAfterOutage(6 * time.Second)
		shortest, longest = min(shortest, after), max(longest, after)
	}
	if shortest < time.Second || longest > 2*time.Second || longest-shortest < 800*time.Millisecond {
		t.Errorf("from %v to %v", shortest, longest)
	}
	if got := retryAfterOutage(600 * time.Millisecond); got != minOutageRetry {
		t.Errorf("%v with little time left", got)
	}
}

// All servers crash and recover after 1.5 s. Callers with 6 s left that are refused at
// the crash retry once. With a uniform draw of the Retry-After time, half of them would
// return before the servers and get nothing.
func TestMostCallersRetryAfterAShortOutageEnds(t *testing.T) {
	const callers, outage = 3000, 1500 * time.Millisecond
	after := 0
	for range callers {
		if retryAfterOutage(6*time.Second) > outage {
			after++
		}
	}
	if after < callers*2/3 {
		t.Errorf("%d of %d callers retry after the outage", after, callers)
	}
}

// A server refuses connections. If other instances reach some server, the Retry-After
// time must be short; in an outage for all, servers must have had time to recover.
func TestRetryAfterIsShortOnlyWhereOtherInstancesServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, down := range []bool{false, true} {
			b := newRig(t, allRoutes, nil, "s1")
			b.fleet.outage = down
			rec, _ := b.serve(request("GET", "/stream/x", "r", ""))
			seconds, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
			if err != nil || rec.Code != 503 {
				t.Fatalf("%d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
			}
			if late := seconds >= minOutageRetry.Seconds(); late != down {
				t.Errorf("outage for all: %v, Retry-After %v s", down, seconds)
			}
			b.close()
		}
	})
}

// Guards against abandoning a prompt in the queue of a working engine: its caller would
// get a 502 although the answer is on its way.
func TestAQueuedRequestIsNotAbandoned(t *testing.T) {
	for _, c := range []struct {
		name   string
		queued int
		sooner bool
		want   string
	}{
		{"queued until it is served", 100, false, "first"},
		{"queued, and another server begins it sooner", 100, true, "second"},
		{"lost after a while", 3, false, "second"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late := func(t *testing.T, conn net.Conn, in *bufio.Reader) {
					readRequest(t, in)
					time.Sleep(1200 * time.Millisecond)
					_, _ = io.WriteString(conn, answer("r", 200, "", "first"))
					_, _ = in.ReadByte()
				}
				b := newRig(t, allRoutes, map[string][]script{"s1": {late}, "s2": {replying(answer("r", 200, "", "second"))}}, "s1", "s2")
				b.fleet.queued, b.fleet.otherIsSooner = c.queued, c.sooner
				rec, aborted := b.serve(request("POST", "/again/", "r", "x"))
				b.close()
				if aborted || rec.Code != 200 || rec.Body.String() != c.want {
					t.Errorf("aborted %v, %d %q", aborted, rec.Code, rec.Body)
				}
			})
		})
	}
}
