package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// connectedBoard returns the Board of an instance of a fleet that prefers open connections,
// with idle connections to some servers.
func connectedBoard(self string, jitter float64, connected ...string) *Board {
	b := NewBoard(testPace, "here")
	b.Seed(1)
	b.SetSharing(self, func(string) (place, instances int, ok bool) { return 0, 1, true })
	b.SetCostJitter(func(float64) float64 { return jitter })
	b.SetFeatures(Features{LargeFleet: 17, PreferOpenConnections: true})
	b.SetFleetSize(86, start)
	open := make(map[string]bool)
	for _, id := range connected {
		open[id] = true
	}
	b.SetConnected(func(server string) bool { return open[server] })
	return b
}

func choose(t *testing.T, b *Board, work Work, candidates []Candidate) Choice {
	t.Helper()
	choice, refusal := b.Choose(work, candidates, start)
	if refusal != Chosen {
		t.Fatalf("no server: %d", refusal)
	}
	return choice
}

// Guards against opening a connection although an equally good server has an idle one, and
// against a request that is late for the sake of a connection.
func TestAnIdleConnectionDecidesAmongEqualServersOnly(t *testing.T) {
	b := connectedBoard("me", 0, "e5")
	work := shortPrompt("x")
	if got := choose(t, b, work, engines(8)); got.Server != "e5" || !got.Connected || got.InsteadOf == "" {
		t.Errorf("with an idle connection to e5: %+v", got)
	}
	for n := range 3 {
		b.Begin(RunID{"peer", n}, "e5", longPrompt("chain", fmt.Sprint(n)), 21_000, start)
	}
	if got := choose(t, b, work, engines(8)); got.Server == "e5" || got.Connected {
		t.Errorf("with long prompts on e5: %+v", got)
	}
}

// Guards against effects of the preference in a small fleet and with the feature switched
// off.
func TestConnectionsDoNotMatterWithoutTheFeature(t *testing.T) {
	for name, features := range map[string]Features{
		"small fleet": {LargeFleet: 87, PreferOpenConnections: true}, "off": {LargeFleet: 17}, "no fleet is large": {PreferOpenConnections: true},
	} {
		with, without := connectedBoard("me", 0.14, "e5"), NewBoard(testPace, "here")
		without.Seed(1)
		without.SetCostJitter(func(float64) float64 { return 0.14 })
		with.largeUntil = 0
		with.SetFeatures(features)
		with.SetFleetSize(86, start)
		with.SetConnected(func(string) bool { t.Error(name, ": connections are asked for"); return true })
		for n := range 20 {
			work := shortPrompt(fmt.Sprint(n))
			if got, want := choose(t, with, work, engines(8)), choose(t, without, work, engines(8)); got != want {
				t.Fatalf("%s: %+v, without connections %+v", name, got, want)
			}
		}
	}
}

// Guards against instances with the same view that all choose the same engines, and against
// an instance that does not return to its own.
func TestInstancesReturnToEnginesOfTheirOwn(t *testing.T) {
	const instances, servers = 86, 140
	chosen := make(map[string]int)
	for n := range instances {
		b := connectedBoard(fmt.Sprint("relay-", n), 0.14)
		first := choose(t, b, shortPrompt("x"), engines(servers)).Server
		if again := choose(t, b, shortPrompt("y"), engines(servers)).Server; again != first {
			t.Errorf("instance %d chooses %s and then %s", n, first, again)
		}
		chosen[first]++
	}
	// Of 86 random choices among 140, 64 are distinct in the mean.
	if len(chosen) < 55 {
		t.Errorf("%d instances choose only %d engines", instances, len(chosen))
	}
	for id, n := range chosen {
		if n > 5 {
			t.Errorf("%d of %d instances choose %s", n, instances, id)
		}
	}
}

