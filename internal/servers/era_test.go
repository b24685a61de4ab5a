package servers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
)

// rev returns the revision of a number in an era.
func rev(era, number int64) Revision {
	out, ok := NewRevision(era, number)
	if !ok {
		panic("era or number out of range")
	}
	return out
}

func acceptingIDs(r *Registry) []string {
	out := []string{}
	for _, s := range r.Accepting(func(string) bool { return true }) {
		out = append(out, s.ID)
	}
	return out
}

func TestRevisionsAreOrderedByEraAndNumber(t *testing.T) {
	ordered := []Revision{rev(0, 0), rev(0, 7), rev(0, MaxNumber), rev(1, 0), rev(1, 3), rev(2, 1), rev(MaxEra, MaxNumber)}
	if !slices.IsSorted(ordered) || rev(3, 9).Era() != 3 || rev(3, 9).Number() != 9 || rev(3, 9).String() != "3.9" || rev(0, 9) != 9 {
		t.Error(ordered)
	}
	for _, bad := range [][2]int64{{-1, 0}, {0, -1}, {MaxEra + 1, 0}, {0, MaxNumber + 1}} {
		if got, ok := NewRevision(bad[0], bad[1]); ok {
			t.Errorf("%v gives revision %v", bad, got)
		}
	}
}

// Guards against live servers lost when the store is restored from a copy some seconds
// old. A server registered since the copy is missing in it and keeps getting requests
// until it writes its entry again, as does one registered after the restore. A server
// that does not reappear is gone after the grace.
func TestAStoreRestoredFromACopyLosesNoLiveServer(t *testing.T) {
	r := New()
	r.Replace([]Server{server("old", 10)}, nil, 10, at(0))
	r.Put(server("since", 50), at(0))
	r.Put(server("dead", 51), at(0))
	r.Replace([]Server{server("old", rev(1, 10))}, nil, rev(1, 12), at(time.Second))
	r.Put(server("after", rev(1, 13)), at(time.Second))
	if diff := cmp.Diff([]string{"after", "dead", "old", "since"}, acceptingIDs(r)); diff != "" {
		t.Error("at the restore", diff)
	}
	r.Put(server("since", rev(1, 14)), at(2*time.Second))
	r.Expire(at(time.Second + RemovalGrace))
	if diff := cmp.Diff([]string{"after", "old", "since"}, acceptingIDs(r)); diff != "" {
		t.Error("after the grace", diff)
	}
	r.Put(server("dead", 52), at(4*time.Second))
	if diff := cmp.Diff([]string{"after", "old", "since"}, acceptingIDs(r)); diff != "" {
		t.Error("after a late update of the era before", diff)
	}
}

// Guards against requests to servers that left after the copy was made: one was draining,
// one gone, and the copy has both as accepting. This also holds for an instance that
// starts then, reads the copy and gets the departures from a peer.
func TestServersThatLeftStayGoneWhenTheCopyHasThem(t *testing.T) {
	copied := []Server{server("drained", rev(1, 1)), server("gone", rev(1, 2)), server("stays", rev(1, 3))}
	r := New()
	for _, s := range copied {
		s.Revision = Revision(s.Revision.Number())
		r.Put(s, at(0))
	}
	draining := server("drained", 20)
	draining.Draining = true
	r.Put(draining, at(0))
	r.Remove("gone", 21, at(0))
	r.Replace(copied, nil, rev(1, 5), at(time.Second))
	if diff := cmp.Diff([]string{"stays"}, acceptingIDs(r)); diff != "" {
		t.Error("at the restore", diff)
	}

	starting := New()
	starting.Replace(copied, nil, rev(1, 5), at(time.Second))
	starting.MarkGone("gone", 21, at(time.Second))
	starting.Put(draining, at(time.Second))
	if diff := cmp.Diff([]string{"stays"}, acceptingIDs(starting)); diff != "" {
		t.Error("at a starting instance", diff)
	}
	for _, each := range []*Registry{r, starting} {
		each.Remove("gone", rev(1, 9), at(4*time.Second))
		each.Expire(at(time.Minute))
		if diff := cmp.Diff([]string{"stays"}, acceptingIDs(each)); diff != "" {
			t.Error("long after its entry has expired", diff)
		}
	}
}

