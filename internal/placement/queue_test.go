package placement

import (
	"fmt"
	"testing"
	"time"
)

// An urgent prompt is read before the long prompts that wait. It must not be predicted
// behind them, which would keep it from engines that would read it at once.
func TestAnUrgentPromptIsNotPredictedBehindLessUrgentOnes(t *testing.T) {
	b := NewBoard(testPace, "here")
	for i := range 10 {
		b.Begin(RunID{"peer", i}, "e0", longPrompt("c", fmt.Sprint(i)), 20_000, start)
	}
	urgent, _ := b.Choose(shortPrompt("n"), engines(1), start)
	if urgent.First > 500*time.Millisecond {
		t.Errorf("a short prompt is predicted after %v", urgent.First)
	}
	if long, _ := b.Choose(longPrompt("c", "x"), engines(1), start); long.First < 3*time.Second {
		t.Errorf("a long prompt behind ten others is predicted after %v", long.First)
	}
}

// A long prompt with low priority waits while urgent ones keep arriving and are read
// first. Its predicted wait must include them.
func TestALessUrgentPromptIsPredictedBehindExpectedUrgentOnes(t *testing.T) {
	b := NewBoard(testPace, "here")
	now := start
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		b.Begin(RunID{"peer", i}, "e0", shortPrompt(fmt.Sprint(i)), 800, now)
		b.FirstEvent(RunID{"peer", i}, now)
		b.End(RunID{"peer", i}, now)
	}
	delayed, _ := b.Choose(longPrompt("c", "x"), engines(1), now)
	alone, _ := b.Choose(longPrompt("c", "x"), engines(1), now.Add(20*time.Second))
	if delayed.First < alone.First*3/2 {
		t.Errorf("%v beside short prompts, %v without", delayed.First, alone.First)
	}
}

// A request that waits in the queue of an engine at work must not be taken for one that
// the engine has lost and that gets nothing.
func TestQueuedRequestsAreDistinguishedFromLostOnes(t *testing.T) {
	const limit = 700 * time.Millisecond
	mine := RunID{"me", 1}
	for _, c := range []struct {
		name    string
		happens func(b *Board)
		at      time.Duration
		queued  bool
	}{
		{"short prompts are read before it", func(b *Board) {
			b.FirstEvent(RunID{"peer", 1}, start.Add(800*time.Millisecond))
		}, time.Second, true},
		{"the engine gives no event", func(*Board) {}, 1500 * time.Millisecond, false},
		{"one that came later was served", func(b *Board) {
			b.FirstEvent(RunID{"peer", 3}, start.Add(300*time.Millisecond))
			b.FirstEvent(RunID{"peer", 1}, start.Add(800*time.Millisecond))
		}, time.Second, false},
		{"a more urgent one that came later was served", func(b *Board) {
			b.FirstEvent(RunID{"peer", 4}, start.Add(300*time.Millisecond))
		}, time.Second, true},
		{"its own prompt is read", func(b *Board) {
			b.End(RunID{"peer", 1}, start)
			b.End(RunID{"peer", 2}, start)
			b.End(RunID{"peer", 4}, start)
			b.QueueStatus(mine, start.Add(400*time.Millisecond))
			b.FirstEvent(RunID{"peer", 5}, start.Add(900*time.Millisecond))
		}, time.Second, true},
	} {
		b := NewBoard(testPace, "here")
		b.Begin(RunID{"peer", 1}, "e0", shortPrompt("a"), 1000, start)
		b.Begin(RunID{"peer", 2}, "e0", shortPrompt("b"), 1000, start)
		b.Begin(mine, "e0", longPrompt("c", "mine"), 20_000, start)
		b.Begin(RunID{"peer", 3}, "e0", longPrompt("c", "later"), 20_000, start)
		b.Begin(RunID{"peer", 4}, "e0", shortPrompt("c"), 1000, start)
		b.Begin(RunID{"peer", 5}, "e0", shortPrompt("d"), 0, start)
		c.happens(b)
		if status := b.QueueStatus(mine, start.Add(c.at)); status.Queued(limit) != c.queued {
			t.Errorf("%s: %+v", c.name, status)
		}
	}
}

// A request that would begin after its caller has left must be refused, since its caller
// can retry.
func TestRequestsWhoseCallerWouldNotWaitAreRefused(t *testing.T) {
	b := NewBoard(testPace, "here")
	for i := range 200 {
		b.servers["e0"] = b.server(engines(1)[0])
		runStream(b, RunID{"peer", 1000 + i}, "e0", shortPrompt(fmt.Sprint(i)), 20, 20*time.Millisecond, start)
	}
	now := start.Add(time.Second)
	for i := range 20 {
		b.Begin(RunID{"peer", i}, "e0", longPrompt("c", fmt.Sprint(i)), 20_000, now)
	}
	work := longPrompt("c", "x")
	work.FirstLeft = 2 * time.Second
	if choice, refusal := b.Choose(work, engines(1), now); refusal != NotWorthwhile {
		t.Errorf("%v %+v", refusal, choice)
	}
	work.FirstLeft = 0
	if choice, refusal := b.Choose(work, engines(1), now); choice.LostProbability > 0.5 || refusal != Chosen {
		t.Errorf("where its caller waits: %v %+v", refusal, choice)
	}
}
