package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
)

// cutHeads are heads of answers, by their framing and form.
var cutHeads = map[string]string{
	"events to the close":  closeStreamHead,
	"plain to the close":   closePlainHead,
	"events in chunks":     streamHead,
	"length":               lengthHead(3),
	"no content":           lengthHead(0),
	"status without body":  "HTTP/1.1 204 None\r\nX-Id: r\r\nX-Seal: s\r\n\r\n",
	"no reason":            "HTTP/1.1 200\r\nX-Id: r\r\nX-Seal: s\r\n\r\n",
	"lines ended by LF":    "HTTP/1.1 200 OK\nX-Id: r\nX-Seal: s\n\n",
	"continued line":       "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nX-More: a\r\n b\r\n\r\n",
	"after interim":        "HTTP/1.1 103 Early\r\nX-Id: r\r\nX-Seal: s\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + closePlainHead,
	"length twice":         "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
	"length and chunks":    "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.0":             "HTTP/1.0 200 OK\r\nX-Id: r\r\nX-Seal: s\r\n\r\n",
	"after another answer": answer("other", 200, "", "{}") + closePlainHead,
}

// cutRoutes are the paths of the kinds of routes.
var cutRoutes = []string{"/stream/", "/resumable/", "/once/", "/again/"}

// cutAnswers plays all heads cut at each byte on all routes, and reports those that reach the
// caller as an answer of the server.
func cutAnswers(t *testing.T, play func(t *testing.T, path, sent string) (status int)) {
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				for _, path := range cutRoutes {
					if status := play(t, path, head[:cut]); status < http.StatusInternalServerError {
						t.Errorf("%s: status %d after %d of %d bytes: %q", path, status, cut, len(head), head[:cut])
					}
				}
			}
		})
	}
}

// twoServers behave alike on their first connection; further ones are probes.
func twoServers(first script) map[string][]script {
	all := []script{first, replying(), replying()}
	return map[string][]script{"s1": all, "s2": all}
}

// Guards against answers whose head was broken off and that look whole.
func TestAnswersThatEndInsideTheirHeadDoNotLookWhole(t *testing.T) {
	for name, end := range map[string]func(...string) script{"closed": sendThenClose, "reset": sendThenReset} {
		t.Run(name, func(t *testing.T) {
			cutAnswers(t, func(t *testing.T, path, sent string) int {
				b := newRig(t, allRoutes, twoServers(end(sent)), "s1", "s2")
				b.sockets = true
				got := b.call("1.1", "POST", path)
				b.close()
				if got.broken {
					return http.StatusBadGateway
				}
				return got.status
			})
		})
	}
}

// Guards against a silent server whose head is taken as whole once the wait for it ends.
func TestAnswersThatStopInsideTheirHeadDoNotLookWhole(t *testing.T) {
	cutAnswers(t, func(t *testing.T, path, sent string) (status int) {
		synctest.Test(t, func(t *testing.T) {
			stop := func(t *testing.T, c net.Conn, in *bufio.Reader) {
				readRequest(t, in)
				_, _ = io.WriteString(c, sent)
				_, _ = in.ReadByte()
			}
			b := newRig(t, allRoutes, twoServers(stop), "s1", "s2")
			rec, aborted := b.serve(request("POST", path, "r", "x"))
			b.close()
			status = rec.Code
			if aborted {
				status = http.StatusBadGateway
			}
		})
		return status
	})
}

// Guards against a kept connection whose next answer ends inside its head and looks whole.
func TestAnswersThatEndInsideTheirHeadOnAKeptConnectionDoNotLookWhole(t *testing.T) {
	for cut := range len(closePlainHead) {
		first := answer("r", 200, "", "{}")
		second := func(t *testing.T, c net.Conn, in *bufio.Reader) {
			readRequest(t, in)
			_, _ = io.WriteString(c, first)
			sendThenClose(closePlainHead[:cut])(t, c, in)
		}
		b := newRig(t, allRoutes, twoServers(second), "s1")
		b.sockets = true
		var got []string
		for range 2 {
			seen := b.call("1.1", "POST", "/once/")
			got = append(got, fmt.Sprint(seen.status, seen.body))
		}
		b.close()
		if got[0] != "200{}" || got[1] == "200" {
			t.Errorf("after %d bytes: %q", cut, got)
		}
	}
}
