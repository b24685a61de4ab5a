package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// Guards against a log in which a start displaces the lines of requests.
func TestTheFirstListOfServersIsLoggedInOneLine(t *testing.T) {
	for _, size := range []int{600, 1200} {
		f, _, _ := newFleet()
		core, logged := observer.New(zap.InfoLevel)
		f.log = zap.New(core)
		f.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
			list := make([]servers.Server, 0, size)
			for n := range size {
				list = append(list, entry(fmt.Sprint("e", n), servers.Revision(n+1)))
			}
			return r.Replace(list, nil, servers.Revision(size), now)
		})
		lines := logged.All()
		if len(lines) != 1 || lines[0].ContextMap()["servers"] != int64(size) {
			t.Errorf("%d servers: %d lines", size, len(lines))
		}
		put(f, fromStore, entry("e1", servers.Revision(size+1)))
		if got := logged.FilterMessage("server_changed").Len(); got != 1 {
			t.Errorf("%d lines for one server", got)
		}
	}
}

// withServers returns a fleet that has read so many servers from the store.
func withServers(size int) *fleet {
	f, _, _ := newFleet()
	list := make([]servers.Server, 0, size)
	for n := range size {
		list = append(list, entry(fmt.Sprint("e", n), servers.Revision(n+1)))
	}
	f.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
		return r.Replace(list, nil, servers.Revision(size), now)
	})
	return f
}

// Guards against answers that have all servers when the peer lacks one.
func TestAPeerIsSentTheServersThatItLacks(t *testing.T) {
	for _, size := range []int{1200, 6000, 12000} {
		informed, other := withServers(size), withServers(size)
		put(informed, fromStore, entry("new", servers.Revision(size+1)))
		informed.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
			id, _ := r.Remove("e7", servers.Revision(size+2), now)
			return []string{id}
		})
		p, q := linkedPeers(informed, "informed"), linkedPeers(other, "other")
		update := p.stateUpdate(other.serverDigests())
		if most := 2 * 2 * size / servers.Buckets; len(update.Servers) > most {
			t.Errorf("%d servers, two changes: %d sent", size, len(update.Servers))
		}
		q.applyServers("informed", update.Servers, update.ServerBuckets, servers.Revision(update.ServersListed))
		if informed.digest.Load() != other.digest.Load() || other.serverCount() != size {
			t.Errorf("%d servers of %d, digests differ: %v", other.serverCount(), size, informed.digest.Load() != other.digest.Load())
		}
		if again := p.stateUpdate(other.serverDigests()); len(again.Servers) != 0 {
			t.Errorf("%d servers sent to a peer that lacks none", len(again.Servers))
		}
		empty, _, _ := newFleet()
		if all := p.stateUpdate(empty.serverDigests()); len(all.Servers) != size+1 || len(all.ServerBuckets) != 0 {
			t.Errorf("%d servers sent to an instance without any", len(all.Servers))
		}
	}
}

// Guards against limits that are missing because the servers are equal on both sides.
func TestLimitsAreSentWithEqualServers(t *testing.T) {
	informed, other := withServers(600), withServers(600)
	informed.changeServers(fromServer, func(r *servers.Registry, now monotime.Instant) []string {
		r.ApplyNotice("e3", servers.Notice{Limited: true, Rate: 2}, now, now)
		return []string{"e3"}
	})
	update := linkedPeers(informed, "informed").stateUpdate(other.serverDigests())
	if len(update.Servers) != 1 || update.Servers[0].ID != "e3" || !update.Servers[0].Limited {
		t.Errorf("sent: %+v", update.Servers)
	}
}

// Guards against a start in which each instance that reads the store sends all servers to
// all others: with 585 of them each received hundreds of lists of 6,000 servers.
func TestAWholeListOfServersIsNotSentToAll(t *testing.T) {
	sent := func(f *fleet) (states int, urgent bool) {
		f.updates.send = func(own *wire.RelayNews, _ monotime.Instant, now bool) { states, urgent = len(own.Servers), now }
		f.updates.flush()
		return states, urgent
	}
	if states, urgent := sent(withServers(maxServersSent + 1)); states != 0 || !urgent {
		t.Errorf("%d servers sent, digest sent at once: %v", states, urgent)
	}
	if states, _ := sent(withServers(maxServersSent)); states != maxServersSent {
		t.Errorf("%d of %d servers sent", states, maxServersSent)
	}
	registering := withServers(maxServersSent)
	registering.updates.flush()
	registering.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for n := range 2 * maxServersSent {
			s := entry(fmt.Sprint("late", n), servers.Revision(maxServersSent+1+n))
			r.Put(s, now)
			ids = append(ids, s.ID)
		}
		return ids
	})
	if states, _ := sent(registering); states != 2*maxServersSent {
		t.Errorf("%d of %d servers sent that registered since", states, 2*maxServersSent)
	}
	f, _, _ := newFleet()
	p := linkedPeers(f, "me", wire.RelayMember{ID: "hub"})
	p.compareServers("hub", &wire.RelayNews{Confirmed: 1, Digest: 7})
	if p.differences["hub"].requests != 1 {
		t.Error("an instance without servers does not ask a peer with some")
	}
}

// Guards against a start in which all instances read the store.
func TestAnInstanceWithPeersLeavesTheFirstReadToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fd, _ := newFleet()
		fd.started = monotime.Now()
		fd.hasPeer = func() bool { return true }
		time.Sleep(hubDiscoveryWait)
		fd.rank = func() (int, int) { return storeReaders, 40 }
		if fd.shouldRead() {
			t.Error("reads although others are before it in rank")
		}
		fd.rank = func() (int, int) { return storeReaders - 1, 40 }
		if !fd.shouldRead() {
			t.Error("one of the first in rank does not read")
		}
		fd.rank = func() (int, int) { return storeReaders, 40 }
		time.Sleep(hubStateWait)
		if !fd.shouldRead() {
			t.Error("does not read although no peer has sent any state")
		}
	})
}

// Guards against requests for all servers while thousands of them register: the digests of
// two instances differ all the time then, though each change arrives a moment later.
func TestServersThatRegisterAreNotAskedForMeanwhile(t *testing.T) {
	for _, size := range []int{maxServersSent, 1200} {
		synctest.Test(t, func(t *testing.T) {
			p := linkedPeers(withServers(size), "me", wire.RelayMember{ID: "hub"})
			requestsIn := func(length time.Duration, digest func(n int) int) int {
				before := p.differences["hub"].requests
				for n := range int(length / tickInterval) {
					p.compareServers("hub", &wire.RelayNews{Confirmed: 1, Digest: digest(n)})
					time.Sleep(tickInterval)
				}
				return p.differences["hub"].requests - before
			}
			const registering = 4 * time.Second
			changing := requestsIn(registering, func(n int) int { return 10 + n })
			if most := int(registering / maxDifferenceAge); size > maxServersSent && changing > most {
				t.Errorf("%d servers: %d requests in %v of changes", size, changing, registering)
			}
			if size <= maxServersSent && changing < 3 {
				t.Errorf("%d servers: only %d requests in %v", size, changing, registering)
			}
			if still := requestsIn(10*time.Second, func(int) int { return 7 }); still == 0 {
				t.Errorf("%d servers: no request although the servers stay different", size)
			}
		})
	}
}
