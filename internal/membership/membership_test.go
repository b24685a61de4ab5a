package membership

import (
	"slices"
	"testing"
	"time"
)

func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(x string) bool { return x == id })
}

func TestEveryoneStartsAtOnce(t *testing.T) {
	// All instances are replaced at the same moment and nobody knows anything
	// but the platform's list. Each dials its ring neighbours and passes on
	// what it learns, so that all see all without a full mesh of links.
	w := newNetwork(t, 64)
	took := w.settle()
	t.Logf("64 members saw each other after %v", took)
	for _, id := range w.ids {
		if !w.view(id).Confirmed {
			t.Errorf("%s is not confirmed", id)
		}
	}
}

func TestCrashIsNoticed(t *testing.T) {
	// A process is killed. Its host closes its links, the neighbours cannot
	// replace them and suspect it, nobody refutes, and everyone drops it.
	w := newNetwork(t, 16)
	w.settle()
	w.kill("dc1-000")
	took := w.until(5*time.Second, "the death is known", func() bool {
		return w.sees(w.running(), w.running())
	})
	t.Logf("a killed process was dropped everywhere after %v", took)
	if got := w.view("dc2-001").Known; got != 16 {
		t.Errorf("Known = %d, want 16: the list still names the dead one", got)
	}
}
