package overlay

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/schema/wire"
)

func quantileOf(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func everySixth(n int) bool { return n%6 == 0 }

// Instances place requests based on the placements received from others. A placement must
// reach nearly all of them before an engine has made many steps, at any fleet size. The
// messages per instance must not grow with the size, or a large fleet would be busy with
// them alone.
func TestUpdateDelayAndMessageRateAreBoundedAtAnySize(t *testing.T) {
	for _, c := range []struct {
		size, dataCentres int
		maxDelay          time.Duration
		messages          float64 // per second and instance, on average
	}{
		{8, 3, 25 * time.Millisecond, 700},
		{60, 3, 40 * time.Millisecond, 400},
		{95, 5, 40 * time.Millisecond, 400},
		{360, 7, 80 * time.Millisecond, 400},
	} {
		if c.size > largestFleet {
			continue
		}
		net := newNetwork(t, c.dataCentres, c.size, everySixth)
		net.startAll(5 * time.Second)
		for _, i := range net.nodes {
			i.messages = 0
		}
		const length = 3 * time.Second
		runs := net.load(length, 4)
		net.loop.Run(time.Second)
		delays := net.delays(runs)
		total, busiest := 0, 0
		for _, i := range net.nodes {
			total += i.messages
			busiest = max(busiest, i.messages)
		}
		seconds := (length + time.Second).Seconds()
		mean := float64(total) / float64(c.size) / seconds
		t.Logf("%d instances: nine in ten received a run after %v in the median, %v for 99 in 100; messages per second: mean %.0f, busiest %.0f",
			c.size, quantileOf(delays, 0.5), quantileOf(delays, 0.99), mean, float64(busiest)/seconds)
		if got := quantileOf(delays, 0.9); got > c.maxDelay {
			t.Errorf("%d instances: nine in ten runs took up to %v to reach the others, want at most %v", c.size, got, c.maxDelay)
		}
		if mean > c.messages {
			t.Errorf("%d instances: %.0f messages per second and instance, want at most %.0f", c.size, mean, c.messages)
		}
	}
}

// checkReachability checks that each running instance reaches each other running one, and
// none treats one that is down as reachable.
func checkReachability(t *testing.T, net *network) {
	t.Helper()
	for _, id := range net.order {
		i := net.nodes[id]
		if !i.up || i.frozen {
			continue
		}
		reachable := map[string]bool{}
		for _, m := range i.node.Reachable() {
			reachable[m.ID] = true
		}
		for _, other := range net.order {
			if o := net.nodes[other]; reachable[other] != (o.up && !o.frozen) {
				t.Errorf("%s (%s) treats %s as reachable: %v", id, i.node.Role(), other, reachable[other])
				return
			}
		}
	}
}

// checkNoEndedRuns checks that no instance records a run after the last run has ended.
func checkNoEndedRuns(t *testing.T, net *network) {
	t.Helper()
	net.loop.Run(4 * time.Second)
	for _, id := range net.order {
		if i := net.nodes[id]; i.up && !i.frozen && len(i.recordedRuns) > 0 {
			t.Errorf("%s still records %d runs that ended", id, len(i.recordedRuns))
			return
		}
	}
}

// All processes of a fleet start within 300 ms with three seeds, one of which is dead.
// Callers are directed to instances that others have discovered, so each instance has to
// discover all.
func TestStartingFleetBecomesFullyReachable(t *testing.T) {
	for _, size := range []int{3, 16, 17, 60, 95} {
		if size > largestFleet {
			continue
		}
		net := newNetwork(t, 5, size, everySixth)
		net.seeds = []string{net.order[0], net.order[1], net.order[2]}
		if size > 3 {
			net.nodes[net.order[0]].up = false
			net.order = net.order[1:]
		}
		net.startAll(1500 * time.Millisecond)
		checkReachability(t, net)
	}
}

// All hubs of a data centre are killed at once under load. Its instances place requests
// by the updates they receive, so updates have to resume well within a second, and no run
// that ended meanwhile may stay recorded.
func TestKilledHubsAreReplaced(t *testing.T) {
	net := newNetwork(t, 5, largeFleet, everySixth)
	net.startAll(5 * time.Second)
	net.load(time.Second, 4)
	for _, id := range net.order {
		if i := net.nodes[id]; i.node.Role() == "hub" && i.member.DataCentre == "dc-1" {
			i.kill()
		}
	}
	net.load(500*time.Millisecond, 4)
	delays := net.delays(net.load(2*time.Second, 4))
	if got := quantileOf(delays, 0.9); got > 40*time.Millisecond {
		t.Errorf("half a second after the hubs were killed, updates take %v", got)
	}
	checkReachability(t, net)
	checkNoEndedRuns(t, net)
}

// More than half of all processes are killed at once and restart 2 s later with other
// incarnations. The rest continues to receive updates, and in the end all instances do.
func TestFleetRecoversAfterHalfIsKilled(t *testing.T) {
	net := newNetwork(t, 5, largeFleet, everySixth)
	net.startAll(5 * time.Second)
	net.load(time.Second, 4)
	var killed []*instance
	for n, id := range net.order {
		if n%20 < 11 {
			killed = append(killed, net.nodes[id])
			net.nodes[id].kill()
		}
	}
	net.load(700*time.Millisecond, 4)
	if got := quantileOf(net.delays(net.load(1300*time.Millisecond, 4)), 0.9); got > 50*time.Millisecond {
		t.Errorf("updates among the remaining instances take %v", got)
	}
	checkReachability(t, net)
	for _, i := range killed {
		i.start()
	}
	net.load(time.Second, 4)
	if got := quantileOf(net.delays(net.load(2*time.Second, 4)), 0.9); got > 50*time.Millisecond {
		t.Errorf("updates after the restart take %v", got)
	}
	checkReachability(t, net)
	checkNoEndedRuns(t, net)
}

// A hub freezes for three seconds: its links stay open and nothing comes over them. Its
// subscribers move to another hub before the links time out, so their placements stay
// current. When the hub resumes, its old updates are ignored.
func TestSubscribersLeaveFrozenHub(t *testing.T) {
	net := newNetwork(t, 5, largeFleet, everySixth)
	net.startAll(5 * time.Second)
	var hub *instance
	for _, id := range net.order {
		if i := net.nodes[id]; i.node.Role() == "hub" {
			hub = i
		}
	}
	net.load(time.Second, 4)
	hub.frozen = true
	net.load(500*time.Millisecond, 4)
	if got := quantileOf(net.delays(net.load(2500*time.Millisecond, 4)), 0.9); got > 50*time.Millisecond {
		t.Errorf("updates take %v while a hub is frozen", got)
	}
	checkReachability(t, net)
	hub.frozen = false
	net.load(2*time.Second, 4)
	checkReachability(t, net)
	checkNoEndedRuns(t, net)
}

// A data centre is cut off from the others for five seconds. Each part keeps only its own
// instances as reachable; afterwards all instances reach each other.
func TestPartitionedDataCentreRejoins(t *testing.T) {
	for _, size := range []int{40, largeFleet} {
		net := newNetwork(t, 5, size, everySixth)
		net.startAll(5 * time.Second)
		inside := func(id string) bool { return net.nodes[id].member.DataCentre == "dc-2" }
		net.cut = func(from, to string) bool { return inside(from) != inside(to) }
		net.load(5*time.Second, 4)
		for _, id := range net.order {
			want := size - size/5
			if inside(id) {
				want = size / 5
			}
			if got := len(net.nodes[id].node.Reachable()); got != want {
				t.Fatalf("%s reaches %d instances, want %d", id, got, want)
			}
		}
		net.cut = func(string, string) bool { return false }
		net.load(2*time.Second, 4)
		checkReachability(t, net)
		if got := quantileOf(net.delays(net.load(2*time.Second, 4)), 0.9); got > 40*time.Millisecond {
			t.Errorf("updates take %v", got)
		}
		checkNoEndedRuns(t, net)
	}
}

// Messages from one hub take 150 ms longer than usual. Its subscriber must report that
// its state is that old; instances on other hubs must not.
func TestSlowLinkRaisesStaleness(t *testing.T) {
	net := newNetwork(t, 5, largeFleet, everySixth)
	net.startAll(5 * time.Second)
	net.load(3*time.Second, 4)
	var hub, subscriber, other *instance
	for _, id := range net.order {
		i := net.nodes[id]
		switch primary := i.node.Primary(); {
		case primary != "" && subscriber == nil:
			subscriber, hub = i, net.nodes[primary]
		case primary != "" && primary != hub.member.ID:
			other = i
		}
	}
	before := subscriber.node.Staleness(subscriber.clock())
	if before < 10*time.Millisecond || before > 45*time.Millisecond {
		t.Errorf("staleness %v without faults", before)
	}
	net.slow = func(from, to string) time.Duration {
		if from == hub.member.ID && to == subscriber.member.ID {
			return 150 * time.Millisecond
		}
		return 0
	}
	net.load(3*time.Second, 4)
	if got := subscriber.node.Staleness(subscriber.clock()); got < 130*time.Millisecond {
		t.Errorf("staleness %v over a link delayed by 150 ms", got)
	}
	if got := other.node.Staleness(other.clock()); got > 60*time.Millisecond {
		t.Errorf("staleness %v of an instance that subscribes to another hub", got)
	}
	net.slow = func(string, string) time.Duration { return 0 }
	net.load(3*time.Second, 4)
	if got := subscriber.node.Staleness(subscriber.clock()); got > 45*time.Millisecond {
		t.Errorf("staleness %v after the delay ended", got)
	}
}

// Of 28 instances of a data centre two have high capacity and suffice as hubs; the others
// have slow links. When the two are gone, several weak ones share the work, so that none
// has more subscribers than it can serve in time.
func TestHubsHaveCapacityForTheirSubscribers(t *testing.T) {
	var members []*member
	for n := range 28 {
		m := &member{RelayMember: wire.RelayMember{ID: fmt.Sprint("i", n), DataCentre: "dc", Capacity: 192}, hash: hash(fmt.Sprint("i", n))}
		if n < 2 {
			m.Capacity = 800
		}
		members = append(members, m)
	}
	chosen := chooseHubs(members)
	if len(chosen) != 2 || !chosen[members[0]] || !chosen[members[1]] {
		t.Errorf("%d hubs, want the two strong instances", len(chosen))
	}
	weak := chooseHubs(members[2:])
	if len(weak) < 5 || len(weak) > 8 {
		t.Errorf("%d hubs among 26 weak instances", len(weak))
	}
	subscribers := make(map[string]int)
	for n := range 1000 {
		best := members[0]
		for _, m := range []*member{members[0], members[5]} {
			if hubScore(fmt.Sprint("s", n), m) < hubScore(fmt.Sprint("s", n), best) {
				best = m
			}
		}
		subscribers[best.ID]++
	}
	if share := float64(subscribers["i0"]) / 1000; share < 0.75 || share > 0.86 {
		t.Errorf("a hub with four times the capacity of the other has %.2f of the subscribers", share)
	}
}

// Updates about a replaced process may still arrive over a longer path. They must not
// reinstate it in place of its successor.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	n := New(wire.RelayMember{ID: "me", Incarnation: "me/1"}, nil, 1)
	n.LinkUp(wire.RelayMember{ID: "a", Incarnation: "a/2"}, 2)
	n.Refresh(3)
	update := &wire.RelayNews{Members: []wire.RelayMember{{ID: "a", Incarnation: "a/1"}, {ID: "b", Incarnation: "b/1"}}}
	if receipt, ok := n.Receive("a", update, 4); !ok || !receipt.Changed {
		t.Errorf("the members update was not applied: %v %+v", ok, receipt)
	}
	if _, recorded := n.Instance("a/1"); recorded {
		t.Error("the earlier process is still a member")
	}
	if _, known := n.Instance("b/1"); !known {
		t.Error("a new member was not added")
	}
	if _, ok := n.Receive("a", &wire.RelayNews{Origin: "a/1", Number: 7}, 5); ok {
		t.Error("an update of the earlier process was accepted")
	}
}

// Updates of one origin arrive over two links, as after a change of hubs. Each counts
// once, and an update that arrives after a later one is ignored: a run that it begins may
// be over.
func TestUpdatesAreAppliedOnceAndInOrder(t *testing.T) {
	n := New(wire.RelayMember{ID: "me", Incarnation: "me/1"}, nil, 1)
	n.LinkUp(wire.RelayMember{ID: "a", Incarnation: "a/1"}, 2)
	n.LinkUp(wire.RelayMember{ID: "b", Incarnation: "b/1"}, 2)
	for _, step := range []struct {
		from     string
		number   int
		accepted bool
	}{{"a", 1, true}, {"b", 1, false}, {"b", 2, true}, {"b", 4, true}, {"a", 3, false}, {"a", 4, false}, {"a", 5, true}} {
		if _, ok := n.Receive(step.from, &wire.RelayNews{Origin: "a/1", Number: step.number}, 3); ok != step.accepted {
			t.Errorf("update %d from %s: accepted = %v", step.number, step.from, ok)
		}
	}
	if n.MissedUpdates() != 1 {
		t.Errorf("%d missed updates, want 1", n.MissedUpdates())
	}
}
