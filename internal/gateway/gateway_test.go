package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"basilrudder/internal/inbound"
	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/throttle"
)

// linkedPeers returns the peers of an instance with links to others. Nothing is sent over
// them.
func linkedPeers(f *fleet, self string, others ...wire.RelayMember) *peers {
	p := newPeers(wire.RelayMember{ID: self, Incarnation: self}, nil, f, zap.NewNop())
	links, err := peer.New(peer.Config{Keys: []peer.Key{{ID: linkKeyID, Secret: defaultLinkSecret}}})
	if err != nil {
		panic(err)
	}
	p.links = links
	for _, other := range others {
		other.Incarnation = other.ID
		p.node.LinkUp(other, monotime.Now())
	}
	p.node.Refresh(monotime.Now())
	return p
}

// fakeSource returns the next of its results for each call.
type fakeSource struct {
	all    []result
	watch  []result
	config []result
	calls  []string
}

type result struct {
	changes *Changes
	err     error
	after   time.Duration
}

func nextResult(ctx context.Context, list *[]result) (*Changes, error) {
	if len(*list) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r := (*list)[0]
	*list = (*list)[1:]
	time.Sleep(r.after)
	return r.changes, r.err
}

func (s *fakeSource) All(ctx context.Context, _ func() bool) (*Changes, error) {
	s.calls = append(s.calls, "all")
	return nextResult(ctx, &s.all)
}

func (s *fakeSource) Watch(ctx context.Context, _ servers.Revision, _ time.Duration) (*Changes, error) {
	s.calls = append(s.calls, "watch")
	return nextResult(ctx, &s.watch)
}

func (s *fakeSource) Calls() StoreCalls { return StoreCalls{} }

func (s *fakeSource) Config(ctx context.Context) (*routing.Config, error) {
	s.calls = append(s.calls, "config")
	changes, err := nextResult(ctx, &s.config)
	if err != nil {
		return nil, err
	}
	return changes.Config, nil
}

func config(version int64) *routing.Config {
	return &routing.Config{Version: version, Services: []routing.Service{{Name: "svc"}}}
}

func entry(id string, revision servers.Revision) servers.Server {
	return servers.Server{ID: id, Name: servers.Name(id), Service: "svc", Address: "10.0.0.1:" + id, Slots: 4, Revision: revision}
}

// newFleet returns a fleet without links, its storeSync, and the source of that.
func newFleet() (*fleet, *storeSync, *fakeSource) {
	source := &fakeSource{}
	f := &fleet{
		self: "me", log: zap.NewNop(), board: placement.NewBoard(pace.DefaultPrior, "here"),
		budget: newRetryBudget(0.2, 56, 10*time.Second), memberCount: func() int { return 8 },
		registry: servers.New(), updates: newUpdateBatcher(),
		throttle: throttle.New("me", monotime.Now()),
		outages:  newOutageDetector(), publish: func(*routing.Config) {},
	}
	f.crashes = newCrashTracker(f.updates, f.log)
	f.crashes.serversLike = f.serversLike
	f.streams = newStreamVersions()
	f.resetConfirmations()
	fd := &storeSync{source: source, fleet: f, log: zap.NewNop(), minWatch: time.Second, answerTimeout: 500 * time.Millisecond, confirming: make(chan struct{}, 1), rank: func() (int, int) { return 0, 1 }, hasHub: func() bool { return false }, hasPeer: func() bool { return false }}
	return f, fd, source
}

func ready(f *fleet) []string {
	var out []string
	for _, s := range f.serverList("svc").accepting {
		out = append(out, s.ID)
	}
	return out
}

// The store's connections stop responding, then all calls fail for four seconds, in which
// the entries of both servers expire. After the recovery the watch reports both as
// removed. Both must stay in use for the grace period; one reappears, the other had
// crashed and must be dropped after it.
func TestAnOutageOfTheStoreDropsNoServerThatLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		down := result{err: errors.New("down"), after: time.Second}
		source.all = []result{{changes: &Changes{Config: config(1), Servers: []servers.Server{entry("a", 1), entry("b", 2)}, Revision: 2}}}
		source.watch = []result{down, down, down, down,
			{changes: &Changes{Removals: []servers.EntryRef{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, Revision: 4}},
			{changes: &Changes{Servers: []servers.Server{entry("a", 5)}, Revision: 5}, after: time.Second}}
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		_ = fd.run(ctx)
		if diff := cmp.Diff([]string{"a", "b"}, ready(f)); diff != "" {
			t.Error("within the grace", diff)
		}
		time.Sleep(servers.RemovalGrace)
		f.changeServers(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
		if diff := cmp.Diff([]string{"a"}, ready(f)); diff != "" {
			t.Error("after the grace", diff)
		}
	})
}

