package upstream

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/engineapi"
)

const benchEvent = `{"offset":123,"text":"ab12.123 "}`

// BenchmarkDecodeEvent compares one decoder for a whole stream with json.Unmarshal for
// each event.
func BenchmarkDecodeEvent(b *testing.B) {
	b.Run("reader", func(b *testing.B) {
		r := newEventReader()
		r.reset(strings.NewReader(strings.Repeat("id: 123\ndata: "+benchEvent+"\n\n", b.N)))
		var event engineapi.TokenEvent
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			if _, err := r.next(&event); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("unmarshal", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var event engineapi.TokenEvent
			if err := json.Unmarshal([]byte(benchEvent), &event); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkStillOpen measures the check that an unused connection is still open.
func BenchmarkStillOpen(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	cn := newConn(raw, "")
	b.ReportAllocs()
	for b.Loop() {
		if !netconn.IsReusable(cn.Conn) {
			b.Fatal("the connection is open")
		}
	}
}
