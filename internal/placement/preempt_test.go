package placement

import (
	"fmt"
	"testing"
	"time"
)

// rewrite is a request that holds its slot for a moment.
func rewrite(id string) Work {
	return Work{
		Parts:  []Part{{ID: "style", Tokens: 500}, {ID: id, Tokens: 1300}},
		Prompt: 1800, Output: 24, Goal: 500 * time.Millisecond, MaxGap: 400 * time.Millisecond, Left: 3 * time.Second, Priority: 1,
	}
}

// newFullBoard returns a Board of many instances and its engines of twelve slots, each
// with some streams of the longest kind and urgent streams in the other slots. All prompts
// have been read.
func newFullBoard(n, long int) (*Board, []Candidate) {
	const slots = 12
	b := newContendedBoard(1, 83)
	b.goals[streamKind{}] = 500 * time.Millisecond
	candidates := engines(n)
	for i := range candidates {
		candidates[i].Slots = slots
		b.server(candidates[i])
		for n := range slots {
			id, work := RunID{candidates[i].ID, n}, longPrompt("c", "old")
			if n >= long {
				work = shortPrompt("old")
			}
			b.Begin(id, candidates[i].ID, work, 0, start)
			b.FirstEvent(id, start)
		}
	}
	return b, candidates
}

// placed returns how many of n requests are placed on each server, all at one instant.
func placed(b *Board, work func(id string) Work, n int, candidates []Candidate) map[string]int {
	at := start.Add(time.Second)
	out := make(map[string]int)
	for i := range n {
		id := fmt.Sprint("new", i)
		if choice, refusal := b.Choose(work(id), candidates, at); refusal == Chosen {
			out[choice.Server]++
			b.Begin(RunID{"me", i}, choice.Server, work(id), choice.Unread, at)
		}
	}
	return out
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Guards against refusing brief urgent requests while less urgent streams keep their slots.
func TestBriefRequestsTakeSlotsOfLongLessUrgentStreams(t *testing.T) {
	b, candidates := newFullBoard(8, 4)
	if got := total(placed(b, rewrite, 8, candidates)); got == 0 {
		t.Error("all of 8 brief requests refused by 8 engines with 4 long streams each")
	}
	b, candidates = newFullBoard(1, 4)
	b.SetPeers(0, 0)
	if got := total(placed(b, rewrite, 1, candidates)); got != 1 {
		t.Error("a brief request refused by the only instance")
	}
	b, candidates = newFullBoard(8, 0)
	if got := placed(b, rewrite, 8, candidates); total(got) > 0 {
		t.Errorf("%v placed although all streams are more urgent", got)
	}
}

// Guards against an engine whose long streams all stand still.
func TestBriefRequestsTakeABoundedNumberOfSlots(t *testing.T) {
	b, candidates := newFullBoard(4, 9)
	got := placed(b, rewrite, 200, candidates)
	if total(got) == 0 {
		t.Error("none of 200 brief requests placed")
	}
	for server, n := range got {
		if n > 12/preemptDivisor {
			t.Errorf("%d brief requests beyond the slots of %s", n, server)
		}
	}
}

// Guards against preempting where an engine has no time to read prompts again.
func TestBriefRequestsDoNotPreemptWhereReadingIsScarce(t *testing.T) {
	b, candidates := newFullBoard(1, 4)
	b.SetPeers(0, 0)
	for i := range 25 {
		id := RunID{"burst", i}
		at := start.Add(time.Duration(i) * 40 * time.Millisecond)
		b.Begin(id, candidates[0].ID, shortPrompt(fmt.Sprint(i)), 3000, at)
		b.FirstEvent(id, at)
		b.End(id, at)
	}
	if got := total(placed(b, rewrite, 8, candidates)); got > 0 {
		t.Errorf("%d placed on an engine that reads all the time", got)
	}
}

// Guards against brief requests that keep every freed slot from more urgent ones.
func TestUrgentRequestsTakeFreedSlotsBesideBriefOnes(t *testing.T) {
	b, candidates := newFullBoard(1, 6)
	if got := total(placed(b, rewrite, 20, candidates)); got < 2 {
		t.Fatalf("%d brief requests placed", got)
	}
	for id, r := range b.runs {
		if r.work.Priority == 0 {
			b.End(id, start.Add(time.Second))
			break
		}
	}
	if choice, refusal := b.Choose(shortPrompt("x"), candidates, start.Add(time.Second)); refusal != Chosen {
		t.Errorf("an urgent request is refused: %+v", choice)
	}
}

// Guards against preempting on an engine that caches the prompt while another has free slots.
func TestNothingIsPreemptedWhileSlotsAreFree(t *testing.T) {
	b, candidates := newFullBoard(8, 4)
	idle := Candidate{ID: "idle", DataCentre: "there", Slots: 64, MemoryTokens: 500_000, EventTokens: 2}
	b.contention.begun = [lastPriorityIndex + 1]rate{}
	shared := func(string) Work {
		work := rewrite("x")
		work.Parts = []Part{{ID: "style", Tokens: 1700}, {ID: "x", Tokens: 100}}
		return work
	}
	b.RecordCachedParts("e0", shared("").Parts[:1], start)
	b.partUsedAt["style"] = start
	if got := placed(b, shared, 4, append(candidates, idle)); got["idle"] != 4 {
		t.Errorf("placed %v", got)
	}
}