// Guards against connections to other data centres while the own one has equal servers.
func TestPreferredServersAreInTheOwnDataCentre(t *testing.T) {
	candidates := engines(100)
	for i := range candidates {
		if i%2 == 1 {
			candidates[i].DataCentre = "there"
		}
	}
	remote := 0
	const instances = 200
	for n := range instances {
		b := connectedBoard(fmt.Sprint("relay-", n), 0.14)
		if s := b.servers[choose(t, b, shortPrompt("x"), candidates).Server]; s.dataCentre != "here" {
			remote++
		}
	}
	if remote > instances/10 {
		t.Errorf("%d of %d instances prefer a server elsewhere", remote, instances)
	}
}

// Guards against servers that are no engines and get all requests of the instances which
// prefer them, while others are idle.
func TestPreferredPlainServersShareTheLoad(t *testing.T) {
	const instances, servers, slots = 86, 4, 40
	var candidates []Candidate
	for n := range servers {
		candidates = append(candidates, Candidate{ID: fmt.Sprint("p", n), DataCentre: "here", Slots: slots})
	}
	var boards []*Board
	for n := range instances {
		boards = append(boards, connectedBoard(fmt.Sprint("relay-", n), 0.14, candidates[n%servers].ID))
	}
	running := make(map[string]int)
	const requests = servers * slots / 2
	for n := range requests {
		server := choose(t, boards[n*31%instances], Work{}, candidates).Server
		running[server]++
		for _, b := range boards {
			b.Begin(RunID{"fleet", n}, server, Work{}, 0, start)
		}
	}
	for _, c := range candidates {
		if n := running[c.ID]; n < slots/4 || n > slots*3/4 {
			t.Errorf("%s has %d of %d requests", c.ID, n, requests)
		}
	}
}

// Guards against instances that all send to their open connections when few slots are free:
// there slots are drawn, and a connection decides only among the drawn ones.
func TestContendedSlotsAreDrawnDespiteConnections(t *testing.T) {
	const servers, requests = 40, 200
	b := connectedBoard("me", 0, "e7")
	b.SetPeers(85, 40*time.Millisecond)
	candidates := engines(servers)
	for i, c := range candidates {
		for n := range c.Slots - 1 {
			b.Begin(RunID{fmt.Sprint("peer", i), n}, c.ID, shortPrompt(fmt.Sprint(i, n)), 0, start)
		}
	}
	toConnected, chosen := 0, 0
	for n := range requests {
		work := shortPrompt(fmt.Sprint("x", n))
		work.Goal, work.MaxGap = 5*time.Second, 0
		choice, refusal := b.Choose(work, candidates, start)
		if refusal != Chosen {
			continue
		}
		chosen++
		if choice.Server == "e7" {
			toConnected++
		}
	}
	if chosen == 0 || toConnected > chosen/4 {
		t.Errorf("%d of %d requests go to the engine with a connection", toConnected, chosen)
	}
}

// Guards against choices in a large pool that meet a server with a connection only by
// chance, and against sending to a server only because of a wrong answer about connections.
func TestInALargePoolAnInstanceReturnsToItsServers(t *testing.T) {
	pool := largePool(6000)
	used := make(map[string]bool)
	b := connectedBoard("me", 0)
	b.SetConnected(func(server string) bool { return used[server] })
	allowed, calls := counted()
	opened := 0
	for n := range 50 {
		choice, refusal := b.ChooseFrom(shortPrompt(fmt.Sprint(n)), pool, nil, allowed, start)
		if refusal != Chosen {
			t.Fatal(refusal)
		}
		if !used[choice.Server] {
			used[choice.Server], opened = true, opened+1
		}
	}
	if opened > preferredPlaces {
		t.Errorf("50 requests, one after the other, opened %d connections", opened)
	}
	if most := 50 * (maxHolders + 2*homes + preferredPlaces + firstSample); *calls > most {
		t.Errorf("50 choices looked at %d servers, bound %d", *calls, most)
	}
	for id := range used {
		b.Observe(id, Unreachable, start)
		choice, _ := b.ChooseFrom(shortPrompt("x"), pool, nil, allowed, start)
		if choice.Server == id {
			t.Errorf("chose %s, which can't be reached, for its connection", id)
		}
	}
}

