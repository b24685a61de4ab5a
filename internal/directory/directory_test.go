package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/schema/inventory"
)

func testQuery(members, dataCentres int) Query {
	inv := &inventory.Inventory{Rules: &inventory.Rules{DirectorySize: 3, DirectoryTTLS: 30}}
	for i := range dataCentres {
		inv.DataCentres = append(inv.DataCentres, inventory.DataCentre{
			Name: fmt.Sprintf("dc%d", i), Region: fmt.Sprintf("r%d", i%2), OneWayMS: 1, RegionOneWayMS: 30,
		})
	}
	view := &membership.View{Confirmed: true}
	for i := range members {
		view.Live = append(view.Live, membership.Member{
			ID: fmt.Sprintf("i%03d", i), CallerAddress: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
		})
	}
	return Query{Catalog: catalog.Compile(7, inv), View: view, DataCentre: "dc0"}
}

func (q Query) forCustomer(customer int) Query {
	q.Customer = &catalog.Customer{Name: fmt.Sprintf("customer-%d", customer)}
	return q
}

func (q Query) ids() []string {
	var out []string
	for _, in := range Answer(q).Instances {
		out = append(out, in.ID)
	}
	return out
}

func TestLocalInstancesFirstAndOneRemote(t *testing.T) {
	for customer := range 100 {
		got := Answer(testQuery(21, 7).forCustomer(customer)).Instances
		if len(got) != 3 || got[0].DataCentre != "dc0" || got[1].DataCentre != "dc0" {
			t.Fatalf("customer %d: %+v", customer, got)
		}
		if dc := got[2].DataCentre; dc == "dc0" || dc == "dc1" || dc == "dc3" || dc == "dc5" {
			t.Fatalf("customer %d: third is in %s, not in another data centre of the region", customer, dc)
		}
	}
}

func TestLeavingInstanceIsNotListed(t *testing.T) {
	// An instance gets SIGTERM and announces that it leaves. The next answers must not
	// list it, and answers that did not list it must not change.
	q := testQuery(21, 3)
	after := q
	leaving := q.View.Live[6]
	after.View = &membership.View{Confirmed: true, Leaving: []membership.Member{leaving}}
	after.View.Live = append(append(after.View.Live, q.View.Live[:6]...), q.View.Live[7:]...)
	for customer := range 500 {
		before, now := q.forCustomer(customer).ids(), after.forCustomer(customer).ids()
		listed := false
		for _, id := range before {
			listed = listed || id == leaving.ID
		}
		if !listed && fmt.Sprint(before) != fmt.Sprint(now) {
			t.Errorf("customer %d: %v became %v", customer, before, now)
		}
		for _, id := range now {
			if id == leaving.ID {
				t.Errorf("customer %d is sent to a leaving instance", customer)
			}
		}
	}
}

func TestSuspectAndLeavingMembersAreUsedLast(t *testing.T) {
	// Few instances are left: a suspect one is better than none, and so is a leaving one.
	// An answer from an unconfirmed view has a short TTL.
	q := testQuery(2, 1).forCustomer(1)
	q.View.Live[0].State = membership.Suspect
	if got := q.ids(); len(got) != 2 || got[1] != "i000" {
		t.Errorf("got %v, want the suspect last", got)
	}
	q.View = &membership.View{Leaving: q.View.Live[1:]}
	got := Answer(q)
	if len(got.Instances) != 1 || got.TTLS != int(unconfirmedTTL/time.Second) {
		t.Errorf("got %+v", got)
	}
	q.View = &membership.View{}
	if got := Answer(q); len(got.Instances) != 0 {
		t.Errorf("got %+v", got)
	}
}

func TestLoadedInstanceGetsFewerCustomers(t *testing.T) {
	// An instance has twice the load of the others. It must lose about half of its
	// customers, and no customer of another instance may move.
	q := testQuery(20, 1)
	loaded := q
	loaded.Load = func(id string) float64 {
		if id == "i007" {
			return 2
		}
		return 1
	}
	before, after := 0, 0
	for customer := range 20000 {
		old, now := q.forCustomer(customer).ids()[0], loaded.forCustomer(customer).ids()[0]
		if old == "i007" {
			before++
		}
		if now == "i007" {
			after++
		}
		if old != "i007" && old != now {
			t.Fatalf("customer %d moved from %s to %s", customer, old, now)
		}
	}
	t.Logf("first choice of %d customers, of %d when loaded", before, after)
	if share := float64(after) / float64(before); share < 0.4 || share > 0.6 {
		t.Errorf("kept %.2f of its customers", share)
	}
}

func without(ids, drop []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(drop, id) })
}

func TestDepartedInstanceMovesOnlyItsOwnListings(t *testing.T) {
	const leaving = "i000"
	const sample = 10
	for _, size := range []struct{ instances, dataCentres, customers int }{{8, 3, 10}, {8, 3, 1000}, {360, 7, 27000}} {
		q := testQuery(size.instances, size.dataCentres)
		fewer := q
		fewer.View = &membership.View{Confirmed: true, Live: q.View.Live[1:]}
		listings := map[string]int{}
		moved, total := 0, 0
		for customer := range size.customers {
			// Customers ask an instance in a data centre near them.
			dc := fmt.Sprintf("dc%d", customer%size.dataCentres)
			q.DataCentre, fewer.DataCentre = dc, dc
			before := q.forCustomer(customer).ids()
			total += len(before)
			for _, id := range before {
				listings[id]++
			}
			// Only listings of the instance that left may move.
			if slices.Contains(before, leaving) {
				after := fewer.forCustomer(customer).ids()
				moved += len(without(before, after))
			} else if customer%sample == 0 {
				moved += len(without(before, fewer.forCustomer(customer).ids()))
			}
		}
		maxListings := 0
		for _, n := range listings {
			maxListings = max(maxListings, n)
		}
		mean := float64(total) / float64(size.instances)
		t.Logf("%d customers on %d instances in %d data centres: mean %.1f customers an instance, max/mean %.2f; one instance gone moves %.2f%% of the names (its share is %.2f%%)",
			size.customers, size.instances, size.dataCentres, mean, float64(maxListings)/mean,
			100*float64(moved)/float64(total), 100*float64(listings[leaving])/float64(total))
		if moved != listings[leaving] {
			t.Errorf("%d listings moved, %d were of the instance that left", moved, listings[leaving])
		}
	}
}

func BenchmarkAnswer(b *testing.B) {
	q := testQuery(360, 7).forCustomer(1)
	for b.Loop() {
		Answer(q)
	}
}
