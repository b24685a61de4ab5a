package orders

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/standin/enginemodel"
)

func TestEnginesConvergeAndThenGetNoMoreOrders(t *testing.T) {
	w := newTestFleet(true, 3, 3)
	r := newInstance(w, catalogWith(1, 3, "m@1"), NewIssuer(3, lease))
	w.run(time.Minute, r)
	w.assertAllHold(t, "m@1")
	r.Reconfigure(w.now, catalogWith(2, 3, "m@2"), ownsAll)
	w.run(time.Hour, r)
	w.assertAllHold(t, "m@2")
	if sent := r.Stats().Sent; sent != 6 {
		t.Errorf("%d orders, want one per engine and revision", sent)
	}
}

// An instance prepared an order of revision 1, was stopped, and sends it after
// another instance had all engines load revision 2. An engine that checks
// fencing numbers refuses; the woken instance learns from the refusal that it
// is behind and sends nothing more.
func TestCheckingEngineRefusesStaleOrder(t *testing.T) {
	w := newTestFleet(true, 1, 1)
	stale := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	prepared := prepareOrder(t, w, stale)
	fresh := newInstance(w, catalogWith(2, 1, "m@2"), NewIssuer(1, lease))
	w.run(time.Minute, fresh)
	w.perform(stale, prepared)
	w.assertAllHold(t, "m@2")
	if !stale.Behind() || stale.Stats().Refused != 1 {
		t.Errorf("behind %v, %+v", stale.Behind(), stale.Stats())
	}
	before := w.orders[engineID(0)]
	w.run(time.Minute, stale, fresh)
	w.assertAllHold(t, "m@2")
	if after := w.orders[engineID(0)]; after != before {
		t.Errorf("%d more orders", after-before)
	}
}

// The same, to an engine that ignores fencing numbers: it obeys the stale
// order and drops the right model. The instance in charge sees it in the next
// report and orders again; the engine is right after one resync and one load.
func TestStaleOrderToANonCheckingEngineIsCorrected(t *testing.T) {
	w := newTestFleet(false, 1, 1)
	stale := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	prepared := prepareOrder(t, w, stale)
	fresh := newInstance(w, catalogWith(2, 1, "m@2"), NewIssuer(1, lease))
	w.run(time.Minute, fresh)
	w.perform(stale, prepared)
	if report := w.engines[engineID(0)].Report(w.now); len(report.Loading) == 0 {
		t.Fatalf("the engine did not obey the stale order: %+v", report)
	}
	w.run(DefaultResync+2*loadTime+time.Second, fresh)
	w.assertAllHold(t, "m@2")
	if corrected := fresh.Stats().Corrected; corrected != 1 {
		t.Errorf("corrected %d times, want once", corrected)
	}
}

// prepareOrder lets an instance decide on an order, which it does not send.
func prepareOrder(t *testing.T, w *testFleet, r *Reconciler) Action {
	t.Helper()
	w.step(r)
	actions := r.Tick(w.now, nil)
	if len(actions) != 1 || actions[0].Kind != Send {
		t.Fatalf("actions: %+v", actions)
	}
	return actions[0]
}

// A checking engine restarts and so forgets the highest fencing number. A
// stale order then passes the check; the next report shows it and the instance
// in charge corrects it.
func TestStaleOrderAfterAnEngineRestartIsCorrected(t *testing.T) {
	w := newTestFleet(true, 1, 1)
	stale := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	prepared := prepareOrder(t, w, stale)
	fresh := newInstance(w, catalogWith(2, 1, "m@2"), NewIssuer(1, lease))
	w.run(time.Minute, fresh)
	w.engines[engineID(0)].Restart()
	w.perform(stale, prepared)
	w.run(time.Minute, fresh)
	w.assertAllHold(t, "m@2")
}

// A process that was paused must ask before it orders: what it believed of the
// engines is from before the pause.
func TestNoOrderAfterAPauseBeforeAReport(t *testing.T) {
	w := newTestFleet(false, 1, 1)
	r := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	w.step(r)
	w.now = w.now.Add(time.Minute)
	r.OnPaused(w.now)
	actions := r.Tick(w.now, nil)
	if len(actions) != 1 || actions[0].Kind != Observe {
		t.Errorf("actions after a pause: %+v", actions)
	}
}

func TestOldCatalogChangesNothing(t *testing.T) {
	w := newTestFleet(true, 1, 1)
	r := newInstance(w, catalogWith(2, 1, "m@2"), NewIssuer(1, lease))
	r.Reconfigure(w.now, catalogWith(1, 1, "m@1"), ownsAll)
	w.run(time.Minute, r)
	w.assertAllHold(t, "m@2")
}

// A new version for twenty engines, and a store that takes two loads at once.
// More at once would slow every load and could lose them all to timeouts.
func TestLoadsStayWithinTheStoresLimit(t *testing.T) {
	w := newTestFleet(true, 20, 2)
	r := newInstance(w, catalogWith(1, 20, "m@1"), NewIssuer(2, lease))
	w.run(10*loadTime+time.Minute, r)
	w.assertAllHold(t, "m@1")
	if peak := w.store.Peak(); peak != 2 {
		t.Errorf("%d loads at once, want 2", peak)
	}
}