// A single call fails because its connection stopped responding. The store was available
// all the time, so a removal that it reports next must count at once.
func TestOneSilentConnectionIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		source.all = []result{{changes: &Changes{Servers: []servers.Server{entry("a", 1)}, Revision: 1}}}
		source.watch = []result{{err: errors.New("timeout")}, {changes: &Changes{Removals: []servers.EntryRef{{Name: "a", Revision: 2}}, Revision: 2}}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = fd.run(ctx)
		if got := ready(f); len(got) != 0 {
			t.Errorf("%v still gets requests", got)
		}
	})
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		source.all = []result{
			{changes: &Changes{Servers: []servers.Server{entry("a", 1), entry("b", 1)}, Revision: 2}},
			{changes: &Changes{Servers: []servers.Server{entry("b", 1), entry("c", 8)}, Revision: 9}},
		}
		source.watch = []result{{err: ErrHistoryLost}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = fd.run(ctx)
		if diff := cmp.Diff([]string{"b", "c"}, ready(f)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]string{"all", "watch", "all", "watch"}, source.calls); diff != "" {
			t.Error(diff)
		}
	})
}

func TestAVersionNeverGoesBack(t *testing.T) {
	f, _, _ := newFleet()
	for _, step := range []struct {
		version int64
		taken   bool
	}{{5, true}, {4, false}, {5, false}, {9, true}} {
		if got := f.installConfig(config(step.version), "test"); got != step.taken {
			t.Errorf("version %d taken: %v", step.version, got)
		}
	}
	if got := f.Table().Version(); got != 9 {
		t.Errorf("version %d in force", got)
	}
}

func TestAConfigurationThatCannotServeLeavesTheOldOneInForce(t *testing.T) {
	f, _, _ := newFleet()
	f.installConfig(config(1), "test")
	bad := config(2)
	bad.Routes = []routing.Route{{Prefix: "no slash"}}
	if f.installConfig(bad, "test") || f.Table().Version() != 1 {
		t.Errorf("version %d in force", f.Table().Version())
	}
}

func TestConfirmingReadsTheStoreOnceForMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		f.installConfig(config(1), "test")
		source.config = []result{{changes: &Changes{Config: config(2)}, after: 4 * time.Millisecond}}
		answers := make(chan bool)
		for range 10 {
			go func() { answers <- fd.confirm(t.Context()) }()
		}
		for range 10 {
			if !<-answers {
				t.Error("not confirmed")
			}
		}
		if len(source.calls) != 1 || f.Table().Version() != 2 {
			t.Errorf("%d calls, version %d", len(source.calls), f.Table().Version())
		}
		time.Sleep(confirmationTTL)
		if fd.confirm(t.Context()) {
			t.Error("confirmed although the store does not answer")
		}
	})
}

// In any window the whole fleet may retry ratio times its requests plus the burst. Eight
// instances, each of which counts only its own requests, spend as much as they can; the
// sum must stay within that budget.
func TestTheBudgetHoldsOverTheFleet(t *testing.T) {
	const members, requests = 8, 100
	total := 0
	for range members {
		b := newRetryBudget(0.2, 56, 10*time.Second)
		for i := range requests {
			now := monotime.Instant(time.Hour).Add(time.Duration(i) * 10 * time.Millisecond)
			b.count("svc", now)
			for b.spend("svc", now, members) {
				total++
			}
		}
	}
	if limit := 0.2*members*requests + 56; float64(total) > limit {
		t.Errorf("%d sends of at most %v", total, limit)
	}
	if total < 150 {
		t.Errorf("only %d sends of a budget of 216", total)
	}
}

func TestRetryBudgetRenewsWithTheWindow(t *testing.T) {
	b := newRetryBudget(0, 10, 10*time.Second)
	now := monotime.Instant(time.Hour)
	for b.spend("svc", now, 1) {
	}
	if b.spend("svc", now.Add(8*time.Second), 1) {
		t.Error("spent again within the window")
	}
	if !b.spend("svc", now.Add(11*time.Second), 1) {
		t.Error("nothing to spend in the next window")
	}
}

