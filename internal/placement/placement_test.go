package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// testPace is the pace of engines whose step time grows with the batch.
var testPace = pace.Pace{
	Step: 6550 * time.Microsecond, StepPerRun: 165 * time.Microsecond, ReadToken: 16026 * time.Nanosecond,
	AttentionPerM: 525 * time.Microsecond, First: 125 * time.Millisecond,
}

const start = monotime.Instant(time.Hour)

// engines returns n candidates in one data centre.
func engines(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{ID: fmt.Sprintf("e%d", i), DataCentre: "here", Slots: 64, MemoryTokens: 500_000, EventTokens: 2})
	}
	return out
}

// shortPrompt is a short prompt whose stream must not pause for more than 120 ms.
func shortPrompt(id string) Work {
	return Work{
		Parts:  []Part{{ID: "sys", Tokens: 300}, {ID: id, Tokens: 1100}},
		Prompt: 1400, Output: 170, Goal: 500 * time.Millisecond, MaxGap: 120 * time.Millisecond, Left: 15 * time.Second,
	}
}

// longPrompt is a long prompt whose stream may pause for half a second.
func longPrompt(chain, id string) Work {
	return Work{
		Parts:  []Part{{ID: chain, Tokens: 16000}, {ID: id, Tokens: 5000}},
		Prompt: 21000, Output: 120, Goal: 2500 * time.Millisecond, MaxGap: 500 * time.Millisecond, Left: 15 * time.Second, Priority: 2,
	}
}

// chooseAndBegin chooses a server for work and records that it began there.
func chooseAndBegin(t *testing.T, b *Board, number int, work Work, candidates []Candidate, now monotime.Instant) Choice {
	t.Helper()
	choice, refusal := b.Choose(work, candidates, now)
	if refusal != Chosen {
		t.Fatalf("no server: %d", refusal)
	}
	b.Begin(RunID{"me", number}, choice.Server, work, choice.Unread, now)
	return choice
}

// Reading a long prompt makes the streams beside it pause. Requests with short pauses and
// long prompts arrive in turn; each kind must find engines without the other, although no
// engine is dedicated to it.
func TestLongPromptsAvoidStreamsWithShortPauses(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(6)
	shortOn, longOn := map[string]bool{}, map[string]bool{}
	now := start
	for i := range 40 {
		now = now.Add(20 * time.Millisecond)
		n := chooseAndBegin(t, b, 2*i, shortPrompt(fmt.Sprint("n", i)), candidates, now)
		b.FirstEvent(RunID{"me", 2 * i}, now.Add(50*time.Millisecond))
		shortOn[n.Server] = true
		longOn[chooseAndBegin(t, b, 2*i+1, longPrompt(fmt.Sprint("c", i%8), fmt.Sprint("b", i)), candidates, now).Server] = true
	}
	for id := range shortOn {
		if longOn[id] {
			t.Errorf("%s runs both kinds: short prompts on %v, long ones on %v", id, shortOn, longOn)
		}
	}
}

// Requests with short pauses arrive along with long prompts. If they spread over all
// engines, each long prompt would make some of them late. They must share few engines and
// leave the others to the long prompts.
func TestShortPromptsShareFewEnginesWhileLongPromptsArrive(t *testing.T) {
	b := NewBoard(testPace, "here")
	used := map[string]bool{}
	now := start
	for i := range 30 {
		now = now.Add(50 * time.Millisecond)
		chooseAndBegin(t, b, 100+i, longPrompt(fmt.Sprint("c", i%5), fmt.Sprint("b", i)), engines(10), now)
		used[chooseAndBegin(t, b, i, shortPrompt(fmt.Sprint("n", i)), engines(10), now).Server] = true
		b.FirstEvent(RunID{"me", i}, now)
	}
	if len(used) > 2 {
		t.Errorf("30 short prompts spread over %d engines", len(used))
	}
}

func TestAPromptGoesWhereItsPartsAreCached(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(8)
	first := chooseAndBegin(t, b, 1, longPrompt("chain", "x"), candidates, start)
	b.FirstEvent(RunID{"me", 1}, start.Add(time.Second))
	b.End(RunID{"me", 1}, start.Add(2*time.Second))
	second := chooseAndBegin(t, b, 2, longPrompt("chain", "y"), candidates, start.Add(3*time.Second))
	if second.Server != first.Server || second.Unread != 5000 {
		t.Errorf("first %+v, second %+v", first, second)
	}
}

func TestPromptsLeaveABusyEngineThatCachesThem(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(3)
	home := chooseAndBegin(t, b, 0, longPrompt("chain", "x"), candidates, start).Server
	elsewhere := false
	for i := range 20 {
		elsewhere = elsewhere || chooseAndBegin(t, b, i+1, longPrompt("chain", fmt.Sprint(i)), candidates, start).Server != home
	}
	if !elsewhere {
		t.Error("all of 21 prompts queue on one engine while two are idle")
	}
}

