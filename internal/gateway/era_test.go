package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

func revision(t *testing.T, era, number int64) servers.Revision {
	t.Helper()
	out, ok := servers.NewRevision(era, number)
	if !ok {
		t.Fatalf("no revision: %d of era %d", number, era)
	}
	return out
}

// readerAndHearer returns an instance that follows the store, and one that hears its news.
func readerAndHearer() (reader *fleet, fd *feed, hearer *fleet) {
	reader, fd, _ = newFleet()
	hearer, _, _ = newFleet()
	reader.news.send = hearNewsOf(hearer)
	return reader, fd, hearer
}

// The store comes back from a copy, and its revisions go back. One instance reads it, the
// other only hears of it. Callers of both reach a server that came after the return, none
// that left and stands in the copy, and none that nobody knows any more; configurations do
// not go back.
func TestAStoreBackFromACopyIsFollowedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		reader, fd, hearer := readerAndHearer()
		fd.takeAll(&Changes{Config: config(7), Servers: []servers.Server{entry("a", 1), entry("left", 2)}, Revision: 2})
		reader.news.flush()
		hearer.adopt(config(7), "peer")
		put(hearer, "peer", entry("ghost", 3))
		fd.take(&Changes{Removals: []servers.EntryRef{{Name: "left", Revision: 9}}, Revision: 9})
		reader.news.flush()

		fd.takeAll(&Changes{
			Config:  config(5),
			Servers: []servers.Server{entry("a", revision(t, 1, 1)), entry("left", revision(t, 1, 2))}, Revision: revision(t, 1, 2),
		})
		fd.take(&Changes{Servers: []servers.Server{entry("new", revision(t, 1, 3))}, Revision: revision(t, 1, 3)})
		reader.news.flush()
		time.Sleep(servers.RemovalGrace)
		for name, f := range map[string]*fleet{"reader": reader, "hearer": hearer} {
			f.update(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
			if diff := cmp.Diff([]string{"a", "new"}, ready(f)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			if got := f.Table().Version(); got != 7 {
				t.Errorf("%s: configuration %d", name, got)
			}
			if latest, doubtful := f.latest(); latest != revision(t, 1, 3) || doubtful != 0 {
				t.Errorf("%s: %v, %d doubtful", name, latest, doubtful)
			}
		}
	})
}

// The store comes back without an evacuation that was in force and was not written again.
// It ends at all instances, after the time in which operators write again.
func TestAnEvacuationThatIsNotWrittenAgainEndsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		reader, fd, hearer := readerAndHearer()
		fd.takeAll(&Changes{Config: config(1), Servers: []servers.Server{entryIn("a", "north", 1)}, Revision: 1})
		fd.take(&Changes{Evacuations: []servers.Evacuation{evacuation("north", true, 5)}, Revision: 5})
		reader.news.flush()
		fd.takeAll(&Changes{Servers: []servers.Server{entryIn("a", "north", revision(t, 1, 1))}, Revision: revision(t, 1, 2)})
		settle := func() {
			reader.evacuate(fromTimer, func(r *servers.Registry) []servers.Evacuation { return r.ApplyDeferredEvacuations(monotime.Now()) })
			reader.news.flush()
		}
		settle()
		if len(reader.evacuated()) != 1 || len(hearer.evacuated()) != 1 {
			t.Error("at the return:", reader.evacuated(), hearer.evacuated())
		}
		time.Sleep(3 * time.Second)
		settle()
		time.Sleep(3 * time.Second)
		hearer.evacuate(fromTimer, func(r *servers.Registry) []servers.Evacuation { return r.ApplyDeferredEvacuations(monotime.Now()) })
		if len(reader.evacuated()) != 0 || len(hearer.evacuated()) != 0 {
			t.Error("after it:", reader.evacuated(), hearer.evacuated())
		}
	})
}

// News of a peer are damaged on their way and tell of a far later era. They change nothing:
// all that the store says afterwards would count as old, and its servers as missing.
func TestDamagedErasOfAPeerChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, fd, _ := newFleet()
		fd.takeAll(&Changes{Config: config(1), Servers: []servers.Server{entry("a", 1)}, Revision: 1})
		hear := hearNewsOf(f)
		for _, damaged := range []servers.Revision{-1, revision(t, servers.MaxEra, 1)} {
			hear(&wire.RelayNews{
				Servers:       []wire.RelayServer{{ID: "b", Name: "b", Service: "svc", Revision: int(damaged)}, {ID: "a", Gone: true, Revision: int(damaged)}},
				ServersListed: int(damaged),
				Evacuations:   []wire.RelayEvacuation{{DataCentre: "north", Active: true, Revision: int(damaged)}},
			}, 0, false)
		}
		time.Sleep(time.Minute)
		f.update(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
		if diff := cmp.Diff([]string{"a"}, ready(f)); diff != "" || len(f.evacuated()) != 0 {
			t.Error(diff, f.evacuated())
		}
	})
}

// A server crashes and starts again under its name while the store comes back from a copy
// with its former entry. Requests of all instances rush to the server, which has just
// started and crashes: the store's word that nothing changed was taken for news, though it
// is as old as the copy.
func TestAStoreBackFromACopyVouchesForNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, fd, _ := newFleet()
		time.Sleep(2 * time.Second)
		f.adopt(engines(), fromStore)
		fd.takeAll(&Changes{Servers: []servers.Server{entryIn("a", "north", 1)}, Revision: 1})
		f.Observe("a", placement.Unreachable, monotime.Now())
		fd.takeAll(&Changes{Servers: []servers.Server{entryIn("a", "north", revision(t, 1, 1))}, Revision: revision(t, 1, 1)})
		time.Sleep(100 * time.Millisecond)
		f.throttle.MarkReachable("a", f.coldLimit("svc"), monotime.Now())
		time.Sleep(600 * time.Millisecond)
		f.heard.Store(int64(monotime.Now()))
		if n := placed(t, f); n < 4 || n > 6 {
			t.Errorf("%d in a second, of a server that bears 6", n)
		}
		time.Sleep(servers.EraGrace)
		f.heard.Store(int64(monotime.Now()))
		if n := placed(t, f); n != 100 {
			t.Errorf("%d of 100 once servers had time to write again", n)
		}
	})
}