// A server leaves while this instance is disconnected from the store. An update of a peer
// that still reads it must remove the server.
func TestPeerUpdateRemovesServer(t *testing.T) {
	f, _, _ := newFleet()
	p := linkedPeers(f, "me")
	p.applyServers("peer", []wire.RelayServer{{ID: "a", Service: "svc", Address: "x:1", Revision: 3}, {ID: "b", Service: "svc", Address: "y:1", Revision: 4}}, nil, 0)
	p.applyServers("peer", []wire.RelayServer{{ID: "a", Gone: true, Revision: 8}, {ID: "b", Service: "svc", Address: "y:1", Draining: true, Revision: 9}}, nil, 0)
	if got := ready(f); len(got) != 0 {
		t.Errorf("%v still get requests", got)
	}
	p.applyServers("late", []wire.RelayServer{{ID: "a", Service: "svc", Address: "x:1", Revision: 3}}, nil, 0)
	if got := ready(f); len(got) != 0 {
		t.Errorf("%v reappeared after an outdated update", got)
	}
}

func TestConnectionsAreSharedOut(t *testing.T) {
	f, _, _ := newFleet()
	for _, c := range []struct{ most, members, want int }{{370, 8, 46}, {110, 8, 13}, {10, 59, minConnections}, {0, 8, 0}} {
		f.memberCount = func() int { return c.members }
		if got := f.connectionShare(c.most); got != c.want {
			t.Errorf("share of %d among %d: %d, want %d", c.most, c.members, got, c.want)
		}
	}
}

func TestTheDirectoryNamesLinkedInstancesThatStay(t *testing.T) {
	f, _, _ := newFleet()
	p := linkedPeers(f, "me",
		wire.RelayMember{ID: "a", CallerAddress: "a:1"},
		wire.RelayMember{ID: "b", CallerAddress: "b:1"},
		wire.RelayMember{ID: "c", CallerAddress: "c:1"})
	now := monotime.Now()
	p.node.LinkDown("b", now)
	if !p.receive("c", &wire.RelayNews{Leaving: true}) {
		t.Error("the leave of a peer changes no links")
	}
	p.node.Refresh(now)
	var named []string
	for _, m := range p.staying() {
		named = append(named, m.CallerAddress)
	}
	if diff := cmp.Diff([]string{"a:1"}, named); diff != "" {
		t.Error(diff)
	}
}

// Guards against callers who are sent to an instance without descriptors, and against one
// that is spared for good.
func TestTheDirectorySparesInstancesWithFewDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newFleet()
		p := linkedPeers(f, "me",
			wire.RelayMember{ID: "a", CallerAddress: "a:1"},
			wire.RelayMember{ID: "b", CallerAddress: "b:1"})
		expect := func(when string, want ...string) {
			t.Helper()
			var named []string
			p.node.Refresh(monotime.Now())
			for _, m := range p.takingCallers() {
				named = append(named, m.ID)
			}
			if diff := cmp.Diff(want, named); diff != "" {
				t.Errorf("%s: %s", when, diff)
			}
		}
		expect("at first", "a", "b")
		p.receive("b", &wire.RelayNews{Origin: "b", Number: 1, FullMS: int(inbound.FullFor.Milliseconds())})
		expect("with b full", "a")
		time.Sleep(inbound.FullFor + time.Millisecond)
		expect("without a further sign", "a", "b")
		p.receive("b", &wire.RelayNews{Origin: "b", Number: 2, FullMS: 1 << 40})
		time.Sleep(time.Minute)
		expect("after a sign that lasts too long", "a", "b")
	})
}

// A link is so slow that the servers of the peer differ for eight seconds, whatever is
// requested. Each answer would slow the link further, so the requests must become rare.
func TestAPeerWhoseServersStayDifferentIsAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newFleet()
		p := linkedPeers(f, "me", wire.RelayMember{ID: "r"})
		for range 80 {
			p.compareServers("r", &wire.RelayNews{Confirmed: 1, Digest: 7})
			time.Sleep(100 * time.Millisecond)
		}
		if asked := p.differences["r"].requests; asked < 3 || asked > 4 {
			t.Errorf("asked %d times", asked)
		}
		p.compareServers("r", &wire.RelayNews{Confirmed: 1, Digest: int(f.digest.Load())})
		if len(p.differences) != 0 {
			t.Error("still counts as different")
		}
	})
}

