package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/upstream"
)

// zeroCostEngine takes almost no time per token, so the benchmarks measure the client's
// own cost.
func zeroCostEngine() engine.Config {
	return engine.Config{
		Engines: []engine.EngineConfig{{Model: enginemodel.Config{
			Name:              "e0",
			StepMS:            0.0001,
			PrefillTokensPerS: 1 << 40,
			KeepEnded:         1,
		}}},
		Heartbeat: -1,
	}
}

type discardSink struct{}

func (discardSink) Token(engineapi.TokenEvent) error { return nil }

// rawConn sends requests and reads answers with as little work as possible.
type rawConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialRaw(b *testing.B, address string) *rawConn {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return &rawConn{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
}

func (c *rawConn) generate(b *testing.B, id string, tokens int) {
	body := string(generate(id, tokens).Body)
	request := "POST /v1/generate HTTP/1.1\r\nHost: x\r\nX-Engine: e0\r\nX-Request-Id: " + id +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if _, err := io.WriteString(c.conn, request); err != nil {
		b.Fatal(err)
	}
	end := []byte("0\r\n")
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if bytes.Equal(line, end) {
			_, _ = c.reader.ReadSlice('\n')
			return
		}
	}
}

// BenchmarkGenerate measures one whole request of one token: through the client, and read
// raw from the same stand-in.
func BenchmarkGenerate(b *testing.B) {
	_, target := startEngine(b, zeroCostEngine())
	b.Run("client", func(b *testing.B) {
		client := upstream.New(upstream.Config{})
		b.ReportAllocs()
		for i := range b.N {
			if err := client.Generate(background, target, generate(fmt.Sprint("c", b.N, ".", i), 1), discardSink{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("raw", func(b *testing.B) {
		raw := dialRaw(b, target.Address)
		b.ReportAllocs()
		for i := range b.N {
			raw.generate(b, fmt.Sprint("r", b.N, ".", i), 1)
		}
	})
}

// BenchmarkStream measures one token of a long stream over loopback: through the client,
// and read raw from the same stand-in.
func BenchmarkStream(b *testing.B) {
	_, target := startEngine(b, zeroCostEngine())
	b.Run("client", func(b *testing.B) {
		client := upstream.New(upstream.Config{})
		b.ReportAllocs()
		if err := client.Generate(background, target, generate(fmt.Sprint("c", b.N), b.N), discardSink{}); err != nil {
			b.Fatal(err)
		}
	})
	b.Run("raw", func(b *testing.B) {
		raw := dialRaw(b, target.Address)
		b.ReportAllocs()
		raw.generate(b, fmt.Sprint("r", b.N), b.N)
	})
}

// BenchmarkLoneToken measures a token that arrives alone, as from an engine whose step
// takes longer than reading a token: one write and one read of the socket each.
func BenchmarkLoneToken(b *testing.B) {
	b.Run("client", func(b *testing.B) {
		ask, target := startTokenPerRequest(b)
		sink := &pacedSink{requests: ask, remaining: b.N}
		b.ReportAllocs()
		ask <- struct{}{}
		err := upstream.New(upstream.Config{}).Generate(background, target, generate("a", 1), sink)
		if sink.remaining > 0 {
			b.Fatal(err)
		}
	})
	b.Run("raw", func(b *testing.B) {
		ask, target := startTokenPerRequest(b)
		raw := dialRaw(b, target.Address)
		_, _ = io.WriteString(raw.conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		b.ReportAllocs()
		for range b.N {
			ask <- struct{}{}
			for line := []byte{}; !bytes.HasPrefix(line, []byte("data:")); {
				var err error
				if line, err = raw.reader.ReadSlice('\n'); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}

// startTokenPerRequest starts an upstream that sends one token for each value sent on
// the returned channel.
func startTokenPerRequest(b *testing.B) (chan<- struct{}, upstream.Target) {
	b.Helper()
	requests := make(chan struct{}, 1)
	b.Cleanup(func() { close(requests) })
	_, target := startScripted(b, func(conn net.Conn, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Started: true\r\nTransfer-Encoding: chunked\r\n\r\n")
		i := 0
		for range requests {
			event := fmt.Sprintf("id: %d\ndata: {\"offset\":%d,\"text\":\"%s\"}\n\n", i, i, engine.TokenText("a", i))
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			i++
		}
		return false
	})
	return requests, target
}

// pacedSink requests the next token when it has received one.
type pacedSink struct {
	requests  chan<- struct{}
	remaining int
}

func (s *pacedSink) Token(engineapi.TokenEvent) error {
	s.remaining--
	if s.remaining == 0 {
		return io.EOF
	}
	s.requests <- struct{}{}
	return nil
}

// BenchmarkHolds measures one request for an engine's holdings, and its bytes in both
// directions.
func BenchmarkHolds(b *testing.B) {
	cfg := zeroCostEngine()
	cfg.Engines[0].Models = []string{"drafting@2026-11"}
	_, target := startEngine(b, cfg)
	var bytes atomic.Int64
	client := upstream.New(upstream.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return &countingConn{Conn: conn, total: &bytes}, err
	}})
	b.ReportAllocs()
	for range b.N {
		if _, err := client.Holdings(background, target); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}
