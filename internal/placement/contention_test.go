package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// All engines are full but one, where four streams have just ended. Each of 59 instances
// sees its free slots and gets three requests before it receives the reports of the
// others. If all of them send there, callers wait behind some 170 others until their
// deadline; about as many as there are slots should be sent.
func TestInstancesDoNotOverfillTheLastFreeSlots(t *testing.T) {
	const instances, each, freeSlots = 59, 3, 4
	sent := 0
	for i := range instances {
		b := newContendedBoard(uint64(i), instances)
		candidates := engines(20)
		for n := range candidates {
			candidates[n].Slots = 16
			b.server(candidates[n])
			runs := 13
			if n == 7 {
				runs -= freeSlots
			}
			b.beginRuns(candidates[n].ID, runs, longPrompt("c", "old"))
		}
		for range each {
			if choice, refusal := b.Choose(longPrompt("c", "new"), candidates, start); refusal == Chosen {
				b.Begin(RunID{"me", sent}, choice.Server, longPrompt("c", "new"), 0, start)
				sent++
			} else if choice.Free == 0 || choice.Unreported <= choice.Free {
				t.Errorf("the refusal lacks its reason: %+v", choice)
			}
		}
	}
	if sent < 1 || sent > 4*freeSlots {
		t.Errorf("%d requests sent to %d free slots", sent, freeSlots)
	}
}

// Few slots are free, and one of them is at an engine that caches the prompt. A request
// that is placed must go there: its caller need not wait for the prompt to be read or
// fetched elsewhere.
func TestCacheHolderIsChosenAmongTheLastSlots(t *testing.T) {
	b := newContendedBoard(1, 59)
	candidates := engines(20)
	for n := range candidates {
		candidates[n].Slots = 16
		b.server(candidates[n])
		b.beginRuns(candidates[n].ID, 7, shortPrompt("old"))
	}
	work := longPrompt("chain", "mine")
	b.RecordCachedParts("e11", work.Parts[:1], start)
	for range 200 {
		if choice, refusal := b.Choose(work, candidates, start); refusal == Chosen && choice.Server != "e11" {
			t.Fatalf("went to %s", choice.Server)
		}
	}
}

// Long prompts of the lowest priority arrive at three times the rate that the engines
// sustain, so most are refused. A few more urgent requests arrive among them. They must
// not be refused, since slots are reserved for them and others are freed all the time.
func TestUrgentRequestsAreNotRefusedBecauseOfManyLessUrgentOnes(t *testing.T) {
	b := newContendedBoard(1, 59)
	candidates := engines(20)
	for n := range candidates {
		candidates[n].Slots = 16
		b.server(candidates[n])
		b.beginRuns(candidates[n].ID, 12, longPrompt("c", "old"))
	}
	urgent := longPrompt("urgent", "mine")
	urgent.Priority = 1
	accepted := 0
	for n := range 100 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		for range 10 { // a thousand in a second
			b.contention.begun[2].add(now)
		}
		if _, refusal := b.Choose(urgent, candidates, now); refusal != Chosen {
			t.Fatalf("urgent request %d refused", n)
		}
		if _, refusal := b.Choose(longPrompt("c", "new"), candidates, now); refusal == Chosen {
			accepted++
		}
	}
	if accepted > 30 {
		t.Errorf("%d of 100 long prompts sent to 20 slots: the test creates too little contention", accepted)
	}
}

// A single instance has reports of everything that is sent and need not hold back: it
// uses the last slot.
func TestASingleInstanceUsesTheLastSlot(t *testing.T) {
	b := newContendedBoard(1, 1)
	candidates := engines(1)
	candidates[0].Slots = 2
	for range 100 {
		if _, refusal := b.Choose(shortPrompt("a"), candidates, start); refusal != Chosen {
			t.Fatal(refusal)
		}
	}
}

