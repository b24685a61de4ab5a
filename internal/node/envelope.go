package node

import (
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// OnEnvelope applies the parts of a peer's message that concern slots and permits.
// Batching several messages into one loses their order, so the parts are applied in a
// fixed order that is correct for every batch. An instance that retries a request releases
// its slot and acquires another under the same number, and a new owner must record the
// slots in use before it grants any. So progress comes before releases, which end it, then
// acquires, then withdrawals.
func (n *Node) OnEnvelope(now monotime.Instant, from string, env *wire.Envelope) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	n.recordOwnerAnswer(now, from, env)
	for _, m := range env.Progress {
		n.onProgress(now, from, m)
	}
	for _, m := range env.Releases {
		n.onRelease(now, from, m)
	}
	for _, m := range env.Acquires {
		n.onAcquire(now, from, m)
	}
	for _, m := range env.Withdraws {
		n.onWithdraw(now, from, m)
	}
	for _, m := range env.Grants {
		n.onGrant(now, from, m)
	}
	for _, m := range env.Refuses {
		n.onRefuse(now, from, m)
	}
	for _, m := range env.Queued {
		n.picker.ObserveBacklog(m.Group, m.Tier, msToDuration(m.BacklogMS), now)
	}
	for _, m := range env.PermitAsks {
		n.onPermitAsk(now, from, m)
	}
	if len(env.PermitGives) > 0 {
		n.onPermitGives(now, from, env.PermitGives)
	}
}
