package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// bornEntry is the entry of a start of engine "a", which keeps its name and address.
func bornEntry(born int64, revision servers.Revision) servers.Server {
	return servers.Server{
		ID: servers.Incarnation("a", born), Name: "a", Born: born, Service: "llm",
		Address: "10.0.0.1:80", DataCentre: "here", Slots: 4, Revision: revision,
	}
}

func put(f *fleet, from string, s servers.Server) {
	f.update(from, func(r *servers.Registry, now monotime.Instant) []string {
		if r.Put(s, now) == servers.Unchanged {
			return nil
		}
		return []string{s.ID}
	})
}

// An engine that kept a caller's prompt drains, stops and starts again under its
// name. A peer that was cut off then tells of the former start. The next caller's
// request goes to the new start, which is taken to keep nothing, and peers are
// told that the former one is gone.
func TestAServerThatStartsAgainUnderItsNameIsAnother(t *testing.T) {
	f, _, _ := newFleet()
	var told []wire.RelayServer
	f.news.send = func(n *wire.RelayNews, _ monotime.Instant, _ bool) { told = append(told, n.Servers...) }
	f.adopt(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4, MemoryTokens: 100_000}}}}, fromStore)
	work := placement.Work{Parts: []placement.Part{{ID: "p", Tokens: 5000}, {ID: "own", Tokens: 100}}, Prompt: 5100, Goal: time.Second}

	former := bornEntry(1000, 5)
	put(f, fromStore, former)
	target, _ := f.Place("llm", work, nil, monotime.Now())
	run, _ := f.Begin(target, work, monotime.Now())
	f.First(run, monotime.Now())
	f.End(run, monotime.Now())
	if again, _ := f.Place("llm", work, nil, monotime.Now()); again.Choice.Unread != 0 {
		t.Fatalf("the engine is not taken to keep the prompt: %+v", again.Choice)
	}
	former.Draining, former.Revision = true, 6
	put(f, fromStore, former)
	put(f, fromStore, bornEntry(2000, 7))
	put(f, "peer", former)

	next, refusal := f.Place("llm", work, nil, monotime.Now())
	if refusal != placement.Chosen || next.ID != "a@2000" || next.Name != "a" || next.Choice.Unread != work.Prompt {
		t.Errorf("%v %+v", refusal, next)
	}
	f.news.flush()
	gone := map[string]bool{}
	for _, state := range told {
		gone[state.ID] = state.Gone
	}
	if diff := cmp.Diff(map[string]bool{"a@1000": true, "a@2000": false}, gone); diff != "" {
		t.Error("told to peers", diff)
	}
}

// The entry of one of two servers turns unreadable. Callers of it are sent to the
// other one, and the server is back with its next good entry.
func TestAnUnreadableEntryTakesItsServerOutAlone(t *testing.T) {
	f, fd, _ := newFleet()
	f.adopt(config(1), fromStore)
	fd.take(&Changes{Servers: []servers.Server{entry("a", 1), entry("b", 2)}, Revision: 2})
	fd.take(&Changes{Invalid: []servers.EntryRef{{Name: "a", Revision: 3}}, Revision: 3})
	if diff := cmp.Diff([]string{"b"}, ready(f)); diff != "" {
		t.Error("while it is unreadable", diff)
	}
	fd.take(&Changes{Servers: []servers.Server{entry("a", 4)}, Revision: 4})
	if diff := cmp.Diff([]string{"a", "b"}, ready(f)); diff != "" {
		t.Error("written well again", diff)
	}
}
