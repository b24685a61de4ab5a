package throttle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

const start = monotime.Instant(time.Hour)

var coldLimit = ColdLimit{Rate: 5.9, Duration: 3 * time.Second}

// simulation is a fleet that sends to one cold server. Every instance has requests all
// the time, and receives updates on the others' requests and membership late.
type simulation struct {
	rng         *rand.Rand
	limiters    map[string]*Limiter
	updateDelay time.Duration
	pending     []update
	arrivals    []monotime.Instant
}

type update struct {
	at   monotime.Instant
	from string
}

func newSimulation(seed uint64, instances int, updateDelay time.Duration) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, seed)), limiters: make(map[string]*Limiter), updateDelay: updateDelay,
	}
	for i := range instances {
		s.start(fmt.Sprintf("i%d", i), start)
	}
	s.shareMembers()
	return s
}

func (s *simulation) start(id string, now monotime.Instant) {
	l := New(id, now)
	l.SetCold("srv", start.Add(time.Minute))
	s.limiters[id] = l
}

// members returns the ids in order.
func (s *simulation) members() []string {
	var out []string
	for id := range s.limiters {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// shareMembers sets the full list of members at all instances.
func (s *simulation) shareMembers() {
	all := s.members()
	for _, l := range s.limiters {
		l.SetMembers(all)
	}
}

// run simulates a time from an instant in steps of a millisecond, at a number of requests
// a second per instance.
func (s *simulation) run(from monotime.Instant, lasts time.Duration, perSecond float64, limit ColdLimit) monotime.Instant {
	ids := s.members()
	for t := from; t < from.Add(lasts); t = t.Add(time.Millisecond) {
		for len(s.pending) > 0 && s.pending[0].at <= t {
			for _, id := range ids {
				if id != s.pending[0].from {
					s.limiters[id].RecordRequest("srv", t)
				}
			}
			s.pending = s.pending[1:]
		}
		for _, id := range ids {
			if s.rng.Float64() >= perSecond/1000 {
				continue
			}
			if s.limiters[id].TryAcquire("srv", Request{ColdLimit: limit, Priority: s.rng.IntN(3)}, t) {
				s.arrivals = append(s.arrivals, t)
				s.pending = append(s.pending, update{t.Add(s.updateDelay), id})
			}
		}
	}
	return from.Add(lasts)
}

// maxPerSecond returns the largest number of arrivals in any second.
func (s *simulation) maxPerSecond() int { return s.maxIn(time.Second) }

// maxIn returns the largest number of arrivals in any span of a length.
func (s *simulation) maxIn(span time.Duration) int {
	most := 0
	for i, from := range s.arrivals {
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(from) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// allowed is the number of requests in a second above which a cold server crashes: half
// more than its rate, and five for random variation.
func allowed(limit ColdLimit) float64 { return 1.5*limit.Rate + 5 }

// Guards against overload and underuse of a cold server by up to 300 instances that all
// have requests for it, with updates on each other's requests 5 ms to a second late.
func TestAColdServerIsUsedWithinItsRate(t *testing.T) {
	for _, instances := range []int{1, 2, 9, 60, 300} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, time.Second} {
			for _, rate := range []float64{1, 5.9, 20} {
				limit := ColdLimit{Rate: rate, Duration: 3 * time.Second}
				s := newSimulation(uint64(instances), instances, delay)
				s.run(start.Add(startupDelay), 10*time.Second, max(4, 400/float64(instances)), limit)
				if most := s.maxPerSecond(); float64(most) > allowed(limit) {
					t.Errorf("%d instances, updates after %v: %d in a second, rate %v", instances, delay, most, rate)
				}
				if used := float64(len(s.arrivals)) / 10; used < 0.6*rate {
					t.Errorf("%d instances, updates after %v: %v a second of %v", instances, delay, used, rate)
				}
			}
		}
	}
}

// Guards against overload of a cold server by instances whose lists of members differ. A
// third of the fleet restarts, each process at first with itself as the only member, then
// in groups; the rest has dropped them already, and no updates get through.
func TestAColdServerIsNotOverrunByDisagreeingMemberLists(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed, 60, time.Hour)
		now := s.run(start.Add(startupDelay), time.Second, 6, coldLimit)
		all := s.members()
		third := all[:20]
		for _, id := range third {
			s.start(id, now)
		}
		rest := all[20:]
		for _, id := range rest {
			s.limiters[id].SetMembers(rest)
		}
		for _, id := range third {
			s.limiters[id].SetMembers([]string{id})
		}
		now = s.run(now, 400*time.Millisecond, 6, coldLimit)
		// The new processes find each other in groups before they find the rest.
		for i, id := range third {
			group := third[i/5*5 : i/5*5+5]
			s.limiters[id].SetMembers(group)
		}
		now = s.run(now, 600*time.Millisecond, 6, coldLimit)
		s.shareMembers()
		s.run(now, 3*time.Second, 6, coldLimit)
		if most := s.maxPerSecond(); float64(most) > allowed(coldLimit) {
			t.Errorf("seed %d: %d in a second", seed, most)
		}
	}
}

