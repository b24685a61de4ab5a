package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/inventory"
)

// fleet returns an inventory with the given numbers of servers and customers. Each server
// has four engines of 16 slots; there are seven data centres, six models and seven tiers.
func fleet(servers, customers int) *catalog.Catalog {
	const dataCentres, models, tiers, enginesPerServer = 7, 6, 7, 4
	inv := &inventory.Inventory{Rules: &inventory.Rules{ServersPerGroup: 8, GrantLeaseMS: 3000}}
	for i := range dataCentres {
		inv.DataCentres = append(inv.DataCentres, inventory.DataCentre{
			Name: fmt.Sprintf("dc%d", i), Region: fmt.Sprintf("r%d", i%2), OneWayMS: 0.5, RegionOneWayMS: 20,
		})
	}
	for i := range servers {
		server := inventory.Server{
			Name: fmt.Sprintf("s%04d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Kind: inventory.ServerKindModel,
		}
		for j := range enginesPerServer {
			server.Engines = append(server.Engines, inventory.Engine{
				Name: fmt.Sprintf("e%d", j), Models: []string{fmt.Sprintf("m%d", i/dataCentres%models)},
				Slots: 16, StepMS: 7, PrefillTokensPerS: 20_000,
			})
		}
		inv.Servers = append(inv.Servers, server)
	}
	for tier := range tiers {
		inv.Tiers = append(inv.Tiers, inventory.Tier{Tier: tier, Name: fmt.Sprintf("t%d", tier), FloorShare: 0.02, HeadroomShare: 0.01})
		for m := range models {
			inv.Classes = append(inv.Classes, inventory.Class{
				Name: fmt.Sprintf("c%d-%d", tier, m), Tier: tier, Kind: inventory.ClassKindModel,
				Model: fmt.Sprintf("m%d", m), DeadlineMS: 600_000, MaxOutputTokens: 400,
			})
		}
	}
	for i := range customers {
		inv.Customers = append(inv.Customers, inventory.Customer{Name: fmt.Sprintf("u%05d", i), Weight: 1 + float64(i%4)})
	}
	return catalog.Compile(1, inv)
}

// closedLoop drives one group in a closed loop with a queue of a given length.
type closedLoop struct {
	g         *Group
	cat       *catalog.Catalog
	classes   []*catalog.Class
	customers []*catalog.Customer
	rng       *rand.Rand
	now       monotime.Instant
	seq       uint64
	running   []Ticket
	out       []Decision
}

func newClosedLoop(cat *catalog.Catalog, group *catalog.Group, waiting int) *closedLoop {
	policy := Default()
	policy.EarlyRefusal = false
	l := &closedLoop{cat: cat, rng: rand.New(rand.NewPCG(1, 2)), now: monotime.Instant(time.Second)}
	l.g = New(l.now, group, cat, policy, 1)
	for tier := range 7 {
		l.classes = append(l.classes, cat.Classes[fmt.Sprintf("c%d-%s", tier, group.Serves[0][1:])])
	}
	for _, customer := range cat.Customers {
		l.customers = append(l.customers, customer)
	}
	slices.SortFunc(l.customers, func(a, b *catalog.Customer) int { return strings.Compare(a.Name, b.Name) })
	for l.g.waiting < waiting {
		l.submit()
	}
	for range 4 * waiting {
		l.cycle()
	}
	return l
}

func (l *closedLoop) submit() {
	l.seq++
	tier := l.rng.IntN(len(l.classes))
	d := Demand{
		Ticket:       Ticket{Holder: "i1", Seq: l.seq},
		Class:        l.classes[tier],
		Customer:     l.customers[l.rng.IntN(len(l.customers))],
		Tier:         tier,
		PromptTokens: 500,
		Prefix:       uint64(1 + l.rng.IntN(500)),
		EndBy:        l.now.Add(10 * time.Minute),
	}
	l.take(l.g.Submit(l.now, d, l.out[:0]))
}

func (l *closedLoop) take(out []Decision) {
	for _, d := range out {
		if d.Granted {
			l.running = append(l.running, d.Ticket)
		}
	}
	l.out = out
}

// cycle ends one running request, whose slot goes to a waiting one, and submits another:
// one admission and one choice of an engine.
func (l *closedLoop) cycle() {
	l.now = l.now.Add(200 * time.Microsecond)
	i := l.rng.IntN(len(l.running))
	t := l.running[i]
	l.running[i] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	l.take(l.g.Release(l.now, t, Result{Tokens: 50 + l.rng.IntN(200), FirstToken: 30 * time.Millisecond, Gap: 8 * time.Millisecond}, l.out[:0]))
	l.submit()
}

// renewAll renews all leases, outside the measured time.
func (l *closedLoop) renewAll() {
	for _, t := range l.running {
		l.g.Progress(l.now, t, 1, nil)
	}
}

func benchCycle(b *testing.B, servers, customers, waiting int) {
	cat := fleet(servers, customers)
	l := newClosedLoop(cat, cat.GroupList[0], waiting)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%4096 == 0 {
			b.StopTimer()
			l.renewAll()
			l.g.Tick(l.now, l.out[:0])
			b.StartTimer()
		}
		l.cycle()
	}
}

// BenchmarkAdmitAndChoose measures one admission and one choice of an engine for several
// numbers of servers, customers and waiting requests.
func BenchmarkAdmitAndChoose(b *testing.B) {
	for _, servers := range []int{18, 60, 200, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchCycle(b, servers, 27_000, 2000) })
	}
	for _, customers := range []int{10, 100, 1000, 27_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) { benchCycle(b, 600, customers, 2000) })
	}
	for _, waiting := range []int{10, 100, 1000, 8000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchCycle(b, 600, 27_000, waiting) })
	}
}

// BenchmarkChoose measures the choice of an engine alone.
func BenchmarkChoose(b *testing.B) {
	cat := fleet(600, 27_000)
	l := newClosedLoop(cat, cat.GroupList[0], 10)
	e := l.g.entries[l.running[0]]
	for _, t := range l.running[len(l.running)/2:] {
		l.g.Release(l.now, t, Result{Outcome: Unused}, nil)
	}
	b.ReportAllocs()
	for range b.N {
		l.g.choose(e, l.now)
	}
}

// BenchmarkTick measures the maintenance of a group with waiting requests.
func BenchmarkTick(b *testing.B) {
	cat := fleet(600, 27_000)
	l := newClosedLoop(cat, cat.GroupList[0], 2000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		l.renewAll()
		l.now = l.now.Add(upkeepInterval)
		l.out = l.g.Tick(l.now, l.out[:0])
	}
}

// BenchmarkContention runs all groups of the fleet on many cores, with a lock for each
// group and with one lock for all.
func BenchmarkContention(b *testing.B) {
	for _, one := range []bool{false, true} {
		name := "lock=group"
		if one {
			name = "lock=one"
		}
		b.Run(name, func(b *testing.B) { benchContention(b, one) })
	}
}

func benchContention(b *testing.B, one bool) {
	cat := fleet(600, 27_000)
	loads := make([]*closedLoop, len(cat.GroupList))
	locks := make([]sync.Mutex, len(loads))
	for i, group := range cat.GroupList {
		loads[i] = newClosedLoop(cat, group, 100)
	}
	var next atomic.Uint64
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			at := next.Add(1) % uint64(len(loads))
			lock := &locks[at]
			if one {
				lock = &locks[0]
			}
			lock.Lock()
			loads[at].cycle()
			lock.Unlock()
		}
	})
}
