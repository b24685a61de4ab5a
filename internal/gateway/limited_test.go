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

// limitedFleet is a fleet of linked instances before servers of which some name a limit in
// their answers for a while.
type limitedFleet struct {
	rng       *rand.Rand
	instances []*linkedInstance
	// load is the number of requests a second that all instances get together.
	load float64
	// rates are the limits that servers name, by id.
	rates   map[string]float64
	limited func(now monotime.Instant) bool
	// answers are those that are on their way.
	answers []lateAnswer
	// arrivals are the requests that reached each server.
	arrivals map[string][]monotime.Instant
	refused  int
}

type lateAnswer struct {
	at       monotime.Instant
	sent     monotime.Instant
	instance *linkedInstance
	server   string
	run      int
	notice   servers.Notice
}

const (
	limitedStep = 5 * time.Millisecond
	// limitedWork is the time between a request and its answer.
	limitedWork = 40 * time.Millisecond
)

// startLimitedFleet starts instances before servers that name these rates, and others.
func startLimitedFleet(t *testing.T, ctx context.Context, tasks *errgroup.Group, size int, load float64, rates map[string]float64, sound ...string) *limitedFleet {
	t.Helper()
	f := &limitedFleet{
		rng: rand.New(rand.NewPCG(3, 3)), instances: startLinked(t, ctx, tasks, size), load: load,
		rates: rates, arrivals: make(map[string][]monotime.Instant),
	}
	time.Sleep(2 * time.Second)
	all := append(slices.Sorted(maps.Keys(rates)), sound...)
	for _, i := range f.instances {
		i.fleet.adopt(&routing.Config{Version: 1, Services: []routing.Service{{Name: "svc"}}}, fromStore)
		for n, id := range all {
			s := entry(id, servers.Revision(n+1))
			s.Slots = 64
			put(i.fleet, fromStore, s)
		}
	}
	return f
}

// play has callers ask for a while.
func (f *limitedFleet) play(lasts time.Duration) {
	for end := monotime.Now().Add(lasts); monotime.Now() < end; time.Sleep(limitedStep) {
		f.answer(monotime.Now())
		for _, i := range f.instances {
			if f.rng.Float64() < f.load*limitedStep.Seconds()/float64(len(f.instances)) {
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
	a := lateAnswer{at: now.Add(limitedWork), sent: now, instance: i, server: target.ID, run: run}
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
		a.instance.fleet.Heard(a.server, a.notice, a.sent, now)
		a.instance.fleet.End(a.run, now)
	}
}

// between counts the arrivals at a server in a span.
func (f *limitedFleet) between(server string, from, to monotime.Instant) int {
	n := 0
	for _, at := range f.arrivals[server] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// most is the largest number of arrivals at a server in a span of a length within another.
func (f *limitedFleet) most(server string, length time.Duration, from, to monotime.Instant) int {
	most := 0
	for _, at := range f.arrivals[server] {
		if at >= from && at.Add(length) <= to {
			most = max(most, f.between(server, at, at.Add(length)))
		}
	}
	return most
}

// A server names in its answers how many requests a second it takes of all
// instances together, and callers' requests go on to reach it from all of them as
// before: 23 in 4 s where it had said 1.7 a second. The header of the answers was read
// nowhere: arrivals did not change when it was first named, at any instance, and no
// instance logged a thing.
func TestALimitedServerGetsWhatItSaysItTakes(t *testing.T) {
	const (
		heardWithin = 3 * time.Second
		span        = 4 * time.Second
		lasts       = 16 * time.Second
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
				f.play(2*time.Second + lasts + 12*time.Second)

				from := begun.Add(heardWithin)
				allowed := 1.5*rate*span.Seconds() + 5
				if most := f.most("limited", span, from, ended); float64(most) > allowed {
					t.Errorf("%d requests in %v, allowed %v", most, span, allowed)
				}
				if got, says := f.between("limited", from, ended), rate*(lasts-heardWithin).Seconds(); float64(got) < says/2-1 {
					t.Errorf("it got %d requests of the %.0f that it takes", got, says)
				}
				if got := f.between("limited", ended.Add(7*time.Second), ended.Add(12*time.Second)); got < 5*load/4 {
					t.Errorf("%d of %d requests in the seconds after its limit", got, 5*load)
				}
				if f.refused > 0 {
					t.Errorf("%d requests refused beside a server that has room", f.refused)
				}
			})
		})
	}
}

