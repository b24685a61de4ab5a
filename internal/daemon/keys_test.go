package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/catalog"
	"basilrudder/internal/peer"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/settings"
)

// The default key is public in the source, so it must be rejected once keys are published.
// The key from the settings stays valid alongside published keys.
func TestDefaultPeerKeyRejectedOncePublished(t *testing.T) {
	published := catalog.Compile(1, &inventory.Inventory{PeerKeys: []inventory.PeerKey{{ID: "new", Secret: "secret-of-the-fleet"}}})
	own := settings.PeerSettings{KeyID: "own", Key: "secret-of-settings"}
	for _, test := range []struct {
		name  string
		peers settings.PeerSettings
		cat   *catalog.Catalog
		want  []peer.Key
	}{
		{"nothing", settings.PeerSettings{}, nil, []peer.Key{{ID: defaultKeyID, Secret: defaultKey}}},
		{"published", settings.PeerSettings{}, published, []peer.Key{{ID: "new", Secret: "secret-of-the-fleet"}}},
		{"both", own, published, []peer.Key{{ID: "new", Secret: "secret-of-the-fleet"}, {ID: "own", Secret: "secret-of-settings"}}},
	} {
		d := &Daemon{cfg: Config{Settings: &settings.Settings{Peers: test.peers}}}
		if diff := cmp.Diff(test.want, d.keys(test.cat)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}
