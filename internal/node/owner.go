package node

import (
	"slices"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/route"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// idleGroupTimeout is how long an owned group without requests is kept. A shorter time
// discards the scheduler's state between requests; a longer one keeps more of it in
// memory.
const idleGroupTimeout = time.Minute

const (
	// ownerWarmUp covers the time until the holders have received the change of owner and
	// reported their slots. Until then only tiers with headroom get slots: a shorter one
	// may give slots in use to lower tiers, a longer one delays these.
	ownerWarmUp = 400 * time.Millisecond
)

// ownedGroup is a scheduling group that this instance runs. It is soft state: a new owner
// starts empty and records the running requests from the holders' renewals.
type ownedGroup struct {
	name     string
	sched    *sched.Group
	lastUsed monotime.Instant
	// ownedElsewhere is set if another instance has owned the group since it was last
	// warmed up here.
	ownedElsewhere bool
}

// pendingDecision is a decision of an owned group that has yet to be sent to the holder.
type pendingDecision struct {
	group    string
	decision sched.Decision
}

// ensureOwned returns the scheduler of a group, created on first use; nil if the group is
// not in the configuration. It serves every sender that takes this instance for the owner:
// two owners of one group cost quality, while refusing would cost an answer.
func (n *Node) ensureOwned(now monotime.Instant, name string) *ownedGroup {
	if g := n.owned[name]; g != nil {
		g.lastUsed = now
		n.warmUpRegained(now, g)
		return g
	}
	cat := n.catalog.Load()
	if cat == nil || cat.Groups[name] == nil {
		return nil
	}
	g := &ownedGroup{
		name:     name,
		sched:    sched.New(now, cat.Groups[name], cat, n.cfg.Policy, n.rng.Uint64()),
		lastUsed: now,
	}
	g.sched.SetMeasurements(n.measures)
	if !n.droppedIdle[name] && len(n.members) > 1 {
		g.sched.BeginTakeover(now.Add(ownerWarmUp))
	}
	delete(n.droppedIdle, name)
	n.owned[name] = g
	if view := n.view.Load(); view != nil {
		g.sched.SetShare(n.slotShare(view))
	}
	return g
}

// Owner returns the instance that owns the group among all live members, whether or not
// this one has a link to it; "" while there are no members.
func (n *Node) Owner(group *catalog.Group) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return route.Owner(group, n.members)
}

// markOwnedElsewhere marks the groups that another instance owns now. It also forgets
// which groups were dropped idle, since they may have had another owner meanwhile.
func (n *Node) markOwnedElsewhere() {
	clear(n.droppedIdle)
	cat := n.catalog.Load()
	if cat == nil {
		return
	}
	for name, g := range n.owned {
		g.ownedElsewhere = g.ownedElsewhere || n.ownerOf(cat.Groups[name]) != n.self()
	}
}

// warmUpRegained starts the warm-up of a group whose ownership returned to this instance:
// its records predate the other owner.
func (n *Node) warmUpRegained(now monotime.Instant, g *ownedGroup) {
	group := n.catalog.Load().Groups[g.name]
	if g.ownedElsewhere && group != nil && n.ownerOf(group) == n.self() {
		g.ownedElsewhere = false
		g.sched.BeginTakeover(now.Add(ownerWarmUp))
	}
}

func (n *Node) onAcquire(now monotime.Instant, from string, msg wire.Acquire) {
	demand, ok := n.resolveDemand(now, from, msg)
	g := n.ensureOwned(now, msg.Group)
	if g == nil || !ok {
		n.sendDecision(now, pendingDecision{group: msg.Group, decision: sched.Decision{
			Ticket: ticket(from, msg.Seq),
			Reason: verdict.ReasonNotReady,
		}})
		return
	}
	n.sendDecisions(now, g, g.sched.Submit(now, demand, nil))
	n.sendQueued(now, from, g, demand)
}

