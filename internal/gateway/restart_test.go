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

// incarnationEntry returns the entry of an incarnation of engine "a", which keeps its
// name and address.
func incarnationEntry(born int64, revision servers.Revision) servers.Server {
	return servers.Server{
		ID: servers.Incarnation("a", born), Name: "a", Born: born, Service: "llm",
		Address: "10.0.0.1:80", DataCentre: "here", Slots: 4, Revision: revision,
	}
}

func put(f *fleet, from string, s servers.Server) {
	f.changeServers(from, func(r *servers.Registry, now monotime.Instant) []string {
		if r.Put(s, now) == servers.Unchanged {
			return nil
		}
		return []string{s.ID}
	})
}

// An engine that keeps a caller's prompt drains, stops and restarts under its name. A
// peer that was disconnected then sends the former incarnation. The next request must go
// to the new incarnation, which counts as keeping nothing, and peers must receive that
// the former one is gone.
func TestAServerThatStartsAgainUnderItsNameIsAnother(t *testing.T) {
	f, _, _ := newFleet()
	var sent []wire.RelayServer
	f.updates.send = func(n *wire.RelayNews, _ monotime.Instant, _ bool) { sent = append(sent, n.Servers...) }
	f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4, MemoryTokens: 100_000}}}}, fromStore)
	work := placement.Work{Parts: []placement.Part{{ID: "p", Tokens: 5000}, {ID: "own", Tokens: 100}}, Prompt: 5100, Goal: time.Second}

	former := incarnationEntry(1000, 5)
	put(f, fromStore, former)
	target, _ := f.Place("llm", work, nil, monotime.Now())
	run, _ := f.Begin(target, work, monotime.Now())
	f.First(run, monotime.Now())
	f.End(run, monotime.Now())
	if again, _ := f.Place("llm", work, nil, monotime.Now()); again.Choice.Unread != 0 {
		t.Fatalf("the engine does not count as keeping the prompt: %+v", again.Choice)
	}
	former.Draining, former.Revision = true, 6
	put(f, fromStore, former)
	put(f, fromStore, incarnationEntry(2000, 7))
	put(f, "peer", former)

	next, refusal := f.Place("llm", work, nil, monotime.Now())
	if refusal != placement.Chosen || next.ID != "a@2000" || next.Name != "a" || next.Choice.Unread != work.Prompt {
		t.Errorf("%v %+v", refusal, next)
	}
	f.updates.flush()
	gone := map[string]bool{}
	for _, state := range sent {
		gone[state.ID] = state.Gone
	}
	if diff := cmp.Diff(map[string]bool{"a@1000": true, "a@2000": false}, gone); diff != "" {
		t.Error("sent to peers", diff)
	}
}

// The entry of one of two servers becomes unreadable. Its requests must go to the other
// server, and the server must be used again with its next valid entry.
func TestAnUnreadableEntryTakesItsServerOutAlone(t *testing.T) {
	f, fd, _ := newFleet()
	f.installConfig(config(1), fromStore)
	fd.applyChanges(&Changes{Servers: []servers.Server{entry("a", 1), entry("b", 2)}, Revision: 2})
	fd.applyChanges(&Changes{Invalid: []servers.EntryRef{{Name: "a", Revision: 3}}, Revision: 3})
	if diff := cmp.Diff([]string{"b"}, ready(f)); diff != "" {
		t.Error("while it is unreadable", diff)
	}
	fd.applyChanges(&Changes{Servers: []servers.Server{entry("a", 4)}, Revision: 4})
	if diff := cmp.Diff([]string{"a", "b"}, ready(f)); diff != "" {
		t.Error("written well again", diff)
	}
}
