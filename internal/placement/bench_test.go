package placement

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice among 18, 140 or 600 engines, each with ten runs.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 140, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			board := NewBoard(testPace, "here")
			candidates := enginesWithFetch(n)
			board.Choose(shortPrompt("first"), candidates, start)
			for i := range 10 * n {
				work := longPrompt(fmt.Sprint("c", i%n), fmt.Sprint(i))
				board.Begin(RunID{"peer", i}, candidates[i%n].ID, work, 5000, start)
			}
			now := start.Add(time.Second)
			work := longPrompt("c1", "x")
			b.ReportAllocs()
			for b.Loop() {
				board.Choose(work, candidates, now)
			}
		})
	}
}

// BenchmarkPreferOpenConnections measures one choice of an instance that prefers open connections, and
// of one that does not, by the size of the fleet; one in eight servers has a connection.
func BenchmarkPreferOpenConnections(b *testing.B) {
	for _, size := range []struct{ instances, servers int }{{8, 24}, {86, 144}, {300, 600}, {585, 5910}} {
		for _, prefer := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d-instances/prefer-%v", size.instances, prefer), func(b *testing.B) {
				board := connectedBoard("me", 0.14)
				board.SetFeatures(Features{LargeFleet: 2, PreferOpenConnections: prefer})
				var open sync.Map
				pool := largePool(size.servers)
				for n, c := range pool.candidates {
					if n%8 == 0 {
						open.Store(c.ID, start)
					}
				}
				board.SetConnected(func(server string) bool { _, ok := open.Load(server); return ok })
				work := shortPrompt("x")
				allowed := func(*Candidate) bool { return true }
				b.ReportAllocs()
				for b.Loop() {
					board.ChooseFrom(work, pool, nil, allowed, start)
				}
			})
		}
	}
}
