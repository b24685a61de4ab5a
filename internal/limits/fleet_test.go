package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/vtime"
)

const (
	testDelay = 3 * time.Millisecond
	testTick  = 50 * time.Millisecond
)

// fleet simulates instances that admit one customer's requests in virtual time.
type fleet struct {
	vtime.Loop
	t           *testing.T
	rng         *rand.Rand
	customer    *catalog.Customer
	instances   []*instance
	admitted    int
	refused     int
	tokens      int
	messages    int
	longestWait time.Duration
	// partitioned reports whether two instances cannot reach each other.
	partitioned func(a, b int) bool
}

type instance struct {
	f         *fleet
	index     int
	home      *Home
	local     *Local
	dead      bool
	homeIndex int // index of the customer's home in this instance's view
	waiting   []*waiter
}

type waiter struct{ since monotime.Instant }

func newFleet(t *testing.T, n int, customer *catalog.Customer) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(1, 2)), customer: customer, partitioned: func(int, int) bool { return false }}
	f.Run(time.Second)
	for i := range n {
		in := &instance{f: f, index: i, home: NewHome(f.Now()), local: NewLocal()}
		f.instances = append(f.instances, in)
		in.tick()
	}
	f.setMembership(0, n, n)
	return f
}

// setMembership sets the home and the numbers of reached and of all members at the given
// instances, or at all of them.
func (f *fleet) setMembership(home, live, total int, only ...int) {
	for _, in := range f.instances {
		if len(only) > 0 && !contains(only, in.index) {
			continue
		}
		in.homeIndex = home
		in.home.SetMembers(f.Now(), live, total, func(uint64) bool { return home == in.index })
		in.local.SetMemberCount(total)
	}
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (in *instance) tick() {
	if !in.dead {
		now := in.f.Now()
		in.home.Tick(now)
		in.local.Tick(now, in.homeOf, in.send)
		in.flush()
	}
	in.f.After(testTick, in.tick)
}

func (in *instance) homeOf(*catalog.Customer) string { return string(rune('0' + in.homeIndex)) }

func (in *instance) send(to string, ask wire.PermitAsk) {
	f := in.f
	peer := f.instances[to[0]-'0']
	if peer == in {
		if give, ok := in.home.OnAsk(f.Now(), in.name(), f.customer, ask); ok {
			in.local.OnGive(f.Now(), in.name(), give)
		}
		return
	}
	f.messages++
	if f.partitioned(in.index, peer.index) {
		return
	}
	f.After(testDelay, func() {
		if peer.dead {
			return
		}
		give, ok := peer.home.OnAsk(f.Now(), in.name(), f.customer, ask)
		if !ok {
			return
		}
		f.messages++
		f.After(testDelay, func() {
			if !in.dead {
				in.local.OnGive(f.Now(), peer.name(), give)
				in.flush()
			}
		})
	})
}

func (in *instance) name() string { return string(rune('0' + in.index)) }

// flush sends due asks and rechecks waiting requests.
func (in *instance) flush() {
	in.local.SendAsks(in.f.Now(), in.homeOf, in.send)
	waiting := in.waiting
	in.waiting = nil
	for _, w := range waiting {
		decision, after := in.local.Recheck(in.f.Now(), in.f.customer)
		in.recordDecision(w, decision, after)
	}
}

func (in *instance) recordDecision(w *waiter, decision Decision, after time.Duration) {
	f := in.f
	switch decision {
	case Admitted:
		f.admitted++
		f.longestWait = max(f.longestWait, f.Now().Sub(w.since))
	case Refused:
		f.refused++
		if after <= 0 {
			f.t.Error("refused without a time to retry after")
		}
	case Waiting:
		in.waiting = append(in.waiting, w)
	}
}

func (in *instance) request() {
	if in.dead {
		return
	}
	w := &waiter{in.f.Now()}
	decision, after := in.local.Admit(in.f.Now(), in.f.customer)
	in.recordDecision(w, decision, after)
	in.flush()
}

// sendRequests sends requests at random intervals with a mean rate, unevenly over the
// given instances.
func (f *fleet) sendRequests(perSecond float64, instances ...int) {
	interval := time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
	f.After(interval, func() {
		i := min(f.rng.IntN(len(instances)), f.rng.IntN(len(instances)))
		f.instances[instances[i]].request()
		f.sendRequests(perSecond, instances...)
	})
}

// generateTokens admits a request at an instance and charges its tokens at random times
// within 2 s.
func (f *fleet) generateTokens(i, tokens int) {
	in := f.instances[i]
	now := f.Now()
	decision, _ := in.local.Admit(now, f.customer)
	in.flush()
	if decision == Waiting {
		decision, _ = in.local.Recheck(now, f.customer)
	}
	if decision != Admitted {
		f.refused++
		return
	}
	f.admitted++
	for range tokens / 10 {
		f.After(time.Duration(f.rng.Int64N(int64(2*time.Second))), func() {
			f.tokens += 10
			in.local.Charge(f.Now(), f.customer, 10)
		})
	}
}
