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

// readerAndFollower returns an instance that reads the store, and one that receives its
// updates.
func readerAndFollower() (reader *fleet, fd *feed, follower *fleet) {
	reader, fd, _ = newFleet()
	follower, _, _ = newFleet()
	reader.updates.send = deliverUpdatesTo(follower)
	return reader, fd, follower
}

// The store is restored from an older copy, and its revisions go back. One instance reads
// it, the other only receives updates. Both must send requests to a server added after
// the restore, to none that left but is still in the copy, and to none that is missing
// from it. Configuration versions must not go back.
func TestRestoredStoreIsFollowedByAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		reader, fd, follower := readerAndFollower()
		fd.applyAll(&Changes{Config: config(7), Servers: []servers.Server{entry("a", 1), entry("left", 2)}, Revision: 2})
		reader.updates.flush()
		follower.installConfig(config(7), "peer")
		put(follower, "peer", entry("ghost", 3))
		fd.applyChanges(&Changes{Removals: []servers.EntryRef{{Name: "left", Revision: 9}}, Revision: 9})
		reader.updates.flush()

		fd.applyAll(&Changes{
			Config:  config(5),
			Servers: []servers.Server{entry("a", revision(t, 1, 1)), entry("left", revision(t, 1, 2))}, Revision: revision(t, 1, 2),
		})
		fd.applyChanges(&Changes{Servers: []servers.Server{entry("new", revision(t, 1, 3))}, Revision: revision(t, 1, 3)})
		reader.updates.flush()
		time.Sleep(servers.RemovalGrace)
		for name, f := range map[string]*fleet{"reader": reader, "follower": follower} {
			f.changeServers(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
			if diff := cmp.Diff([]string{"a", "new"}, ready(f)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			if got := f.Table().Version(); got != 7 {
				t.Errorf("%s: configuration %d", name, got)
			}
			if latest, unconfirmed := f.latestRevision(); latest != revision(t, 1, 3) || unconfirmed != 0 {
				t.Errorf("%s: %v, %d unconfirmed", name, latest, unconfirmed)
			}
		}
	})
}

// The store is restored without an evacuation that was in force, and nobody writes it
// again. It must end at all instances, but only after the time in which operators can
// write it again.
func TestAnEvacuationThatIsNotWrittenAgainEndsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		reader, fd, follower := readerAndFollower()
		fd.applyAll(&Changes{Config: config(1), Servers: []servers.Server{entryIn("a", "north", 1)}, Revision: 1})
		fd.applyChanges(&Changes{Evacuations: []servers.Evacuation{evacuation("north", true, 5)}, Revision: 5})
		reader.updates.flush()
		fd.applyAll(&Changes{Servers: []servers.Server{entryIn("a", "north", revision(t, 1, 1))}, Revision: revision(t, 1, 2)})
		settle := func() {
			reader.changeEvacuations(fromTimer, func(r *servers.Registry) []servers.Evacuation { return r.ApplyDeferredEvacuations(monotime.Now()) })
			reader.updates.flush()
		}
		settle()
		if len(reader.evacuatedDataCentres()) != 1 || len(follower.evacuatedDataCentres()) != 1 {
			t.Error("at the restore:", reader.evacuatedDataCentres(), follower.evacuatedDataCentres())
		}
		time.Sleep(3 * time.Second)
		settle()
		time.Sleep(3 * time.Second)
		follower.changeEvacuations(fromTimer, func(r *servers.Registry) []servers.Evacuation { return r.ApplyDeferredEvacuations(monotime.Now()) })
		if len(reader.evacuatedDataCentres()) != 0 || len(follower.evacuatedDataCentres()) != 0 {
			t.Error("after it:", reader.evacuatedDataCentres(), follower.evacuatedDataCentres())
		}
	})
}

// Damaged updates of a peer name an era far ahead. They must change nothing: all later
// changes of the store would count as outdated, and its servers as missing.
func TestDamagedErasOfAPeerChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, fd, _ := newFleet()
		fd.applyAll(&Changes{Config: config(1), Servers: []servers.Server{entry("a", 1)}, Revision: 1})
		deliver := deliverUpdatesTo(f)
		for _, damaged := range []servers.Revision{-1, revision(t, servers.MaxEra, 1)} {
			deliver(&wire.RelayNews{
				Servers:       []wire.RelayServer{{ID: "b", Name: "b", Service: "svc", Revision: int(damaged)}, {ID: "a", Gone: true, Revision: int(damaged)}},
				ServersListed: int(damaged),
				Evacuations:   []wire.RelayEvacuation{{DataCentre: "north", Active: true, Revision: int(damaged)}},
			}, 0, false)
		}
		time.Sleep(time.Minute)
		f.changeServers(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
		if diff := cmp.Diff([]string{"a"}, ready(f)); diff != "" || len(f.evacuatedDataCentres()) != 0 {
			t.Error(diff, f.evacuatedDataCentres())
		}
	})
}

// A server crashes and restarts under its name while the store is restored from a copy
// with its former entry. The store's confirmation that nothing changed is then as old as
// the copy. If it counted as recent, all instances would send requests at full rate to a
// server that has just started, and it would crash.
func TestRestoredStoreConfirmsNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, fd, _ := newFleet()
		time.Sleep(2 * time.Second)
		f.installConfig(engines(), fromStore)
		fd.applyAll(&Changes{Servers: []servers.Server{entryIn("a", "north", 1)}, Revision: 1})
		f.Observe("a", placement.Unreachable, monotime.Now())
		fd.applyAll(&Changes{Servers: []servers.Server{entryIn("a", "north", revision(t, 1, 1))}, Revision: revision(t, 1, 1)})
		time.Sleep(100 * time.Millisecond)
		f.throttle.MarkReachable("a", f.coldLimit("svc"), monotime.Now())
		time.Sleep(600 * time.Millisecond)
		f.confirmedByStore.Store(int64(monotime.Now()))
		if n := countPlaced(t, f); n < 4 || n > 6 {
			t.Errorf("%d in a second, of a server that sustains 6", n)
		}
		time.Sleep(servers.EraGrace)
		f.confirmedByStore.Store(int64(monotime.Now()))
		if n := countPlaced(t, f); n != 100 {
			t.Errorf("%d of 100 once servers had time to write again", n)
		}
	})
}
