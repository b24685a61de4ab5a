package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/schema/wire"
)

func TestSimultaneousStartConverges(t *testing.T) {
	// All instances are replaced at once and have only the platform's list. Each dials
	// its ring neighbours and relays what it receives, so all discover all without a full
	// mesh of links.
	for _, n := range []int{8, 64} {
		w := newNetwork(t, n)
		took := w.settle()
		t.Logf("%d members discovered each other after %v", n, took)
		w.Run(time.Second)
		for _, id := range w.ids {
			if !w.view(id).Confirmed {
				t.Errorf("%s is not confirmed", id)
			}
			if got := len(w.procs[id].core.Neighbours()); got > 2*Rings {
				t.Errorf("%s has %d neighbours, more than two per ring", id, got)
			}
		}
	}
}

func TestSimultaneousRestartConverges(t *testing.T) {
	// A settled fleet is killed and started again under the same ids, with clocks that
	// make the new epochs smaller than the old ones for a third. No process remembers the
	// old ones, so the fleet must converge on the new ones.
	w := newNetwork(t, 48)
	w.settle()
	for _, id := range w.ids {
		w.kill(id)
	}
	for i, id := range w.ids {
		w.startWith(id, 1, 1_764_000_000+uint64(i%3)-1)
	}
	t.Logf("48 restarted members discovered each other after %v", w.settle())
}

func TestCrashIsDetected(t *testing.T) {
	// A process is killed. Its host closes its links, the neighbours cannot replace them
	// and suspect it, nobody refutes, and all members drop it.
	for _, n := range []int{8, 64} {
		w := newNetwork(t, n)
		w.settle()
		w.Run(5 * time.Second)
		w.kill("dc1-000")
		took := w.settle()
		t.Logf("%d members dropped a killed process after %v", n, took)
		if took > LostLinkGrace+SuspicionTimeout+time.Second {
			t.Errorf("took %v", took)
		}
		if got := w.view("dc2-001").MemberCount; got != n {
			t.Errorf("MemberCount = %d, want %d: the list still names the dead member", got, n)
		}
	}
}

func TestLostHostIsDetected(t *testing.T) {
	// A host loses power. Nothing closes its links, so only missing heartbeats show it.
	w := newNetwork(t, 64)
	w.settle()
	w.Run(5 * time.Second)
	w.loseHost("dc1-000")
	took := w.settle()
	t.Logf("64 members dropped a lost process after %v", took)
	if took > HeartbeatTimeout+SuspicionTimeout+2*time.Second {
		t.Errorf("took %v", took)
	}
}

func TestRestartWithLowerEpochReplacesOldProcess(t *testing.T) {
	// A process crashes and restarts at once under its id, on a host whose clock is
	// behind. Peers hold updates about the old process with a higher epoch. The new one
	// receives them, raises its epoch above them and replaces the old one.
	w := newNetwork(t, 16)
	w.settle()
	w.kill("dc1-000")
	w.startWith("dc1-000", 1, 5)
	t.Logf("all members recorded the new process after %v", w.settle())
	w.always(10*time.Second, "the new process stays", func() bool { return w.sees(w.ids, w.ids) })
}

func TestLeavingIsAnnounced(t *testing.T) {
	// A process gets SIGTERM. It must take no new work at once, stay reachable while it
	// finishes, and not be assumed to run afterwards.
	w := newNetwork(t, 64)
	w.settle()
	leaver := "dc3-020"
	others := without(w.ids, leaver)
	w.procs[leaver].core.Leave(w.Now(), &sender{w, leaver})
	took := w.until(time.Second, "all record it as leaving", func() bool { return w.sees(others, others) })
	t.Logf("a leaving member took no more work after %v", took)
	w.always(30*time.Second, "it stays reachable", func() bool {
		m, found := w.view("dc1-000").Find(leaver)
		return found && m.State == Leaving
	})
	w.procs[leaver].core.Goodbye(w.Now(), &sender{w, leaver})
	w.Run(10 * time.Millisecond)
	w.kill(leaver)
	w.until(time.Second, "its end is recorded", func() bool {
		_, found := w.view("dc1-000").Find(leaver)
		return !found
	})
	if got := w.view("dc1-000").MemberCount; got != 63 {
		t.Errorf("MemberCount = %d, want 63", got)
	}
	if n := w.suspicions(); n != 0 {
		t.Errorf("%d suspicions for an announced end", n)
	}
}

