package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/crashes"
)

// closing sends the head of an answer without a marked end and, for a stream, an event, and
// closes the connection after a while.
func closing(status int, body string, after time.Duration) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		req, _ := readRequest(t, in)
		_, _ = io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nX-Seal: s\r\n\r\n"+body)
		time.Sleep(after)
	}
}

// startThenClose reads a request, optionally sends the head and first event of a stream,
// and closes the connection after a while.
func startThenClose(head bool, after time.Duration) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		req, _ := readRequest(t, in)
		if head {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n")
		}
		time.Sleep(after)
	}
}

// Guards against attributing the end of a server to the wrong request, and against taking
// a lost connection for a crash.
func TestACrashIsAttributedToTheRequestJustStarted(t *testing.T) {
	alive := replying()
	for _, c := range []struct {
		name                        string
		path                        string
		scripts                     []script
		crashed, brokeOff, survived int
	}{
		{"before an answer", "/once/x", []script{startThenClose(false, 100*time.Millisecond)}, 1, 0, 0},
		{"after the first event", "/stream/x", []script{startThenClose(true, 50*time.Millisecond)}, 1, 0, 0},
		{"long after it", "/stream/x", []script{startThenClose(true, 2*crashWindow)}, 0, 0, 0},
		{"only the connection", "/once/x", []script{startThenClose(false, 100*time.Millisecond), alive}, 0, 1, 0},
		{"not at all", "/once/x", []script{replying(answer("r", 200, "", "ok"))}, 0, 0, 1},
		{"an error of the server", "/once/x", []script{replying(answer("r", 500, "", "no"))}, 0, 0, 0},
		{"after an event, without a marked end", "/stream/x", []script{closing(200, "id: 1\n\n", 50*time.Millisecond)}, 1, 0, 0},
		{"after a body, without a marked end", "/once/x", []script{closing(200, "ok", 20*time.Millisecond)}, 1, 0, 0},
		{"not at all, without a marked end", "/stream/x", []script{closing(200, "id: 1\n\n", 50*time.Millisecond), alive, alive}, 0, 1, 0},
		{"just after it, without a marked end", "/stream/x", []script{closing(200, "id: 1\n\n", 50*time.Millisecond), alive}, 1, 0, 0},
		{"long after it, without a marked end", "/stream/x", []script{closing(200, "id: 1\n\n", 2*crashWindow)}, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRig(t, allRoutes, map[string][]script{"s1": c.scripts}, "s1")
				b.serve(request("POST", c.path, "r", "body"))
				time.Sleep(2 * unmarkedEndDelay)
				synctest.Wait()
				b.close()
				if len(b.fleet.crashed) != c.crashed || len(b.fleet.brokeOff) != c.brokeOff || len(b.fleet.survived) != c.survived {
					t.Errorf("%d crashes, %d broken answers and %d runs without, want %d, %d and %d",
						len(b.fleet.crashed), len(b.fleet.brokeOff), len(b.fleet.survived), c.crashed, c.brokeOff, c.survived)
				}
				for _, crash := range b.fleet.crashed {
					if crash.Server != "s1" || crash.Customer != "acme" {
						t.Errorf("%+v", crash)
					}
				}
			})
		})
	}
}

// Guards against a suspicion of a request after whose answer its server itself has replied.
func TestAServerThatRepliesAfterAnAnswerSurvivedIt(t *testing.T) {
	who := replying("HTTP/1.1 200 OK\r\nX-Server: name-of-s1\r\nContent-Length: 0\r\n\r\n")
	for name, scripts := range map[string][]script{
		"at the end":     {closing(200, "id: 1\n\n", 50*time.Millisecond), who},
		"somewhat later": {closing(200, "id: 1\n\n", 50*time.Millisecond), unresponsive, who},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRig(t, allRoutes, map[string][]script{"s1": scripts}, "s1")
				b.relay = New(Config{Fleet: b.fleet, Protocol: identifyingProtocol{}, Dial: b.dial})
				b.serve(request("POST", "/stream/x", "r", "body"))
				time.Sleep(2 * unmarkedEndDelay)
				synctest.Wait()
				b.close()
				if len(b.fleet.crashed)+len(b.fleet.brokeOff) > 0 || len(b.fleet.survived) != 1 {
					t.Errorf("%d crashes, %d broken answers, %d runs without", len(b.fleet.crashed), len(b.fleet.brokeOff), len(b.fleet.survived))
				}
			})
		})
	}
}

// Guards against an answer without a marked end that never exonerates its request.
func TestALaterAnswerShowsThatTheServerSurvived(t *testing.T) {
	for status, survived := range map[int]int{http.StatusOK: 1, http.StatusInternalServerError: 0} {
		synctest.Test(t, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {
				closing(status, "id: 1\n\n", 20*time.Millisecond), replying(), replying(answer("r2", 500, "", "no")),
			}}, "s1")
			b.serve(request("POST", "/once/x", "r1", "body"))
			time.Sleep(2 * lateBytes)
			b.serve(request("POST", "/once/x", "r2", "other"))
			time.Sleep(2 * unmarkedEndDelay)
			synctest.Wait()
			b.close()
			if len(b.fleet.survived) != survived || len(b.fleet.crashed)+len(b.fleet.brokeOff) > 0 {
				t.Errorf("status %d: %d runs without a crash, %d crashes, %d broken answers",
					status, len(b.fleet.survived), len(b.fleet.crashed), len(b.fleet.brokeOff))
			}
		})
	}
}

