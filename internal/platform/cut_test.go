package platform

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"basilrudder/internal/standin/faultnet"
)

// cutHeads are heads of answers, by their framing and form.
var cutHeads = map[string]string{
	"to the close":      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
	"no content":        "HTTP/1.1 204 No Content\r\nX-Era: 1\r\n\r\n",
	"not found":         "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	"gone":              "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	"no length":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"no headers":        "HTTP/1.1 200 OK\r\n\r\n",
	"no reason":         "HTTP/1.1 200\r\nX-Era: 1\r\n\r\n",
	"lines ended by LF": "HTTP/1.1 200 OK\nX-Era: 1\n\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\nX-Era: 1\r\n\r\n",
	"after interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Era: 1\r\n\r\n",
}

// cutServer answers each request with sent, ends the connection by end, and returns its address.
func cutServer(t *testing.T, sent string, end func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go faultnet.AnswerWith(listener, sent, end)
	return listener.Addr().String()
}

// Guards against an answer whose head was broken off and that looks whole.
func TestAnswersThatStopInsideTheirHeadAreErrors(t *testing.T) {
	for name, end := range faultnet.Ends {
		t.Run(name, func(t *testing.T) {
			var plays sync.WaitGroup
			for kind, head := range cutHeads {
				for cut := range len(head) {
					client := New(Config{Address: cutServer(t, head[:cut], end)})
					plays.Go(func() {
						if answer, err := client.Get(t.Context(), "/", 50*time.Millisecond); err == nil {
							t.Errorf("%s: status %d and %q after %q", kind, answer.Status, answer.Body, head[:cut])
						}
					})
				}
				plays.Wait()
			}
		})
	}
}

// Guards against an answer with a length or chunks that was broken off and looks whole.
func TestAnswersThatStopInsideTheirBodyAreErrors(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":3}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"revision\":3\r\n1\r\n}\r\n0\r\n\r\n",
	} {
		for name, end := range faultnet.Ends {
			for cut := strings.Index(whole, "{"); cut < len(whole)-1; cut++ {
				client := New(Config{Address: cutServer(t, whole[:cut], end)})
				if answer, err := client.Get(t.Context(), "/", 20*time.Millisecond); err == nil {
					t.Errorf("%s: %q after %q", name, answer.Body, whole[:cut])
				}
			}
		}
	}
}
