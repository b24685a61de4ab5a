package placement

import (
	"fmt"
	"testing"
	"time"
)

// Long reports wait on an engine that would read a note before them; a note that is
// predicted behind them is kept from the engines that would serve it at once.
func TestAnUrgentPromptIsNotPredictedBehindLessUrgentOnes(t *testing.T) {
	b := NewBoard(testPace, "here")
	for i := range 10 {
		b.Begin(RunID{"peer", i}, "e0", bundle("c", fmt.Sprint(i)), 20_000, start)
	}
	urgent, _ := b.Choose(note("n"), engines(1), start)
	if urgent.First > 500*time.Millisecond {
		t.Errorf("a note is predicted after %v", urgent.First)
	}
	if long, _ := b.Choose(bundle("c", "x"), engines(1), start); long.First < 3*time.Second {
		t.Errorf("a bundle behind ten others is predicted after %v", long.First)
	}
}

// Notes keep coming and are read first; a bundle that is predicted without them waits for
// several times as long as was thought when it was placed.
func TestALessUrgentPromptIsPredictedBehindThoseThatWillCome(t *testing.T) {
	b := NewBoard(testPace, "here")
	now := start
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		b.Begin(RunID{"peer", i}, "e0", note(fmt.Sprint(i)), 800, now)
		b.First(RunID{"peer", i}, now)
		b.End(RunID{"peer", i}, now)
	}
	overtaken, _ := b.Choose(bundle("c", "x"), engines(1), now)
	alone, _ := b.Choose(bundle("c", "x"), engines(1), now.Add(20*time.Second))
	if overtaken.First < alone.First*3/2 {
		t.Errorf("%v beside notes, %v without", overtaken.First, alone.First)
	}
}

// An instance gives a request up that waits in the queue of an engine at work. It loses its
// place, and its caller gets nothing.
func TestWhatWaitsInAQueueIsToldFromWhatAnEngineHasLost(t *testing.T) {
	const patience = 700 * time.Millisecond
	mine := RunID{"me", 1}
	for _, c := range []struct {
		name    string
		happens func(b *Board)
		at      time.Duration
		queued  bool
	}{
		{"notes are read before it", func(b *Board) {
			b.First(RunID{"peer", 1}, start.Add(800*time.Millisecond))
		}, time.Second, true},
		{"the engine gives no event", func(*Board) {}, 1500 * time.Millisecond, false},
		{"one that came later was served", func(b *Board) {
			b.First(RunID{"peer", 3}, start.Add(300*time.Millisecond))
			b.First(RunID{"peer", 1}, start.Add(800*time.Millisecond))
		}, time.Second, false},
		{"a more urgent one that came later was served", func(b *Board) {
			b.First(RunID{"peer", 4}, start.Add(300*time.Millisecond))
		}, time.Second, true},
		{"its own prompt is read", func(b *Board) {
			b.End(RunID{"peer", 1}, start)
			b.End(RunID{"peer", 2}, start)
			b.End(RunID{"peer", 4}, start)
			b.Standing(mine, start.Add(400*time.Millisecond))
			b.First(RunID{"peer", 5}, start.Add(900*time.Millisecond))
		}, time.Second, true},
	} {
		b := NewBoard(testPace, "here")
		b.Begin(RunID{"peer", 1}, "e0", note("a"), 1000, start)
		b.Begin(RunID{"peer", 2}, "e0", note("b"), 1000, start)
		b.Begin(mine, "e0", bundle("c", "mine"), 20_000, start)
		b.Begin(RunID{"peer", 3}, "e0", bundle("c", "later"), 20_000, start)
		b.Begin(RunID{"peer", 4}, "e0", note("c"), 1000, start)
		b.Begin(RunID{"peer", 5}, "e0", note("d"), 0, start)
		c.happens(b)
		if standing := b.Standing(mine, start.Add(c.at)); standing.Queued(patience) != c.queued {
			t.Errorf("%s: %+v", c.name, standing)
		}
	}
}

// What an engine is predicted to begin when its caller has left is accepted and gets
// nothing, though it could have come back.
func TestWhatItsCallerWouldNotWaitForIsRefused(t *testing.T) {
	b := NewBoard(testPace, "here")
	for i := range 200 {
		b.servers["e0"] = b.server(engines(1)[0])
		streamOn(b, RunID{"peer", 1000 + i}, "e0", note(fmt.Sprint(i)), 20, 20*time.Millisecond, start)
	}
	now := start.Add(time.Second)
	for i := range 20 {
		b.Begin(RunID{"peer", i}, "e0", bundle("c", fmt.Sprint(i)), 20_000, now)
	}
	work := bundle("c", "x")
	work.FirstLeft = 2 * time.Second
	if choice, refusal := b.Choose(work, engines(1), now); refusal != NotWorth {
		t.Errorf("%v %+v", refusal, choice)
	}
	work.FirstLeft = 0
	if choice, refusal := b.Choose(work, engines(1), now); choice.Lost > 0.5 || refusal != Chosen {
		t.Errorf("where its caller waits: %v %+v", refusal, choice)
	}
}