// Guards against a live server that stays marked as gone. It was marked while it was cut
// off, and is in the copy. It writes its entry again, or the entry outlasts that of a
// dead server.
func TestALiveServerReappearsInTheNewEra(t *testing.T) {
	for _, writes := range []bool{false, true} {
		r := New()
		r.Put(server("a", 5), at(0))
		r.Remove("a", 30, at(0))
		r.Replace([]Server{server("a", rev(1, 5))}, nil, rev(1, 6), at(time.Second))
		if writes {
			r.Put(server("a", rev(1, 7)), at(2*time.Second))
		} else {
			r.Expire(at(time.Second + copyLife))
		}
		if diff := cmp.Diff([]string{"a"}, acceptingIDs(r)); diff != "" {
			t.Errorf("writes again %v: %s", writes, diff)
		}
	}
}

// Guards against evacuations that a restored copy undoes. The copy is older than the
// evacuation of one data centre and the end of another's. The operator repeats both a
// second after the restore; what is not repeated applies after the grace.
func TestEvacuationsHoldWhileTheOperatorWritesAgain(t *testing.T) {
	north := func(active bool, revision Revision) Evacuation {
		return Evacuation{DataCentre: "north", Active: active, Revision: revision}
	}
	south := func(active bool, revision Revision) Evacuation {
		return Evacuation{DataCentre: "south", Active: active, Revision: revision}
	}
	for _, again := range []bool{true, false} {
		r := New()
		r.ApplyEvacuation(south(true, 3), at(0))
		r.ApplyEvacuation(south(false, 8), at(0))
		r.ApplyEvacuation(north(true, 9), at(0))
		r.ReplaceEvacuations([]Evacuation{south(true, rev(1, 3))}, rev(1, 4), at(time.Second))
		if !r.Evacuated("north") || r.Evacuated("south") {
			t.Errorf("at the restore: north %v, south %v", r.Evacuated("north"), r.Evacuated("south"))
		}
		if again {
			r.ApplyEvacuation(south(false, rev(1, 5)), at(2*time.Second))
			r.ApplyEvacuation(north(true, rev(1, 6)), at(2*time.Second))
		}
		r.ApplyDeferredEvacuations(at(time.Second + EraGrace))
		if r.Evacuated("north") != again || r.Evacuated("south") == again {
			t.Errorf("written again %v: north %v, south %v", again, r.Evacuated("north"), r.Evacuated("south"))
		}
	}
}

// Guards against a process that defers an evacuation because the first era that it
// observes is not 0.
func TestAStartingProcessAppliesEvacuationsAtOnce(t *testing.T) {
	r := New()
	r.ReplaceEvacuations([]Evacuation{{DataCentre: "north", Active: true, Revision: rev(3, 4)}}, rev(3, 9), at(0))
	if !r.Evacuated("north") {
		t.Error("the evacuation is deferred")
	}
}

// Guards against a cold server that counts as warm because the copy is older than its
// start. It stays cold until its own next entry.
func TestAColdServerStaysColdInANewEra(t *testing.T) {
	r := New()
	cold := server("a", 5)
	cold.ColdLeft = 3 * time.Second
	r.Put(cold, at(0))
	r.Replace([]Server{server("a", rev(1, 2))}, nil, rev(1, 2), at(time.Second))
	if got := r.ColdUntil("a"); got != at(3*time.Second) {
		t.Errorf("cold until %v", got)
	}
	r.Put(server("a", rev(1, 3)), at(2*time.Second))
	if got := r.ColdUntil("a"); got != 0 {
		t.Errorf("cold until %v after its own entry", got)
	}
}

// Guards against a server kept for ever by an instance that does not read the store: the
// server is not in the copy and no reader ever received its entry. A peer's full list
// shows that the store lacks it.
func TestAFullListOfAPeerEndsEntriesOfEarlierEras(t *testing.T) {
	r := New()
	r.Put(server("a", 5), at(0))
	r.Put(server("ghost", 6), at(0))
	r.Put(server("a", rev(1, 4)), at(time.Second))
	r.ApplyPeerList(func(id string) bool { return id == "a" }, rev(1, 4), at(time.Second))
	if diff := cmp.Diff([]string{"a", "ghost"}, acceptingIDs(r)); diff != "" {
		t.Error("during the grace", diff)
	}
	r.Expire(at(time.Second + RemovalGrace))
	if diff := cmp.Diff([]string{"a"}, acceptingIDs(r)); diff != "" {
		t.Error("after the grace", diff)
	}
}

