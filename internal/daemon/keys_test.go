package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/catalog"
	"basilrudder/internal/peer"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/settings"
)

// Anybody can read the default key in the source. It opens links only as long as
// no key is published; the key of the settings stays valid beside published ones.
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
