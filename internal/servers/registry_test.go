package servers

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
)

const start = monotime.Instant(time.Hour)

func at(d time.Duration) monotime.Instant { return start.Add(d) }

func ids(r *Registry) []string {
	var out []string
	for _, s := range r.List() {
		out = append(out, s.ID)
	}
	return out
}

func server(id string, revision int64) Server {
	return Server{ID: id, Service: "s", Address: "10.0.0.1:" + id, Revision: revision}
}

// While the store is away the entries of three live servers run out. The first
// thing it says on its return is that all are removed; two write theirs again
// after a second, one had crashed. Callers see none of the live ones missing,
// and the crashed one only for the grace.
func TestEntriesThatLapsedWithTheStoreCountUntilTheyCouldBeBack(t *testing.T) {
	r := New()
	for _, id := range []string{"a", "b", "c"} {
		r.Put(server(id, 1), at(0))
	}
	r.StoreReturned(at(5 * time.Second))
	for _, id := range []string{"a", "b", "c"} {
		if got := r.Remove(id, 10, at(5*time.Second)); got != Lapsing {
			t.Fatalf("removal of %s: %v", id, got)
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(r)); diff != "" {
		t.Error("right after the return", diff)
	}
	r.Put(server("a", 11), at(6*time.Second))
	r.Put(server("b", 12), at(6*time.Second))
	removed := r.Expire(at(5*time.Second + LapseGrace))
	if diff := cmp.Diff([]string{"c"}, removed); diff != "" {
		t.Error("expired", diff)
	}
	if diff := cmp.Diff([]string{"a", "b"}, ids(r)); diff != "" {
		t.Error("after the grace", diff)
	}
	if LapseGrace >= 2*time.Second {
		t.Error("a server that left may get requests for two seconds")
	}
}

// A server reports that it drains and its entry ends while the store is away.
// It was leaving for good, so nothing is sent to it in the grace.
func TestADrainingServerIsGoneAtOnce(t *testing.T) {
	r := New()
	s := server("a", 1)
	s.Draining = true
	r.Put(s, at(0))
	r.StoreReturned(at(time.Second))
	if got := r.Remove("a", 5, at(time.Second)); got != Removed {
		t.Errorf("removal: %v", got)
	}
}

func TestADrainIsNotTakenBack(t *testing.T) {
	r := New()
	s := server("a", 1)
	s.Draining = true
	r.Put(s, at(0))
	r.Put(server("a", 2), at(0))
	if got, _ := r.Get("a"); !got.Draining {
		t.Error("the server takes requests again after it drained")
	}
}

func TestOldNewsOfAPeerDoesNotBringAServerBack(t *testing.T) {
	r := New()
	r.Put(server("a", 5), at(0))
	r.Remove("a", 9, at(0))
	if got := r.Put(server("a", 5), at(time.Second)); got != Unchanged {
		t.Errorf("entry from before the removal: %v", got)
	}
	if got := r.Put(server("a", 12), at(time.Second)); got != Added {
		t.Errorf("entry written after the removal: %v", got)
	}
	if got := r.Bury("a", 9, at(time.Second)); got != Unchanged {
		t.Errorf("a peer's older word: %v", got)
	}
}

func TestAFullListRemovesWhatItLacksButNotWhatIsNewer(t *testing.T) {
	r := New()
	r.Put(server("old", 1), at(0))
	r.Put(server("newer", 50), at(0))
	changed := r.Replace([]Server{server("listed", 3)}, 20, at(0))
	if diff := cmp.Diff([]string{"listed", "old"}, changed); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"listed", "newer"}, ids(r)); diff != "" {
		t.Error(diff)
	}
}

// A server crashes and is back after two seconds as a new incarnation at the
// same address. The old entry stands for a while; requests for it would be
// refused by the new one.
func TestANewIncarnationAtAnAddressEndsTheOldOne(t *testing.T) {
	r := New()
	same := func(id string, revision int64) Server {
		s := server(id, revision)
		s.Address = "10.0.0.1:1"
		return s
	}
	r.Put(same("old", 1), at(0))
	r.Put(same("new", 7), at(2*time.Second))
	if old, _ := r.Get("old"); !old.Draining {
		t.Error("the old incarnation still gets requests")
	}
	if fresh, _ := r.Get("new"); fresh.Draining {
		t.Error("the new incarnation gets none")
	}
	if got := r.Put(same("older", 3), at(3*time.Second)); got != Unchanged {
		t.Errorf("late news of an incarnation before the newest: %v", got)
	}
}
