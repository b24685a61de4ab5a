package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/crashes"
)

// startThenClose takes a request, answers the start of a stream after a while, and breaks off.
func startThenClose(head bool, after time.Duration) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		req, _ := readRequest(t, in)
		if head {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n")
		}
		time.Sleep(after)
	}
}

// Guards against a server's end put down to the wrong request, and a lost connection taken for one.
func TestACrashIsAttributedToTheRequestJustStarted(t *testing.T) {
	alive := replying()
	for _, c := range []struct {
		name              string
		path              string
		scripts           []script
		crashed, survived int
	}{
		{"before an answer", "/once/x", []script{startThenClose(false, 100*time.Millisecond)}, 1, 0},
		{"after the first event", "/stream/x", []script{startThenClose(true, 50*time.Millisecond)}, 1, 0},
		{"long after it", "/stream/x", []script{startThenClose(true, 2*crashWindow)}, 0, 1},
		{"only the connection", "/once/x", []script{startThenClose(false, 100*time.Millisecond), alive}, 0, 0},
		{"not at all", "/once/x", []script{replying(answer("r", 200, "", "ok"))}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRig(t, allRoutes, map[string][]script{"s1": c.scripts}, "s1")
				b.serve(request("POST", c.path, "r", "body"))
				b.close()
				if len(b.fleet.crashed) != c.crashed || len(b.fleet.survived) != c.survived {
					t.Errorf("%d crashes, %d runs without; %d and %d wanted", len(b.fleet.crashed), len(b.fleet.survived), c.crashed, c.survived)
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

// Guards against a request that crashes servers and is sent on, or is told to come back.
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

// Guards against a repeat taken for another request, and another request taken for a repeat.
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
		t.Error("the same request under another id is another one")
	}
	for name, other := range map[string]crashes.Fingerprint{
		"method": fingerprint("PUT", "/once/x?q=1", "r1", "key", "body"),
		"path":   fingerprint("POST", "/once/y?q=1", "r1", "key", "body"),
		"query":  fingerprint("POST", "/once/x?q=2", "r1", "key", "body"),
		"caller": fingerprint("POST", "/once/x?q=1", "r1", "key2", "body"),
		"body":   fingerprint("POST", "/once/x?q=1", "r1", "key", "body2"),
	} {
		if other == one {
			t.Errorf("another %s makes no other request", name)
		}
	}
}

// Guards against a request sent although it was found out while it waited for a server.
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

// Guards against a caller's key that is told to peers or stands in a log.
func TestAKeyWithoutACustomerIsNotDisclosed(t *testing.T) {
	name := func(key string) string {
		return (&forwarder{request: Request{Key: key}}).callerName()
	}
	if got := name("secret"); strings.Contains(got, "secret") || got == name("another") || name("") != "" {
		t.Errorf("callers are named %q, %q and %q", got, name("another"), name(""))
	}
}
