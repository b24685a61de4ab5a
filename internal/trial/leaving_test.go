package trial

import (
	"encoding/json"
	"strings"
	"testing"

	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/standin/enginemodel"
)

// endOf waits for the accounting of a request's end.
func (w *world) endOf(id string) accounting.Record {
	w.t.Helper()
	var found accounting.Record
	w.until("the request is accounted", func() bool {
		for line := range strings.Lines(w.records.String()) {
			var record accounting.Record
			if json.Unmarshal([]byte(line), &record) != nil {
				continue
			}
			if record.Request == id && record.Kind == accounting.RecordKindEnd {
				found = record
				return true
			}
		}
		return false
	})
	return found
}

// oneSlot gives each model server one slot.
func oneSlot(cfg *Config) {
	for i := range cfg.Inventory.Servers[:2] {
		cfg.Inventory.Servers[i].Engines[0].Slots = 1
	}
}

// What operators see: the engine stops, and the tokens that nobody read are
// counted as waste. The caller of a draft closes its connection in the middle;
// the work is idempotent, so it can ask again.
func TestCallerLeavesADraftInTheMiddle(t *testing.T) {
	w := newWorld(t, 2)
	c := w.stream(w.member(0), classDraft, "", longAnswer)
	c.read(5)
	c.leave()
	w.untilRun(c.r.id, enginemodel.Cancelled)
	if end := w.endOf(c.r.id); end.WastedTokens < 5 || end.Delivered || end.Reason != "caller_gone" {
		t.Errorf("accounted as %+v", end)
	}
	if kept := w.member(0).Daemon.StatusNow().Node.Undelivered; kept != 0 {
		t.Errorf("%d answers are kept for callers that will not come", kept)
	}
}

// What the caller of a letter sees when it comes back: the whole letter, once.
// A letter must not run twice, so it is not thrown away either: it goes on
// without its caller and is kept for it.
func TestCallerLeavesALetterAndFetchesIt(t *testing.T) {
	w := newWorld(t, 2)
	id := w.boundID(w.member(0))
	c := w.stream(w.member(0), classLetter, id, longAnswer)
	c.read(5)
	c.leave()
	w.untilRun(id, enginemodel.Completed)
	w.resume(w.member(0), classLetter, id, 0, longAnswer).rest().wantWhole(w)
	w.wantRuns(id, 1)
	if end := w.endOf(id); !end.Delivered || end.WastedTokens != 0 {
		t.Errorf("accounted as %+v", end)
	}
}

// What the engines see: nothing. Both engines are busy, a request waits, and its
// caller leaves. Its place in the queue goes with it, also for a letter, which
// has not begun.
func TestCallerLeavesTheQueue(t *testing.T) {
	for _, class := range []string{classDraft, classLetter} {
		t.Run(class, func(t *testing.T) {
			w := newWorldWith(t, 1, oneSlot)
			busy := w.occupy(w.member(0), 2)
			id := w.boundID(w.member(0))
			waiting := w.start(w.member(0), class, id, 5)
			w.until("the request waits", func() bool { return w.member(0).Daemon.StatusNow().Node.Waiting == 1 })
			waiting.leave()
			if end := w.endOf(id); end.Verdict != "not_run" || end.Reason != "caller_gone" {
				t.Errorf("accounted as %+v", end)
			}
			w.release(busy)
			w.wantRuns(id, 0)
		})
	}
}

// pending is a call whose answer has not begun.
type pending struct {
	leave func()
	done  chan *result
}

// start sends a model request without waiting for its answer to begin.
func (w *world) start(m *Member, class, id string, tokens int) *pending {
	p := &pending{done: make(chan *result, 1)}
	own, cancel := w.sub()
	p.leave = cancel
	go func() { p.done <- own.stream(m, class, id, tokens).rest() }()
	return p
}

// occupy stalls both engines with one running request on each.
func (w *world) occupy(m *Member, requests int) []*pending {
	w.t.Helper()
	for i := 1; i <= 2; i++ {
		w.engine(i).SetStalled(true)
	}
	var out []*pending
	for range requests {
		id := w.boundID(m)
		out = append(out, w.start(m, classDraft, id, 3))
		w.runsAt(id)
	}
	return out
}

// release lets the engines go on and waits for the answers.
func (w *world) release(busy []*pending) {
	w.t.Helper()
	for i := 1; i <= 2; i++ {
		w.engine(i).SetStalled(false)
	}
	for _, p := range busy {
		(<-p.done).wantWhole(w)
	}
}
