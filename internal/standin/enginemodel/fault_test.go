package enginemodel

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
)

// An engine crashes in the middle of an answer and restarts. The run is recorded as
// crashed. The restarted engine has no record of the id and accepts it again, which is
// why callers must never re-send it.
func TestCrashForgetsEverything(t *testing.T) {
	e := New(testConfig(), 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 100})
	now := monotime.Instant(35 * time.Millisecond)
	e.Crash(now)
	if err := e.Submit(now, Job{ID: "b"}); !errors.Is(err, Down) {
		t.Errorf("submit while down: %v, want %v", err, Down)
	}
	e.Restart()
	if _, err := e.Attach(now, "a", 0, nil); !errors.Is(err, Unknown) {
		t.Errorf("attach: %v, want %v", err, Unknown)
	}
	submit(t, e, now, Job{ID: "a", OutputTokens: 1})
	runs := e.Runs()
	if len(runs) != 2 || runs[0].End != Crashed || runs[0].Tokens == 0 {
		t.Errorf("runs: %+v", runs)
	}
}

func TestStragglerTakesLonger(t *testing.T) {
	normal, slow := New(testConfig(), 1), New(testConfig(), 1)
	slow.SetSlowdown(4)
	submit(t, normal, 0, Job{ID: "a", OutputTokens: 10})
	submit(t, slow, 0, Job{ID: "a", OutputTokens: 10})
	_, a := drain(normal, 0)
	_, b := drain(slow, 0)
	if b != 4*a {
		t.Errorf("slow engine ended at %v, want four times %v", b, a)
	}
}

// A connection becomes unresponsive after two tokens while the run continues. A new
// connection requests the rest from the offset and must get each missing token exactly
// once.
func TestAttachAfterSilenceGivesTheExactRest(t *testing.T) {
	e := New(testConfig(), 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 6})
	first := append([]Token(nil), e.Advance(monotime.Instant(22*time.Millisecond))...)
	e.Silence(monotime.Instant(22 * time.Millisecond))
	at := monotime.Instant(45 * time.Millisecond)
	if silent := e.Advance(at); len(silent) != 0 {
		t.Fatalf("%d tokens over a silent connection", len(silent))
	}
	all, err := e.Attach(at, "a", len(first), first)
	if err != nil {
		t.Fatal(err)
	}
	rest, _ := drain(e, at)
	all = append(all, rest...)
	if diff := cmp.Diff([]int{0, 1, 2, 3, 4, 5}, offsets(all, "a")); diff != "" {
		t.Errorf("offsets (-want +got):\n%s", diff)
	}
	if runs := len(e.Runs()); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

func TestDetachedRunIsAbandonedAfterLinger(t *testing.T) {
	cfg := testConfig()
	cfg.Linger = 50 * time.Millisecond
	e := New(cfg, 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 1000})
	e.Detach(0, "a")
	e.Advance(monotime.Instant(time.Second))
	if run := e.Runs()[0]; run.End != Abandoned || run.Tokens > 6 {
		t.Errorf("run: %+v", run)
	}
}

func TestCancelEndsARunAndAWaitingJob(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 1
	e := New(cfg, 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 1000})
	submit(t, e, 0, Job{ID: "b", OutputTokens: 1000})
	if !e.Cancel(0, "b") || !e.Cancel(0, "a") || e.Cancel(0, "a") {
		t.Error("each run must be cancelled exactly once")
	}
	if tokens, _ := drain(e, 0); len(tokens) != 0 {
		t.Errorf("%d tokens after the cancel", len(tokens))
	}
}

func TestStalledEngineGoesOnLater(t *testing.T) {
	e := New(testConfig(), 1)
	submit(t, e, 0, Job{ID: "a", OutputTokens: 2})
	e.SetStalled(monotime.Instant(15*time.Millisecond), true)
	if _, ok := e.NextEvent(0); !ok {
		t.Fatal("the token from before the stall is lost")
	}
	before := len(e.Advance(monotime.Instant(time.Second)))
	e.SetStalled(monotime.Instant(time.Second), false)
	rest, _ := drain(e, monotime.Instant(time.Second))
	if before+len(rest) != 2 {
		t.Errorf("%d tokens, want 2", before+len(rest))
	}
}
