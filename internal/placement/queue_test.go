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
