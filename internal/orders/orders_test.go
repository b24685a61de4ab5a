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

// Guards against a stale order that takes effect on an engine that checks fencing numbers. An
// instance decides on an order of revision 1, is paused, and sends it after another instance
// brought the engines to revision 2. The engine must refuse it. The refusal shows the paused
// instance that its configuration is outdated, and it must send no more orders.
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

// Guards against a stale order that stays in effect on an engine that ignores fencing numbers.
// The engine obeys the order and drops the desired model. The owner must detect it in the
// next report and correct it: after one resync interval and one load the engine has
// converged again.
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

// prepareOrder returns an order that the instance decides on, without sending it.
func prepareOrder(t *testing.T, w *testFleet, r *Reconciler) Action {
	t.Helper()
	w.step(r)
	actions := r.Tick(w.now, nil)
	if len(actions) != 1 || actions[0].Kind != Send {
		t.Fatalf("actions: %+v", actions)
	}
	return actions[0]
}

// Guards against a stale order that stays in effect after a restart of an engine that checks
// fencing numbers. The restart loses the highest number, so that the stale order passes the
// check. The owner must detect it in the next report and correct it.
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

// Guards against orders decided from reports that predate a pause of the process. It must
// query the engines first.
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

// Guards against more concurrent loads than the weight store sustains when twenty engines get
// a new version and the limit is two. More would slow down every load and could make all of
// them time out.
func TestLoadsStayWithinTheStoresLimit(t *testing.T) {
	w := newTestFleet(true, 20, 2)
	r := newInstance(w, catalogWith(1, 20, "m@1"), NewIssuer(2, lease))
	w.run(10*loadTime+time.Minute, r)
	w.assertAllHold(t, "m@1")
	if peak := w.store.Peak(); peak != 2 {
		t.Errorf("%d loads at once, want 2", peak)
	}
}

// Guards against a partitioned fleet that exceeds the weight store's limit. Eight instances
// are split five to three, and each part has an issuer without a link to the other. Each must
// use only its share, so that the limit of two holds over both.
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

// Guards against a second load when the owner of an engine fails while the engine loads. The
// next owner must count the running load against the limit and start no other.
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

// Guards against frequent calls to an engine that is unreachable, and against an engine that
// gets no order once it answers again. The retry delay must increase.
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
		t.Errorf("an unreachable engine was called %d times in a minute", asked)
	}
	w.unreachable = map[string]bool{}
	w.run(time.Minute, r)
	w.assertAllHold(t, "m@1")
}

// Guards against an engine that is never called again because the result of an action was
// lost. It must be queried after the timeout.
func TestLostAnswerIsRetriedAfterTheTimeout(t *testing.T) {
	w := newTestFleet(true, 1, 1)
	r := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
	if lost := r.Tick(w.now, nil); len(lost) != 1 {
		t.Fatalf("actions: %+v", lost)
	}
	w.run(time.Minute, r)
	w.assertAllHold(t, "m@1")
}

// Guards against frequent orders to an engine that accepts them all and does not change. Each
// order may cost the weight store a load, so the delay between them must increase.
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
		t.Error("want exactly one permit")
	}
	late := monotime.Instant(lease)
	if !issuer.TryAcquire(late, "b") {
		t.Error("a permit is still held after its lease")
	}
}

// Guards against a part of the fleet that loads more or less than its share when the share is
// below one load. It must pause between loads and use its share on average over an hour.
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