// All watches of the fleet stop receiving. The instance whose watch ends first detects
// that and informs the others; each must receive a change within two seconds, whatever
// the number of instances.
func TestWatchesOfAFleetEndOftenEnough(t *testing.T) {
	_, fd, _ := newFleet()
	fd.minWatch = 1100 * time.Millisecond
	for _, n := range []int{1, 3, 8, 59, 360} {
		fd.rank = func() (int, int) { return 0, n }
		for range 100 {
			wait := fd.watchDuration()
			if wait > maxWatch || wait > max(fd.minWatch, time.Duration(n)*watchPerInstance) {
				t.Fatalf("%d instances: a watch waits %v", n, wait)
			}
		}
	}
}

// Many servers start together, and each change in the store answers the watch at once.
// The instance must wait between watches: every answer is paid for, and a new server is
// not needed within a few milliseconds.
func TestManyChangesDoNotMakeAWatchEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fd, source := newFleet()
		source.all = []result{{changes: &Changes{Revision: 1}}}
		for range 100 {
			source.watch = append(source.watch, result{changes: &Changes{Revision: 2}, after: 10 * time.Millisecond})
		}
		const length = 2 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		if err := fd.run(ctx); err != nil {
			t.Fatal(err)
		}
		if maxCalls := int(length/minWatchInterval) + 1; len(source.calls) > maxCalls {
			t.Errorf("%d calls in %v, at most %d wanted", len(source.calls), length, maxCalls)
		}
	})
}

// A peer reports that the store confirmed its version. That must confirm the same version
// here, and no other.
func TestPeerConfirmsOnlyTheSameVersion(t *testing.T) {
	f, fd, source := newFleet()
	p := linkedPeers(f, "me")
	f.installConfig(config(5), "test")
	p.applyConfigStatus("peer", &wire.RelayNews{ConfigVersion: 4, Confirmed: 1})
	if fd.recentlyConfirmed() {
		t.Error("a confirmation of an older version counts for this one")
	}
	p.applyConfigStatus("peer", &wire.RelayNews{ConfigVersion: 5, Confirmed: 200})
	if !fd.recentlyConfirmed() || !fd.confirm(t.Context()) || len(source.calls) != 0 {
		t.Errorf("not confirmed; %d calls", len(source.calls))
	}
}

// fakeCacheReader returns the parts of each address and records which addresses were
// asked.
type fakeCacheReader struct {
	mu    sync.Mutex
	parts map[string][]placement.Part
	asked []string
}

func (c *fakeCacheReader) Cached(_ context.Context, s servers.Server) ([]placement.Part, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, s.Address)
	return c.parts[s.Address], nil
}

// All instances were restarted, so none has the cache state of the engines. Two of them
// share the engines between them and send each other the results; a third that starts
// later receives them from a peer and must ask no engine.
func TestAfterARestartOfAllEachEngineIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := placement.Part{ID: "x", Tokens: 9000}
		reader := &fakeCacheReader{parts: map[string][]placement.Part{}}
		var sent []wire.RelayCache
		gateways := map[string]*Gateway{}
		for _, name := range []string{"a", "b"} {
			f, fd, _ := newFleet()
			f.self = name
			f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{Slots: 4}}}}, "test")
			f.changeServers(fromTimer, func(r *servers.Registry, now monotime.Instant) (ids []string) {
				for _, id := range []string{"e1", "e2", "e3", "e4"} {
					s := entry(id, 1)
					reader.parts[s.Address] = []placement.Part{part}
					r.Put(s, now)
					ids = append(ids, id)
				}
				return ids
			})
			other := map[string]string{"a": "b", "b": "a"}[name]
			p := linkedPeers(f, name, wire.RelayMember{ID: other})
			gateways[name] = &Gateway{cfg: Config{Caches: reader, Log: zap.NewNop()}, fleet: f, storeSync: fd, peers: p}
		}
		for _, g := range gateways {
			if err := g.discoverCaches(t.Context()); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, g.fleet.updates.pending.Caches...)
		}
		if len(reader.asked) != 4 || len(sent) != 4 {
			t.Errorf("asked %v, sent %v", reader.asked, sent)
		}
		late := gateways["a"]
		late.peers.applyCaches(&wire.RelayNews{Caches: sent, CachesWhole: true})
		if err := late.discoverCaches(t.Context()); err != nil || len(reader.asked) != 4 {
			t.Errorf("%v; asked again: %v", err, reader.asked)
		}
		if got := late.fleet.cacheStates(); len(got) != 4 {
			t.Errorf("has the cache state of %d engines", len(got))
		}
	})
}