func TestAServerThatCannotBeReachedIsTriedAgainLater(t *testing.T) {
	b := NewBoard(testPace, "here")
	one := engines(1)
	chooseAndBegin(t, b, 1, shortPrompt("a"), one, start)
	if !b.Observe("e0", Unreachable, start) {
		t.Error("the server is not reported as newly unreachable")
	}
	if _, refusal := b.Choose(shortPrompt("b"), one, start.Add(retryMin/2)); refusal != NoneReachable {
		t.Error("tried again at once")
	}
	if _, refusal := b.Choose(shortPrompt("b"), one, start.Add(retryMin)); refusal != Chosen {
		t.Error("not tried again")
	}
}

func TestFailingServersAreAvoided(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	bad := chooseAndBegin(t, b, 1, shortPrompt("a"), candidates, start).Server
	for range 5 {
		b.Observe(bad, Failed, start)
	}
	if got, _ := b.Choose(shortPrompt("b"), candidates, start); got.Server == bad {
		t.Errorf("%s failed five times in a row and is chosen: %+v", bad, got)
	}
}

// An instance is killed, and the servers drop its requests as its connections close.
// Other instances must not count the engines as busy with them.
func TestRunsOfALostInstanceEnd(t *testing.T) {
	b := NewBoard(testPace, "here")
	for i := range 5 {
		b.Begin(RunID{"lost", i}, "e0", longPrompt("c", fmt.Sprint(i)), 21000, start)
	}
	b.Begin(RunID{"me", 1}, "e0", shortPrompt("n"), 1400, start)
	b.InstanceGone("lost", start)
	if got := b.Running("e0"); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
	choice, _ := b.Choose(shortPrompt("m"), engines(1), start)
	if choice.First > testPace.First+80*time.Millisecond {
		t.Errorf("first event predicted after %v of an almost idle engine", choice.First)
	}
}

func TestARunWithoutAReportedEndExpires(t *testing.T) {
	b := NewBoard(testPace, "here")
	b.Begin(RunID{"peer", 1}, "e0", shortPrompt("n"), 1400, start)
	b.Choose(shortPrompt("m"), engines(1), start.Add(maxRunAge+time.Second))
	if got := b.Running("e0"); got != 0 {
		t.Errorf("%d runs after %v", got, maxRunAge)
	}
}

func TestTheCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := newPartCache()
	c.add([]Part{{"a", 10}, {"b", 10}}, start, 30)
	c.add([]Part{{"c", 10}}, start, 30)
	c.add([]Part{{"a", 10}}, start, 30)
	c.add([]Part{{"d", 10}}, start, 30)
	for id, want := range map[string]int{"a": 10, "b": 0, "c": 10, "d": 10} {
		if got := c.cachedTokens([]Part{{id, 10}}); got != want {
			t.Errorf("%s: %d tokens cached, want %d", id, got, want)
		}
	}
	if got := c.cachedTokens([]Part{{"b", 10}, {"a", 10}}); got != 0 {
		t.Errorf("%d tokens count although the part before them is not cached", got)
	}
}

func TestServersWithoutAnEngineShareByLoad(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := []Candidate{{ID: "p", DataCentre: "here", Slots: 6}, {ID: "q", DataCentre: "here", Slots: 6}, {ID: "r", DataCentre: "far", Slots: 6}}
	counts := map[string]int{}
	for i := range 18 {
		counts[chooseAndBegin(t, b, i, Work{Goal: 100 * time.Millisecond}, candidates, start).Server]++
	}
	for id, n := range counts {
		if n < 5 || n > 7 {
			t.Errorf("%s got %d of 18: %v", id, n, counts)
		}
	}
}

// Many prompts share a long part that one engine has read. As long as they are on time
// there, none of them may read it on a second engine. A part that was not used for longer
// than rereadWindow may be read anywhere.
func TestASharedPartIsReadOnceWhileItIsInUse(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(8)
	now := start
	home := chooseAndBegin(t, b, 0, longPrompt("chain", "x"), candidates, now).Server
	for i := range 12 {
		now = now.Add(250 * time.Millisecond)
		if got := chooseAndBegin(t, b, i+1, longPrompt("chain", fmt.Sprint(i)), candidates, now); got.Server != home {
			t.Fatalf("prompt %d reads the part again: %+v", i, got)
		}
	}
	s := b.server(candidates[0])
	work := longPrompt("chain", "y")
	if s.id == home {
		s = b.server(candidates[1])
	}
	if got := b.rereadTokens(s, &work, now); got != 16000 {
		t.Errorf("%d tokens to read again, want 16000", got)
	}
	if got := b.rereadTokens(s, &work, now.Add(rereadWindow+time.Millisecond)); got != 0 {
		t.Errorf("%d tokens count as read again long after their last use", got)
	}
}

