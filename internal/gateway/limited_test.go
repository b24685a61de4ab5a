package gateway

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// limitedFleet is a fleet of linked instances in front of servers of which some advertise
// a limit in their answers for a while.
type limitedFleet struct {
	rng       *rand.Rand
	instances []*linkedInstance
	// load is the number of requests a second that all instances receive together.
	load float64
	// rates holds the limits that servers advertise, by id.
	rates   map[string]float64
	limited func(now monotime.Instant) bool
	// answers holds the answers in transit.
	answers []pendingAnswer
	// arrivals holds the times of the requests that reached each server.
	arrivals map[string][]monotime.Instant
	refused  int
}

type pendingAnswer struct {
	at       monotime.Instant
	sent     monotime.Instant
	instance *linkedInstance
	server   string
	run      int
	notice   servers.Notice
}

const (
	stepTime = 5 * time.Millisecond
	// answerTime is the time between a request and its answer.
	answerTime = 40 * time.Millisecond
)

// startLimitedFleet starts instances in front of servers that advertise the given rates,
// and others without a limit.
func startLimitedFleet(t *testing.T, ctx context.Context, tasks *errgroup.Group, size int, load float64, rates map[string]float64, sound ...string) *limitedFleet {
	t.Helper()
	f := &limitedFleet{
		rng: rand.New(rand.NewPCG(3, 3)), instances: startLinked(t, ctx, tasks, size), load: load,
		rates: rates, arrivals: make(map[string][]monotime.Instant),
	}
	time.Sleep(2 * time.Second)
	all := append(slices.Sorted(maps.Keys(rates)), sound...)
	for _, i := range f.instances {
		i.fleet.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "svc"}}}, fromStore)
		for n, id := range all {
			s := entry(id, servers.Revision(n+1))
			s.Slots = 64
			put(i.fleet, fromStore, s)
		}
	}
	return f
}

// run simulates callers for a while.
func (f *limitedFleet) run(lasts time.Duration) {
	for end := monotime.Now().Add(lasts); monotime.Now() < end; time.Sleep(stepTime) {
		f.answer(monotime.Now())
		for _, i := range f.instances {
			if f.rng.Float64() < f.load*stepTime.Seconds()/float64(len(f.instances)) {
				f.ask(i, monotime.Now())
			}
		}
	}
}

func (f *limitedFleet) ask(i *linkedInstance, now monotime.Instant) {
	work := placement.Work{Goal: 300 * time.Millisecond, Left: 4 * time.Second}
	target, refusal := i.fleet.Place("svc", work, nil, now)
	if refusal != placement.Chosen {
		f.refused++
		return
	}
	run, ok := i.fleet.Begin(target, work, now)
	if !ok {
		f.refused++
		return
	}
	f.arrive(i, target, run, now)
}

func (f *limitedFleet) arrive(i *linkedInstance, target relay.Target, run int, now monotime.Instant) {
	a := pendingAnswer{at: now.Add(answerTime), sent: now, instance: i, server: target.ID, run: run}
	f.arrivals[target.ID] = append(f.arrivals[target.ID], now)
	if rate, ok := f.rates[target.ID]; ok && f.limited(now) {
		a.notice = servers.Notice{Limited: true, Rate: rate}
	}
	f.answers = append(f.answers, a)
}

func (f *limitedFleet) answer(now monotime.Instant) {
	for len(f.answers) > 0 && f.answers[0].at <= now {
		a := f.answers[0]
		f.answers = f.answers[1:]
		a.instance.fleet.ApplyNotice(a.server, a.notice, a.sent, now)
		a.instance.fleet.End(a.run, now)
	}
}

