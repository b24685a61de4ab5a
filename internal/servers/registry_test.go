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
	return Server{ID: id, Name: Name(id), Service: "s", Address: "10.0.0.1:" + id, Revision: revision}
}

// Guards against live servers dropped after a store outage in which their entries
// expired. The store first reports all three as removed; two write their entries again
// after a second, one had crashed. The live ones stay in use, and the crashed one only
// for the grace.
func TestEntriesThatExpiredInAStoreOutageCountDuringTheGrace(t *testing.T) {
	r := New()
	for _, id := range []string{"a", "b", "c"} {
		r.Put(server(id, 1), at(0))
	}
	r.StoreRecovered(at(5 * time.Second))
	for _, id := range []string{"a", "b", "c"} {
		if _, got := r.Remove(Name(id), 10, at(5*time.Second)); got != InGrace {
			t.Fatalf("removal of %s: %v", id, got)
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(r)); diff != "" {
		t.Error("right after the recovery", diff)
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

// Guards against requests in the grace to a server that drained and whose entry ended
// during a store outage.
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
		t.Error("the server accepts requests again after it drained")
	}
}

// Guards against requests to a leaving server that could not reach the store: its entry
// expires and an earlier one is written again. It is the same incarnation and stays
// draining.
func TestADrainOutlivesTheEntry(t *testing.T) {
	r := New()
	r.Put(server("a", 1), at(0))
	r.ApplyNotice("a", Notice{Leaving: true}, at(0), at(0))
	if _, got := r.Remove("a", 2, at(0)); got != Removed {
		t.Fatalf("removal: %v", got)
	}
	r.Put(server("a", 3), at(time.Second))
	if got, live := r.Get("a"); !live || !got.Draining {
		t.Errorf("the server accepts requests again after it drained: %+v", got)
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
		t.Errorf("an older report of a peer: %v", got)
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

// Guards against requests to the old entry of a server that crashed and restarted under a
// new name at the same address. The new incarnation would refuse them.
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
		t.Error("after a late update of an earlier incarnation", diff)
	}
}

// acceptingOfS lists the servers that accept requests if only service s is published.
func acceptingOfS(r *Registry) []string {
	var out []string
	for _, s := range r.Accepting(func(service string) bool { return service == "s" }) {
		out = append(out, s.ID)
	}
	return out
}

// born returns an incarnation of a server that keeps its name and address.
func born(name string, at int64, revision Revision) Server {
	return Server{ID: Incarnation(Name(name), at), Name: Name(name), Born: at, Service: "s", Address: "10.0.0.1:1", Revision: revision}
}

// Guards against a restarted server that is not used because its former start, under the
// same name, was draining.
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
		t.Error("the former start is not marked as gone")
	}
}

// Guards against a former start that replaces the new one: its late write reaches the
// store after that of the new start, and a slow peer reports the former start too.
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

// Guards against an entry of an unpublished service, by another writer, that displaces a
// server with the same address because it is newer.
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

// Guards against use of a server whose newest entry is unreadable. It gets no requests
// until a later readable entry; older entries don't restore it, and other servers are
// unaffected.
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
		t.Error("the server counts as gone")
	}
	r.Put(born("a", 0, 7), at(time.Second))
	if diff := cmp.Diff([]string{"a", "b"}, acceptingOfS(r)); diff != "" {
		t.Error("readable again", diff)
	}
	if _, got := r.Invalidate(EntryRef{"unknown", 9}, 0); got != Unchanged {
		t.Errorf("an unreadable entry of an unknown name: %v", got)
	}
}

func TestBirthsOfForgottenNamesAreForgotten(t *testing.T) {
	r := New()
	r.Put(born("a", 1000, 1), at(0))
	r.Remove("a", 2, at(0))
	r.Expire(at(tombstoneTTL + time.Second))
	if len(r.newestBorn) > 0 || len(r.gone) > 0 || len(r.current) > 0 {
		t.Errorf("still recorded: %v %v %v", r.newestBorn, r.gone, r.current)
	}
}