// Guards against overload of a cold server by two halves of a fleet that both reach it
// but not each other, so that each half has owners of its own.
func TestAColdServerIsNotOverrunByASplitFleet(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 60, time.Hour)
		now := s.run(start.Add(startupDelay), time.Second, 6, coldLimit)
		all := s.members()
		for i, id := range all {
			half := all[:30]
			if i >= 30 {
				half = all[30:]
			}
			s.limiters[id].SetMembers(half)
		}
		s.run(now, 5*time.Second, 6, coldLimit)
		if most := s.maxPerSecond(); float64(most) > allowed(coldLimit) {
			t.Errorf("seed %d: %d in a second", seed, most)
		}
	}
}

// Guards against a burst to a server that crashed and restarted within a second under its
// name: instances that found it unreachable reach it before its entry shows the restart.
// Once the store has confirmed the same incarnation, all may send.
func TestAnUnreachableServerCountsAsColdUntilConfirmed(t *testing.T) {
	now := start.Add(startupDelay)
	ids := make([]string, 60)
	for i := range ids {
		ids[i] = fmt.Sprintf("i%d", i)
	}
	sent, later := 0, 0
	for _, id := range ids {
		l := New(id, start)
		l.SetMembers(ids)
		l.MarkUnreachable("srv")
		l.MarkReachable("srv", coldLimit, now)
		ask := Request{ColdLimit: coldLimit, StoreConfirmedAt: now.Add(-100 * time.Millisecond)}
		for range 5 {
			if l.TryAcquire("srv", ask, now) {
				sent++
			}
		}
		ask.StoreConfirmedAt = now.Add(confirmationLag)
		if l.TryAcquire("srv", ask, now.Add(confirmationLag)) {
			later++
		}
	}
	if float64(sent) > math.Ceil(coldLimit.Rate) {
		t.Errorf("%d sent at once", sent)
	}
	if later != len(ids) {
		t.Errorf("%d of %d may send to a server that had not restarted", later, len(ids))
	}
}

// Guards against urgent requests crowded out by others while all servers are cold, and
// against the others getting nothing of what is left.
func TestColdCapacityIsReservedForUrgentRequests(t *testing.T) {
	l := New("me", start)
	l.SetCold("srv", start.Add(time.Minute))
	served := make(map[int]int)
	rng := rand.New(rand.NewPCG(1, 1))
	urgent := 0
	for now := start.Add(startupDelay); now < start.Add(20*time.Second); now = now.Add(5 * time.Millisecond) {
		priority := rng.IntN(3)
		if rng.Float64() > 0.1 {
			continue // 20 requests a second for 5.9 that the server sustains
		}
		if priority == 0 {
			urgent++
		}
		if l.TryAcquire("srv", Request{ColdLimit: coldLimit, Priority: priority, AllLimited: true}, now) {
			served[priority]++
		}
	}
	if served[0] <= served[1] || served[1] <= served[2] || served[2] == 0 {
		t.Errorf("served by priority: %v, of %d urgent ones", served, urgent)
	}
}

// Guards against overload and underuse of a server with a rate limit, from less than one
// request a second to many, by up to 300 instances. For five of the fifteen seconds they
// disagree on the members, so that two sets of owners send. In four seconds the server
// may get at most half more than its limit and five, and it must get at least half of its
// limit.
func TestAServerIsUsedWithinItsRateLimit(t *testing.T) {
	const span = 4 * time.Second
	for _, instances := range []int{2, 9, 60, 300} {
		for _, rate := range []float64{0, 0.3, 1.7, 6, 40} {
			s := newSimulation(uint64(instances), instances, 50*time.Millisecond)
			for _, l := range s.limiters {
				l.SetCold("srv", 0)
				l.SetRateLimit("srv", rate)
			}
			const perSecond = 400
			now := s.run(start.Add(startupDelay), 10*time.Second, perSecond/float64(instances), ColdLimit{})
			if got := float64(len(s.arrivals)); got < rate*10/2-1 || got == 0 {
				t.Errorf("%d instances, rate %v: %v requests in 10 s", instances, rate, got)
			}
			most := s.members()
			for n, id := range s.members() {
				s.limiters[id].SetMembers(most[n%2*len(most)/2:])
			}
			s.run(now, 5*time.Second, perSecond/float64(instances), ColdLimit{})
			if most := s.maxIn(span); float64(most) > 1.5*rate*span.Seconds()+5 {
				t.Errorf("%d instances, rate %v: %d in %v", instances, rate, most, span)
			}
		}
	}
}

// Guards against exceeding the lower of the cold limit and the advertised rate limit.
func TestTheLowerOfTwoLimitsHolds(t *testing.T) {
	for _, named := range []float64{1, 20} {
		s := newSimulation(1, 1, 0)
		s.limiters["i0"].SetRateLimit("srv", named)
		s.run(start.Add(startupDelay), 10*time.Second, 400, coldLimit)
		if got, most := float64(len(s.arrivals)), 10*min(named, coldLimit.Rate)+1; got > most || got < 0.8*most {
			t.Errorf("rate limit %v: %v requests in 10 s", named, got)
		}
	}
}

