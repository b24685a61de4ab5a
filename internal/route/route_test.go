package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/inventory"
)

func threeCentres() *catalog.Catalog {
	inv := &inventory.Inventory{Rules: &inventory.Rules{ServersPerGroup: 2}}
	for i := range 3 {
		dc := fmt.Sprintf("dc%d", i)
		inv.DataCentres = append(inv.DataCentres, inventory.DataCentre{Name: dc, Region: "r", OneWayMS: 0.5})
		for j := range 8 {
			inv.Servers = append(inv.Servers, inventory.Server{
				Name: fmt.Sprintf("%s-s%d", dc, j), DataCentre: dc, Kind: inventory.ServerKindModel,
				Engines: []inventory.Engine{{Name: "e", Models: []string{"m"}, Slots: 4, PrefillTokensPerS: 10_000}},
			})
		}
	}
	return catalog.Compile(1, inv)
}

func members(n int) []Member {
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, Member{ID: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	return out
}

func TestOwnerIsLocalAndMovesOnlyWithItsMember(t *testing.T) {
	cat := threeCentres()
	all := members(9)
	moved := 0
	for _, group := range cat.GroupList {
		owner := Owner(group, all)
		if Owner(group, all[1:]) != owner {
			moved++
			if owner != all[0].ID {
				t.Errorf("group %s moved from %s when %s left", group.Name, owner, all[0].ID)
			}
		}
		for _, m := range all {
			if m.ID == owner && m.DataCentre != group.DataCentre {
				t.Errorf("group of %s is owned in %s", group.DataCentre, m.DataCentre)
			}
		}
	}
	if moved == 0 {
		t.Skip("the removed member owned no group")
	}
}

func TestOwnerOfADataCentreWithoutMembersIsRemote(t *testing.T) {
	cat := threeCentres()
	near := []Member{{ID: "a", DataCentre: "dc0"}}
	for _, group := range cat.GroupList {
		if Owner(group, near) != "a" {
			t.Errorf("group %s has no owner", group.Name)
		}
	}
	if Owner(cat.GroupList[0], nil) != "" {
		t.Error("a group has an owner without members")
	}
}

func TestPickAvoidsABusyGroup(t *testing.T) {
	cat := threeCentres()
	p := NewPicker()
	rng := rand.New(rand.NewPCG(1, 1))
	busy := cat.GroupsFor["m"][0]
	now := monotime.Instant(time.Second)
	p.ObserveBacklog(busy.Name, 0, 10*time.Second, now)
	count := 0
	for range 1000 {
		if p.Pick(now, cat, Request{Target: "m", DataCentre: "dc0"}, rng) == busy {
			count++
		}
	}
	if count > 30 {
		t.Errorf("the busy group of %d got %d of 1000", len(cat.GroupsFor["m"]), count)
	}
	later := now.Add(time.Hour)
	if p.cost(later, cat, &Request{DataCentre: busy.DataCentre}, busy) > 10*time.Millisecond {
		t.Error("a backlog reported an hour ago still adds to the cost")
	}
}

func TestCachedPrefixIsPreferredOnlyWhileItSavesTime(t *testing.T) {
	cat := threeCentres()
	p := NewPicker()
	rng := rand.New(rand.NewPCG(1, 1))
	cached := cat.GroupsFor["m"][1]
	now := monotime.Instant(time.Second)
	p.RecordPrefix(now, 7, cached)
	req := Request{Target: "m", DataCentre: cached.DataCentre, Prefix: 7, PromptTokens: 4000}
	for range 50 {
		if got := p.Pick(now, cat, req, rng); got != cached {
			t.Fatalf("picked %s, the prefix is in %s", got.Name, cached.Name)
		}
	}
	p.ObserveBacklog(cached.Name, 0, 2*time.Second, now)
	for range 50 {
		if p.Pick(now, cat, req, rng) == cached {
			t.Fatal("picked a wait of 2 s to save 320 ms of prefill")
		}
	}
}
