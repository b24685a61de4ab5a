package tunnel

import (
	"io"
	"net"
	"runtime"
	"testing"
)

// benchPair is newPair for benchmarks, with room for many tunnels.
func benchPair(b *testing.B) *pair {
	p := newPair(b)
	p.server.MaxOpen = 1 << 20
	return p
}

// BenchmarkOpen measures opening and closing one tunnel, at both instances and the server
// together.
func BenchmarkOpen(b *testing.B) {
	p := benchPair(b)
	for b.Loop() {
		near, err := p.client.Open(b.Context(), NewID(), peer, p.address, "s1")
		if err != nil {
			b.Fatal(err)
		}
		far := <-p.upstreams
		_ = near.Close()
		_ = far.Close()
	}
}

// BenchmarkEvent measures passing on one event of a stream, at all three.
func BenchmarkEvent(b *testing.B) {
	near, far := benchPair(b).open()
	event := make([]byte, 120)
	got := make([]byte, len(event))
	for b.Loop() {
		if _, err := far.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(near, got); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOpenTunnels reports the memory of an open tunnel, of both ends and the peer.
func BenchmarkOpenTunnels(b *testing.B) {
	p := benchPair(b)
	const tunnels = 200
	var conns []net.Conn
	before := memory()
	for range tunnels {
		near, far := p.open()
		conns = append(conns, near, far)
	}
	used := memory() - before
	for b.Loop() {
		runtime.KeepAlive(conns)
	}
	b.ReportMetric(float64(used)/tunnels, "B/tunnel")
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
