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

// fleet is a few instances that admit one customer's requests in virtual time.
type fleet struct {
	vtime.Loop
	t         *testing.T
	rng       *rand.Rand
	customer  *catalog.Customer
	instances []*instance
	admitted  int
	refused   int
	tokens    int
	messages  int
	longest   time.Duration
	// cut says that two instances do not reach each other.
	cut func(a, b int) bool
}

type instance struct {
	f       *fleet
	index   int
	home    *Home
	local   *Local
	dead    bool
	homeIs  int // whom this instance takes for the customer's home
	waiting []*waiter
}

type waiter struct{ since monotime.Instant }

func newFleet(t *testing.T, n int, customer *catalog.Customer) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(1, 2)), customer: customer, cut: func(int, int) bool { return false }}
	f.Run(time.Second)
	for i := range n {
		in := &instance{f: f, index: i, home: NewHome(f.Now()), local: NewLocal()}
		f.instances = append(f.instances, in)
		in.tick()
	}
	f.views(0, n, n)
	return f
}

// views tells the running instances who is home and how many are reached.
func (f *fleet) views(home, live, known int, only ...int) {
	for _, in := range f.instances {
		if len(only) > 0 && !contains(only, in.index) {
			continue
		}
		in.homeIs = home
		in.home.SetMembers(f.Now(), live, known, func(uint64) bool { return home == in.index })
		in.local.SetKnown(known)
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

func (in *instance) homeOf(*catalog.Customer) string { return string(rune('0' + in.homeIs)) }

func (in *instance) send(to string, ask wire.PermitAsk) {
	f := in.f
	peer := f.instances[to[0]-'0']
	if peer == in {
		if give, ok := in.home.Ask(f.Now(), in.name(), f.customer, ask); ok {
			in.local.OnGive(f.Now(), in.name(), give)
		}
		return
	}
	f.messages++
	if f.cut(in.index, peer.index) {
		return
	}
	f.After(testDelay, func() {
		if peer.dead {
			return
		}
		give, ok := peer.home.Ask(f.Now(), in.name(), f.customer, ask)
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

// flush sends due asks and judges who waits.
func (in *instance) flush() {
	in.local.Asks(in.f.Now(), in.homeOf, in.send)
	waiting := in.waiting
	in.waiting = nil
	for _, w := range waiting {
		verdict, after := in.local.Again(in.f.Now(), in.f.customer)
		in.settle(w, verdict, after)
	}
}

func (in *instance) settle(w *waiter, verdict Verdict, after time.Duration) {
	f := in.f
	switch verdict {
	case Admitted:
		f.admitted++
		f.longest = max(f.longest, f.Now().Sub(w.since))
	case Refused:
		f.refused++
		if after <= 0 {
			f.t.Error("a refusal without a time to come back")
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
	verdict, after := in.local.Admit(in.f.Now(), in.f.customer)
	in.settle(w, verdict, after)
	in.flush()
}

// load sends requests at a rate, spread unevenly over some instances.
func (f *fleet) load(perSecond float64, instances ...int) {
	gap := time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
	f.After(gap, func() {
		i := min(f.rng.IntN(len(instances)), f.rng.IntN(len(instances)))
		f.instances[instances[i]].request()
		f.load(perSecond, instances...)
	})
}

// stream makes an instance generate tokens for the customer while admitted.
func (f *fleet) stream(i, tokens int) {
	in := f.instances[i]
	now := f.Now()
	verdict, _ := in.local.Admit(now, f.customer)
	in.flush()
	if verdict == Waiting {
		verdict, _ = in.local.Again(now, f.customer)
	}
	if verdict != Admitted {
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