// Four of six servers name limits before a fleet in which hubs pass news on, and one
// instance after the other is replaced by a process that knows nothing. Each server gets
// what it says it takes, and callers are served by the others.
func TestManyLimitedServersBeforeALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tasks, ctx := errgroup.WithContext(ctx)
		rates := map[string]float64{"a": 0.4, "b": 1.4, "c": 6, "d": 15}
		f := startLimitedFleet(t, ctx, tasks, 24, 120, rates, "e", "f")
		defer stopLinked(t, cancel, tasks)
		f.limited = func(monotime.Instant) bool { return true }
		f.play(3 * time.Second)
		from := monotime.Now()
		for n := range 6 {
			f.play(3 * time.Second)
			f.forget(f.instances[4*n])
		}
		f.play(3 * time.Second)
		const span = 4 * time.Second
		for server, rate := range rates {
			if most, allowed := f.most(server, span, from, monotime.Now()), 1.5*rate*span.Seconds()+5; float64(most) > allowed {
				t.Errorf("%s: %d requests in %v, allowed %v", server, most, span, allowed)
			}
			if got, says := f.between(server, from, monotime.Now()), rate*21; float64(got) < says/2-1 {
				t.Errorf("%s got %d requests of the %.0f that it takes", server, got, says)
			}
		}
		if f.refused > 0 {
			t.Errorf("%d requests refused", f.refused)
		}
	})
}

// forget has an instance know nothing of limits, as after a start, until an answer tells it.
func (f *limitedFleet) forget(i *linkedInstance) {
	for server := range f.rates {
		i.fleet.update("start", func(r *servers.Registry, now monotime.Instant) []string {
			r.SetRateLimit(server, servers.RateLimit{At: now})
			return []string{server}
		})
	}
}

// An instance starts while a server names a limit, and others hear of the server's limit
// before its entry. Told by a peer of all servers, it keeps to the limit with its first
// request, and ends it with the peer's word. Damaged words of a peer change nothing.
func TestALimitIsLearnedFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		told, _, _ := newFleet()
		put(told, fromStore, entry("a", 1))
		told.Heard("a", servers.Notice{Limited: true, Rate: 0.5}, monotime.Now(), monotime.Now())
		time.Sleep(time.Second)

		f, _, _ := newFleet()
		f.adopt(config(1), fromStore)
		p := linkedPeers(f, "me")
		p.takeServers("peer", told.allServers(), 0)
		time.Sleep(3 * time.Second)
		if n := placed(t, f); n > 1 {
			t.Errorf("%d requests in a second, of a server that takes one in two", n)
		}

		damaged := told.allServers()
		for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
			damaged[0].Rate, damaged[0].LimitAge = rate, 1
			p.takeServers("peer", damaged, 0)
		}
		damaged[0].Rate, damaged[0].LimitAge, damaged[0].Limited = 0, math.MaxInt, false
		p.takeServers("peer", damaged, 0)
		if got := f.limitedServers(); len(got) != 1 {
			t.Error("after damaged words", got)
		}

		sent := monotime.Now()
		time.Sleep(time.Second)
		told.Heard("a", servers.Notice{}, sent, monotime.Now())
		p.takeServers("peer", told.allServers(), 0)
		if got := f.limitedServers(); len(got) != 0 {
			t.Error("after its end", got)
		}
	})
}

// A server turns a request away and says for how long it wants nothing from this
// instance. Callers' requests went on to reach it, were turned away too and had to come
// back: the time was only passed on to the caller whose request it was. Other instances
// may send to it meanwhile.
func TestAServerThatWantsNothingForAWhileGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, peer := leavingPair()
		time.Sleep(2 * time.Second)
		now := monotime.Now()
		f.Heard("a", servers.Notice{Pause: 3 * time.Second}, now, now)
		f.Heard("a", servers.Notice{Pause: time.Second}, now, now)
		f.news.flush()
		if _, taken := placedOn(f, 2800*time.Millisecond); taken["a"] > 0 || taken["b"] == 0 {
			t.Error("while it wants nothing:", taken)
		}
		if _, taken := placedOn(peer, 100*time.Millisecond); taken["a"] == 0 {
			t.Error("at a peer:", taken)
		}
		f.Heard("b", servers.Notice{Pause: time.Second}, now, monotime.Now())
		if refused, _ := placedOn(f, 50*time.Millisecond); refused != placement.AllLimited {
			t.Error("with nobody left:", refused)
		}
		time.Sleep(200 * time.Millisecond)
		if _, taken := placedOn(f, 100*time.Millisecond); taken["a"] == 0 {
			t.Error("after that time:", taken)
		}
	})
}

// placedOn begins a request every 10 ms for a while, and counts them by server.
func placedOn(f *fleet, lasts time.Duration) (last placement.Refusal, taken map[string]int) {
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
