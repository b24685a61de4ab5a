package node

import (
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// OnEnvelope takes the parts of a peer's message that concern slots. Messages that
// were joined into one lose their order, so the parts are taken in one that is
// right for all: an instance that tries a request again gives its slot back and
// asks for another under the same number, and a new owner must know which slots
// are in use before it gives any. Progress goes before releases, which end it,
// and acquires before withdrawals.
func (n *Node) OnEnvelope(now monotime.Instant, from string, env *wire.Envelope) {
	n.enter(now)
	defer n.mu.Unlock()
	n.heard(now, from, env)
	for _, m := range env.Progress {
		n.progressOwned(now, from, m)
	}
	for _, m := range env.Releases {
		n.releaseOwned(now, from, m)
	}
	for _, m := range env.Acquires {
		n.submitOwned(now, from, m)
	}
	for _, m := range env.Withdraws {
		n.withdrawOwned(now, from, m)
	}
	for _, m := range env.Grants {
		n.onGrant(now, from, m)
	}
	for _, m := range env.Refuses {
		n.onRefuse(now, from, m)
	}
	for _, m := range env.Queued {
		n.picker.ObserveBacklog(m.Group, m.Tier, milliseconds(m.BacklogMS), now)
	}
	for _, m := range env.PermitAsks {
		n.onPermitAsk(now, from, m)
	}
	if len(env.PermitGives) > 0 {
		n.onPermitGives(now, from, env.PermitGives)
	}
}