// history simulates a store with its servers, and instances that follow it: two read the
// store, one only receives the others' updates, late.
type history struct {
	rng      *rand.Rand
	now      monotime.Instant
	era      int64
	number   int64
	items    map[string]Server
	events   []event
	copy     map[string]Server
	copied   int64
	restored monotime.Instant
	// alive holds the running servers and whether they are draining; ended holds those
	// that left.
	alive map[string]bool
	ended map[string]bool
	born  int

	readers  []*historyReader
	follower *Registry
	messages []message
}

type event struct {
	number int64
	server Server
	gone   bool
}

type historyReader struct {
	*Registry
	at Revision
	// left holds the incarnations that this reader has recorded as leaving.
	left map[string]bool
}

type message struct {
	at     monotime.Instant
	from   int
	put    []Server
	gone   map[string]Revision
	listed Revision
}

func newHistory(seed uint64) *history {
	h := &history{
		rng: rand.New(rand.NewPCG(seed, seed)), now: at(0), items: make(map[string]Server),
		copy: make(map[string]Server), alive: make(map[string]bool), ended: make(map[string]bool), follower: New(),
	}
	for range 2 {
		h.readers = append(h.readers, &historyReader{Registry: New(), left: make(map[string]bool)})
	}
	return h
}

func (h *history) write(s Server) {
	h.number++
	s.Revision = rev(h.era, h.number)
	h.items[string(s.Name)] = s
	h.events = append(h.events, event{number: h.number, server: s})
}

func (h *history) remove(name string) {
	if s, ok := h.items[name]; ok {
		h.number++
		delete(h.items, name)
		h.events = append(h.events, event{number: h.number, server: s, gone: true})
	}
}

func (h *history) own(id string) Server {
	s := server(id, 0)
	s.Draining = h.alive[id]
	return s
}

// change makes a random change: a server starts, drains or ends, or the store is copied
// or restored.
func (h *history) change() {
	ids := slices.Sorted(maps.Keys(h.alive))
	switch pick := h.rng.IntN(12); {
	case pick < 4 || len(ids) < 3:
		h.born++
		id := fmt.Sprint("s", h.born)
		h.alive[id] = false
		h.write(h.own(id))
	case pick < 6:
		id := ids[h.rng.IntN(len(ids))]
		h.alive[id] = true
		h.write(h.own(id))
	case pick < 8:
		// Most drain first; some end without notice.
		for _, id := range ids {
			if h.alive[id] || h.rng.IntN(12) == 0 {
				h.remove(id)
				delete(h.alive, id)
				h.ended[id] = true
				break
			}
		}
	case pick < 10:
		h.copy, h.copied = maps.Clone(h.items), h.number
	case h.now.Sub(h.restored) > 8*time.Second:
		h.restore()
	}
}

// restore restores the store from its copy. Live servers write their entries again within
// two seconds, and those of ended servers expire.
func (h *history) restore() {
	h.era, h.number, h.items, h.events = h.era+1, h.copied, maps.Clone(h.copy), nil
	h.restored = h.now
}

// repair gradually writes again what the copy lacks.
func (h *history) repair() {
	if h.restored == 0 {
		return
	}
	since := h.now.Sub(h.restored)
	for _, id := range slices.Sorted(maps.Keys(h.alive)) {
		s, ok := h.items[id]
		if ok && s.Draining == h.alive[id] {
			continue
		}
		if since > 1200*time.Millisecond || h.rng.IntN(5) == 0 {
			h.write(h.own(id))
		}
	}
	if since > 4*time.Second {
		for _, id := range slices.Sorted(maps.Keys(h.items)) {
			if h.ended[id] {
				h.remove(id)
			}
		}
	}
}

