package relay

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a reset before the first bytes of an answer that is taken for its end.
func TestAResetWhileTheFirstBytesAreAwaitedIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct{ head, headers string }{
		"plain":               {closePlainHead, ""},
		"events after a part": {closeStreamHead, "X-Resume: 3\r\nX-First-Try: f\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenReset(c.head), replying(), replying()}}, "s1")
			b.fleet.origins = map[string]StreamOrigin{"f": {Known: true}}
			b.sockets = true
			got := b.callBody("1.1", "POST", "/resumable/", c.headers, "x")
			b.close()
			if got.status == 200 && !got.broken || got.status == 503 {
				t.Errorf("the caller got %v", got)
			}
		})
	}
}

// endEarly plays servers that answer with an end of their connection by end while a long request
// is still being written, and calls check with what they sent and what the caller got.
func endEarly(t *testing.T, end func(*net.TCPConn), check func(path, sent string, got seen)) {
	for range 40 {
		for path, answer := range map[string][2]string{
			"/once/": {closePlainHead, "{"}, "/stream/": {closeStreamHead, events(1, 2)}, "/resumable/": {closeStreamHead, events(1, 2)},
		} {
			early := func(t *testing.T, c net.Conn, in *bufio.Reader) {
				_, _ = in.Peek(64)
				_, _ = io.WriteString(c, answer[0]+answer[1])
				end(c.(*net.TCPConn))
			}
			b := newRig(t, allRoutes, map[string][]script{"s1": {early, replying(), replying()}}, "s1")
			b.sockets, b.writeBuffer = true, 4<<10
			got := b.callBody("1.1", "POST", path, "", strings.Repeat("x", 1<<20-1))
			b.close()
			check(path, answer[1], got)
		}
	}
}

// Guards against a reset that only the writer of a long request learns of, so that the answer looks whole.
func TestAResetWhileTheRequestIsWrittenIsNoEnd(t *testing.T) {
	endEarly(t, func(c *net.TCPConn) { _ = c.SetLinger(0) }, func(path, _ string, got seen) {
		if got.status == 200 && !got.broken {
			t.Errorf("%s: a whole answer: %.60q", path, got.body)
		}
	})
}

// Guards against whole answers that look broken as their server never reads the rest of a request.
func TestAnEndBeforeTheRequestIsWrittenCutsNothing(t *testing.T) {
	broken, plays := 0, 0
	endEarly(t, func(c *net.TCPConn) { _ = c.CloseWrite() }, func(_, sent string, got seen) {
		plays++
		if got.status != 200 || got.broken || got.body != sent {
			broken++
		}
	})
	if broken > 0 {
		t.Errorf("%d of %d whole answers looked broken", broken, plays)
	}
}