// No engine is reachable. The refusal must give that reason, since callers should retry
// as soon as one may be tried again, and must not be that all engines are full.
func TestUnreachableEnginesAreNotReportedAsFull(t *testing.T) {
	b := newContendedBoard(1, 59)
	candidates := engines(3)
	for _, c := range candidates {
		b.server(c)
		b.Observe(c.ID, Unreachable, start)
	}
	for _, reached := range [][]Candidate{candidates, nil} {
		if _, refusal := b.Choose(longPrompt("c", "x"), reached, start); refusal != NoneReachable {
			t.Errorf("%d candidates: refusal %d", len(reached), refusal)
		}
	}
}

// Requests with prompts go to a service whose servers are not engines. These have no
// memory limit and queue requests beyond their slots, so none may be refused.
func TestPromptsToServersWithoutAnEngineAreNotRefused(t *testing.T) {
	b := newContendedBoard(1, 59)
	candidates := []Candidate{{ID: "p0", DataCentre: "here", Slots: 4}, {ID: "p1", DataCentre: "here", Slots: 4}}
	for n := range 40 {
		choice, refusal := b.Choose(longPrompt("c", "x"), candidates, start)
		if refusal != Chosen {
			t.Fatalf("request %d refused", n)
		}
		b.Begin(RunID{"me", n}, choice.Server, longPrompt("c", "x"), 0, start)
	}
}