// read applies what a reader has not received yet, as a watch does or, after a new era, a
// list.
func (h *history) read(n int) {
	r := h.readers[n]
	current := rev(h.era, h.number)
	var changed []string
	first := false
	if r.at == 0 || r.at.Era() != h.era {
		first = r.at != 0
		changed = r.Replace(h.list(), nil, current, h.now)
	} else {
		for _, e := range h.events {
			if rev(h.era, e.number) <= r.at {
				continue
			}
			if e.gone {
				if id, change := r.Remove(e.server.Name, rev(h.era, e.number), h.now); change != Unchanged {
					changed = append(changed, id)
				}
			} else if r.Put(e.server, h.now) != Unchanged {
				changed = append(changed, e.server.ID)
			}
		}
	}
	r.at = current
	m := h.message(n, changed)
	if first {
		m = h.message(n, append(r.ids(), slices.Collect(maps.Keys(r.Tombstones()))...))
		m.listed = current
	}
	h.messages = append(h.messages, m)
}

// list returns the store's list. Entries from the copy also have revisions of the current
// era.
func (h *history) list() (out []Server) {
	for _, id := range slices.Sorted(maps.Keys(h.items)) {
		s := h.items[id]
		s.Revision = rev(h.era, s.Revision.Number())
		out = append(out, s)
	}
	return out
}

func (h *history) message(from int, ids []string) message {
	r := h.readers[from]
	m := message{at: h.now.Add(time.Duration(h.rng.IntN(60)) * time.Millisecond), from: from, gone: make(map[string]Revision)}
	for _, sent := range h.messages {
		if sent.from == from {
			m.at = max(m.at, sent.at)
		}
	}
	for _, id := range ids {
		if revision, gone := r.Gone(id); gone {
			m.gone[id] = revision
		} else if s, ok := r.Get(id); ok {
			m.put = append(m.put, s)
		}
	}
	return m
}

func (h *history) deliver() {
	later := h.messages[:0]
	for _, m := range h.messages {
		if m.at > h.now {
			later = append(later, m)
			continue
		}
		present := make(map[string]bool)
		for _, s := range m.put {
			present[s.ID] = true
			h.follower.Put(s, h.now)
		}
		for id, revision := range m.gone {
			h.follower.MarkGone(id, revision, h.now)
		}
		if m.listed != 0 {
			h.follower.ApplyPeerList(func(id string) bool { return present[id] }, m.listed, h.now)
		}
	}
	h.messages = later
}

func (h *history) step(changes bool) {
	h.now = h.now.Add(20 * time.Millisecond)
	if changes && h.rng.IntN(8) == 0 {
		h.change()
	}
	h.repair()
	for n, r := range h.readers {
		if h.rng.IntN(6) == 0 {
			h.read(n)
		}
		h.messages = append(h.messages, h.message(n, r.Expire(h.now)))
	}
	h.follower.Expire(h.now)
	h.deliver()
}

// check reports a reader that uses a server which it recorded as leaving and which has
// ended.
func (h *history) check(t *testing.T, seed uint64) {
	t.Helper()
	for n, r := range h.readers {
		using := acceptingIDs(r.Registry)
		for _, id := range using {
			if r.left[id] && h.ended[id] {
				t.Fatalf("seed %d, era %d: reader %d uses %s, which it recorded as leaving", seed, h.era, n, id)
			}
		}
		for _, id := range r.ids() {
			if s, _ := r.Get(id); s.Draining {
				r.left[id] = true
			}
		}
		for id := range r.Tombstones() {
			if h.ended[id] {
				r.left[id] = true
			}
		}
	}
}

// Guards against lasting disagreement with a store that is repeatedly restored from its
// copy while servers start, drain and end, and instances read it, or only receive updates
// of it, late. No reader may use a server that it recorded as leaving, and once changes
// stop each instance must have the store's view.
func TestInstancesConvergeOnARestoredStore(t *testing.T) {
	eras := int64(0)
	for seed := range uint64(25) {
		h := newHistory(seed)
		for range 1500 {
			h.step(true)
			h.check(t, seed)
		}
		for range 600 {
			h.step(false)
			h.check(t, seed)
		}
		eras += h.era
		want := []string{}
		for _, id := range slices.Sorted(maps.Keys(h.items)) {
			if !h.items[id].Draining {
				want = append(want, id)
			}
		}
		for n, r := range []*Registry{h.readers[0].Registry, h.readers[1].Registry, h.follower} {
			if diff := cmp.Diff(want, acceptingIDs(r)); diff != "" {
				t.Fatalf("seed %d, era %d, instance %d: %s", seed, h.era, n, diff)
			}
		}
	}
	if eras < 20 {
		t.Errorf("only %d restores", eras)
	}
}
