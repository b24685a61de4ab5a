package sched

import (
	"testing"
	"time"

	"basilrudder/internal/schema/engineapi"
)

// The owner of a group died, and every waiting request is submitted to the new owner
// before holders have reported their slots. The top tier must get a slot at once; lower
// tiers wait until the holders have had time to report.
func TestNewOwnerServesTheTopTierBeforeHoldersReport(t *testing.T) {
	f := newFixture(t, 2, 2, Default())
	f.g.BeginTakeover(f.now.Add(400 * time.Millisecond))
	low := f.submit(2, "ann")
	top := f.submit(0, "ben")
	if _, ok := f.granted[low]; ok {
		t.Error("a lower tier got a slot before holders could report")
	}
	if _, ok := f.granted[top]; !ok {
		t.Error("the top-tier request waits")
	}
	f.advance(500 * time.Millisecond)
	if _, ok := f.granted[low]; !ok {
		t.Error("the lower tier still waits after the takeover")
	}
}

// A holder that has not received the change of owner renews with the old one. The engine
// reports its slots as running, so the new owner must not grant them until the holder
// reports them or its lease has expired.
func TestNewOwnerCountsSlotsThatAnEngineReports(t *testing.T) {
	f := newFixture(t, 1, 2, Default())
	f.g.BeginTakeover(f.now)
	f.g.LoadReport(f.now, "s0/e", engineapi.LoadReport{Engine: "e", Running: 2})
	waits := f.submit(0, "ann")
	if _, ok := f.granted[waits]; ok {
		t.Error("granted a slot that the engine reports as running")
	}
	f.g.Adopt(f.now, Ticket{Holder: "other", Seq: 1}, HeldSlot{Engine: "s0/e"})
	if stats := f.g.Stats(); stats.Held != 1 {
		t.Errorf("%d slots held, want the adopted one", stats.Held)
	}
	f.advance(3500 * time.Millisecond)
	if _, ok := f.granted[waits]; !ok && len(f.refused) == 0 {
		t.Error("still waits after every lease has expired")
	}
}

// The measured length of a class must survive a change of owner: the new owner starts
// from what its instance measured as a holder.
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
		t.Errorf("reported hold %v, want 3s", got)
	}
}

// An engine's load report is a second old and dates from the peak of a burst. Slots freed
// since then must not count as in use.
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
		t.Error("no slot granted, though both are free")
	}
}