func TestCrashWhileLeaving(t *testing.T) {
	// A leaving process is killed before it announced its end. It still counts as having
	// left: no member counts it as running beyond a partition.
	w := newNetwork(t, 8)
	w.settle()
	w.procs["dc1-000"].core.Leave(w.Now(), &sender{w, "dc1-000"})
	w.Run(time.Second)
	w.kill("dc1-000")
	w.Run(10 * time.Second)
	if v := w.view("dc2-001"); v.MemberCount != 7 || len(v.Leaving) != 0 {
		t.Errorf("MemberCount = %d, leaving %v", v.MemberCount, v.Leaving)
	}
}

func TestResumedProcessIgnoresOldPongs(t *testing.T) {
	// A process is stopped for a minute. Meanwhile the others drop it and a part of the
	// fleet is cut off. When it resumes its sockets are full of old answers, which must
	// not confirm its view; only the answer to a new ping does. It then refutes its
	// death.
	w := newNetwork(t, 16)
	w.settle()
	w.Run(5 * time.Second)
	sleeper := "dc1-000"
	w.procs[sleeper].paused = true
	w.Run(10 * time.Second)
	if !w.sees(w.running(), w.running()) {
		t.Fatal("the paused process was not dropped")
	}
	far := func(id string) bool { return id >= "dc3" }
	w.cut = func(a, b string) bool { return far(a) != far(b) }
	w.Run(50 * time.Second)
	near := slices.DeleteFunc(slices.Clone(w.ids), far)

	w.resume(sleeper)
	if w.view(sleeper).Confirmed {
		t.Error("old answers in the socket confirmed the view")
	}
	w.until(3*time.Second, "a peer confirms the view", func() bool { return w.view(sleeper).Confirmed })
	t.Logf("the resumed process: %d of %d live", len(w.view(sleeper).Live), w.view(sleeper).MemberCount)
	w.until(15*time.Second, "its part agrees again", func() bool { return w.sees(near, near) })
	if got := w.view(sleeper).MemberCount; got != 16 {
		t.Errorf("MemberCount = %d, want 16", got)
	}
	w.cut = func(string, string) bool { return false }
	t.Logf("both parts merged after %v", w.settle())
}

func TestAsymmetricCutDropsNoMember(t *testing.T) {
	// Messages from one member reach another, but nothing comes back. Their link times
	// out and one suspects the other. The rest of the fleet reaches both, so both refute
	// and stay. The suspicions must become rare.
	w := newNetwork(t, 16)
	w.settle()
	a := "dc1-000"
	b := w.procs[a].core.Neighbours()[0]
	w.cut = func(from, to string) bool { return from == b && to == a }
	w.always(5*time.Minute, "both stay", func() bool {
		_, seesB := w.view(a).Find(b)
		_, seesA := w.view(b).Find(a)
		return seesA && seesB && len(w.view("dc3-002").Live) == 16
	})
	t.Logf("%d suspicions in 5 minutes", w.suspicions())
	if n := w.suspicions(); n > 24 {
		t.Errorf("%d suspicions", n)
	}
}

func TestFlappingPathDropsNoMember(t *testing.T) {
	// The path between two members fails for 5 s out of every 10. Each time a link is
	// lost and a suspicion may be raised; no member may be dropped and the suspicions
	// must become rare.
	w := newNetwork(t, 16)
	w.settle()
	a := "dc1-000"
	b := w.procs[a].core.Neighbours()[0]
	w.cut = func(from, to string) bool {
		return keyOf(from, to) == keyOf(a, b) && w.Now()/1e9%10 < 5
	}
	w.always(5*time.Minute, "both stay", func() bool { return len(w.view("dc3-002").Live) == 16 })
	t.Logf("%d suspicions in 5 minutes", w.suspicions())
	if n := w.suspicions(); n > 24 {
		t.Errorf("%d suspicions", n)
	}
}

func TestDataCentreLost(t *testing.T) {
	// A third of the fleet is lost without notice. The rest must agree on the remaining
	// members, stay connected, and still count the lost ones.
	w := newNetwork(t, 60)
	w.settle()
	w.Run(5 * time.Second)
	for _, id := range w.ids {
		if id < "dc2" {
			w.loseHost(id)
		}
	}
	took := w.settle()
	t.Logf("40 of 60 members agreed after %v", took)
	if got := w.view("dc2-001").MemberCount; got != 60 {
		t.Errorf("MemberCount = %d, want 60", got)
	}
}

