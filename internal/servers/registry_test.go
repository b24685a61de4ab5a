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

func server(id string, revision Revision) Server {
	return Server{ID: id, Name: id, Service: "s", Address: "10.0.0.1:" + id, Revision: revision}
}

// While the store is away the entries of three live servers run out. The first
// thing it says on its return is that all are removed; two write theirs again
// after a second, one had crashed. Callers see none of the live ones missing,
// and the crashed one only for the grace.
func TestEntriesThatExpiredInAStoreOutageCountDuringTheGrace(t *testing.T) {
	r := New()
	for _, id := range []string{"a", "b", "c"} {
		r.Put(server(id, 1), at(0))
	}
	r.StoreRecovered(at(5 * time.Second))
	for _, id := range []string{"a", "b", "c"} {
		if _, got := r.Remove(id, 10, at(5*time.Second)); got != InGrace {
			t.Fatalf("removal of %s: %v", id, got)
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(r)); diff != "" {
		t.Error("right after the return", diff)
	}
	r.Put(server("a", 11), at(6*time.Second))
	r.Put(server("b", 12), at(6*time.Second))
	removed := r.Expire(at(5*time.Second + RemovalGrace))
	if diff := cmp.Diff([]string{"c"}, removed); diff != "" {
		t.Error("expired", diff)
	}
	if diff := cmp.Diff([]string{"a", "b"}, ids(r)); diff != "" {
		t.Error("after the grace", diff)
	}
	if RemovalGrace >= 2*time.Second {
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
	r.StoreRecovered(at(time.Second))
	if _, got := r.Remove("a", 5, at(time.Second)); got != Removed {
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

// A server that leaves can't reach the store, its entry runs out and an earlier one is
// written again. It gets nothing: it is the same incarnation, and it leaves.
func TestADrainOutlivesTheEntry(t *testing.T) {
	r := New()
	r.Put(server("a", 1), at(0))
	r.ApplyNotice("a", Notice{Leaving: true}, at(0), at(0))
	if _, got := r.Remove("a", 2, at(0)); got != Removed {
		t.Fatalf("removal: %v", got)
	}
	r.Put(server("a", 3), at(time.Second))
	if got, live := r.Get("a"); !live || !got.Draining {
		t.Errorf("the server takes requests again after it drained: %+v", got)
	}
}

func TestAnOldPeerUpdateDoesNotRestoreAServer(t *testing.T) {
	r := New()
	r.Put(server("a", 5), at(0))
	r.Remove("a", 9, at(0))
	if got := r.Put(server("a", 5), at(time.Second)); got != Unchanged {
		t.Errorf("entry from before the removal: %v", got)
	}
	if got := r.Put(server("a", 12), at(time.Second)); got != Added {
		t.Errorf("entry written after the removal: %v", got)
	}
	if got := r.MarkGone("a", 9, at(time.Second)); got != Unchanged {
		t.Errorf("a peer's older word: %v", got)
	}
}

func TestAFullListRemovesWhatItLacksButNotWhatIsNewer(t *testing.T) {
	r := New()
	r.Put(server("old", 1), at(0))
	r.Put(server("newer", 50), at(0))
	changed := r.Replace([]Server{server("listed", 3)}, nil, 20, at(0))
	if diff := cmp.Diff([]string{"listed", "old"}, changed); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"listed", "newer"}, ids(r)); diff != "" {
		t.Error(diff)
	}
}

// A server crashes and is back after two seconds under a new name at the same
// address. The old entry stands for a while; requests for it would be
// refused by the new one.
func TestANewIncarnationAtAnAddressEndsTheOldOne(t *testing.T) {
	r := New()
	same := func(id string, revision Revision) Server {
		s := server(id, revision)
		s.Address = "10.0.0.1:1"
		return s
	}
	r.Put(same("old", 1), at(0))
	r.Put(same("new", 7), at(2*time.Second))
	if diff := cmp.Diff([]string{"new"}, acceptingOfS(r)); diff != "" {
		t.Error("of two incarnations at an address", diff)
	}
	r.Put(same("older", 3), at(3*time.Second))
	if diff := cmp.Diff([]string{"new"}, acceptingOfS(r)); diff != "" {
		t.Error("after late news of an incarnation before the newest", diff)
	}
}

// acceptingOfS lists the servers that take requests where service s is published.
func acceptingOfS(r *Registry) []string {
	var out []string
	for _, s := range r.Accepting(func(service string) bool { return service == "s" }) {
		out = append(out, s.ID)
	}
	return out
}

// born is a start of a server that keeps its name and address.
func born(name string, at int64, revision Revision) Server {
	return Server{ID: Incarnation(name, at), Name: name, Born: at, Service: "s", Address: "10.0.0.1:1", Revision: revision}
}

// A server drains, stops and starts again under its name. Callers are served by
// its new start: what was known of the former one does not bind it.
func TestAServerThatStartsAgainUnderItsNameIsNotDraining(t *testing.T) {
	r := New()
	former := born("a", 1000, 5)
	former.Draining = true
	r.Put(former, at(0))
	if got := r.Put(born("a", 2000, 9), at(time.Second)); got != Added {
		t.Errorf("the new start: %v", got)
	}
	if diff := cmp.Diff([]string{"a@2000"}, acceptingOfS(r)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a@1000"}, r.Replaced()); diff != "" {
		t.Error("ended", diff)
	}
	if _, gone := r.Gone("a@1000"); !gone {
		t.Error("the former start is not known to be gone")
	}
}

// A server has started again. A late write of its former start reaches the store
// after that of the new one, and a slow peer tells of the former start too. The
// new start goes on taking requests, and the former one gets none.
func TestLateUpdatesOfAFormerStartAreIgnored(t *testing.T) {
	r := New()
	r.Put(born("a", 2000, 9), at(0))
	late := born("a", 1000, 12)
	late.Draining = true
	if got := r.Put(late, at(time.Second)); got != Unchanged {
		t.Errorf("late entry: %v", got)
	}
	r.MarkGone("a@1000", 12, at(time.Second))
	changed := r.Replace([]Server{late}, nil, 20, at(2*time.Second))
	if len(changed) > 0 {
		t.Errorf("a list with the late entry changes %v", changed)
	}
	if diff := cmp.Diff([]string{"a@2000"}, acceptingOfS(r)); diff != "" {
		t.Error(diff)
	}
	if id, got := r.Remove("a", 21, at(3*time.Second)); got != Removed || id != "a@2000" {
		t.Errorf("removal of the entry: %s %v", id, got)
	}
}

// Two servers share an address that was given again, one of them of a service that
// nobody published. Its entry comes from another writer, is newer, and must not
// take the requests of the other away.
func TestAnEntryOfAnUnknownServiceDisplacesNone(t *testing.T) {
	r := New()
	r.Put(born("a", 0, 1), at(0))
	stranger := born("stranger", 0, 8)
	stranger.Service = "nobody's"
	r.Put(stranger, at(0))
	if diff := cmp.Diff([]string{"a"}, acceptingOfS(r)); diff != "" {
		t.Error(diff)
	}
}

// An entry turns unreadable and is written well again a second later. In between
// its server gets no requests, the others do, and an older word does not help.
func TestAnUnreadableEntryIsNotUsedUntilItIsReadable(t *testing.T) {
	r := New()
	other := born("b", 0, 2)
	other.Address = "10.0.0.2:1"
	r.Put(born("a", 0, 1), at(0))
	r.Put(other, at(0))
	if id, got := r.Invalidate(EntryRef{"a", 5}, 0); got != Updated || id != "a" {
		t.Errorf("unreadable entry: %s %v", id, got)
	}
	r.Put(born("a", 0, 3), at(0))
	if diff := cmp.Diff([]string{"b"}, acceptingOfS(r)); diff != "" {
		t.Error("while it is unreadable", diff)
	}
	if changed := r.Replace([]Server{other}, []EntryRef{{"a", 5}}, 6, at(0)); len(changed) > 0 {
		t.Errorf("a list with the unreadable entry changes %v", changed)
	}
	if _, ok := r.Get("a"); !ok {
		t.Error("the server is taken for gone")
	}
	r.Put(born("a", 0, 7), at(time.Second))
	if diff := cmp.Diff([]string{"a", "b"}, acceptingOfS(r)); diff != "" {
		t.Error("written well again", diff)
	}
	if _, got := r.Invalidate(EntryRef{"unknown", 9}, 0); got != Unchanged {
		t.Errorf("an unreadable entry of a name that is not known: %v", got)
	}
}

func TestBirthsOfForgottenNamesAreForgotten(t *testing.T) {
	r := New()
	r.Put(born("a", 1000, 1), at(0))
	r.Remove("a", 2, at(0))
	r.Expire(at(tombstoneLife + time.Second))
	if len(r.newestBorn) > 0 || len(r.gone) > 0 || len(r.current) > 0 {
		t.Errorf("still known: %v %v %v", r.newestBorn, r.gone, r.current)
	}
}
