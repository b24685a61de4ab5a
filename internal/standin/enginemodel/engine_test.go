package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
)

const step = 10 * time.Millisecond

// testConfig has round numbers: a step takes 10 ms, and 10 ms more per 10 prompt tokens.
func testConfig() Config {
	return Config{
		Name:              "e0",
		Slots:             2,
		StepMS:            10,
		BatchSlowdown:     1e-9,
		PrefillTokensPerS: 1000,
		CacheTokens:       100,
	}
}

func submit(t *testing.T, e *Engine, now monotime.Instant, job Job) {
	t.Helper()
	if err := e.Submit(now, job); err != nil {
		t.Fatalf("submit %s: %v", job.ID, err)
	}
}

// drain advances the engine until it is idle.
func drain(e *Engine, now monotime.Instant) ([]Token, monotime.Instant) {
	var all []Token
	for {
		next, ok := e.NextEvent(now)
		if !ok {
			return all, now
		}
		now = next
		all = append(all, e.Advance(now)...)
	}
}

func offsets(tokens []Token, id string) []int {
	var out []int
	for _, token := range tokens {
		if token.ID == id {
			out = append(out, token.Offset)
		}
	}
	return out
}

func TestTokensComeInOrderAndOnceEach(t *testing.T) {
	e := New(testConfig(), 1)
	submit(t, e, 0, Job{ID: "a", PromptTokens: 20, OutputTokens: 3})
	tokens, end := drain(e, 0)
	if diff := cmp.Diff([]int{0, 1, 2}, offsets(tokens, "a")); diff != "" {
		t.Errorf("offsets (-want +got):\n%s", diff)
	}
	// Two steps of 10 prompt tokens take 20 ms each, then two plain steps.
	if want := monotime.Instant(6 * step); end != want {
		t.Errorf("ended at %v, want %v", time.Duration(end), time.Duration(want))
	}
	if run := e.Runs()[0]; run.End != Completed || run.Tokens != 3 {
		t.Errorf("run: %+v", run)
	}
}

func TestOneAdvanceEqualsManySmallOnes(t *testing.T) {
	play := func(every time.Duration) []Token {
		e := New(Config{Slots: 3, CacheEventLoss: 0.5}, 7)
		var all []Token
		for i := range 10 {
			submit(t, e, 0, Job{ID: fmt.Sprint(i), PromptTokens: 500, OutputTokens: 20, Prefix: uint64(i % 3)})
			if i == 5 {
				break
			}
		}
		for now := monotime.Instant(0); now < monotime.Instant(2*time.Second); now = now.Add(every) {
			all = append(all, e.Advance(now)...)
		}
		return all
	}
	if diff := cmp.Diff(play(time.Millisecond), play(time.Second)); diff != "" {
		t.Errorf("tokens differ:\n%s", diff)
	}
}

func TestStepsSlowWithTheBatch(t *testing.T) {
	cfg := testConfig()
	cfg.BatchSlowdown = 0.5
	one, two := New(cfg, 1), New(cfg, 1)
	submit(t, one, 0, Job{ID: "a", OutputTokens: 10})
	submit(t, two, 0, Job{ID: "a", OutputTokens: 10})
	submit(t, two, 0, Job{ID: "b", OutputTokens: 10})
	_, alone := drain(one, 0)
	_, together := drain(two, 0)
	if together <= alone {
		t.Errorf("two jobs ended at %v, one at %v", together, alone)
	}
}