// enginesWithFetch returns engines that can fetch parts of prompts from each other.
func enginesWithFetch(n int) []Candidate {
	out := engines(n)
	for i := range out {
		out[i].TokenBytes, out[i].LinkMbps = 35_000, 740_000
	}
	return out
}

// One engine caches a part and becomes busy. The next prompt with that part must go to an
// idle engine, which fetches the part and reads only the rest.
func TestAnIdleEngineFetchesPartsCachedByABusyOne(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := enginesWithFetch(3)
	home := chooseAndBegin(t, b, 0, longPrompt("chain", "x"), candidates, start).Server
	b.FirstEvent(RunID{"me", 0}, start.Add(time.Second))
	now := start.Add(time.Second)
	for i := range 12 {
		b.Begin(RunID{"peer", i}, home, longPrompt("other", fmt.Sprint(i)), 21000, now)
	}
	got := chooseAndBegin(t, b, 1, longPrompt("chain", "y"), candidates, now)
	if got.Server == home || got.FetchFrom != home || got.Unread != 5000 {
		t.Errorf("home is %s, chosen %+v", home, got)
	}
}

func TestUnreadPartsAreNotFetched(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := enginesWithFetch(2)
	home := chooseAndBegin(t, b, 0, longPrompt("chain", "x"), candidates, start).Server
	work := longPrompt("chain", "y")
	for _, c := range candidates {
		if c.ID != home {
			if got, _ := b.Choose(work, []Candidate{c}, start); got.FetchFrom != "" {
				t.Errorf("%+v", got)
			}
		}
	}
	if from := bestSource([]*server{b.servers[home]}, &work, start.Add(2*time.Second)); from.tokens != 16000 {
		t.Errorf("%d tokens to fetch once the prompt was read", from.tokens)
	}
}

func TestEnginesWithoutFetchReadThePrompt(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	home := chooseAndBegin(t, b, 0, longPrompt("chain", "x"), candidates, start).Server
	b.FirstEvent(RunID{"me", 0}, start)
	for _, c := range candidates {
		if c.ID != home {
			if got, _ := b.Choose(longPrompt("chain", "y"), []Candidate{c, candidates[0], candidates[1]}, start); got.FetchFrom != "" {
				t.Errorf("%+v", got)
			}
		}
	}
}

// Sixty streams run at once. The more of them share an engine, the slower all of them
// are, and the more are lost with one server.
func TestManyShortPromptsDoNotAllShareOneEngine(t *testing.T) {
	b := NewBoard(testPace, "here")
	counts := map[string]int{}
	now := start
	for i := range 60 {
		now = now.Add(10 * time.Millisecond)
		counts[chooseAndBegin(t, b, i, shortPrompt(fmt.Sprint("n", i)), engines(10), now).Server]++
		b.FirstEvent(RunID{"me", i}, now)
	}
	for id, n := range counts {
		if n > 24 {
			t.Errorf("%s runs %d of 60: %v", id, n, counts)
		}
	}
}

// Prompts of the lowest priority fill all engines. More of them would preempt others or
// wait, and must be refused, while a more urgent request must still be accepted.
func TestFullEnginesTakeOnlyMoreUrgentWork(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	short := func(i int) Work { return Work{Prompt: 1000, Goal: time.Minute, Priority: 2} }
	for i := range 2 * (64 - 64/secondReserveDivisor) {
		chooseAndBegin(t, b, i, short(i), candidates, start)
	}
	if _, refusal := b.Choose(short(0), candidates, start); refusal != AllFull {
		t.Errorf("one more: %d", refusal)
	}
	for i := range 2 * (64 / secondReserveDivisor) {
		chooseAndBegin(t, b, 1000+i, shortPrompt(fmt.Sprint(i)), candidates, start)
	}
	if _, refusal := b.Choose(shortPrompt("x"), candidates, start); refusal != AllFull {
		t.Errorf("a short prompt beyond the reserved slots: %d", refusal)
	}
}

