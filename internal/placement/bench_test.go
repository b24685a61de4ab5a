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

// BenchmarkSplit measures what the split of engines costs an instance: an update, which
// runs at most each 100 ms, and later in a large pool, a run of any instance that begins
// and ends, and an engine considered for a request.
func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{24, 140, 600, 5910} {
		scale := float64(max(1, n/140))
		l := newSplitLoad(n, 200*scale, 50*scale)
		d := l.play(6 * time.Second)
		demand := make(map[streamKind]streamDemand)
		for kind, of := range d.demand {
			demand[kind] = *of
		}
		b.Run(fmt.Sprint("update/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for kind, of := range demand {
					*d.demand[kind] = of
				}
				d.updatedAt = l.now.Add(-5 * time.Second)
				l.board.updateSplit(l.candidates, l.now)
			}
		})
		if d.size == 0 {
			b.Fatal("no split")
		}
		work := longRead("bench")
		b.Run(fmt.Sprint("run/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.board.recordDemand(d.ranking[0], &work, 5000, l.now)
				d.recordEnd(&work, time.Second)
			}
		})
		b.Run(fmt.Sprint("cost/", n), func(b *testing.B) {
			for b.Loop() {
				d.cost(d.ranking[0], &work, 20*time.Millisecond, 150*time.Millisecond, 100*time.Millisecond)
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