func TestPrefixHitSavesPrefill(t *testing.T) {
	e := New(testConfig(), 1)
	job := Job{PromptTokens: 100, PrefixTokens: 90, OutputTokens: 1, Prefix: 5}
	job.ID = "cold"
	submit(t, e, 0, job)
	_, cold := drain(e, 0)
	job.ID = "warm"
	submit(t, e, cold, job)
	_, warm := drain(e, cold)
	if first, second := cold.Sub(0), warm.Sub(cold); first != 10*second {
		t.Errorf("cold took %v, warm %v; want a tenth", first, second)
	}
	if cached := e.Runs()[1].CachedTokens; cached != 90 {
		t.Errorf("cached tokens %d, want 90", cached)
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	e := New(testConfig(), 1)
	now := monotime.Instant(0)
	hits := map[int]int{}
	for i, prefix := range []uint64{1, 2, 1, 3, 1, 2} {
		submit(t, e, now, Job{ID: fmt.Sprint(i), PromptTokens: 50, PrefixTokens: 45, OutputTokens: 1, Prefix: prefix})
		_, now = drain(e, now)
		hits[i] = e.Runs()[i].CachedTokens
	}
	if diff := cmp.Diff(map[int]int{0: 0, 1: 0, 2: 45, 3: 0, 4: 45, 5: 0}, hits); diff != "" {
		t.Errorf("hits (-want +got):\n%s", diff)
	}
}

func TestHigherPriorityEntersTheBatchFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 1
	cfg.MaxWaiting = 3
	e := New(cfg, 1)
	submit(t, e, 0, Job{ID: "running", Priority: 5, OutputTokens: 2})
	submit(t, e, 0, Job{ID: "low", Priority: 5, OutputTokens: 1})
	submit(t, e, 0, Job{ID: "high", Priority: 0, OutputTokens: 1})
	tokens, _ := drain(e, 0)
	var order []string
	for _, token := range tokens {
		if token.Done {
			order = append(order, token.ID)
		}
	}
	if diff := cmp.Diff([]string{"running", "high", "low"}, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestPreemptionPausesWithoutLosingTokens(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 1
	cfg.Preempt = true
	e := New(cfg, 1)
	submit(t, e, 0, Job{ID: "low", Priority: 5, OutputTokens: 4})
	tokens := append([]Token(nil), e.Advance(monotime.Instant(25*time.Millisecond))...)
	submit(t, e, monotime.Instant(25*time.Millisecond), Job{ID: "high", OutputTokens: 1})
	rest, _ := drain(e, monotime.Instant(25*time.Millisecond))
	tokens = append(tokens, rest...)
	if diff := cmp.Diff([]int{0, 1, 2, 3}, offsets(tokens, "low")); diff != "" {
		t.Errorf("offsets (-want +got):\n%s", diff)
	}
	if last := tokens[len(tokens)-1]; last.ID != "low" {
		t.Errorf("last token is of %s, want the paused job", last.ID)
	}
	if starts := len(e.Runs()); starts != 2 {
		t.Errorf("%d runs, want 2", starts)
	}
}

func TestKnownIDIsRefusedUntilForgotten(t *testing.T) {
	e := New(testConfig(), 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 1})
	_, now := drain(e, 0)
	if err := e.Submit(now, Job{ID: "a", OutputTokens: 1}); !errors.Is(err, Duplicate) {
		t.Errorf("second submit: %v, want %v", err, Duplicate)
	}
	later := now.Add(DefaultKeepEnded)
	submit(t, e, later, Job{ID: "a", OutputTokens: 1})
	if runs := len(e.Runs()); runs != 2 {
		t.Errorf("%d runs recorded, want 2", runs)
	}
}

func TestFullEngineRefuses(t *testing.T) {
	cfg := testConfig()
	cfg.MaxWaiting = 1
	e := New(cfg, 1)
	for i := range 3 {
		submit(t, e, 0, Job{ID: fmt.Sprint(i)})
	}
	if err := e.Submit(0, Job{ID: "x"}); !errors.Is(err, Full) {
		t.Errorf("submit: %v, want %v", err, Full)
	}
	if runs := len(e.Runs()); runs != 3 {
		t.Errorf("%d runs, want 3: a refusal is no run", runs)
	}
}

func TestLoadReportLags(t *testing.T) {
	e := New(testConfig(), 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 1000})
	if running := e.Load(monotime.Instant(DefaultLoadLag / 2)).Running; running != 0 {
		t.Errorf("a fresh report shows %d running, want the past", running)
	}
	report := e.Load(monotime.Instant(2 * DefaultLoadLag))
	if report.Running != 1 || report.TokensPerS == nil || *report.TokensPerS < 90 {
		t.Errorf("report: %+v", report)
	}
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	cfg := testConfig()
	cfg.CacheTokens = 10_000
	cfg.CacheEventLoss = 0.3
	e := New(cfg, 3)
	now := monotime.Instant(0)
	for i := range 100 {
		submit(t, e, now, Job{ID: fmt.Sprint(i), PromptTokens: 10, OutputTokens: 1, Prefix: uint64(i + 1)})
		_, now = drain(e, now)
	}
	if early := e.CacheEvents(monotime.Instant(step), 0); len(early.Events) != 0 {
		t.Errorf("%d events before the lag", len(early.Events))
	}
	page := e.CacheEvents(now.Add(2*DefaultCacheEventLag), 0)
	if n := len(page.Events); n < 50 || n > 90 {
		t.Errorf("%d events of 100 at a loss of 0.3", n)
	}
	if again := e.CacheEvents(now.Add(2*DefaultCacheEventLag), page.Next); len(again.Events) != 0 {
		t.Errorf("%d events came twice", len(again.Events))
	}
}

func BenchmarkToken(b *testing.B) {
	e := New(Config{Slots: 32, StepMS: 7}, 1)
	for i := range 32 {
		if err := e.Submit(0, Job{ID: fmt.Sprint(i), OutputTokens: b.N}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	now := monotime.Instant(0)
	for tokens := 0; tokens < b.N; {
		now = now.Add(7 * time.Millisecond)
		tokens += len(e.Advance(now))
	}
}