// Requests with large prompts fill an engine's memory before its slots. One more would
// make the engine preempt running requests; it must go elsewhere, or be refused when all
// are full. A part shared by several prompts counts once.
func TestAnEnginesMemoryIsNotOverfilled(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	large := func(i int) Work {
		return Work{Parts: []Part{{ID: fmt.Sprint("own", i), Tokens: 100_000}}, Prompt: 100_000, Goal: time.Minute, Priority: 2}
	}
	for i := range 8 {
		chooseAndBegin(t, b, i, large(i), candidates, start)
	}
	for _, c := range candidates {
		if got := b.servers[c.ID].inUse; got != 400_000 {
			t.Errorf("%s holds %d tokens", c.ID, got)
		}
	}
	if _, refusal := b.Choose(large(9), candidates, start); refusal != AllFull {
		t.Errorf("a ninth: %d", refusal)
	}
	if _, refusal := b.Choose(shortPrompt("n"), candidates, start); refusal != Chosen {
		t.Errorf("a short prompt: %d", refusal)
	}
	shared := large(0)
	if got := b.servers["e0"].addedTokens(&shared) + b.servers["e1"].addedTokens(&shared); got != 100_000 {
		t.Errorf("a prompt that one engine holds needs %d more", got)
	}
	for i := range 8 {
		b.End(RunID{"me", i}, start)
	}
	for _, c := range candidates {
		if s := b.servers[c.ID]; s.inUse != 0 || len(s.partHolders) != 0 {
			t.Errorf("%s holds %d tokens, %v", c.ID, s.inUse, s.partHolders)
		}
	}
}

// A link breaks and opens again, and the peer reports its runs a second time.
func TestARunReportedTwiceCountsOnce(t *testing.T) {
	b := NewBoard(testPace, "here")
	for range 2 {
		b.Begin(RunID{"peer", 1}, "e0", longPrompt("c", "x"), 21000, start)
	}
	if got := b.servers["e0"].inUse; got != 21000+120 {
		t.Errorf("%d tokens held", got)
	}
	b.End(RunID{"peer", 1}, start)
	if s := b.servers["e0"]; s.inUse != 0 || b.Running("e0") != 0 || len(s.streams) != 0 || len(s.queue.runs) != 0 || len(s.onTime) != 0 {
		t.Errorf("%d tokens held by %d runs, %+v", s.inUse, b.Running("e0"), s.streamCounts)
	}
}

// Runs begin, give their first event and end in a random order. The incrementally updated
// counts must match those computed from all runs.
func TestIncrementalStreamCountsMatchTheRuns(t *testing.T) {
	b := NewBoard(testPace, "here")
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		id := RunID{"peer", random.IntN(40)}
		switch work := shortPrompt(fmt.Sprint(i)); random.IntN(4) {
		case 0:
			work.Priority = random.IntN(3)
			b.Begin(id, "e0", work, random.IntN(2)*1000, start)
		case 1:
			b.Begin(id, "e0", longPrompt("c", fmt.Sprint(i)), 5000, start)
		case 2:
			b.FirstEvent(id, start)
		case 3:
			b.End(id, start)
		}
		s := b.servers["e0"]
		if s == nil {
			continue
		}
		want, pending := streamCounts{}, 0
		for _, r := range s.runs {
			want.add(r)
			if r.unread > 0 && !r.first {
				pending++
			}
		}
		if pending != len(s.queue.runs) || !maps.Equal(want.streams, s.streams) {
			t.Fatalf("step %d: counted %+v and %d prompts, the runs give %+v and %d", i, s.streamCounts, len(s.queue.runs), want, pending)
		}
	}
}

// The only engine that caches the long start of a prompt is in a data centre that is
// being evacuated. The request must go to another engine, which fetches the start from
// there while it can, instead of reading it for a quarter of a second.
func TestThePromptOfAnEvacuatedEngineIsFetched(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	for i := range candidates {
		candidates[i].TokenBytes, candidates[i].LinkMbps = 35_000, 740_000
	}
	work := longPrompt("c", "x")
	b.Begin(RunID{"me", 1}, "e0", work, work.Prompt, start)
	b.FirstEvent(RunID{"me", 1}, start.Add(time.Second))
	b.End(RunID{"me", 1}, start.Add(2*time.Second))
	candidates[0].SourceOnly = true
	choice, refusal := b.Choose(longPrompt("c", "y"), candidates, start.Add(3*time.Second))
	if refusal != Chosen || choice.Server != "e1" || choice.FetchFrom != "e0" {
		t.Errorf("%v %+v", refusal, choice)
	}
	if _, refusal := b.Choose(work, candidates[:1], start.Add(3*time.Second)); refusal != NoneReachable {
		t.Errorf("placed on a server that takes no requests: %v", refusal)
	}
}

// Guards against servers that keep the memory of their former requests: an instance of a large
// fleet knows thousands.
func TestServersThatRunNothingTakeLittleMemory(t *testing.T) {
	const servers, most = 6000, 8 << 20 // bytes
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	candidates := engines(servers)
	before := heap()
	b := sharingBoard(candidates)
	now := start
	for n, c := range candidates {
		id := RunID{"me", n}
		b.Begin(id, c.ID, shortPrompt("n"), 0, now)
		b.OwnFirstEvent(id, now)
		now = now.Add(time.Millisecond)
		b.Events(id, 1, now)
		b.End(id, now)
	}
	if held := heap() - before; held > most {
		t.Errorf("%d bytes for %d servers", held, servers)
	}
	runtime.KeepAlive(b)
}