// Guards against sending a poison request to another server, and against a Retry-After in
// its refusal.
func TestAPoisonRequestGetsAFinalAnswerAtOnce(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resumable/x"} {
		synctest.Test(t, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {replying()}}, "s1")
			b.fleet.poison, b.fleet.full = true, true
			begun := time.Now()
			rec, aborted := b.serve(request("POST", path, "r", "body"))
			b.close()
			if aborted || rec.Code != http.StatusBadRequest || rec.Header().Get("Retry-After") != "" || !strings.Contains(rec.Body.String(), "crashes_servers") {
				t.Errorf("%s: aborted %v, %d %q %v", path, aborted, rec.Code, rec.Body, rec.Header())
			}
			if took := time.Since(begun); took > 0 || len(b.fleet.begun) > 0 {
				t.Errorf("%s: after %v, sent %d times", path, took, len(b.fleet.begun))
			}
		})
	}
}

// Guards against suspect requests that callers give up for good.
func TestASuspectRequestMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying()}}, "s1")
		b.fleet.decision = crashes.Postpone
		rec, _ := b.serve(request("POST", "/once/x", "r", "body"))
		b.close()
		if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" || !strings.Contains(rec.Body.String(), "may_crash_servers") || len(b.fleet.begun) > 0 {
			t.Errorf("%d %q %v, sent %d times", rec.Code, rec.Body, rec.Header(), len(b.fleet.begun))
		}
	})
}

// Guards against a retry with another fingerprint, and against different requests with
// the same one.
func TestTheFingerprintCoversMethodPathCallerAndBody(t *testing.T) {
	fingerprint := func(method, path, id, key, body string) crashes.Fingerprint {
		b := newRig(t, allRoutes, nil)
		hr := request(method, path, id, body)
		hr.Header.Set("X-Key", key)
		f := &forwarder{relay: b.relay, hr: hr, request: Request{ID: id, Key: key}, body: []byte(body)}
		return f.fingerprint()
	}
	one := fingerprint("POST", "/once/x?q=1", "r1", "key", "body")
	if again := fingerprint("POST", "/once/x?q=1", "r2", "key", "body"); again != one {
		t.Error("the fingerprint depends on the request id")
	}
	for name, other := range map[string]crashes.Fingerprint{
		"method": fingerprint("PUT", "/once/x?q=1", "r1", "key", "body"),
		"path":   fingerprint("POST", "/once/y?q=1", "r1", "key", "body"),
		"query":  fingerprint("POST", "/once/x?q=2", "r1", "key", "body"),
		"caller": fingerprint("POST", "/once/x?q=1", "r1", "key2", "body"),
		"body":   fingerprint("POST", "/once/x?q=1", "r1", "key", "body2"),
	} {
		if other == one {
			t.Errorf("another %s gives the same fingerprint", name)
		}
	}
}

// Guards against accusing what long streams share, while they go on, of the ends of other servers.
func TestAStreamThatGoesOnShowsThatItsServerSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, nil, "s1")
		survived := func() int {
			b.fleet.mu.Lock()
			defer b.fleet.mu.Unlock()
			return len(b.fleet.survived)
		}
		b.scripts = map[string][]script{"s1": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
			readRequest(t, in)
			_, _ = io.WriteString(c, streamHead)
			for n, want := range []int{0, 0, 1, 2, 3} {
				_, _ = io.WriteString(c, chunk(events(n, n)))
				synctest.Wait()
				if survived() != want {
					t.Errorf("after event %d: %d reports", n, survived())
				}
				time.Sleep(crashWindow*2/3 + crashWindow/2*time.Duration(n/2))
			}
			_, _ = io.WriteString(c, lastChunk)
		}}}
		b.serve(request("POST", "/stream/", "r", "x"))
		b.close()
	})
}

// Guards against sending a request that is identified as a poison request while it waits
// for a server.
func TestAPoisonRequestIdentifiedWhileItWaitsIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying()}}, "s1")
		b.fleet.poison, b.fleet.poisonAfter = true, 1
		rec, _ := b.serve(request("POST", "/once/x", "r", "body"))
		b.close()
		if rec.Code != http.StatusBadRequest || len(b.fleet.begun) > 0 {
			t.Errorf("%d, sent %d times", rec.Code, len(b.fleet.begun))
		}
	})
}

// Guards against disclosing a caller's key to peers or in logs.
func TestAKeyWithoutACustomerIsNotDisclosed(t *testing.T) {
	name := func(key string) string {
		return (&forwarder{request: Request{Key: key}}).callerName()
	}
	if got := name("secret"); strings.Contains(got, "secret") || got == name("another") || name("") != "" {
		t.Errorf("caller names are %q, %q and %q", got, name("another"), name(""))
	}
}