// arrivalsBetween counts the arrivals at a server in an interval.
func (f *limitedFleet) arrivalsBetween(server string, from, to monotime.Instant) int {
	n := 0
	for _, at := range f.arrivals[server] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// maxArrivals returns the maximum number of arrivals at a server in any span of a length
// within an interval.
func (f *limitedFleet) maxArrivals(server string, length time.Duration, from, to monotime.Instant) int {
	out := 0
	for _, at := range f.arrivals[server] {
		if at >= from && at.Add(length) <= to {
			out = max(out, f.arrivalsBetween(server, at, at.Add(length)))
		}
	}
	return out
}

// A server advertises in its answers how many requests a second it accepts from all
// instances together. The fleet must keep to that rate, without dropping far below it,
// and return to the full rate after the limit ends. When instances ignored the limit, 23
// requests reached the server in 4 s where it had advertised 1.7 a second.
func TestLimitedServerGetsItsAdvertisedRate(t *testing.T) {
	const (
		learnTime = 3 * time.Second
		span      = 4 * time.Second
		lasts     = 16 * time.Second
	)
	for _, rate := range []float64{0, 0.3, 1.7, 12} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				tasks, ctx := errgroup.WithContext(ctx)
				const load = 40
				f := startLimitedFleet(t, ctx, tasks, 8, load, map[string]float64{"limited": rate}, "sound")
				defer stopLinked(t, cancel, tasks)

				begun := monotime.Now().Add(2 * time.Second)
				ended := begun.Add(lasts)
				f.limited = func(now monotime.Instant) bool { return now >= begun && now < ended }
				f.run(2*time.Second + lasts + 12*time.Second)

				from := begun.Add(learnTime)
				allowed := 1.5*rate*span.Seconds() + 5
				if most := f.maxArrivals("limited", span, from, ended); float64(most) > allowed {
					t.Errorf("%d requests in %v, allowed %v", most, span, allowed)
				}
				if got, advertised := f.arrivalsBetween("limited", from, ended), rate*(lasts-learnTime).Seconds(); float64(got) < advertised/2-1 {
					t.Errorf("it got %d requests of the %.0f that it takes", got, advertised)
				}
				if got := f.arrivalsBetween("limited", ended.Add(7*time.Second), ended.Add(12*time.Second)); got < 5*load/4 {
					t.Errorf("%d of %d requests in the seconds after its limit", got, 5*load)
				}
				if f.refused > 0 {
					t.Errorf("%d requests refused beside a server that has free capacity", f.refused)
				}
			})
		})
	}
}

// Four of six servers advertise limits to a fleet in which hubs pass updates on, and one
// instance after the other is replaced by a process without state. Each server must get
// the rate that it advertises, and the other servers must serve the remaining callers.
func TestManyLimitedServersBeforeALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tasks, ctx := errgroup.WithContext(ctx)
		rates := map[string]float64{"a": 0.4, "b": 1.4, "c": 6, "d": 15}
		f := startLimitedFleet(t, ctx, tasks, 24, 120, rates, "e", "f")
		defer stopLinked(t, cancel, tasks)
		f.limited = func(monotime.Instant) bool { return true }
		f.run(3 * time.Second)
		from := monotime.Now()
		for n := range 6 {
			f.run(3 * time.Second)
			f.forget(f.instances[4*n])
		}
		f.run(3 * time.Second)
		const span = 4 * time.Second
		for server, rate := range rates {
			if most, allowed := f.maxArrivals(server, span, from, monotime.Now()), 1.5*rate*span.Seconds()+5; float64(most) > allowed {
				t.Errorf("%s: %d requests in %v, allowed %v", server, most, span, allowed)
			}
			if got, advertised := f.arrivalsBetween(server, from, monotime.Now()), rate*21; float64(got) < advertised/2-1 {
				t.Errorf("%s got %d requests of the %.0f that it takes", server, got, advertised)
			}
		}
		if f.refused > 0 {
			t.Errorf("%d requests refused", f.refused)
		}
	})
}

