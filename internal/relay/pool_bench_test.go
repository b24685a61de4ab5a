package relay

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/placement"
)

// servedByInstance is the number of servers of fleets of so many instances, by which the
// benchmarks show how the cost of open connections grows.
var servedByInstance = []struct{ instances, servers int }{{8, 24}, {86, 144}, {300, 600}, {585, 5910}}

// BenchmarkConnected measures the questions of one choice: whether there is an idle
// connection to each of the servers that it considers, at most 256, half of which have one.
func BenchmarkConnected(b *testing.B) {
	for _, size := range servedByInstance {
		b.Run(fmt.Sprintf("%d-instances", size.instances), func(b *testing.B) {
			p, _ := pipePool(b)
			considered := min(size.servers, 256)
			ids := make([]string, considered)
			for n := range ids {
				ids[n] = fmt.Sprint("server-", n)
				if n%2 == 0 {
					c, err := p.get(context.Background(), targetFor(ids[n]), &placement.Work{})
					if err != nil {
						b.Fatal(err)
					}
					p.putIdle(c, "")
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, id := range ids {
					p.connected(id)
				}
			}
		})
	}
}

// BenchmarkReuse measures taking an idle connection and returning it, with the index.
func BenchmarkReuse(b *testing.B) {
	p, _ := pipePool(b)
	target := targetFor("s1")
	b.ReportAllocs()
	for b.Loop() {
		c, err := p.get(context.Background(), target, &placement.Work{})
		if err != nil {
			b.Fatal(err)
		}
		p.putIdle(c, "timeout=60")
	}
}

// BenchmarkIdleConnections reports the heap that an idle connection of loopback takes at
// this instance, its index entry included, and the time to open one and to sweep all. The
// heap includes the server's end, which has no buffer.
func BenchmarkIdleConnections(b *testing.B) {
	address, accepted := acceptOnLoopback(b)
	const connections = 300
	for b.Loop() {
		p := newPool(directConnector{dialTo(address)}, descriptors.Unlimited())
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var far []net.Conn
		for n := range connections {
			c, err := p.get(context.Background(), targetFor(fmt.Sprint("server-", n)), &placement.Work{})
			if err != nil {
				b.Fatal(err)
			}
			p.putIdle(c, "")
			far = append(far, <-accepted)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/connections, "heap-B/connection")
		p.sweep(func(string) bool { return false })
		for _, c := range far {
			_ = c.Close()
		}
	}
}