// Guards against limits on services without a cold limit and on warm servers.
func TestWarmServersAreNotLimited(t *testing.T) {
	l := New("me", start)
	l.SetCold("srv", start.Add(time.Second))
	for range 50 {
		if !l.TryAcquire("srv", Request{}, start) {
			t.Fatal("a service without a rate is limited")
		}
		if !l.TryAcquire("srv", Request{ColdLimit: coldLimit}, start.Add(time.Second)) {
			t.Fatal("a warm server is limited")
		}
	}
}

// Guards against a cost per added server that grows with their number. A starting fleet
// adds all servers at once: small instances would be busy for seconds, lose their links
// and receive everything again.
func TestAddingAServerCostsTheSameAtAnyNumber(t *testing.T) {
	took := func(servers int) time.Duration {
		best := time.Hour
		for range 5 {
			l := New("me", start)
			began := time.Now()
			for n := range servers {
				l.SetCold(fmt.Sprint("server-", n), 0)
			}
			best = min(best, time.Since(began)/time.Duration(servers))
		}
		return best
	}
	few, many := took(500), took(8000)
	if many > 6*few {
		t.Errorf("%v each of 500 servers, %v each of 8,000", few, many)
	}
}

// Guards against a wrong limitedCount: warm servers would cost each request, or cold ones
// would count as warm.
func TestLimitedServersAreCounted(t *testing.T) {
	l := New("me", start)
	for _, step := range []struct {
		do   func()
		want int64
	}{
		{func() { l.SetCold("a", start.Add(time.Second)) }, 1},
		{func() { l.SetCold("a", start.Add(time.Minute)) }, 1},
		{func() { l.MarkUnreachable("b") }, 2},
		{func() { l.MarkUnreachable("a") }, 2},
		{func() { l.MarkReachable("b", ColdLimit{}, start) }, 1},
		{func() { l.Forget("a") }, 0},
		{func() { l.Forget("unknown") }, 0},
		{func() { l.Pause("e", start.Add(time.Second)) }, 1},
		{func() { l.TryAcquire("e", Request{}, start.Add(time.Second)) }, 0},
		{func() { l.SetCold("f", start.Add(time.Second)) }, 1},
		{func() { l.TryAcquire("f", Request{ColdLimit: coldLimit}, start.Add(time.Second)) }, 0},
		{func() { l.SetRateLimit("d", 2); l.SetRateLimit("d", 3) }, 1},
		{func() { l.ClearRateLimit("d"); l.ClearRateLimit("d") }, 0},
		{func() { l.MarkUnreachable("c"); l.MarkReachable("c", coldLimit, start) }, 1},
		{func() { l.SetCold("c", 0); l.Forget("c") }, 0},
	} {
		step.do()
		if got := l.limitedCount.Load(); got != step.want {
			t.Errorf("%d limited, want %d", got, step.want)
		}
	}
}

// Guards against two instances in one place at a server, also after one has left.
func TestInstancesShareAServerInOneOrder(t *testing.T) {
	const size, gone = 60, 17
	places := func(members []string, server string) map[string]int {
		out := make(map[string]int)
		for _, self := range members {
			l := New(self, start)
			l.SetMembers(members)
			place, of, ok := l.Place(server, start.Add(startupDelay))
			if !ok || of != len(members) {
				t.Fatalf("place %d of %d, %v", place, of, ok)
			}
			out[self] = place
		}
		return out
	}
	var members []string
	for n := range size {
		members = append(members, fmt.Sprint("instance-", n))
	}
	for n := range 20 {
		server := fmt.Sprint("server-", n)
		before := places(members, server)
		taken := make(map[int]bool)
		for _, place := range before {
			taken[place] = true
		}
		if len(taken) != size {
			t.Errorf("%d places of %d instances", len(taken), size)
		}
		left := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == members[gone] })
		for member, place := range places(left, server) {
			want := before[member]
			if want > before[members[gone]] {
				want--
			}
			if place != want {
				t.Errorf("%s: place %d after %d", member, place, before[member])
			}
		}
	}
	if _, _, ok := New("me", start).Place("server", start); ok {
		t.Error("a process that has just started shares servers")
	}
}

// Guards against a limited brittle server whose owners have no share of its slots.
func TestOwnersOfALimitedServerComeFirstInItsOrder(t *testing.T) {
	const rate = 3.0
	var members []string
	for n := range 9 {
		members = append(members, fmt.Sprint("instance-", n))
	}
	now := start.Add(startupDelay)
	for n := range 30 {
		server, owners := fmt.Sprint("server-", n), 0
		for _, self := range members {
			l := New(self, start)
			l.SetMembers(members)
			l.SetRateLimit(server, rate)
			place, _, _ := l.Place(server, now)
			owner := l.Allows(server, Request{}, now)
			if owner != (place < rate) {
				t.Errorf("%s at %s: place %d, owner %v", self, server, place, owner)
			}
			if owner {
				owners++
			}
		}
		if owners != rate {
			t.Errorf("%s has %d owners", server, owners)
		}
	}
}
