package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// cutRequests are requests with a body, by its framing.
var cutRequests = map[string]string{
	"length": "Content-Length: 2\r\n\r\n{}",
	"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
}

// Guards against requests that are sent to a server though their head or body was broken off.
func TestPartsOfRequestsReachNoServer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for framing, rest := range cutRequests {
			for _, path := range cutRoutes {
				whole := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Id: r\r\n" + rest
				for cut := range len(whole) + 1 {
					// The servers refuse all connections, and count them.
					b := newRig(t, allRoutes, map[string][]script{"s1": nil}, "s1")
					b.sendPart(whole[:cut], reset && cut < len(whole))
					if b.dials["s1"] > 0 != (cut == len(whole)) {
						t.Errorf("%s%s, reset %v: %d connections after %q", path, framing, reset, b.dials["s1"], whole[:cut])
					}
					b.close()
				}
			}
		}
	}
}

// sendPart sends a part of a request, ends its side, and waits until the relay's side ended.
func (b *rig) sendPart(sent string, reset bool) {
	b.t.Helper()
	c, far := tcpPair(b.t)
	closed := make(chan struct{})
	front := &http.Server{Handler: b.relay, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(closed)
		}
	}}
	b.running.Go(func() { _ = front.Serve(newOneConn(far)) })
	_, _ = io.WriteString(c, sent)
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	} else {
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	<-closed
	_ = c.Close()
	_ = front.Close()
}

// Guards against bytes after an answer that is longer than it says, taken for the next answer.
func TestBytesAfterAnAnswerAreNoNextAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/again/"} {
		twice := replying(answer("r", 200, "", "{}") + answer("r", 200, "", "stray"))
		b := newRig(t, allRoutes, map[string][]script{"s1": {twice, replying(answer("r", 200, "", "{}"))}}, "s1")
		b.sockets = true
		for range 2 {
			if got := b.call("1.1", "POST", path); got.status != 200 || got.body != "{}" || got.broken {
				t.Errorf("%s: %+v", path, got)
			}
		}
		b.close()
	}
}
