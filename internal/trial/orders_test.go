package trial

import (
	"slices"
	"testing"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/upstream"
)

// holds reports whether both engines hold just the model.
func (w *world) holds(model string) bool {
	for i := 1; i <= 2; i++ {
		if !slices.Equal(w.engine(i).Holds().Models, []string{model}) {
			return false
		}
	}
	return true
}

// corrected counts the corrections of all instances.
func (w *world) corrected() (n int) {
	for _, m := range w.fleet.Members {
		n += m.Daemon.StatusNow().Orders.Corrected
	}
	return n
}

// What operators see: after a change of a model's version every engine holds
// it, and stays with it. An order of the old revision then arrives at both
// engines, as from an instance that slept through the change. The engine that
// checks fencing numbers refuses it; the other one obeys, and the owner finds
// out and orders again.
func TestOrdersFollowTheConfigurationAndCorrectAStaleOne(t *testing.T) {
	w := newWorld(t, 3)
	w.until("version 1 is held", func() bool { return w.holds("writer@1") })
	w.inv.Models[0].Version = "2"
	if err := w.fleet.Publish(w.inv); err != nil {
		t.Fatal(err)
	}
	w.until("version 2 is held", func() bool { return w.holds("writer@2") })

	stale := engineapi.Order{Fence: 1, Engine: "e", Models: []string{"writer@1"}, Role: "mixed"}
	sleeper := upstream.New(upstream.Config{})
	for i, wantAccepted := range []bool{false, true} {
		server := w.inv.Servers[i]
		answer, err := sleeper.Order(w.ctx, upstream.Target{Address: server.Address, Server: server.Name, Engine: "e"}, stale)
		if err != nil || answer.Accepted != wantAccepted {
			t.Errorf("%s took the stale order: %+v, %v, want accepted %v", server.Name, answer, err, wantAccepted)
		}
	}
	w.until("the stale order is corrected", func() bool { return w.corrected() > 0 && w.holds("writer@2") })
	if n := w.corrected(); n != 1 {
		t.Errorf("%d corrections, want one", n)
	}
}
