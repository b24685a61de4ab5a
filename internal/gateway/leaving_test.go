package gateway

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// While the store is unavailable, a server begins to leave and reports it in its answers.
// Instances must apply that notice and pass it on to their peers. Otherwise requests
// reach the server until the store has recovered, 11 s later in one outage, even from
// instances that received such an answer 2 and 5 s before, and those in flight when the
// server ends are cut off.
func TestLeavingServerGetsNoRequestsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, peer := leavingPair()
		sent := monotime.Now()
		f.ApplyNotice("a", servers.Notice{Leaving: true}, sent, sent.Add(100*time.Millisecond))
		if got := ready(f); !slices.Equal(got, []string{"b"}) {
			t.Error("at the instance that received its notice:", got)
		}
		// An answer that was written before the server began to leave is read late.
		f.ApplyNotice("a", servers.Notice{}, sent, monotime.Now())
		if got := ready(f); !slices.Equal(got, []string{"b"}) {
			t.Error("after a late answer:", got)
		}
		f.updates.flush()
		if got := ready(peer); !slices.Equal(got, []string{"b"}) {
			t.Error("at its peer:", got)
		}
	})
}

// A peer has read a newer entry of a server than the instance that received the server's
// notice of leaving. The notice must still count at the peer: no later entry of an
// incarnation withdraws it.
func TestAnOlderEntryThatLeavesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, peer := leavingPair()
		put(peer, fromStore, entry("a", 9))
		f.ApplyNotice("a", servers.Notice{Leaving: true}, monotime.Now(), monotime.Now())
		f.updates.flush()
		if got := ready(peer); !slices.Equal(got, []string{"b"}) {
			t.Error(got)
		}
	})
}

// leavingPair returns two instances with servers a and b; the second receives the updates
// of the first.
func leavingPair() (f, peer *fleet) {
	f, _, _ = newFleet()
	peer, _, _ = newFleet()
	for _, each := range []*fleet{f, peer} {
		each.installConfig(config(1), fromStore)
		put(each, fromStore, entry("a", 1))
		put(each, fromStore, entry("b", 2))
	}
	f.updates.send = deliverUpdatesTo(peer)
	return f, peer
}

// deliverUpdatesTo returns a send function that applies the servers and evacuations of
// each update at another instance.
func deliverUpdatesTo(receiver *fleet) func(*wire.RelayNews, monotime.Instant, bool) {
	p := linkedPeers(receiver, "follower")
	return func(update *wire.RelayNews, _ monotime.Instant, _ bool) {
		receiver.applyEvacuations("peer", decodeEvacuations(update.Evacuations))
		p.applyServers("peer", update.Servers, nil, servers.Revision(update.ServersListed))
	}
}
