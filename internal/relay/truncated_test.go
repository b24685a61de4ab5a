package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"basilrudder/internal/eventstream"
	"basilrudder/internal/placement"
)

// Heads of answers whose end is that of their connection.
const (
	closeStreamHead = "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: first\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	closePlainHead  = "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: first\r\nContent-Type: application/json\r\n\r\n"
)

func lengthHead(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: first\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", length)
}

// sendThenReset sends parts of an answer and resets the connection.
func sendThenReset(parts ...string) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		sendThenClose(parts...)(t, c, in)
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	}
}

// seen is what a caller has received of an answer.
type seen struct {
	status  int
	framing framing
	body    string
	// broken means that the answer ended before the end that its framing marks, or with a
	// reset.
	broken bool
}

// call sends a request over a connection of its own and returns what its caller sees.
func (b *rig) call(version, method, path string) seen {
	return b.callBody(version, method, path, "", "x")
}

// callBody is call with header lines and a body.
func (b *rig) callBody(version, method, path, headers, body string) seen {
	b.t.Helper()
	c, far := tcpPair(b.t)
	defer c.Close()
	// Many plays in a row would otherwise use up the ports.
	_ = c.(*net.TCPConn).SetLinger(0)
	front := &http.Server{Handler: b.relay, ConnContext: withCaller}
	b.running.Go(func() { _ = front.Serve(newOneConn(far)) })
	defer front.Close()
	fmt.Fprintf(c, "%s %s HTTP/%s\r\nHost: h.example\r\nX-Id: r\r\nX-Key: key\r\n%sContent-Length: %d\r\n\r\n%s", method, path, version, headers, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return seen{broken: true}
	}
	received, err := io.ReadAll(resp.Body)
	return seen{resp.StatusCode, framingOf(resp), string(received), err != nil}
}