// One of 85 instances gets twice its share of long prompts for a second, while the
// engines have capacity for what all instances send. It must not refuse any.
func TestAnInstanceWithABurstDoesNotRefuseWhileEnginesAreFree(t *testing.T) {
	const instances, fleetRate, ownRate = 85, 440, 12
	b := NewBoard(testPace, "here")
	b.SetPeers(instances-1, 245*time.Millisecond)
	candidates := engines(140)
	for n := range candidates {
		candidates[n].Slots = 16
		b.server(candidates[n])
	}
	run, refused := 0, 0
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms*fleetRate/1000 != (ms+1)*fleetRate/1000 {
			run++
			b.Begin(RunID{"other", run}, candidates[run%140].ID, longPrompt("c", "x"), 0, now)
			b.End(RunID{"other", run - 3*fleetRate}, now) // runs last three seconds
		}
		if ms*ownRate/1000 != (ms+1)*ownRate/1000 {
			if _, refusal := b.Choose(longPrompt("c", "mine"), candidates, now); refusal != Chosen {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d refused", refused)
	}
}

// beginRuns has other instances begin runs on a server.
func (b *Board) beginRuns(server string, runs int, work Work) {
	for n := range runs {
		b.Begin(RunID{server, n}, server, work, 0, start)
	}
}

// newContendedBoard returns a Board of an instance that receives the choices of the
// others 170 ms late. For three seconds all instances together have sent 17 long prompts
// a second for each of them.
func newContendedBoard(seed uint64, instances int) *Board {
	b := NewBoard(testPace, "here")
	b.rand = rand.New(rand.NewPCG(seed, 0))
	b.SetPeers(instances-1, 164*time.Millisecond)
	each := time.Second / time.Duration(17*instances)
	for at := start.Add(-3 * time.Second); at < start; at = at.Add(each) {
		b.contention.begun[2].add(at)
	}
	return b
}

func TestFullProbability(t *testing.T) {
	for _, c := range []struct {
		arrivals float64
		free     int
		low, top float64
	}{{0, 0, 0, 0}, {0.1, 1, 0.09, 0.1}, {2, 10, 0, 0.001}, {5, 1, 0.99, 1}, {3, 3, 0.55, 0.6}} {
		if got := fullProbability(c.arrivals, c.free); got < c.low || got > c.top {
			t.Errorf("%v arrivals, %d free: %.3f", c.arrivals, c.free, got)
		}
	}
}

// One engine caches the start of a prompt, has two slots free, and receives 20 requests a
// second from all instances. If their reports arrive late, one more would be refused by
// an engine that is full when it arrives, so it must go to another one.
func TestAnEngineUsedByAllInstancesIsAvoidedWhileReportsAreLate(t *testing.T) {
	for _, lag := range []time.Duration{10 * time.Millisecond, 240 * time.Millisecond} {
		b := NewBoard(testPace, "here")
		b.SetPeers(82, lag)
		candidates := engines(30)
		for n := range candidates {
			candidates[n].Slots = 12
			b.server(candidates[n])
		}
		work := Work{
			Parts: []Part{{ID: "big", Tokens: 20000}, {ID: "own", Tokens: 100}}, Prompt: 20100, Output: 170,
			Goal: 2500 * time.Millisecond, Left: 15 * time.Second,
		}
		b.RecordCachedParts("e4", work.Parts[:1], start)
		for n := range 40 {
			at := start.Add(time.Duration(n) * 50 * time.Millisecond)
			b.Begin(RunID{"peer", n}, "e4", work, 0, at)
			b.FirstEvent(RunID{"peer", n}, at)
			b.End(RunID{"peer", n - 10}, at)
		}
		now := start.Add(2 * time.Second)
		choice, _ := b.Choose(work, candidates, now)
		if crowded := lag > 100*time.Millisecond; crowded == (choice.Server == "e4") {
			t.Errorf("reports delayed by %v: %+v", lag, choice)
		}
	}
}

// An engine refuses a request because it is full, before the reports of the requests that
// filled it have arrived. The next request must go elsewhere, and the engine must be
// tried again after refusedPause.
func TestAnEngineIsPausedAfterItRefused(t *testing.T) {
	b := NewBoard(testPace, "here")
	one := engines(1)
	chooseAndBegin(t, b, 1, shortPrompt("a"), one, start)
	b.Observe("e0", Refused, start)
	if _, refusal := b.Choose(shortPrompt("b"), one, start.Add(refusedPause/2)); refusal != AllFull {
		t.Errorf("chosen again at once: %d", refusal)
	}
	if _, refusal := b.Choose(shortPrompt("b"), one, start.Add(refusedPause)); refusal != Chosen {
		t.Errorf("not chosen a moment later: %d", refusal)
	}
}

// Long streams must not take the last slots for seconds while urgent requests arrive
// faster than slots become free.
func TestSlotsThatUrgentRequestsWillNeedAreNotGivenToLongStreams(t *testing.T) {
	b := NewBoard(testPace, "here")
	b.SetPeers(8, 10*time.Millisecond)
	candidates := engines(2)
	for n := range candidates {
		candidates[n].Slots = 40
		b.server(candidates[n])
		b.beginRuns(candidates[n].ID, 20, shortPrompt("old"))
	}
	later := start.Add(5 * time.Second)
	for _, work := range []Work{shortPrompt("new"), longPrompt("c", "new")} {
		if _, refusal := b.Choose(work, candidates, later); refusal != Chosen {
			t.Fatalf("priority %d is refused while few short prompts arrive: %v", work.Priority, refusal)
		}
	}
	for i := range 200 {
		b.contention.begun[0].add(later.Add(time.Duration(i) * time.Millisecond))
	}
	now := later.Add(200 * time.Millisecond)
	if choice, refusal := b.Choose(longPrompt("c", "new"), candidates, now); refusal != AllFull || choice.Reserved == 0 {
		t.Errorf("a long prompt while urgent ones need the slots: %v %+v", refusal, choice)
	}
	if _, refusal := b.Choose(shortPrompt("new"), candidates, now); refusal != Chosen {
		t.Errorf("a short prompt: %v", refusal)
	}
}

// Engines whose slots are all taken by long streams would serve next to no brief
// requests. Long streams must leave some slots free on other engines.
func TestBriefRequestsFindSlotsBesideLongStreams(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(6)
	now := start
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		if i%5 == 0 {
			chooseAndBegin(t, b, 1000+i, longPrompt(fmt.Sprint("c", i%25), fmt.Sprint("b", i)), candidates, now)
		}
		choice := chooseAndBegin(t, b, i, shortPrompt(fmt.Sprint(i)), candidates, now)
		b.FirstEvent(RunID{"me", i}, now)
		if used := b.Running(choice.Server); used > 64-64/firstReserveDivisor {
			t.Fatalf("short prompt %d takes slot %d of 64 while others have more free", i, used)
		}
	}
}
