package orders

import (
	"testing"
	"time"

	"basilrudder/internal/catalog"
)

// catalogWithdrawn compiles a catalog in which every server is withdrawn.
func catalogWithdrawn(number uint64, servers int, model string) *catalog.Catalog {
	cat := catalogWith(number, servers, model)
	for i := range cat.Inventory.Servers {
		cat.Inventory.Servers[i].Withdrawn = true
	}
	return catalog.Compile(number, cat.Inventory)
}

// Guards against work on a withdrawn server. An instance in another part of a partition does
// not receive the withdrawal and goes on sending requests there. The owner must order the
// engines to refuse new work within 3 s, so that the requests run elsewhere. A stale order
// that lets an engine without fencing accept work again must be corrected.
func TestWithdrawnServerIsOrderedToRefuseWork(t *testing.T) {
	for _, checks := range []bool{false, true} {
		w := newTestFleet(checks, 1, 1)
		engine := w.engines[engineID(0)]
		stale := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
		prepared := prepareOrder(t, w, stale)
		fresh := newInstance(w, catalogWith(1, 1, "m@1"), NewIssuer(1, lease))
		w.run(time.Minute, fresh)
		if engine.Withdrawn() {
			t.Fatal("the engine refuses work before the withdrawal")
		}
		fresh.Reconfigure(w.now, catalogWithdrawn(2, 1, "m@1"), ownsAll)
		w.run(3*time.Second, fresh)
		if !engine.Withdrawn() {
			t.Errorf("checks %v: the engine accepts work 3 s after the withdrawal", checks)
		}
		w.perform(stale, prepared)
		w.run(DefaultResync+time.Second, fresh)
		if !engine.Withdrawn() {
			t.Errorf("checks %v: a stale order was not corrected", checks)
		}
		w.assertAllHold(t, "m@1")
	}
}