// resolveDemand resolves the class and customer that the message names by hash. It fails
// if they are not in this node's configuration: the sender may have another revision.
func (n *Node) resolveDemand(now monotime.Instant, from string, msg wire.Acquire) (sched.Demand, bool) {
	cat := n.catalog.Load()
	if cat == nil {
		return sched.Demand{}, false
	}
	class := cat.ClassByHash[uint32(msg.Class)]
	customer := cat.CustomerByHash[uint64(msg.Customer)]
	if class == nil || customer == nil {
		return sched.Demand{}, false
	}
	return sched.Demand{
		Ticket:       ticket(from, msg.Seq),
		Class:        class,
		Customer:     customer,
		Tier:         msg.Tier,
		PromptTokens: msg.PromptTokens,
		Prefix:       uint64(msg.Prefix),
		FirstTokenBy: dueAt(now, msg.BudgetMS),
		EndBy:        dueAt(now, msg.EndBudgetMS),
		Target:       class.Target,
		Avoid:        msg.Avoid,
		ExpectedHold: msToDuration(msg.HoldMS),
	}, true
}

func dueAt(now monotime.Instant, budgetMS int) monotime.Instant {
	if budgetMS == 0 {
		return 0
	}
	return now.Add(msToDuration(budgetMS))
}

func ticket(from string, seq int) sched.Ticket {
	return sched.Ticket{Holder: from, Seq: uint64(seq)}
}

func (n *Node) onWithdraw(now monotime.Instant, from string, msg wire.Withdraw) {
	if g := n.owned[msg.Group]; g != nil {
		n.sendDecisions(now, g, g.sched.Withdraw(now, ticket(from, msg.Seq), nil))
	}
}

func (n *Node) onProgress(now monotime.Instant, from string, msg wire.Progress) {
	g := n.ensureOwned(now, msg.Group)
	if g == nil {
		return
	}
	for _, item := range msg.Items {
		n.adoptSlot(now, g, from, item)
		n.sendDecisions(now, g, g.sched.Progress(now, ticket(from, item.Seq), item.Tokens, nil))
	}
}

// adoptSlot records a slot in use that another owner granted.
func (n *Node) adoptSlot(now monotime.Instant, g *ownedGroup, from string, item wire.ProgressItem) {
	if item.Engine == "" {
		return
	}
	cat := n.catalog.Load()
	g.sched.Adopt(now, ticket(from, item.Seq), sched.HeldSlot{
		Engine:       item.Engine,
		Class:        cat.ClassByHash[uint32(item.Class)],
		Customer:     cat.CustomerByHash[uint64(item.Customer)],
		Tier:         item.Tier,
		ExpectedHold: msToDuration(item.HoldMS),
	})
}

func (n *Node) onRelease(now monotime.Instant, from string, msg wire.Release) {
	g := n.owned[msg.Group]
	if g == nil {
		return
	}
	result := sched.Result{
		Outcome:    sched.Outcome(msg.Outcome),
		Tokens:     msg.Tokens,
		FirstToken: msToDuration(msg.FirstTokenMS),
		Gap:        time.Duration(msg.GapUS) * time.Microsecond,
	}
	n.sendDecisions(now, g, g.sched.Release(now, ticket(from, msg.Seq), result, nil))
}

func (n *Node) tickOwned(now monotime.Instant) {
	for _, name := range n.ownedNames() {
		g := n.owned[name]
		if now.Sub(g.lastUsed) > idleGroupTimeout && g.sched.Idle() {
			delete(n.owned, name)
			n.droppedIdle[name] = !g.ownedElsewhere
			continue
		}
		n.sendDecisions(now, g, g.sched.Tick(now, nil))
	}
}