// plainLoad plays requests to four servers that are no engines from 86 instances, which hear
// of each other's requests 30 ms later and keep idle connections for ten seconds. It returns
// the share of requests that opened a connection and the largest part of a server's slots in
// use.
func plainLoad(features Features, perSecond int) (opened, fullest float64) {
	const (
		instances, servers, slots = 86, 4, 40
		delay, life, idle         = 30 * time.Millisecond, 700 * time.Millisecond, 10 * time.Second
		seconds                   = 40
	)
	type open struct{ free []monotime.Instant } // when each was last used
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	var boards []*Board
	connections := make([]map[string]*open, instances)
	for n := range instances {
		connections[n] = make(map[string]*open)
		b := connectedBoard(fmt.Sprint("relay-", n), 0.14)
		b.Seed(uint64(n))
		b.SetFeatures(features)
		b.SetConnected(func(server string) bool {
			c := connections[n][server]
			return c != nil && len(c.free) > 0 && now.Sub(c.free[len(c.free)-1]) < idle
		})
		boards = append(boards, b)
	}
	var candidates []Candidate
	for n := range servers {
		candidates = append(candidates, Candidate{ID: fmt.Sprint("p", n), DataCentre: "here", Slots: slots})
	}
	later := make(map[monotime.Instant][]func())
	at := func(when monotime.Instant, do func()) { later[when] = append(later[when], do) }
	running := make(map[string]int)
	count, openedCount, number := 0, 0, 0
	const tick = 10 * time.Millisecond
	for range seconds * int(time.Second/tick) {
		now = now.Add(tick)
		for _, do := range later[now] {
			do()
		}
		delete(later, now)
		for range perSecond {
			if random.Float64() >= tick.Seconds() {
				continue
			}
			self := random.IntN(instances)
			choice, _ := boards[self].Choose(Work{}, candidates, now)
			number++
			id, server := RunID{"fleet", number}, choice.Server
			c := connections[self][server]
			if c == nil {
				c = &open{}
				connections[self][server] = c
			}
			count++
			if last := len(c.free) - 1; last >= 0 && now.Sub(c.free[last]) < idle {
				c.free = c.free[:last]
			} else {
				c.free = nil
				openedCount++
			}
			running[server]++
			fullest = max(fullest, float64(running[server])/slots)
			for n, b := range boards {
				if n == self {
					b.Begin(id, server, Work{}, 0, now)
					at(now.Add(life), func() { b.End(id, now) })
					continue
				}
				at(now.Add(delay), func() { b.Begin(id, server, Work{}, 0, now) })
				at(now.Add(life+delay), func() { b.End(id, now) })
			}
			at(now.Add(life), func() { running[server]--; c.free = append(c.free, now) })
		}
	}
	return float64(openedCount) / float64(count), fullest
}

// Guards against instances of a large fleet that open a connection to a plain server for
// most requests, and against a server that is full for the sake of connections.
func TestRequestsToPlainServersReuseConnections(t *testing.T) {
	for _, perSecond := range []int{20, 60, 130} {
		opened, fullest := plainLoad(Features{LargeFleet: 17}, perSecond)
		openedOn, fullestOn := plainLoad(Features{LargeFleet: 17, PreferOpenConnections: true}, perSecond)
		t.Logf("%d requests a second: %.3f opened a connection, fullest server %.2f; off %.3f, %.2f", perSecond, openedOn, fullestOn, opened, fullest)
		if openedOn > 0.6*opened {
			t.Errorf("%d requests a second: %.3f opened a connection, %.3f without preference", perSecond, openedOn, opened)
		}
		if fullestOn > max(1, fullest) {
			t.Errorf("%d requests a second: a server had %.2f of its slots in use, %.2f without preference", perSecond, fullestOn, fullest)
		}
	}
}