// Guards against broken-off answers that look complete, and whole ones that arrive in part.
func TestTruncatedAnswersDoNotLookComplete(t *testing.T) {
	whole := events(1, 5)
	inside := events(1, 2) + "id: 3\nda"
	crlf := strings.ReplaceAll(whole, "\n", "\r\n")
	resumed := replying(streamHead + chunk(events(3, 5)) + lastChunk)
	fromStart := replying(streamHead + chunk(whole) + lastChunk)
	for _, c := range []struct {
		name, path string
		first      script
		second     script // of another server; nil for none
		want       seen
	}{
		{"stream, closed when whole", "/stream/", sendThenClose(closeStreamHead, whole), nil, seen{200, framingClose, whole, false}},
		{"stream with CRLF, closed when whole", "/stream/", sendThenClose(closeStreamHead, crlf), nil, seen{200, framingClose, crlf, false}},
		{"stream, closed inside an event", "/stream/", sendThenClose(closeStreamHead, inside), nil, seen{status: 200, broken: true}},
		{"stream, closed inside an event after CRLF", "/stream/", sendThenClose(closeStreamHead, crlf+"id: 6\r\n"), nil, seen{status: 200, broken: true}},
		{"stream, reset inside an event", "/stream/", sendThenReset(closeStreamHead, inside), nil, seen{status: 200, broken: true}},
		{"stream, reset between events", "/stream/", sendThenReset(closeStreamHead, events(1, 2)), nil, seen{status: 200, broken: true}},
		{"stream, closed between events", "/stream/", sendThenClose(closeStreamHead, events(1, 2)), nil, seen{200, framingClose, events(1, 2), false}},
		{"stream, closed before an event", "/stream/", sendThenClose(closeStreamHead), nil, seen{502, framingLength, "upstream_lost\n", false}},
		{"stream in chunks, ended inside an event", "/stream/", replying(streamHead + chunk(inside) + lastChunk), nil, seen{status: 200, broken: true}},
		{"stream in chunks, without the last", "/stream/", sendThenClose(streamHead, chunk(whole)), nil, seen{status: 200, broken: true}},
		{"stream in chunks, whole", "/stream/", replying(streamHead + chunk(whole) + lastChunk), nil, seen{200, framingChunked, whole, false}},
		{"stream shorter than its length", "/stream/", sendThenClose(lengthHead(len(whole)+1), whole), nil, seen{status: 200, broken: true}},
		{"stream of its length, ended inside an event", "/stream/", replying(lengthHead(len(inside)) + inside), nil, seen{status: 200, broken: true}},

		{"resumable, closed when whole", "/resumable/", sendThenClose(closeStreamHead, whole), unresponsive, seen{200, framingClose, whole, false}},
		{"resumable with CRLF, closed when whole", "/resumable/", sendThenClose(closeStreamHead, crlf), unresponsive, seen{200, framingClose, crlf, false}},
		{"resumable, closed inside an event", "/resumable/", sendThenClose(closeStreamHead, inside), resumed, seen{200, framingClose, whole, false}},
		{"resumable, closed inside an event, no other server", "/resumable/", sendThenClose(closeStreamHead, inside), nil, seen{status: 200, broken: true}},
		{"resumable, closed inside the first event", "/resumable/", sendThenClose(closeStreamHead, "id: 1\nda"), fromStart, seen{200, framingChunked, whole, false}},
		{"resumable, closed before an event", "/resumable/", sendThenClose(closeStreamHead), fromStart, seen{200, framingChunked, whole, false}},
		{"resumable, reset between events", "/resumable/", sendThenReset(closeStreamHead, events(1, 2)), resumed, seen{200, framingClose, whole, false}},
		{"resumable in chunks, ended inside an event", "/resumable/", replying(streamHead + chunk(inside) + lastChunk), resumed, seen{200, framingChunked, whole, false}},
		{"resumable in chunks, resumed, closed", "/resumable/", sendThenClose(streamHead, chunk(inside)), sendThenClose(closeStreamHead, events(3, 5)), seen{status: 200, broken: true}},
		{"resumable in chunks, resumed, closed inside an event", "/resumable/", sendThenClose(streamHead, chunk(inside)), sendThenClose(closeStreamHead, "id: 3\n"), seen{status: 200, broken: true}},

		{"resumable, reset inside a long event", "/resumable/", sendThenReset(closeStreamHead, "id: 1\n\ndata: ", strings.Repeat("x", 2*maxPartialEvent)), resumed, seen{status: 200, broken: true}},
		{"resumable without ids, reset between events", "/resumable/", sendThenReset(closeStreamHead, "data: 1\n\n"), fromStart, seen{status: 200, broken: true}},
		{"resumable, a long event", "/resumable/", sendThenClose(closeStreamHead, "data: "+strings.Repeat("x", 2*maxPartialEvent)+"\n\n"), unresponsive, seen{200, framingClose, "data: " + strings.Repeat("x", 2*maxPartialEvent) + "\n\n", false}},

		{"plain, closed", "/once/", sendThenClose(closePlainHead, "{}"), nil, seen{200, framingClose, "{}", false}},
		{"plain and long, closed", "/once/", sendThenClose(closePlainHead, strings.Repeat("x", maxBufferedAnswer+1)), nil, seen{200, framingClose, strings.Repeat("x", maxBufferedAnswer+1), false}},
		{"plain, reset", "/once/", sendThenReset(closePlainHead, "{"), nil, seen{502, framingLength, "upstream_lost\n", false}},
		{"plain, shorter than its length", "/once/", sendThenClose(lengthHead(3), "{}"), nil, seen{502, framingLength, "upstream_lost\n", false}},
		{"plain that may run again, reset", "/again/", sendThenReset(closePlainHead, "{"), replying(answer("r", 200, "", "{}")), seen{200, framingLength, "{}", false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			scripts := map[string][]script{"s1": {c.first, replying(), replying()}}
			if c.second != nil {
				scripts["s2"] = []script{c.second}
			}
			b := newRig(t, allRoutes, scripts, "s1", "s2")
			b.sockets = true
			got := b.call("1.1", "POST", c.path)
			b.close()
			if c.want.broken {
				got.framing, got.body = "", ""
			}
			if got != c.want {
				t.Errorf("got %.120q, want %.120q", fmt.Sprint(got), fmt.Sprint(c.want))
			}
		})
	}
}

