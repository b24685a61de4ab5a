package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

func entryIn(id, dataCentre string, revision servers.Revision) servers.Server {
	s := entry(id, revision)
	s.DataCentre = dataCentre
	return s
}

func evacuation(dataCentre string, active bool, revision servers.Revision) servers.Evacuation {
	return servers.Evacuation{DataCentre: dataCentre, Active: active, Revision: revision}
}

// A data centre is evacuated, and the store's history is lost while the evacuation is
// ended. The instance reads everything again and must use the servers there again,
// although it received no event of the end.
func TestAnEvacuationEndsWithTheListThatLacksIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		north, south := entryIn("a", "north", 1), entryIn("b", "south", 2)
		both := []servers.Server{north, south}
		source.all = []result{
			{changes: &Changes{Config: config(1), Servers: both, Evacuations: []servers.Evacuation{evacuation("north", true, 3)}, Revision: 3}},
			{changes: &Changes{Servers: both, Revision: 9}},
		}
		source.watch = []result{{err: ErrHistoryLost, after: time.Second}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		go func() { _ = fd.run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		if diff := cmp.Diff([]string{"b"}, ready(f)); diff != "" {
			t.Error("evacuated", diff)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a", "b"}, ready(f)); diff != "" {
			t.Error("after the evacuation", diff)
		}
		<-ctx.Done()
	})
}

// The store refuses an instance while a data centre is evacuated. A peer that reads the
// store sends the evacuation; an outdated update of another peer must not end it.
func TestPeerUpdateEvacuatesDataCentre(t *testing.T) {
	f, _, _ := newFleet()
	f.installConfig(config(1), fromStore)
	p := linkedPeers(f, "me", wire.RelayMember{ID: "reader"}, wire.RelayMember{ID: "late"})
	put(f, fromStore, entryIn("a", "north", 1))
	put(f, fromStore, entryIn("b", "south", 2))
	p.receive("late", &wire.RelayNews{Evacuations: []wire.RelayEvacuation{{DataCentre: "north", Revision: 3}}})
	p.receive("reader", &wire.RelayNews{Evacuations: []wire.RelayEvacuation{{DataCentre: "north", Active: true, Revision: 7}}})
	p.receive("late", &wire.RelayNews{Evacuations: []wire.RelayEvacuation{{DataCentre: "north", Revision: 3}}})
	if diff := cmp.Diff([]string{"b"}, ready(f)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"north"}, f.evacuatedDataCentres()); diff != "" {
		t.Error("in the metrics", diff)
	}
}

// An evacuation that only this instance read from the store must reach its peers: in the
// update of the change, and in the state that a peer requests after it has missed the
// update.
func TestEvacuationsAreSentToPeers(t *testing.T) {
	f, fd, _ := newFleet()
	p := linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
	var sent []wire.RelayEvacuation
	f.updates.send = func(n *wire.RelayNews, _ monotime.Instant, _ bool) { sent = append(sent, n.Evacuations...) }
	fd.applyChanges(&Changes{Evacuations: []servers.Evacuation{evacuation("north", true, 4)}, Revision: 4})
	f.updates.flush()
	want := []wire.RelayEvacuation{{DataCentre: "north", Active: true, Revision: 4}}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Error("update", diff)
	}
	if diff := cmp.Diff(want, p.stateUpdate(nil).Evacuations); diff != "" {
		t.Error("state", diff)
	}
	data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{p.stateUpdate(nil)}})
	if err != nil {
		t.Fatal(err)
	}
	env, err := peer.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, env.News[0].Evacuations); diff != "" {
		t.Error("on the wire", diff)
	}
}

// All data centres are evacuated. Callers are refused because no server can be reached.
// The instance must neither count as unable to serve nor read the store repeatedly for
// servers that it already tracks.
func TestWithAllDataCentresEvacuatedCallersAreRefused(t *testing.T) {
	f, fd, _ := newFleet()
	f.installConfig(config(1), fromStore)
	put(f, fromStore, entryIn("a", "north", 1))
	f.applyEvacuations(fromStore, []servers.Evacuation{evacuation("north", true, 2)})
	if _, refusal := f.Place("svc", placement.Work{}, nil, monotime.Now()); refusal != placement.NoneReachable {
		t.Errorf("placed: %v", refusal)
	}
	if f.serverCount() != 1 || fd.lacksState() {
		t.Error("the instance counts as one without servers")
	}
}

// engines publishes a service whose engines sustain only few requests while cold.
func engines() *routing.Config {
	return &routing.Config{Version: 1, Services: []routing.Service{{
		Name: "svc", Engine: &routing.Engine{Slots: 64, MemoryTokens: 500_000},
		ColdStart: 3 * time.Second, ColdRate: 6,
	}}}
}

