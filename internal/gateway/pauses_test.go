package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/schema/wire"
)

// calibratedFleet returns an instance whose engines' pace is known, with the calibration
// of pauses in effect, after so many streams that paused for 300 ms.
func calibratedFleet(tb testing.TB, streams int) *fleet {
	tb.Helper()
	f, _, _ := newFleet()
	now := monotime.Now()
	f.board.SetFeatures(placement.Features{LargeFleet: 17, CalibratedPauses: true})
	f.board.SetFleetSize(17, now)
	if !f.board.MergePaceStatistics("peer", "llm", pace.Statistics{StepSamples: 200, Sums: make([]float64, pace.StatisticsLength)}) {
		tb.Fatal("refused")
	}
	candidates := []placement.Candidate{{ID: "e", Service: "llm", Slots: 16, MemoryTokens: 500_000, EventTokens: 5}}
	for n := range streams {
		work := placement.Work{Prompt: 100, Output: 50, Goal: time.Second, MaxGap: 500 * time.Millisecond, Left: time.Minute}
		choice, refusal := f.board.Choose(work, candidates, now)
		if refusal != placement.Chosen {
			tb.Fatal(refusal)
		}
		id, long := placement.RunID{Instance: f.self, Number: 2 * n}, placement.RunID{Instance: f.self, Number: 2*n + 1}
		f.board.Begin(id, "e", work, 0, now)
		f.board.Watch(id, &choice, now)
		f.board.OwnFirstEvent(id, now)
		f.board.Begin(long, "e", placement.Work{Prompt: 20_000, Output: 10}, 20_000, now)
		at := now
		for range 4 {
			f.board.Events(id, 1, at)
			at = at.Add(300 * time.Millisecond)
		}
		f.board.Completed(id, at)
		f.board.End(id, at)
		f.board.End(long, at)
	}
	return f
}

// Guards against ratios of pauses that other instances do not receive, and against invalid
// ones that are taken, or refused without a line.
func TestPauseCountsAreExchanged(t *testing.T) {
	const streams = 40
	sent := calibratedFleet(t, streams).paceStats()
	if len(sent) != 1 {
		t.Fatalf("%d services", len(sent))
	}
	total := 0
	for _, n := range sent[0].Gaps {
		total += n
	}
	if total < 10*(streams-1) || total > 10*streams {
		t.Errorf("counts %v of %d streams", sent[0].Gaps, streams)
	}
	invalid := sent[0]
	invalid.Gaps = append([]int{-1}, sent[0].Gaps[1:]...)
	old := sent[0]
	old.Gaps = nil
	for _, c := range []struct {
		name     string
		evidence wire.RelayEvidence
		refused  int
	}{{"valid", sent[0], 0}, {"of an older instance", old, 0}, {"invalid", invalid, 1}} {
		f := calibratedFleet(t, 0)
		p := linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
		core, logged := observer.New(zap.InfoLevel)
		p.log = zap.New(core)
		p.applyPaceStats("other", &wire.RelayNews{Evidence: []wire.RelayEvidence{c.evidence}})
		if got := logged.FilterMessage("evidence_refused").Len(); got != c.refused {
			t.Errorf("%s: %d lines", c.name, got)
		}
	}
}

// Guards against calibration that an operator can't see, and against lines without
// streams.
func TestPauseCalibrationIsLoggedAndCounted(t *testing.T) {
	f := calibratedFleet(t, 0)
	core, logged := observer.New(zap.InfoLevel)
	f.log = zap.New(core)
	f.logPauseCalibration(monotime.Now())
	if logged.Len() != 0 {
		t.Errorf("logged without streams: %v", logged.All())
	}
	f = calibratedFleet(t, 20)
	f.log = zap.New(core)
	f.logPauseCalibration(monotime.Now())
	if lines := logged.FilterMessage("pause_calibration").All(); len(lines) != 1 || lines[0].ContextMap()["service"] != "llm" {
		t.Errorf("lines %v", lines)
	}
	text, err := json.Marshal(f.pauseCalibration(monotime.Now()))
	if err != nil || !strings.Contains(string(text), `"tenths":[{"streams":`) {
		t.Errorf("%v %s", err, text)
	}
}

// Guards against counts that take more of a message than its other
// sums.
func TestPauseCountsAreSmall(t *testing.T) {
	size := func(e wire.RelayEvidence) int {
		data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{{Evidence: []wire.RelayEvidence{e}}}})
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	e := calibratedFleet(t, 1).paceStats()[0]
	for i := range e.Sums {
		e.Sums[i] += 1.0 / 3 // as long as a sum gets
	}
	e.Gaps = nil
	without := size(e)
	for i := range 24 {
		e.Gaps = append(e.Gaps, max(0, 300-4*(i-9)*(i-9))) // 200 streams
	}
	with := size(e)
	t.Logf("%d bytes without, %d with", without, with)
	if added := with - without; added > 80 {
		t.Errorf("counts take %d bytes beside %d", added, without)
	}
}
