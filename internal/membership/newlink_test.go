package membership

import (
	"slices"
	"testing"

	"basilrudder/internal/schema/wire"
)

// recorder records what a core sends.
type recorder struct{ sent []*wire.Envelope }

func (r *recorder) SendPeer(_ string, env *wire.Envelope) { r.sent = append(r.sent, env) }

// An instance under load opens links to most of the fleet, for slots and permits.
// Comparing tables on each of them costs more than all heartbeats. A link to a member
// recorded as dead still compares: the member may come from another part of the fleet and
// hold updates that no neighbour has.
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
		t.Errorf("a link to a live member that is not a neighbour sent %d envelopes, want none", len(sent.sent))
	}
	core.OnLinkDown(w.Now(), far)

	w.kill(far)
	w.settle()
	core.OnLinkUp(w.Now(), far, &sent)
	if len(sent.sent) != 1 || sent.sent[0].MemberSync == nil {
		t.Errorf("a link to a member recorded as dead sent %d envelopes, want one comparison of tables", len(sent.sent))
	}
}
