package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"basilrudder/internal/routing"
)

// benchRelay starts a Relay in front of one server on loopback and returns a connection
// to it. serve handles each connection to the server.
func benchRelay(b *testing.B, serve func(c net.Conn, in *bufio.Reader)) net.Conn {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, bufio.NewReader(c))
		}
	}()
	table, err := routing.NewTable(&routing.Config{Version: 1, Routes: allRoutes, Services: []routing.Service{{Name: "svc"}}})
	if err != nil {
		b.Fatal(err)
	}
	fleet := &fakeFleet{table: table, servers: []string{listener.Addr().String()}}
	front := httptest.NewServer(New(Config{Fleet: fleet, Protocol: plainProtocol{}}))
	b.Cleanup(front.Close)
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// BenchmarkRelayedRequest relays one request and its complete answer over reused
// connections, including the caller's and the server's work.
func BenchmarkRelayedRequest(b *testing.B) {
	reply := []byte(answer("r", 200, "", "ok"))
	c := benchRelay(b, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = c.Write(reply)
		}
	})
	request := []byte("POST /again/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nhi")
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Write(request)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// BenchmarkRelayedEvent relays one event of a stream from the server to the caller, each
// in its own chunk. The next event is sent once the last one was read.
func BenchmarkRelayedEvent(b *testing.B) {
	next := make(chan struct{})
	event := []byte(chunk(events(1, 1)))
	c := benchRelay(b, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, streamHead)
		for range next {
			_, _ = c.Write(event)
		}
	})
	_, _ = io.WriteString(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n")
	buffer := make([]byte, 4096)
	next <- struct{}{}
	if _, err := c.Read(buffer); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		next <- struct{}{}
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
	close(next)
}
