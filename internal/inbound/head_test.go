package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/membudget"
)

// controlServer serves an empty answer to each request, of which it parses the arguments.
func controlServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := New(descriptors.Control, descriptors.New(1000), membudget.New(testMemory), zap.NewNop())
	server := ControlServer(func(ctx *fasthttp.RequestCtx) { ctx.QueryArgs() }, conns, zap.NewNop())
	go func() { _ = server.Serve(conns.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // pools keep what they hold for one collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against idle connections that keep what the head of an earlier request took.
func TestIdleConnectionsKeepNoLargeHead(t *testing.T) {
	const (
		clients = 100
		most    = 40 << 10 // of both sides of a connection; what is parsed alone would take 74 KiB or more
	)
	for name, request := range map[string]string{
		"fields":    "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n",
		"arguments": "GET /?" + strings.Repeat("a&", 1800) + " HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := controlServer(t)
			before := liveHeap()
			for range clients {
				c := dialCaller(t, address)
				if _, err := io.WriteString(c, request); err != nil {
					t.Fatal(err)
				}
				if response, err := http.ReadResponse(c.reader, nil); err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("%v, %v", response, err)
				}
			}
			if each := (int64(liveHeap()) - int64(before)) / clients; each > most {
				t.Errorf("%d bytes for each connection, more than %d", each, most)
			}
		})
	}
}

// Guards against a connection that is closed without a word where its request could not be read.
func TestRequestsThatCannotBeReadAreRefused(t *testing.T) {
	address := controlServer(t)
	for request, status := range map[string]int{
		"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n": http.StatusRequestHeaderFieldsTooLarge,
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nxx":                http.StatusBadRequest,
		"no request\r\n\r\n": http.StatusBadRequest,
	} {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, request) // the server may close before all of it is read
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != status {
			t.Errorf("%.20q: %v, %v; want %d", request, response, err, status)
		}
	}
}
