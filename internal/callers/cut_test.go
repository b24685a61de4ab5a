package callers

import (
	"io"
	"net"
	"strings"
	"testing"

	"basilrudder/internal/standin/faultnet"
)

// cutEnds are the ways in which a caller ends a connection.
var cutEnds = map[string]func(net.Conn){
	"closed": func(c net.Conn) { _ = c.Close() },
	"reset":  faultnet.Reset,
}

// Guards against requests that run though their head or body was broken off.
func TestPartsOfRequestsDoNotRun(t *testing.T) {
	backend := newFakeBackend(serveTokens("a"))
	server := NewServer(Config{}, backend)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	whole := rawRequest("draft", chatBodyWhole)
	chunked := strings.Replace(whole, "Content-Length", "Transfer-Encoding: chunked\r\nX-Length", 1)
	head := strings.Index(chunked, "\r\n\r\n") + 4
	chunked = chunked[:head] + "2\r\n" + chunked[head:head+2] + "\r\n0\r\n\r\n"
	for _, request := range []string{whole, chunked} {
		for _, end := range cutEnds {
			for cut := range len(request) {
				c := dial(t, listener.Addr().String())
				_, _ = io.WriteString(c, request[:cut])
				end(c)
			}
		}
	}
	if err := server.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	if got := backend.requests(); len(got) > 0 {
		t.Errorf("%d requests ran", len(got))
	}
}
