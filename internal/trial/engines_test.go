package trial

import (
	"testing"

	"basilrudder/internal/standin/enginemodel"
)

const longAnswer = 150

// What the caller sees: the whole answer, each token once. Something between
// the router and the engine resets the connection in the middle. The engine
// goes on for a while, so the same run is resumed over a new connection.
func TestConnectionCutInMidAnswer(t *testing.T) {
	for _, class := range []string{classDraft, classLetter} {
		t.Run(class, func(t *testing.T) {
			w := newWorld(t, 2)
			c := w.stream(w.member(0), class, "", longAnswer)
			c.read(5)
			w.engineServer(w.runsAt(c.r.id)).Cut()
			c.rest().wantWhole(w)
			w.wantRuns(c.r.id, 1)
		})
	}
}

// What the caller sees: the whole answer, after a wait. The connection to the
// engine loses its state somewhere: it stays open and carries nothing more,
// while new connections work. TCP would say nothing for minutes.
func TestConnectionSilentInMidAnswer(t *testing.T) {
	w := newWorld(t, 2)
	c := w.stream(w.member(0), classLetter, "", longAnswer)
	c.read(5)
	w.engineServer(w.runsAt(c.r.id)).Silence()
	c.rest().wantWhole(w)
	w.wantRuns(c.r.id, 1)
}

// What the caller sees: an honest "it ran" in place of the rest of its letter.
// The engine crashes in the middle and forgets the run. Another engine is free,
// but a second letter must not be written.
func TestEngineCrashesInALetter(t *testing.T) {
	w := newWorld(t, 2)
	c := w.stream(w.member(0), classLetter, "", longAnswer)
	c.read(5)
	w.engineServer(w.runsAt(c.r.id)).Crash()
	r := c.rest()
	if r.whole || r.verdict == "not_run" {
		t.Errorf("the caller saw %+v", r)
	}
	w.wantRuns(r.id, 1)
	again := w.stream(w.member(1), classLetter, r.id, longAnswer).rest()
	if again.whole || again.verdict == "not_run" {
		t.Errorf("sent again elsewhere, the caller saw %+v", again)
	}
	w.wantRuns(r.id, 1)
}

// What the caller sees: its whole draft. The engine crashes before the first
// token; nothing was relayed, the work is idempotent, so another engine does it.
func TestEngineCrashesBeforeTheFirstTokenOfADraft(t *testing.T) {
	w := newWorld(t, 2)
	for i := 1; i <= 2; i++ {
		w.engine(i).SetStalled(true)
	}
	id := w.boundID(w.member(0))
	done := make(chan *result, 1)
	go func() { done <- w.stream(w.member(0), classDraft, id, 10).rest() }()
	at := w.runsAt(id)
	w.engine(3 - at).SetStalled(false)
	w.engineServer(at).Crash()
	(<-done).wantWhole(w)
	if runs := len(w.runs(id)); runs != 2 {
		t.Errorf("%d runs, want the crashed one and another", runs)
	}
}

// What the caller sees: the letter, although its first server refused. Only the
// engine itself can say that it did not start; then another may.
func TestRefusalBeforeTheStartIsTriedElsewhere(t *testing.T) {
	w := newWorld(t, 1)
	w.engine(1).SetRefusing(true)
	for range 4 {
		c := w.stream(w.member(0), classLetter, "", 3)
		c.rest().wantWhole(w)
		w.wantRuns(c.r.id, 1)
	}
}

// What the caller of a receipt sees: "may have run" when the connection is cut
// before the answer. An application server resumes nothing, and asking again
// would count the receipt twice.
func TestApplicationServerCutInAReceipt(t *testing.T) {
	w := newWorld(t, 1)
	app := w.fleet.Apps["registry-1"]
	app.SetServiceTime(bound)
	id := w.boundID(w.member(0))
	done := make(chan *result, 1)
	go func() { done <- w.service(w.member(0), classReceipt, id) }()
	app.WaitForRuns(1)
	app.Cut()
	if r := <-done; r.verdict != "may_have_run" {
		t.Errorf("the caller saw %+v", r)
	}
	if calls := w.filed(id); calls != 1 {
		t.Errorf("the receipt was filed %d times", calls)
	}
}

// wantRuns fails the test unless the engines started the request so often.
func (w *world) wantRuns(id string, want int) {
	w.t.Helper()
	if runs := w.runs(id); len(runs) != want {
		w.t.Errorf("%d runs of %s, want %d: %+v", len(runs), id, want, runs)
	}
}

// untilRun waits for a run of the request that ended in the given way.
func (w *world) untilRun(id string, end enginemodel.End) {
	w.t.Helper()
	w.until("the run ends", func() bool {
		for _, run := range w.runs(id) {
			if run.End == end {
				return true
			}
		}
		return false
	})
}
