package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"basilrudder/internal/schema/wire"
)

type benchHandler struct {
	up   chan Identity
	got  chan int
	echo *Links
}

func (c *benchHandler) LinkUp(peer Identity)   { c.up <- peer }
func (c *benchHandler) LinkDown(string, error) {}
func (c *benchHandler) Envelope(from string, env *wire.Envelope) {
	if c.echo != nil {
		c.echo.Send(from, env)
		return
	}
	c.got <- len(env.Acquires)
}

func benchLinks(b *testing.B, id string) (*Links, *benchHandler, string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := &benchHandler{up: make(chan Identity, 1024), got: make(chan int, 1024)}
	links, err := New(Config{
		Self:     Identity{ID: id, Incarnation: "1", PeerAddress: listener.Addr().String()},
		Keys:     []Key{{"k1", "a secret of the fleet"}},
		Listener: listener,
		Handler:  handler,
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = links.Run(ctx)
		close(done)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return links, handler, listener.Addr().String()
}

var benchEnvelope = &wire.Envelope{Acquires: []wire.Acquire{{
	Seq: 123456, Group: "a1b2c.0", Class: 1 << 31, Customer: 1 << 62, Tier: 1, PromptTokens: 800, Prefix: 1 << 62, BudgetMS: 1500,
}}}

// BenchmarkEnvelope measures round trips of acquires, one or 100 at a time; the latter share
// frames.
func BenchmarkEnvelope(b *testing.B) {
	for _, atOnce := range []int{1, 100} {
		b.Run(fmt.Sprintf("%d at once", atOnce), func(b *testing.B) {
			near, nearEvents, _ := benchLinks(b, "a")
			far, farEvents, address := benchLinks(b, "b")
			farEvents.echo = far
			near.SetTargets([]Target{{ID: "b", Address: address}})
			<-nearEvents.up
			b.ReportAllocs()
			b.ResetTimer()
			for sent := 0; sent < b.N; sent += atOnce {
				for range atOnce {
					near.Send("b", benchEnvelope)
				}
				for back := 0; back < atOnce; {
					back += <-nearEvents.got
				}
			}
			b.ReportMetric(float64(near.Counters().out[KindAcquire].Load())/float64(b.N), "wireB/op")
		})
	}
}

// BenchmarkLinkMemory opens links to one instance and reports the memory per link, including
// both ends and the dialing instance.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 50
	for b.Loop() {
		_, events, address := benchLinks(b, "hub")
		before := heap()
		for i := range links {
			spoke, _, _ := benchLinks(b, fmt.Sprintf("spoke-%d", i))
			spoke.SetTargets([]Target{{ID: "hub", Address: address}})
			<-events.up
		}
		b.ReportMetric(float64(heap()-before)/links, "B/link")
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