// Guards against broken-off answers that look whole to callers of HTTP/1.0.
func TestTruncatedAnswersAreResetForCallersWithoutChunks(t *testing.T) {
	for _, c := range []struct {
		name  string
		first script
		want  seen
	}{
		{"whole", replying(streamHead + chunk(events(1, 5)) + lastChunk), seen{200, framingClose, events(1, 5), false}},
		{"whole, closed", sendThenClose(closeStreamHead, events(1, 5)), seen{200, framingClose, events(1, 5), false}},
		{"without the last chunk", sendThenClose(streamHead, chunk(events(1, 5))), seen{broken: true}},
		{"closed inside an event", sendThenClose(closeStreamHead, events(1, 5)+"id"), seen{broken: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {c.first, replying(), replying()}}, "s1")
			b.sockets = true
			got := b.call("1.0", "POST", "/stream/")
			b.close()
			if c.want.broken {
				got = seen{broken: got.broken}
			}
			if got != c.want {
				t.Errorf("got %.120q, want %.120q", fmt.Sprint(got), fmt.Sprint(c.want))
			}
		})
	}
}

// Guards against a stream that ends inside an event and counts as served or survived.
func TestAStreamThatEndsInsideAnEventIsAFailureOfItsServer(t *testing.T) {
	b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenClose(closeStreamHead, "id: 1\n")}}, "s1")
	b.sockets = true
	b.call("1.1", "POST", "/stream/")
	b.close()
	failed := fmt.Sprint("s1 ", placement.Failed)
	if len(b.fleet.survived) != 0 || len(b.fleet.crashed) != 1 || !slices.Equal(b.fleet.outcomes, []string{failed}) {
		t.Errorf("survived %v, crashed %v, outcomes %v", b.fleet.survived, b.fleet.crashed, b.fleet.outcomes)
	}
}

// FuzzAnswerEnds guards against answers that look complete to the caller without having
// been sent as complete: what a caller sees as complete is byte for byte what the server
// sent as complete, whatever the bytes, their framing, their end and how they are split.
func FuzzAnswerEnds(f *testing.F) {
	for how := range uint8(18) {
		f.Add([]byte(events(1, 3)), how, uint16(len(events(1, 2))), uint8(7))
		f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\n"), how, uint16(30), uint8(1))
		f.Add([]byte("data: a\r\r: x\r"), how, uint16(12), uint8(200))
	}
	f.Fuzz(func(t *testing.T, body []byte, how uint8, cut uint16, split uint8) {
		server := []framing{framingLength, framingChunked, framingClose}[how%3]
		end := how / 3 % 3
		path := []string{"/stream/", "/resumable/", "/once/"}[how/9%3]
		sent := body
		if end != endWhole {
			sent = body[:min(int(cut), len(body))]
		}
		b := newRig(t, allRoutes, map[string][]script{"s1": {sendFramed(server, body, sent, end, int(split)+1), replying(), replying()}}, "s1")
		b.sockets = true
		got := b.call("1.1", "POST", path)
		b.close()
		wholeAtServer := end == endWhole || server == framingLength && len(sent) == len(body) || server == framingClose && end == endClosed
		var scanner eventstream.Scanner
		_, _ = scanner.Scan(sent)
		if path != "/once/" && scanner.Open() {
			wholeAtServer = false
		}
		complete := got.status == http.StatusOK && !got.broken
		switch {
		case complete && got.body != string(sent):
			t.Errorf("complete with %q, the server sent %q", got.body, sent)
		case complete && !wholeAtServer:
			t.Errorf("%q looks complete, the server's answer (%s, end %d) was not", got.body, server, end)
		case complete && server == framingClose && got.framing != framingClose:
			t.Errorf("%q is framed by %s, the server's by its connection", got.body, got.framing)
		case !complete && wholeAtServer && len(sent) > 0 && end != endReset:
			// A reset drops what the server's socket has not sent yet.
			t.Errorf("%q does not look complete (status %d), the server's answer was", got.body, got.status)
		}
	})
}

// Ends of an answer that a server sends.
const (
	endWhole = iota
	endClosed
	endReset
)

// sendFramed sends the first bytes of an answer, sent, in pieces of the given size, and ends
// it.
func sendFramed(server framing, body, sent []byte, end uint8, size int) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		head := map[framing]string{framingLength: lengthHead(len(body)), framingChunked: streamHead, framingClose: closeStreamHead}[server]
		parts := []string{head}
		for piece := range slices.Chunk(sent, size) {
			if server == framingChunked {
				parts = append(parts, chunk(string(piece)))
			} else {
				parts = append(parts, string(piece))
			}
		}
		if server == framingChunked && end == endWhole {
			parts = append(parts, lastChunk)
		}
		if end == endReset {
			sendThenReset(parts...)(t, c, in)
			return
		}
		sendThenClose(parts...)(t, c, in)
	}
}
