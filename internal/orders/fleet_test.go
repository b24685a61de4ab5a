package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/enginemodel"
)

const (
	tick     = 100 * time.Millisecond
	loadTime = 10 * time.Second
	lease    = 15 * time.Second
)

// testFleet simulates engines and the weight store that they load from, in virtual time.
type testFleet struct {
	now         monotime.Instant
	store       *enginemodel.WeightStore
	engines     map[string]*enginemodel.Holding
	unreachable map[string]bool
	orders      map[string]int // by engine
}

func newTestFleet(checks bool, servers int, maxLoads int) *testFleet {
	w := &testFleet{
		store:       enginemodel.NewWeightStore(maxLoads, loadTime),
		engines:     make(map[string]*enginemodel.Holding),
		unreachable: make(map[string]bool),
		orders:      make(map[string]int),
	}
	for i := range servers {
		w.engines[engineID(i)] = enginemodel.NewHolding(checks, w.store, nil, "mixed")
	}
	return w
}

func engineID(i int) string {
	return fmt.Sprintf("s%02d/e0", i)
}

// catalogWith compiles a catalog in which every engine should hold the model.
func catalogWith(number uint64, servers int, model string) *catalog.Catalog {
	inv := &inventory.Inventory{}
	for i := range servers {
		inv.Servers = append(inv.Servers, inventory.Server{
			Name:       fmt.Sprintf("s%02d", i),
			DataCentre: "dc1",
			Kind:       inventory.ServerKindModel,
			Engines:    []inventory.Engine{{Name: "e0", Models: []string{model}, Slots: 1}},
		})
	}
	return catalog.Compile(number, inv)
}

func ownsAll(*catalog.Engine) bool { return true }

// run runs the instances for the duration d of virtual time.
func (w *testFleet) run(d time.Duration, instances ...*Reconciler) {
	end := w.now.Add(d)
	for ; w.now < end; w.now = w.now.Add(tick) {
		for _, r := range instances {
			w.step(r)
		}
	}
}

func (w *testFleet) step(r *Reconciler) {
	for _, action := range r.Tick(w.now, nil) {
		w.perform(r, action)
	}
}

// perform executes an action and passes its result to the instance.
func (w *testFleet) perform(r *Reconciler, action Action) {
	id := action.Engine.ID
	if w.unreachable[id] {
		r.OnFailure(w.now, id)
		return
	}
	if action.Kind == Observe {
		r.OnReport(w.now, id, w.engines[id].Report(w.now))
		return
	}
	w.orders[id]++
	r.OnReport(w.now, id, w.engines[id].Order(w.now, action.Order))
}

func (w *testFleet) assertAllHold(t *testing.T, model string) {
	t.Helper()
	for id, engine := range w.engines {
		if report := engine.Report(w.now); !slices.Equal(report.Models, []string{model}) {
			t.Errorf("%s holds %v, want %s", id, report.Models, model)
		}
	}
}

// newInstance returns an instance that owns every engine.
func newInstance(w *testFleet, cat *catalog.Catalog, permit LoadLimiter) *Reconciler {
	r := New(Config{}, permit)
	r.Reconfigure(w.now, cat, ownsAll)
	return r
}