// Guards against a restart of all after which no engine is asked for its cache: the state came late.
func TestEnginesAreAskedAfterALateState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeCacheReader{}
		f, fd, _ := newFleet()
		g := &Gateway{cfg: Config{Caches: reader, Log: zap.NewNop()}, fleet: f, storeSync: fd, peers: linkedPeers(f, "me")}
		time.AfterFunc(5*time.Second, func() {
			f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{Slots: 4}}}}, fromStore)
			put(f, fromStore, entry("e1", 1))
		})
		if err := g.discoverCaches(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(reader.asked) != 1 {
			t.Errorf("asked %v", reader.asked)
		}
	})
}

// All instances were restarted, and one asks its engines and sends the results before the
// others have asked theirs. They must still ask: otherwise prompts that the other engines
// keep would be read again for as long as it takes to fill their caches anew.
func TestPartialCacheUpdateDoesNotStopCacheDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := placement.Part{ID: "x", Tokens: 9000}
		reader := &fakeCacheReader{parts: map[string][]placement.Part{}}
		f, fd, _ := newFleet()
		f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "svc", Engine: &routing.Engine{Slots: 4}}}}, "test")
		for _, id := range []string{"e1", "e2", "e3"} {
			s := entry(id, 1)
			reader.parts[s.Address] = []placement.Part{part}
			put(f, fromStore, s)
		}
		g := &Gateway{cfg: Config{Caches: reader, Log: zap.NewNop()}, fleet: f, storeSync: fd, peers: linkedPeers(f, "me")}
		g.peers.applyCaches(&wire.RelayNews{Caches: []wire.RelayCache{{Server: "e1", Parts: encodeParts([]placement.Part{part})}}})
		if g.peers.cacheUpdates(f.cacheStates())[0].CachesWhole {
			t.Error("reports complete caches after a partial update")
		}
		if g.peers.needsState() {
			t.Error("asks the next peer for the state that the first has sent")
		}
		if err := g.discoverCaches(t.Context()); err != nil {
			t.Fatal(err)
		}
		slices.Sort(reader.asked)
		if diff := cmp.Diff([]string{entry("e2", 1).Address, entry("e3", 1).Address}, reader.asked); diff != "" {
			t.Error(diff)
		}
		if !g.peers.cacheUpdates(f.cacheStates())[0].CachesWhole {
			t.Error("does not report complete caches after asking all engines")
		}
	})
}

// A whole fleet restarts, and each instance receives the cache state of the engines. That
// must not fill the links of small instances: a link of 10 Mbit/s takes a tenth of a
// second for 120 KB, and a part is some 25 bytes.
func TestCacheUpdatesAreBounded(t *testing.T) {
	const bytesOfPart, maxBytes = 25, 130_000
	for _, engines := range []int{0, 1, 9, 60, 100, 333, 1000, 2400} {
		parts := partsPerEngine(engines)
		if parts < 1 || parts > maxPartsPerEngine || engines*parts*bytesOfPart > maxBytes {
			t.Errorf("%d parts of each of %d engines", parts, engines)
		}
	}
	f, _, _ := newFleet()
	f.installConfig(engines(), fromStore)
	for n := range 1000 {
		id := fmt.Sprintf("e%04d", n)
		put(f, fromStore, entry(id, servers.Revision(n+1)))
		var kept []placement.Part
		for k := range 40 {
			kept = append(kept, placement.Part{ID: fmt.Sprint(id, "-", k), Tokens: 1000})
		}
		f.board.RecordCachedParts(id, kept, monotime.Now())
	}
	sent := 0
	for _, cache := range f.cacheStates() {
		sent += len(cache.Parts)
	}
	if sent == 0 || sent > maxPartsInTotal {
		t.Errorf("%d parts sent for 1,000 engines", sent)
	}
}