func TestPartitionedRegionsMerge(t *testing.T) {
	// Two regions are partitioned for an hour. Each part must work with its own members
	// and still count the others. When the path is restored, no member may drop members
	// of its own part while the two merge.
	w := newNetwork(t, 9)
	w.settle()
	w.Run(5 * time.Second)
	far := func(id string) bool { return id >= "dc3" }
	near := slices.DeleteFunc(slices.Clone(w.ids), far)
	other := without(w.ids, near...)
	w.cut = func(a, b string) bool { return far(a) != far(b) }
	took := w.until(30*time.Second, "each part agrees", func() bool {
		return w.sees(near, near) && w.sees(other, other)
	})
	t.Logf("each part agreed after %v", took)
	w.Run(time.Hour)
	for _, id := range w.ids {
		if got := w.view(id).MemberCount; got != 9 {
			t.Fatalf("%s: Known = %d, want 9", id, got)
		}
	}
	w.cut = func(string, string) bool { return false }
	took = w.until(30*time.Second, "the parts merge", func() bool {
		if !contains(w.view(near[0]), near) || !contains(w.view(other[0]), other) {
			t.Fatal("a part lost its own members")
		}
		return w.sees(w.ids, w.ids)
	})
	t.Logf("the parts merged %v after the path was restored", took)
}

func contains(v *View, ids []string) bool {
	for _, id := range ids {
		if _, found := v.Find(id); !found {
			return false
		}
	}
	return true
}

func without(ids []string, drop ...string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(x string) bool { return slices.Contains(drop, x) })
}

func TestLostUpdatesAreRepairedBySync(t *testing.T) {
	// One frame in five is lost while members crash and restart. Some pushed updates are
	// lost; comparing tables must find the differences.
	w := newNetwork(t, 32)
	w.settle()
	n := 0
	w.drop = func() bool { n++; return hash64(fmt.Sprint(n))%5 == 0 }
	for i := range 8 {
		id := w.ids[i*3]
		w.kill(id)
		w.Run(3 * time.Second)
		w.start(id)
		w.Run(3 * time.Second)
	}
	w.kill(w.ids[1])
	w.Run(LostLinkGrace + SuspicionTimeout/2)
	w.start(w.ids[1])
	w.Run(100 * time.Millisecond)
	w.drop = func() bool { return false }
	t.Logf("tables agreed %v after the last loss", w.settle())
}

func TestTwoProcessesWithOneIDRefuteSlowly(t *testing.T) {
	// Operators start two processes with the same id. Both claim it and raise the epoch
	// in turn. A member must not refute more than once in some seconds.
	core := New(Member{ID: "a", Incarnation: "1", PeerAddress: "a", Epoch: 10}, nil, 1)
	now := newNetwork(t, 0).Now()
	for range 100 {
		claim := wire.MemberUpdate{ID: "a", Incarnation: "2", State: "a", Epoch: int(core.View().Self.Epoch) + 1, PeerAddress: "b"}
		core.OnMembers(now, "b", []wire.MemberUpdate{claim}, discard{})
		now = now.Add(100 * time.Millisecond)
	}
	if s := core.Stats(); s.Refuted > 3 || s.Conflicts != 100 {
		t.Errorf("%d refutations, %d conflicts in 10 s", s.Refuted, s.Conflicts)
	}
}

type discard struct{}

func (discard) SendPeer(string, *wire.Envelope) {}

func TestTableIsBounded(t *testing.T) {
	// A faulty peer reports endless members. The table stays bounded, dead rows are
	// evicted first, and further updates are dropped and counted.
	core := New(Member{ID: "self", PeerAddress: "self"}, nil, 1)
	now := newNetwork(t, 0).Now()
	for i := range MaxMembers + 100 {
		u := wire.MemberUpdate{ID: fmt.Sprint(i), Incarnation: "1", State: "a", PeerAddress: "x"}
		if i < 50 {
			u.State = "d"
		}
		core.OnMembers(now, "b", []wire.MemberUpdate{u}, discard{})
	}
	if got := len(core.View().Live); got != MaxMembers+1 {
		t.Errorf("%d live, want %d and self", got, MaxMembers)
	}
	if got := core.Stats().Overflows; got != 50 {
		t.Errorf("%d overflows, want 50", got)
	}
}