// ownedNames returns the owned groups in sorted order, so that no decision depends on map
// order.
func (n *Node) ownedNames() []string {
	names := make([]string, 0, len(n.owned))
	for name := range n.owned {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sendDecisions sends decisions to their holders. Decisions for this instance's own
// requests can lead to further ones: if the granted engine was withdrawn, the slot is
// released and another requested. A queue instead of recursion keeps a group from being
// modified while it is being read.
func (n *Node) sendDecisions(now monotime.Instant, g *ownedGroup, decisions []sched.Decision) {
	for _, d := range decisions {
		n.pendingDecisions = append(n.pendingDecisions, pendingDecision{group: g.name, decision: d})
	}
	if n.sendingDecisions {
		return
	}
	n.sendingDecisions = true
	for len(n.pendingDecisions) > 0 {
		next := n.pendingDecisions[0]
		n.pendingDecisions = n.pendingDecisions[1:]
		n.sendDecision(now, next)
	}
	n.pendingDecisions = nil
	n.sendingDecisions = false
}

func (n *Node) sendDecision(now monotime.Instant, p pendingDecision) {
	if p.decision.Granted {
		n.sendGrant(now, p)
		return
	}
	refuse := wire.Refuse{
		Seq:          int(p.decision.Seq),
		Group:        p.group,
		Reason:       string(p.decision.Reason),
		RetryAfterMS: int(p.decision.RetryAfter / time.Millisecond),
		BacklogMS:    int(p.decision.Backlog / time.Millisecond),
	}
	if p.decision.Holder == n.self() {
		n.onRefuse(now, n.self(), refuse)
		return
	}
	n.eff.Send(p.decision.Holder, &wire.Envelope{Refuses: []wire.Refuse{refuse}})
}

func (n *Node) sendGrant(now monotime.Instant, p pendingDecision) {
	grant := wire.Grant{
		Seq:       int(p.decision.Seq),
		Group:     p.group,
		Server:    p.decision.Engine.Server.Spec.Name,
		Engine:    p.decision.Engine.Spec.Name,
		Priority:  p.decision.Priority,
		LeaseMS:   int(p.decision.Lease / time.Millisecond),
		BacklogMS: int(p.decision.Backlog / time.Millisecond),
		PrefixHit: p.decision.PrefixHit,
	}
	if p.decision.Holder == n.self() {
		n.onGrant(now, n.self(), grant)
		return
	}
	n.eff.Send(p.decision.Holder, &wire.Envelope{Grants: []wire.Grant{grant}})
}

// reconfigureOwned applies a configuration to the owned groups and drops those
// it no longer has.
func (n *Node) reconfigureOwned(now monotime.Instant, cat *catalog.Catalog) {
	for _, name := range n.ownedNames() {
		g := n.owned[name]
		if cat.Groups[name] == nil {
			delete(n.owned, name)
			continue
		}
		n.sendDecisions(now, g, g.sched.Reconfigure(now, cat, nil))
	}
}

// releaseGoneHolders frees the slots of instances that died or were replaced by a new
// incarnation, which has no record of the requests of the old one.
func (n *Node) releaseGoneHolders(now monotime.Instant, old, view *membership.View) {
	if old == nil {
		return
	}
	current := make(map[string]string, len(view.Live)+len(view.Leaving))
	for _, m := range slices.Concat(view.Live, view.Leaving) {
		current[m.ID] = m.Incarnation
	}
	for _, m := range slices.Concat(old.Live, old.Leaving) {
		if incarnation, ok := current[m.ID]; !ok || incarnation != m.Incarnation {
			n.holderGone(now, m.ID)
		}
	}
}

func (n *Node) holderGone(now monotime.Instant, id string) {
	if id == n.self() {
		return
	}
	for _, name := range n.ownedNames() {
		g := n.owned[name]
		n.sendDecisions(now, g, g.sched.HolderGone(now, id, nil))
	}
}

func (n *Node) updateShares(view *membership.View) {
	for _, g := range n.owned {
		g.sched.SetShare(n.slotShare(view))
	}
}

// slotShare returns the fraction live/total of a group's slots that this node may grant.
func (n *Node) slotShare(view *membership.View) (live, total int) {
	if n.cfg.Ownership == Shared {
		return 1, max(view.MemberCount, 1)
	}
	return ShareOf(view)
}

// ShareOf returns how many instances are live in the view and how many are recorded in
// all. During a partition, each part uses about that share of a server that both reach.
func ShareOf(view *membership.View) (live, total int) {
	live = len(view.Live) + len(view.Leaving)
	return live, max(view.MemberCount, live)
}