// In a large fleet few instances read the store. One that does not receives confirmations
// in their updates. If all readers have crashed, are disconnected or are refused by the
// store, the confirmations end, and it must read the store itself before a change could
// be much more than two seconds late.
func TestLowRankInstanceReadsStoreWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		fd.rank = func() (int, int) { return 40, 59 }
		fd.started = monotime.Now()
		time.Sleep(hubDiscoveryWait)
		if !fd.shouldRead() {
			t.Error("an instance without state must read")
		}
		f.installConfig(config(1), "peer")
		f.changeServers("peer", func(r *servers.Registry, now monotime.Instant) []string {
			r.Put(entry("a", 1), now)
			return []string{"a"}
		})
		f.confirmVersion(1, monotime.Now())
		ctx, cancel := context.WithTimeout(t.Context(), takeOverAfter-readCheckInterval)
		_ = fd.run(ctx)
		cancel()
		if len(source.calls) != 0 {
			t.Errorf("reads although confirmed: %v", source.calls)
		}
		ctx, cancel = context.WithTimeout(t.Context(), takeOverDelay(40)-takeOverAfter+takeOverJitter+2*readCheckInterval)
		defer cancel()
		_ = fd.run(ctx)
		if len(source.calls) == 0 || source.calls[0] != "all" {
			t.Errorf("calls %v", source.calls)
		}
	})
}

// The store is down for twelve seconds. All 95 instances keep their state, and callers
// are not affected. Instances that usually do not read must try only now and then:
// together they may not send more requests than the few that do read.
func TestAStoreThatIsDownIsNotAskedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		fd.rank = func() (int, int) { return 50, 95 }
		f.installConfig(config(1), "peer")
		put(f, "peer", entry("a", 1))
		f.confirmVersion(1, monotime.Now())
		for range 1000 {
			source.all = append(source.all, result{err: errors.New("refused"), after: time.Millisecond})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		_ = fd.run(ctx)
		if n := len(source.calls); n < 2 || n > 6 {
			t.Errorf("%d calls in 12 s", n)
		}
		fd.rank = func() (int, int) { return 2, 95 }
		source.calls = nil
		again, end := context.WithTimeout(t.Context(), 12*time.Second)
		defer end()
		_ = fd.run(again)
		if n := len(source.calls); n < 25 {
			t.Errorf("one of the first in rank asks only %d times in 12 s", n)
		}
	})
}

// A process that has just started has a hub, which will send it the state in force. It
// must read the store only if the hub has not done so for a while, since callers wait for
// it.
func TestAColdInstanceWaitsForItsHubAndNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		fd.rank = func() (int, int) { return 40, 59 }
		fd.hasHub = func() bool { return true }
		all := result{changes: &Changes{Config: config(1), Servers: []servers.Server{entry("a", 1)}, Revision: 1}}
		source.all = []result{all}
		ctx, cancel := context.WithTimeout(t.Context(), hubStateWait-2*initialCheckInterval)
		_ = fd.run(ctx)
		cancel()
		if len(source.calls) != 0 {
			t.Errorf("reads although its hub may send the state: %v", source.calls)
		}
		ctx, cancel = context.WithTimeout(t.Context(), hubStateWait+2*initialCheckInterval)
		defer cancel()
		_ = fd.run(ctx)
		if len(source.calls) == 0 || f.Table() == nil {
			t.Errorf("does not read; calls %v", source.calls)
		}
	})
}

func TestAllInstancesAgreeOnTheRanks(t *testing.T) {
	const n = 20
	seen := map[int]bool{}
	for self := range n {
		f, _, _ := newFleet()
		var others []wire.RelayMember
		for other := range n {
			if other != self {
				others = append(others, wire.RelayMember{ID: fmt.Sprint("i", other)})
			}
		}
		place, of := linkedPeers(f, fmt.Sprint("i", self), others...).rank()
		if of != n || seen[place] {
			t.Errorf("instance %d: place %d of %d", self, place, of)
		}
		seen[place] = true
	}
}

