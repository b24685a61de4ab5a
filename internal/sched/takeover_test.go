package sched

import (
	"testing"
	"time"

	"basilrudder/internal/schema/engineapi"
)

// What the caller of the top tier sees: a slot at once. The owner of a group
// died; every waiting request is asked for again at the new one before holders
// told it what they hold. Lower work waits a moment, the top tier does not.
func TestNewOwnerServesTheTopTierBeforeHoldersReport(t *testing.T) {
	f := newFixture(t, 2, 2, Default())
	f.g.BeginTakeover(f.now.Add(400 * time.Millisecond))
	low := f.submit(2, "ann")
	top := f.submit(0, "ben")
	if _, ok := f.granted[low]; ok {
		t.Error("lower work got a slot before holders could tell")
	}
	if _, ok := f.granted[top]; !ok {
		t.Error("the top tier waits")
	}
	f.advance(500 * time.Millisecond)
	if _, ok := f.granted[low]; !ok {
		t.Error("lower work still waits after the take-over")
	}
}

// What the caller of the top tier sees: a slot that is really free. A holder has
// not heard of the new owner and renews with the old one; the engine reports the
// slot as in use, so the new owner does not hand it out, until the holder has
// told or its lease is over.
func TestNewOwnerCountsSlotsThatAnEngineReports(t *testing.T) {
	f := newFixture(t, 1, 2, Default())
	f.g.BeginTakeover(f.now)
	f.g.LoadReport(f.now, "s0/e", engineapi.LoadReport{Engine: "e", Running: 2})
	waits := f.submit(0, "ann")
	if _, ok := f.granted[waits]; ok {
		t.Error("got a slot that the engine reports as in use")
	}
	f.g.Adopt(f.now, Ticket{Holder: "other", Seq: 1}, HeldSlot{Engine: "s0/e"})
	if stats := f.g.Stats(); stats.Held != 1 {
		t.Errorf("%d slots held, want the adopted one", stats.Held)
	}
	f.advance(3500 * time.Millisecond)
	if _, ok := f.granted[waits]; !ok && len(f.refused) == 0 {
		t.Error("still waits after every lease is over")
	}
}

// What operators see: a class keeps its measured length through a change of the
// owner. The new owner starts from what its instance measured as an entry.
func TestNewOwnerStartsFromItsOwnMeasurements(t *testing.T) {
	m := NewMeasurements()
	f := newFixture(t, 1, 2, Default())
	class := f.cat.Classes["c2"]
	for range minHoldSamples {
		m.Record(class, 300, 3*time.Second, 50*time.Millisecond)
	}
	f.g.SetMeasurements(m)
	f.submit(2, "ann")
	if hold := f.g.statsOf(class).hold.mean; hold != 3 {
		t.Errorf("expected hold %v s, want 3", hold)
	}
	if got := m.ExpectedHold(class); got != 3*time.Second {
		t.Errorf("told hold %v, want 3s", got)
	}
}

// What the caller sees: a slot as soon as there is one. The engine's report is a
// second old and from the height of a burst; the slots that came free since do
// not count as in use.
func TestSlotsFreedSinceAReportAreFree(t *testing.T) {
	f := newFixture(t, 1, 2, Default())
	f.g.BeginTakeover(f.now)
	for seq := range uint64(2) {
		f.g.Adopt(f.now, Ticket{Holder: "other", Seq: seq}, HeldSlot{Engine: "s0/e"})
	}
	f.now = f.now.Add(time.Second)
	for seq := range uint64(2) {
		f.take(f.g.Release(f.now, Ticket{Holder: "other", Seq: seq}, Result{Tokens: 5}, nil))
	}
	f.g.LoadReport(f.now, "s0/e", engineapi.LoadReport{Engine: "e", Running: 2, AgeMS: 900})
	top := f.submit(0, "ann")
	if _, ok := f.granted[top]; !ok {
		t.Error("no slot, though both are free")
	}
}
