package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// splitPace reads a whole long prompt within the limit of short pauses, but not in the
// phases in which an engine is slow.
var splitPace = pace.Pace{Step: 3600 * time.Microsecond, StepPerRun: 20 * time.Microsecond, ReadToken: 13 * time.Microsecond, First: time.Millisecond}

// splitLoad plays begins and ends of runs of other instances to a board.
type splitLoad struct {
	board      *Board
	candidates []Candidate
	random     *rand.Rand
	// missed is the share of the runs whose reports are lost.
	missed      float64
	short, long float64 // runs a second of short streams and of long prompts
	now         monotime.Instant
	number      int
}

func newSplitLoad(engines int, short, long float64) *splitLoad {
	b := NewBoard(splitPace, "here")
	b.SetFeatures(Features{LargeFleet: 17, SplitEngines: true})
	b.Seed(1)
	l := &splitLoad{board: b, random: rand.New(rand.NewPCG(1, 1)), short: short, long: long, now: start}
	for n := range engines {
		l.candidates = append(l.candidates, Candidate{ID: fmt.Sprint("e", n), DataCentre: "here", Slots: 16, MemoryTokens: 500_000, EventTokens: 5})
	}
	return l
}

// shortStream and longRead are requests of the two parts.
func shortStream(id string) Work {
	w := shortPrompt(id)
	w.MaxGap = 250 * time.Millisecond
	return w
}

func longRead(id string) Work {
	w := longPrompt("chain-"+id, id)
	w.MaxGap = time.Second
	return w
}

// play plays the load for a time. Each run ends after a second.
func (l *splitLoad) play(length time.Duration) *engineSplit {
	const tick = 20 * time.Millisecond
	for end := l.now.Add(length); l.now < end; l.now = l.now.Add(tick) {
		l.board.SetFleetSize(86, l.now)
		for n := range int(l.short*tick.Seconds()) + int(l.long*tick.Seconds()) {
			work := longRead(fmt.Sprint(l.number))
			if n < int(l.short*tick.Seconds()) {
				work = shortStream(fmt.Sprint(l.number))
			}
			server := l.candidates[l.number%len(l.candidates)].ID
			if l.number++; l.random.Float64() >= l.missed {
				l.board.Begin(RunID{"peer", l.number}, server, work, work.Prompt, l.now)
			}
		}
		for id, r := range l.board.runs {
			if l.now.Sub(r.begun) >= time.Second {
				l.board.End(id, l.now)
			}
		}
		l.board.updateSplit(l.candidates, l.now)
	}
	return &l.board.kindOf("").split
}

// endAll ends all runs, so that the engines differ only by the part that they belong to.
func (l *splitLoad) endAll() {
	for id := range l.board.runs {
		l.board.End(id, l.now)
	}
}

// Guards against instances that disagree about the parts: what one of them reserves for
// short pauses another one would use for long prompts. Each misses other reports.
func TestInstancesThatMissReportsSplitAlike(t *testing.T) {
	a, b := newSplitLoad(140, 200, 50), newSplitLoad(140, 200, 50)
	b.random, a.missed, b.missed = rand.New(rand.NewPCG(2, 2)), 0.1, 0.1
	x, y := a.play(12*time.Second), b.play(12*time.Second)
	if x.size < 1 || x.strength < 1 || math.Abs(x.size-y.size) > 2 {
		t.Errorf("sizes %.1f and %.1f, strength %.1f", x.size, y.size, x.strength)
	}
	for i := range x.ranking {
		if x.ranking[i].id != y.ranking[i].id {
			t.Fatalf("rank %d: %s and %s", i, x.ranking[i].id, y.ranking[i].id)
		}
	}
}

// Guards against a split that costs without a reason to split.
func TestThereIsNoSplitWithoutNeed(t *testing.T) {
	small, disabled := newSplitLoad(minSplitEngines-1, 200, 50), newSplitLoad(140, 200, 50)
	disabled.board.SetFeatures(Features{LargeFleet: 17})
	for name, l := range map[string]*splitLoad{
		"no long prompts": newSplitLoad(140, 400, 0), "no short pauses": newSplitLoad(140, 0, 50),
		"few engines": small, "disabled": disabled,
	} {
		if d := l.play(8 * time.Second); d.inEffect() || d.state.Short > 0 {
			t.Errorf("%s: %d engines for short pauses, strength %.1f", name, d.state.Short, d.strength)
		}
	}
	restarted := newSplitLoad(140, 200, 50)
	if d := restarted.play(minSplitSpan / 2); d.inEffect() {
		t.Error("split before the demand is known")
	}
}

// Guards against a boundary that follows the noise of the demand or of the estimates:
// parts of prompts that move with it are read again.
func TestTheBoundaryMovesSlowly(t *testing.T) {
	l := newSplitLoad(140, 100, 50)
	d := l.play(10 * time.Second)
	before := d.size
	l.short = 400
	d = l.play(3 * time.Second)
	if moved := d.size - before; moved < 1 || moved > 3*minSplitMove+1 {
		t.Errorf("moved by %.1f engines in 3 s", moved)
	}
	s := &server{}
	for _, at := range []struct {
		slowness float64
		class    int
	}{{1, 0}, {1.35, 0}, {2.4, 2}, {2.1, 2}, {1.5, 1}, {1.2, 1}, {1.1, 0}} {
		if s.setSlowClass(at.slowness); s.slowClass != at.class {
			t.Errorf("slowness %.2f: class %d in place of %d", at.slowness, s.slowClass, at.class)
		}
	}
}

// Guards against a split that makes requests wait or be refused while engines of the other
// part are free.
func TestRequestsUseTheOtherPartOnceTheirOwnIsFull(t *testing.T) {
	for name, work := range map[string]Work{"short": shortStream("x"), "long": longRead("x")} {
		l := newSplitLoad(140, 200, 50)
		d := l.play(10 * time.Second)
		l.endAll()
		isShort := name == "short"
		own := d.intended(&work)
		choice, refusal := l.board.Choose(work, l.candidates, l.now)
		if refusal != Chosen || (l.board.servers[choice.Server].forShort > 0.5) != isShort {
			t.Errorf("%s: refusal %d, server on the other side", name, refusal)
		}
		for n, s := range own {
			for slot := range s.slots {
				l.board.Begin(RunID{"full", n*64 + slot}, s.id, shortStream(fmt.Sprint(n, "/", slot)), 0, l.now)
			}
		}
		choice, refusal = l.board.Choose(work, l.candidates, l.now)
		if refusal != Chosen || choice.Running >= 16 {
			t.Errorf("%s: refusal %d with a side free", name, refusal)
		}
	}
}

// Guards against choices in a large pool that look only at engines of the other part.
func TestChoicesInALargePoolConsiderIntendedEngines(t *testing.T) {
	l := newSplitLoad(1000, 100, 300)
	d := l.play(10 * time.Second)
	pool := NewPool(l.candidates)
	for n := range 20 {
		work := shortStream(fmt.Sprint("own-", n))
		choice, refusal := l.board.ChooseFrom(work, pool, nil, func(*Candidate) bool { return true }, l.now)
		if refusal != Chosen || l.board.servers[choice.Server].forShort < 0.5 {
			t.Errorf("refusal %d, not among the %.0f engines for short pauses", refusal, d.size)
		}
	}
}
