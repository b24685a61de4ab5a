package sched

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
)

// fixture is a group of servers with one engine each, three tiers of one class each, and
// two customers.
type fixture struct {
	t       testing.TB
	inv     *inventory.Inventory
	cat     *catalog.Catalog
	g       *Group
	now     monotime.Instant
	seq     uint64
	granted map[uint64]Decision
	refused map[uint64]Decision
	order   []uint64
}

func testInventory(servers, slots int) *inventory.Inventory {
	inv := &inventory.Inventory{
		Rules:       &inventory.Rules{ServersPerGroup: 64, GrantLeaseMS: 3000},
		DataCentres: []inventory.DataCentre{{Name: "dc1", Region: "r"}},
	}
	for i := range servers {
		inv.Servers = append(inv.Servers, inventory.Server{
			Name: fmt.Sprintf("s%d", i), DataCentre: "dc1", Kind: inventory.ServerKindModel,
			Engines: []inventory.Engine{{
				Name: "e", Models: []string{"m"}, Slots: slots, StepMS: 10, PrefillTokensPerS: 10_000,
			}},
		})
	}
	for tier, deadline := range []int{2000, 10_000, 60_000} {
		inv.Tiers = append(inv.Tiers, inventory.Tier{Tier: tier, Name: fmt.Sprintf("t%d", tier), FloorShare: 0.05})
		inv.Classes = append(inv.Classes, inventory.Class{
			Name: fmt.Sprintf("c%d", tier), Tier: tier, Kind: inventory.ClassKindModel, Model: "m",
			DeadlineMS: deadline, MaxOutputTokens: 400, MaxQueueMS: 60_000,
		})
	}
	for _, name := range []string{"ann", "ben"} {
		inv.Customers = append(inv.Customers, inventory.Customer{Name: name, Weight: 1})
	}
	return inv
}

func newFixture(t testing.TB, servers, slots int, policy Policy) *fixture {
	f := &fixture{
		t:       t,
		inv:     testInventory(servers, slots),
		now:     monotime.Instant(time.Second),
		granted: make(map[uint64]Decision),
		refused: make(map[uint64]Decision),
	}
	f.cat = catalog.Compile(1, f.inv)
	f.g = New(f.now, f.cat.GroupList[0], f.cat, policy, 1)
	return f
}

// submit submits a request of a tier and returns its sequence number.
func (f *fixture) submit(tier int, customer string) uint64 {
	return f.submitPrefix(tier, customer, 0)
}

func (f *fixture) submitPrefix(tier int, customer string, prefix uint64) uint64 {
	f.seq++
	class := f.cat.Classes[fmt.Sprintf("c%d", tier)]
	d := Demand{
		Ticket:       Ticket{Holder: "h", Seq: f.seq},
		Class:        class,
		Customer:     f.cat.Customers[customer],
		Tier:         tier,
		PromptTokens: 100,
		Prefix:       prefix,
		EndBy:        f.now.Add(class.Deadline),
	}
	f.take(f.g.Submit(f.now, d, nil))
	return f.seq
}

func (f *fixture) take(decisions []Decision) {
	for _, d := range decisions {
		if d.Granted {
			f.granted[d.Seq] = d
			f.order = append(f.order, d.Seq)
			continue
		}
		f.refused[d.Seq] = d
	}
}

func (f *fixture) release(seq uint64, r Result) {
	f.take(f.g.Release(f.now, Ticket{"h", seq}, r, nil))
}

// finish ends a request with an answer of the given number of tokens.
func (f *fixture) finish(seq uint64, tokens int) {
	f.release(seq, Result{Tokens: tokens, FirstToken: 10 * time.Millisecond, Gap: 10 * time.Millisecond})
}

// train makes the group measure the tier's class with short answers.
func (f *fixture) train(tier int, hold time.Duration, tokens int) {
	for range 40 {
		seq := f.submit(tier, "ann")
		f.now = f.now.Add(hold)
		f.finish(seq, tokens)
	}
}

func (f *fixture) mustGrant(seq uint64) Decision {
	f.t.Helper()
	d, ok := f.granted[seq]
	if !ok {
		f.t.Fatalf("request %d has no slot; refusal: %+v", seq, f.refused[seq])
	}
	return d
}

func evicted(prefix uint64) engineapi.CacheEvents {
	return engineapi.CacheEvents{
		Next:   1,
		Events: []engineapi.CacheEvent{{Prefix: strconv.FormatUint(prefix, 16)}},
	}
}

// advance advances time, calling Tick whenever NextTick requires it.
func (f *fixture) advance(d time.Duration) {
	end := f.now.Add(d)
	for {
		next, ok := f.g.NextTick(f.now)
		if !ok || next > end {
			break
		}
		f.now = max(next, f.now+1)
		f.take(f.g.Tick(f.now, nil))
	}
	f.now = end
	f.take(f.g.Tick(f.now, nil))
}
