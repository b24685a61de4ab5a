package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// member is one instance and its reconciler.
type member struct {
	id    string
	rec   *Reconciler
	loads *LoadPermits
}

// loadFleet simulates several instances that share one weight store, in virtual time. Each
// message between them is lost with the probability loss.
type loadFleet struct {
	*testFleet
	cat     *catalog.Catalog
	members []*member
	loss    float64
	rng     *rand.Rand
	sent    int
}

func newLoadFleet(instances, engines, limit int) *loadFleet {
	f := &loadFleet{
		testFleet: newTestFleet(true, engines, engines),
		cat:       catalogWith(1, engines, "m@1"),
		rng:       rand.New(rand.NewPCG(1, 1)),
	}
	for i := range instances {
		loads := NewLoadPermits(fmt.Sprintf("i%d", i), DefaultLease)
		f.members = append(f.members, &member{id: loads.self, loads: loads, rec: New(Config{}, loads)})
	}
	f.assignIssuerAndOwners(limit)
	return f
}

// assignIssuerAndOwners makes the first member the issuer and distributes the engines over
// all members.
func (f *loadFleet) assignIssuerAndOwners(limit int) {
	for i, m := range f.members {
		m.loads.SetIssuer(f.now, f.members[0].id, limit, len(f.members), len(f.members))
		owned := make(map[string]bool)
		for e := i; e < len(f.engines); e += len(f.members) {
			owned[engineID(e)] = true
		}
		m.rec.Reconfigure(f.now, f.cat, func(e *catalog.Engine) bool { return owned[e.ID] })
	}
}

func (f *loadFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tick) {
		for _, m := range f.members {
			f.step(m.rec)
			if issuer, ask := m.loads.Tick(f.now); ask != nil {
				f.deliver(m, issuer, ask)
			}
		}
	}
}

func (f *loadFleet) deliver(from *member, issuer string, ask *wire.LoadAsk) {
	f.sent++
	for _, m := range f.members {
		if m.id != issuer || f.rng.Float64() < f.loss {
			continue
		}
		if give := m.loads.OnAsk(f.now, from.id, ask); give != nil && f.rng.Float64() >= f.loss {
			f.sent++
			from.loads.OnGive(f.now, m.id, give)
		}
	}
}

// Guards against a fleet that exceeds the weight store's limit or stops loading when 30 % of
// the permit messages are lost, and against messages while nothing loads.
func TestFleetLoadsWithinTheStoresLimit(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		f := newLoadFleet(5, 20, 2)
		f.loss = loss
		f.run(10*loadTime + 2*time.Minute)
		f.assertAllHold(t, "m@1")
		if peak, loads := f.store.Peak(), f.store.Loads(); peak > 2 || loads != 20 {
			t.Errorf("loss %v: %d loads, %d at once, want 20 and at most 2", loss, loads, peak)
		}
		t.Logf("loss %v: %d messages", loss, f.sent)
		before := f.sent
		f.run(time.Hour)
		if f.sent != before {
			t.Errorf("%d messages while nothing loads", f.sent-before)
		}
	}
}

// Guards against a rollout that exceeds the weight store's limit after the issuer fails. The
// next issuer starts without the permits that are in use. If it granted permits at once,
// they would add to the running loads, among them that of the failed issuer's own engine.
func TestNewIssuerKeepsTheLimitDuringARollout(t *testing.T) {
	f := newLoadFleet(5, 20, 2)
	f.run(DefaultLease + loadTime/2)
	if f.store.Loads() == 0 {
		t.Fatal("no load has started")
	}
	f.members = f.members[1:]
	f.assignIssuerAndOwners(2)
	f.run(10*loadTime + 2*time.Minute)
	f.assertAllHold(t, "m@1")
	if peak, loads := f.store.Peak(), f.store.Loads(); peak > 2 || loads != 20 {
		t.Errorf("%d loads, %d at once, want 20 and at most 2", loads, peak)
	}
}

// Guards against a permit from an answer that arrives after a pause. The lease of such a
// permit has ended at the issuer, which may have granted it to another instance.
func TestLateAnswerGrantsNoPermit(t *testing.T) {
	l := NewLoadPermits("a", DefaultLease)
	l.SetIssuer(0, "b", 1, 2, 2)
	l.TryAcquire(0, "e")
	issuer, ask := l.Tick(monotime.Instant(minAskInterval))
	if issuer != "b" || ask == nil || len(ask.Wants) != 1 {
		t.Fatalf("asked %s for %+v", issuer, ask)
	}
	give := &wire.LoadGive{Seq: ask.Seq, Engines: []string{"e"}, LeaseMS: int(DefaultLease / time.Millisecond)}
	late := monotime.Instant(minAskInterval).Add(DefaultLease)
	l.OnGive(late, "b", give)
	if l.TryAcquire(late, "e") {
		t.Error("a permit was accepted after its lease")
	}
	l.OnGive(monotime.Instant(2*minAskInterval), "b", give)
	if !l.TryAcquire(monotime.Instant(2*minAskInterval), "e") {
		t.Error("a permit within its lease was not accepted")
	}
}