// A link breaks while a server leaves, and the update is lost. The next status of a peer
// that reads the store shows that the servers differ; once it has received all of them,
// this instance must drop the server that left.
func TestLostServerUpdateIsRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, _, _ := newFleet()
		other, _, _ := newFleet()
		for _, f := range []*fleet{reader, other} {
			f.changeServers("peer", func(r *servers.Registry, now monotime.Instant) []string {
				r.Put(entry("a", 1), now)
				r.Put(entry("b", 2), now)
				return []string{"a", "b"}
			})
		}
		p := linkedPeers(other, "me", wire.RelayMember{ID: "r"})
		status := func() *wire.RelayNews {
			return &wire.RelayNews{Confirmed: 1, Digest: int(reader.digest.Load())}
		}
		p.compareServers("r", status())
		if len(p.differences) != 0 {
			t.Error("the same servers differ")
		}
		reader.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
			r.Remove("a", 5, now)
			return []string{"a"}
		})
		p.compareServers("r", status())
		if len(p.differences) == 0 {
			t.Error("not noticed")
		}
		p.applyServers("r", reader.allServers(), nil, 0)
		if diff := cmp.Diff([]string{"b"}, ready(other)); diff != "" {
			t.Error(diff)
		}
		p.compareServers("r", status())
		if len(p.differences) != 0 {
			t.Error("still differ")
		}
	})
}

// Servers start together and change the store continuously. Each change answers the
// watches of all readers, and each answer is paid for. All six together may call the
// store about as often as two that watch again at once, and the first in rank often
// enough to receive changes soon.
func TestReadersOfABusyStoreTakeTurns(t *testing.T) {
	const length = 6 * time.Second
	sum := 0
	for place := range storeReaders {
		synctest.Test(t, func(t *testing.T) {
			_, fd, source := newFleet()
			fd.rank = func() (int, int) { return place, 60 }
			source.all = []result{{changes: &Changes{Servers: []servers.Server{entry("a", 1)}, Revision: 1}}}
			for n := range 1000 {
				source.watch = append(source.watch, result{changes: &Changes{Revision: servers.Revision(n + 2)}, after: 4 * time.Millisecond})
			}
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			_ = fd.run(ctx)
			sum += len(source.calls)
			if minCalls := int(length / minWatchInterval); place == 0 && len(source.calls) < minCalls {
				t.Errorf("the first reader asks %d times", len(source.calls))
			}
		})
	}
	if maxCalls := 2 * storeReaders * int(length/minWatchInterval) / 4; sum > maxCalls {
		t.Errorf("%d calls in %v, want at most %d", sum, length, maxCalls)
	}
}

// Guards against a confirmation by the store that counts from the end of a long answer.
func TestLongStoreAnswerConfirmsFromItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, fd, source := newFleet()
		const travel = 900 * time.Millisecond
		source.all = []result{{changes: &Changes{Config: config(1), Revision: 1}}}
		source.watch = []result{{changes: &Changes{Config: config(2), Revision: 2}, after: travel}}
		ctx, cancel := context.WithTimeout(t.Context(), travel)
		defer cancel()
		_ = fd.run(ctx)
		var own wire.RelayNews
		f.fillStatus(&own)
		if minAge := 1 + int(travel.Milliseconds()); own.ConfigVersion != 2 || own.Confirmed < minAge {
			t.Errorf("version %d confirmed %d ms ago, at least %d wanted", own.ConfigVersion, own.Confirmed-1, minAge-1)
		}
	})
}

// Guards against urgent updates that wait behind one long message of cache states.
func TestCacheUpdatesAreSplitIntoShortMessages(t *testing.T) {
	f, _, _ := newFleet()
	p := linkedPeers(f, "me")
	p.cachesComplete.Store(true)
	var caches []wire.RelayCache
	for n := range 600 {
		cache := wire.RelayCache{Server: fmt.Sprint("engine-", n)}
		for part := range n % maxPartsPerEngine {
			cache.Parts = append(cache.Parts, wire.RelayPart{ID: fmt.Sprintf("%08x", part*n), Tokens: 9000})
		}
		caches = append(caches, cache)
	}
	var sent []wire.RelayCache
	messages := p.cacheUpdates(caches)
	for i, update := range messages {
		data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{update}})
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 32<<10 {
			t.Errorf("message %d has %d bytes", i, len(data))
		}
		if last := i+1 == len(messages); update.CachesWhole != last {
			t.Errorf("message %d of %d reports whole: %v", i, len(messages), update.CachesWhole)
		}
		sent = append(sent, update.Caches...)
	}
	if diff := cmp.Diff(caches, sent); diff != "" {
		t.Error(diff)
	}
}