// The fleet of eight instances is split five to three and each part has an
// issuer that knows nothing of the other, before one store with a limit of
// two. Each part uses its share, so that the limit holds over both.
func TestPartitionedPartsShareTheLimit(t *testing.T) {
	w := newTestFleet(true, 20, 2)
	cat := catalogWith(1, 20, "m@1")
	var parts []*Reconciler
	for i, live := range []int{5, 3} {
		issuer := NewIssuer(2, lease)
		issuer.SetShare(live, 8)
		r := New(Config{}, issuer)
		owned := map[string]bool{}
		for n := range 20 {
			owned[engineID(n)] = n%2 == i
		}
		r.Reconfigure(w.now, cat, func(e *catalog.Engine) bool { return owned[e.ID] })
		parts = append(parts, r)
	}
	w.run(time.Hour, parts...)
	w.assertAllHold(t, "m@1")
	if peak := w.store.Peak(); peak > 2 {
		t.Errorf("%d loads at once, want at most 2", peak)
	}
}

// The owner of an engine dies while the engine loads. The next owner finds the
// load under way: it must count it against the limit and not start another.
func TestNewOwnerFollowsALoadUnderWay(t *testing.T) {
	w := newTestFleet(true, 2, 1)
	cat := catalogWith(1, 2, "m@1")
	first := newInstance(w, cat, NewIssuer(1, lease))
	w.run(loadTime/2, first)
	next := newInstance(w, cat, NewIssuer(1, lease))
	w.run(time.Minute, next)
	w.assertAllHold(t, "m@1")
	if peak, loads := w.store.Peak(), w.store.Loads(); peak != 1 || loads != 2 {
		t.Errorf("%d loads, %d at once, want 2 and 1", loads, peak)
	}
}

// An engine does not answer for a while. It is asked more and more seldom, and
// gets its order once it answers.
func TestUnreachableEngineIsRetried(t *testing.T) {
	w := newTestFleet(true, 2, 2)
	w.unreachable[engineID(0)] = true
	r := newInstance(w, catalogWith(1, 2, "m@1"), NewIssuer(2, lease))
	asked := 0
	for range 600 {
		for _, action := range r.Tick(w.now, nil) {
			if action.Engine.ID == engineID(0) {
				asked++
			}
			w.perform(r, action)
		}
		w.now = w.now.Add(tick)
	}
	if asked > 10 {
		t.Errorf("asked %d times in a minute", asked)
	}
	w.unreachable = map[string]bool{}
	w.run(time.Minute, r)
	w.assertAllHold(t, "m@1")
}

// The answer to an action never comes. The engine is asked again after the
// timeout.
func TestLostAnswerIsRetriedAfterTheTimeout(t *testing.T) {
	w := newTestFleet(true, 1, 1)
	r := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	if lost := r.Tick(w.now, nil); len(lost) != 1 {
		t.Fatalf("actions: %+v", lost)
	}
	w.run(time.Minute, r)
	w.assertAllHold(t, "m@1")
}

// An engine takes every order and changes nothing. Each order may cost the
// store a load, so they come ever more seldom.
func TestEngineThatDoesNotChangeGetsFewOrders(t *testing.T) {
	w := newTestFleet(false, 1, 1)
	r := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	orders := 0
	for range 6000 {
		for _, action := range r.Tick(w.now, nil) {
			if action.Kind == Send {
				orders++
			}
			r.OnReport(w.now, action.Engine.ID, enginemodel.NewHolding(false, nil, nil, "").Report(w.now))
		}
		w.now = w.now.Add(tick)
	}
	if orders > 30 || orders < 10 {
		t.Errorf("%d orders in ten minutes", orders)
	}
}

func TestPermitThatIsNotRenewedExpires(t *testing.T) {
	issuer := NewIssuer(1, lease)
	if !issuer.TryAcquire(0, "a") || issuer.TryAcquire(0, "b") {
		t.Error("want one permit")
	}
	late := monotime.Instant(lease)
	if !issuer.TryAcquire(late, "b") {
		t.Error("the permit of a dead holder is still held")
	}
}

// A part with a small share rests between loads, so that over an hour it uses
// its share of the store.
func TestSmallShareIsKeptOnAverage(t *testing.T) {
	for _, live := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(live), func(t *testing.T) {
			issuer := NewIssuer(2, lease)
			issuer.SetShare(live, 8)
			busy, end := time.Duration(0), monotime.Instant(time.Hour)
			for now := monotime.Instant(0); now < end; now = now.Add(tick) {
				if issuer.TryAcquire(now, "load") {
					now = now.Add(loadTime)
					busy += loadTime
					issuer.Release(now, "load")
				}
			}
			share := 2 * float64(live) / 8
			if used := busy.Hours(); used > share*1.05 || used < share*0.9 {
				t.Errorf("used %.3f loads on average, want %.3f", used, share)
			}
		})
	}
}
