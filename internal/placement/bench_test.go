package placement

import (
	"fmt"
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
