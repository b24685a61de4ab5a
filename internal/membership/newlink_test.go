package membership

import (
	"slices"
	"testing"

	"basilrudder/internal/schema/wire"
)

// recorder keeps what a core sends.
type recorder struct{ sent []*wire.Envelope }

func (r *recorder) SendPeer(_ string, env *wire.Envelope) { r.sent = append(r.sent, env) }

// An instance under load opens a link to most of the fleet, for slots and
// permits. Comparing tables on each cost it more than all heartbeats. A link to
// a member whose link had been given up still compares: the member may come
// from another part of the fleet, with news that no neighbour has.
func TestNewLinkComparesTablesOnlyWhenTheyMayDiffer(t *testing.T) {
	w := newNetwork(t, 32)
	w.settle()
	id := w.ids[0]
	core := w.procs[id].core
	isFar := func(other string) bool {
		return other != id && !slices.Contains(core.Neighbours(), other)
	}
	far := w.ids[slices.IndexFunc(w.ids, isFar)]
	var sent recorder
	core.OnLinkUp(w.Now(), far, &sent)
	if len(sent.sent) > 0 {
		t.Errorf("a link to a live member that is no neighbour brought %d envelopes", len(sent.sent))
	}
	core.OnLinkDown(w.Now(), far)

	w.kill(far)
	w.settle()
	core.OnLinkUp(w.Now(), far, &sent)
	if len(sent.sent) != 1 || sent.sent[0].MemberSync == nil {
		t.Errorf("a link to a member taken for dead brought %d envelopes, want a comparison", len(sent.sent))
	}
}