// forget removes an instance's record of limits, as after a start, until an answer
// restores it.
func (f *limitedFleet) forget(i *linkedInstance) {
	for server := range f.rates {
		i.fleet.changeServers("start", func(r *servers.Registry, now monotime.Instant) []string {
			r.SetRateLimit(server, servers.RateLimit{At: now})
			return []string{server}
		})
	}
}

// An instance starts while a server advertises a limit. Once a peer has sent it all
// servers, it must keep to the limit from its first request on, and drop the limit when
// the peer reports its end. Damaged limits of a peer must change nothing.
func TestALimitIsLearnedFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		informed, _, _ := newFleet()
		put(informed, fromStore, entry("a", 1))
		informed.ApplyNotice("a", servers.Notice{Limited: true, Rate: 0.5}, monotime.Now(), monotime.Now())
		time.Sleep(time.Second)

		f, _, _ := newFleet()
		f.installConfig(config(1), fromStore)
		p := linkedPeers(f, "me")
		p.applyServers("peer", informed.allServers(), nil, 0)
		time.Sleep(3 * time.Second)
		if n := countPlaced(t, f); n > 1 {
			t.Errorf("%d requests in a second, of a server that takes one in two", n)
		}

		damaged := informed.allServers()
		for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
			damaged[0].Rate, damaged[0].LimitAge = rate, 1
			p.applyServers("peer", damaged, nil, 0)
		}
		damaged[0].Rate, damaged[0].LimitAge, damaged[0].Limited = 0, math.MaxInt, false
		p.applyServers("peer", damaged, nil, 0)
		if got := f.rateLimitedServers(); len(got) != 1 {
			t.Error("after damaged limits", got)
		}

		sent := monotime.Now()
		time.Sleep(time.Second)
		informed.ApplyNotice("a", servers.Notice{}, sent, monotime.Now())
		p.applyServers("peer", informed.allServers(), nil, 0)
		if got := f.rateLimitedServers(); len(got) != 0 {
			t.Error("after its end", got)
		}
	})
}

// A server refuses a request and names a time for which it accepts nothing from this
// instance. The instance must send it nothing in that time: requests would be refused
// too, and their callers would have to retry. Other instances may send to it meanwhile.
func TestPausedServerGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, peer := leavingPair()
		time.Sleep(2 * time.Second)
		now := monotime.Now()
		f.ApplyNotice("a", servers.Notice{Pause: 3 * time.Second}, now, now)
		f.ApplyNotice("a", servers.Notice{Pause: time.Second}, now, now)
		f.updates.flush()
		if _, taken := placeFor(f, 2800*time.Millisecond); taken["a"] > 0 || taken["b"] == 0 {
			t.Error("while it is paused:", taken)
		}
		if _, taken := placeFor(peer, 100*time.Millisecond); taken["a"] == 0 {
			t.Error("at a peer:", taken)
		}
		f.ApplyNotice("b", servers.Notice{Pause: time.Second}, now, monotime.Now())
		if refused, _ := placeFor(f, 50*time.Millisecond); refused != placement.AllLimited {
			t.Error("with all servers paused:", refused)
		}
		time.Sleep(200 * time.Millisecond)
		if _, taken := placeFor(f, 100*time.Millisecond); taken["a"] == 0 {
			t.Error("after the pause:", taken)
		}
	})
}

// placeFor begins a request every 10 ms for a while. It returns the last refusal and the
// number of requests by server.
func placeFor(f *fleet, lasts time.Duration) (last placement.Refusal, taken map[string]int) {
	taken = make(map[string]int)
	work := placement.Work{Goal: time.Second, Left: time.Minute}
	for end := monotime.Now().Add(lasts); monotime.Now() < end; time.Sleep(10 * time.Millisecond) {
		var target relay.Target
		target, last = f.Place("svc", work, nil, monotime.Now())
		if last != placement.Chosen {
			continue
		}
		if _, ok := f.Begin(target, work, monotime.Now()); ok {
			taken[target.ID]++
		}
	}
	return last, taken
}
