package overlay

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// settledNode returns the Node of a subscriber in a fleet of so many instances that all
// are reachable over its hubs.
func settledNode(size int, now monotime.Instant) *Node {
	describe := func(n, capacity int) wire.RelayMember {
		id := fmt.Sprint("instance-", n)
		return wire.RelayMember{ID: id, Incarnation: "process-" + id, DataCentre: "north", PeerAddress: "10.0.0.1:" + id, Capacity: capacity}
	}
	n := New(describe(0, 100), []string{"10.0.0.9:1"}, now)
	var members []wire.RelayMember
	var incarnations []string
	const hubs = hubLinks + maxHubDials
	for i := 1 + hubs; i < size; i++ {
		members = append(members, describe(i, 100))
		incarnations = append(incarnations, members[len(members)-1].Incarnation)
	}
	for i := 1; i <= hubs; i++ {
		hub := describe(i, capacityPerSubscriber*size/hubs)
		n.LinkUp(hub, now)
		n.Receive(hub.ID, &wire.RelayNews{Members: members, Neighbours: incarnations}, now)
	}
	n.Refresh(now)
	return n
}

// Guards against a periodic refresh that computes anew who is reachable and who is a hub:
// ten times a second at each instance it took as much processor time as the requests.
func TestRefreshWithoutChangesDoesNotFollowTheFleet(t *testing.T) {
	now := monotime.Instant(time.Hour)
	refresh := func(size int) float64 {
		n := settledNode(size, now)
		if got := len(n.Reachable()); got != size {
			t.Fatalf("%d of %d instances are reachable", got, size)
		}
		return testing.AllocsPerRun(10, func() {
			if n.Refresh(now).MembersChanged {
				t.Error("members changed")
			}
		})
	}
	if small, large := refresh(100), refresh(1200); large > small {
		t.Errorf("%v allocations with 1200 instances, %v with 100", large, small)
	}
}

// Guards against a member that stays unknown because the one answer about it was lost.
func TestUnknownNeighboursAreAskedForAgain(t *testing.T) {
	now := monotime.Instant(time.Hour)
	n := settledNode(100, now)
	n.Receive("instance-1", &wire.RelayNews{Neighbours: []string{"process-unknown"}}, now)
	asked := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		if n.Refresh(now).RequestMembersFrom != "" {
			asked++
		}
	}
	if asked < 4 {
		t.Errorf("asked %d times in two seconds", asked)
	}
}

// BenchmarkRefresh measures a refresh without changes.
func BenchmarkRefresh(b *testing.B) {
	now := monotime.Instant(time.Hour)
	for _, size := range []int{60, 600, 1200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := settledNode(size, now)
			b.ReportAllocs()
			for b.Loop() {
				n.Refresh(now)
				n.LinkTargets(now)
			}
		})
	}
}

// Guards against lists of all members over each new link: 585 instances that start at the
// same moment open some tens of links each, and sent a list of up to 585 over all of them.
func TestMembersSentInAStartFollowTheFleet(t *testing.T) {
	const (
		settle = 3 * time.Second
		// mostLists is one for each interval in which one may be requested, and some for
		// the first links, while the fleet is small to all.
		mostLists = int(settle/membersRequestInterval) + 3
	)
	for _, size := range []int{60, min(240, largestFleet)} {
		net := newNetwork(t, 5, size, everySixth)
		net.seeds = net.order[:3]
		net.startAll(settle)
		checkReachability(t, net)
		if perInstance := net.memberEntries / size; perInstance > mostLists*size {
			t.Errorf("%d instances were sent %d members each", size, perInstance)
		}
	}
}
