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

// While the store is away, a server begins to leave and says so in its answers. Callers'
// requests go on to reach it from instances that had passed such an answer on 2 and 5 s
// before; a server that ends sooner cuts them off. Nothing read what a server says of
// itself: no instance knew it as leaving before the store was back, 11 s later.
func TestLeavingServerGetsNoRequestsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, peer := leavingPair()
		sent := monotime.Now()
		f.Heard("a", servers.Notice{Leaving: true}, sent, sent.Add(100*time.Millisecond))
		if got := ready(f); !slices.Equal(got, []string{"b"}) {
			t.Error("at the instance that it told:", got)
		}
		// An answer that was written before it began to leave is read late.
		f.Heard("a", servers.Notice{}, sent, monotime.Now())
		if got := ready(f); !slices.Equal(got, []string{"b"}) {
			t.Error("after a late answer:", got)
		}
		f.updates.flush()
		if got := ready(peer); !slices.Equal(got, []string{"b"}) {
			t.Error("at its peer:", got)
		}
	})
}

// A peer has read a newer entry of a server than the instance that the server told that
// it leaves. The word of the older entry counts all the same: no later entry of an
// incarnation takes it back.
func TestAnOlderEntryThatLeavesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, peer := leavingPair()
		put(peer, fromStore, entry("a", 9))
		f.Heard("a", servers.Notice{Leaving: true}, monotime.Now(), monotime.Now())
		f.updates.flush()
		if got := ready(peer); !slices.Equal(got, []string{"b"}) {
			t.Error(got)
		}
	})
}

// leavingPair returns two instances that know servers a and b; the second hears the news
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

// deliverUpdatesTo has an instance hear what another one tells of servers and evacuations.
func deliverUpdatesTo(receiver *fleet) func(*wire.RelayNews, monotime.Instant, bool) {
	p := linkedPeers(receiver, "hearer")
	return func(news *wire.RelayNews, _ monotime.Instant, _ bool) {
		receiver.applyEvacuations("peer", decodeEvacuations(news.Evacuations))
		p.applyServers("peer", news.Servers, servers.Revision(news.ServersListed))
	}
}
