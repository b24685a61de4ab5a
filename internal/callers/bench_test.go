package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/answers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// benchBackend answers at once and stores nothing.
type benchBackend struct {
	*fakeBackend
	serve func(*answers.Log)
}

func (b *benchBackend) Submit(_ context.Context, _ *Request) (*answers.Log, string, *verdict.Error) {
	log := answers.NewLog(0)
	b.serve(log)
	return log, "local-1", nil
}

func (b *benchBackend) CallerGone(*catalog.Customer, string) {}

func (b *benchBackend) Delivered(*catalog.Customer, string) {}

func (b *benchBackend) Refused(*catalog.Customer, *catalog.Class, string, *verdict.Error) {}

func benchServer(b *testing.B, serve func(*answers.Log)) net.Conn {
	backend := &benchBackend{fakeBackend: newFakeBackend(nil), serve: serve}
	address := startServer(b, Config{}, backend)
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// BenchmarkWholeRequest measures one request and its whole answer of one token over a
// reused connection, including the client's work.
func BenchmarkWholeRequest(b *testing.B) {
	c := benchServer(b, func(log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Text: "a", Finish: "stop"})
		log.Close(nil)
	})
	request := []byte(rawRequest("draft", chatBodyWhole))
	reader := bufio.NewReader(c)
	var response fasthttp.Response
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Write(request)
		if err := response.Read(reader); err != nil || response.StatusCode() != fasthttp.StatusOK {
			b.Fatal(response.StatusCode(), err)
		}
	}
}

// BenchmarkStreamedToken measures one token from Append to the caller's socket. Each is
// in a chunk of its own, since the next one is appended after the last was read.
func BenchmarkStreamedToken(b *testing.B) {
	next := make(chan engineapi.TokenEvent)
	c := benchServer(b, func(log *answers.Log) {
		go func() {
			for event := range next {
				_ = log.Append(event)
			}
			log.Close(nil)
		}()
	})
	_, _ = c.Write([]byte(rawRequest("draft", chatBodyStream)))
	buffer := make([]byte, 4096)
	next <- engineapi.TokenEvent{Text: "first"}
	if _, err := c.Read(buffer); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 1; b.Loop(); i++ {
		next <- engineapi.TokenEvent{Offset: i, Text: " token"}
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
	_ = c.Close()
	close(next)
}

// BenchmarkEncodeChunk measures the encoding of one token.
func BenchmarkEncodeChunk(b *testing.B) {
	encoder := newChunkEncoder("i1-7f3a-1000-42", answers.About{Model: "m1", Created: 1})
	event := engineapi.TokenEvent{Offset: 12345, Text: " token\n"}
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer = encoder.appendChunk(buffer[:0], &event)
	}
	_, _ = io.Discard.Write(buffer)
}