// countPlaced counts the requests that a fleet of one instance may begin within a second.
func countPlaced(t *testing.T, f *fleet) int {
	t.Helper()
	n := 0
	work := placement.Work{Prompt: 100, Output: 10, Goal: time.Second, Left: time.Minute}
	for range 100 {
		target, refusal := f.Place("svc", work, nil, monotime.Now())
		if refusal == placement.Chosen {
			if run, ok := f.Begin(target, work, monotime.Now()); ok {
				n++
				f.End(run, monotime.Now())
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return n
}

// The evacuation of a data centre ends after its servers have been restarted, which their
// entries report a second later. Until then requests must not reach them at full rate:
// cold servers crash above their capacity.
func TestADataCentreThatIsTakenBackIsFilledSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, fd, _ := newFleet()
		time.Sleep(2 * time.Second)
		f.installConfig(engines(), fromStore)
		put(f, fromStore, entryIn("a", "north", 1))
		if n := countPlaced(t, f); n != 100 {
			t.Errorf("%d of 100 before", n)
		}
		fd.applyChanges(&Changes{Evacuations: []servers.Evacuation{evacuation("north", true, 2)}, Revision: 2})
		time.Sleep(time.Second)
		fd.applyChanges(&Changes{Evacuations: []servers.Evacuation{evacuation("north", false, 3)}, Revision: 3})
		if n := countPlaced(t, f); n < 4 || n > 6 {
			t.Errorf("%d in the first second, of a server that sustains 6", n)
		}
		cold := entryIn("a", "north", 4)
		cold.ColdLeft = 3 * time.Second
		put(f, fromStore, cold)
		if n := countPlaced(t, f); n < 4 || n > 6 {
			t.Errorf("%d once its entry is that of a cold server", n)
		}
		put(f, fromStore, entryIn("a", "north", 5))
		if n := countPlaced(t, f); n != 100 {
			t.Errorf("%d of 100 once its entry is that of a warm server", n)
		}
	})
}

// A server is unreachable, as after a crash, and answers again before its entry can show
// whether it has restarted. It must get only what a cold server sustains until the store
// has confirmed that it is the same incarnation.
func TestAServerThatAnswersAgainIsFilledSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, _, _ := newFleet()
		time.Sleep(2 * time.Second)
		f.installConfig(engines(), fromStore)
		put(f, fromStore, entryIn("a", "north", 1))
		f.Observe("a", placement.Unreachable, monotime.Now())
		time.Sleep(300 * time.Millisecond)
		if n := countPlaced(t, f); n < 4 || n > 6 {
			t.Errorf("%d in the first second, of a server that sustains 6", n)
		}
		f.confirmedByStore.Store(int64(monotime.Now()))
		if n := countPlaced(t, f); n != 100 {
			t.Errorf("%d of 100 once the store has confirmed it", n)
		}
	})
}

// Reading the store fails. Evacuations in force must stay in force.
func TestAnEvacuationOutlivesAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		source.all = []result{{changes: &Changes{Config: config(1), Servers: []servers.Server{entryIn("a", "north", 1)},
			Evacuations: []servers.Evacuation{evacuation("north", true, 3)}, Revision: 3}}}
		down := result{err: errors.New("down"), after: time.Second}
		source.watch = []result{down, down, down}
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		_ = fd.run(ctx)
		if got := ready(f); len(got) != 0 {
			t.Errorf("%v get requests", got)
		}
	})
}

// All servers of a service crash at once. Callers retry once, so in an outage for all
// instances they are given a longer Retry-After than when this instance alone reaches no
// server. The runs that peers report show which of the two it is.
func TestServiceOutageIsDistinguishedFromLocalOutage(t *testing.T) {
	f, _, _ := newFleet()
	f.installConfig(config(1), fromStore)
	p := linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
	put(f, fromStore, entryIn("a", "north", 1))
	if f.Serving("svc", monotime.Now()) {
		t.Error("nobody has sent anything")
	}
	p.applyRuns("peer", &wire.RelayNews{Begun: []wire.RelayRun{{Number: 1, Server: "a"}}}, monotime.Now())
	if !f.Serving("svc", monotime.Now()) {
		t.Error("a peer reaches it")
	}
	if f.Serving("svc", monotime.Now().Add(time.Second)) {
		t.Error("a peer reached it a second ago")
	}
}

// All servers of a service crash while each instance sends it many requests a second. The
// runs that peers began just before the crash, some of them reported only after it, must
// not count as a sign that a server is reachable. Otherwise callers retry in 200 ms, into
// the outage, and fail: 163 of them in the first half second of an outage of 1.5 s.
func TestServiceOutageIsDetectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, _, _ := newFleet()
		f.installConfig(config(1), fromStore)
		p := linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
		begun := func(server string) {
			p.applyRuns("peer", &wire.RelayNews{Begun: []wire.RelayRun{{Number: 1, Server: server}}}, monotime.Now())
		}
		all := []string{"a", "b", "c"}
		for n, id := range all {
			put(f, fromStore, entry(id, servers.Revision(n+1)))
			begun(id)
		}
		time.Sleep(10 * time.Millisecond)
		unreachable := func() {
			for _, id := range all {
				f.Observe(id, placement.Unreachable, monotime.Now())
			}
		}
		unreachable()
		if f.Serving("svc", monotime.Now()) {
			t.Error("at the crash: counts as served because of runs that peers began before")
		}
		time.Sleep(30 * time.Millisecond)
		begun("a")
		if f.Serving("svc", monotime.Now()) {
			t.Error("30 ms later: counts as served because of updates that were in transit")
		}
		time.Sleep(updateTravelTime)
		begun("a")
		if !f.Serving("svc", monotime.Now()) {
			t.Error("a peer reaches a server, but Retry-After is that of an outage")
		}
		f.Begin(relay.Target{Server: servers.Server{ID: "b", Service: "svc"}}, placement.Work{}, monotime.Now())
		time.Sleep(updateTravelTime)
		begun("c")
		unreachable()
		if f.Serving("svc", monotime.Now()) {
			t.Error("the next outage is not detected at once")
		}
	})
}
