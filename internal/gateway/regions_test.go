package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/relaysettings"
	"basilrudder/internal/schema/wire"
)

var twoRegions = regions{"hall": "north", "yard": "south"}

// A customer's data must stay in the north, and the server there is lost. The caller must
// be refused although a server in the south is free, and so must one whose route and
// customer have no region in common. A data centre without a configured region gets
// neither.
func TestRequestsStayInTheirRegions(t *testing.T) {
	f, _, _ := newFleet()
	f.regions = twoRegions
	f.installConfig(config(1), fromStore)
	put(f, fromStore, entryIn("a", "hall", 1))
	put(f, fromStore, entryIn("b", "yard", 2))
	put(f, fromStore, entryIn("c", "nowhere", 3))
	for _, c := range []struct {
		name     string
		homes    []string
		excluded map[string]bool
		want     string
	}{
		{"north", []string{"north"}, nil, "a"},
		{"south", []string{"south"}, nil, "b"},
		{"north without its server", []string{"north"}, map[string]bool{"a": true}, ""},
		{"no region in common", routing.AllowedRegions(&routing.Route{AllowedRegions: []string{"north"}}, &routing.Customer{AllowedRegions: []string{"south"}}), nil, ""},
		{"both in common", routing.AllowedRegions(&routing.Route{AllowedRegions: []string{"north", "south"}}, &routing.Customer{AllowedRegions: []string{"south"}}), nil, "b"},
		{"customer alone", routing.AllowedRegions(&routing.Route{}, &routing.Customer{AllowedRegions: []string{"south"}}), nil, "b"},
	} {
		target, refusal := f.Place("svc", placement.Work{Homes: c.homes}, c.excluded, monotime.Now())
		if target.ID != c.want || (refusal == placement.Chosen) != (c.want != "") {
			t.Errorf("%s: %q %v", c.name, target.ID, refusal)
		}
	}
	if homes := routing.AllowedRegions(&routing.Route{}, nil); homes != nil {
		t.Errorf("bound to %v without any", homes)
	}
}

// The regions come from the settings: an instance without them would refuse every request
// that must stay in one.
func TestRegionsAreTakenFromTheSettings(t *testing.T) {
	g, err := New(Config{Log: zap.NewNop(), Settings: &relaysettings.RelaySettings{
		Places:  []relaysettings.PlaceSettings{{DataCentre: "hall", Region: "north"}, {DataCentre: "yard", Region: "south"}},
		Retries: relaysettings.RetrySettings{WindowS: 10},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(twoRegions, g.fleet.regions); diff != "" {
		t.Error(diff)
	}
}

// Callers of a region are sent to its instances, and to others only if it has none.
func TestTheDirectoryNamesInstancesOfTheCallersRegion(t *testing.T) {
	f, _, _ := newFleet()
	f.regions = twoRegions
	g := &Gateway{
		cfg:   Config{Settings: &relaysettings.RelaySettings{}, Log: zap.NewNop()},
		fleet: f, stats: relay.NewMetrics(),
		peers: linkedPeers(f, "me",
			wire.RelayMember{ID: "a", CallerAddress: "a:1", DataCentre: "hall"},
			wire.RelayMember{ID: "b", CallerAddress: "b:1", DataCentre: "yard"}),
	}
	for region, want := range map[string][]string{
		"north": {"a:1"}, "south": {"b:1"}, "west": {"a:1", "b:1"}, "": {"a:1", "b:1"},
	} {
		got, _, _ := g.Callers(region)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("region %q: %s", region, diff)
		}
	}
}
