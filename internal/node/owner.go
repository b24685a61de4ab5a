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

// idleGroupAfter is how long an owned group without requests is kept.
const idleGroupAfter = time.Minute

const (
	// ownerWarmUp covers the time until every holder has heard of the change and
	// told what it holds.
	ownerWarmUp = 400 * time.Millisecond
)

// ownedGroup is a scheduling group that this instance runs. It is soft state:
// a new owner starts empty and learns from the holders' renewals what runs.
type ownedGroup struct {
	name  string
	sched *sched.Group
	used  monotime.Instant
	// lost says that another instance has owned the group since.
	lost bool
}

// pendingDecision is a decision of an owned group on its way to the holder.
type pendingDecision struct {
	group    string
	decision sched.Decision
}

// ownedFor returns the scheduler of a group, created on first use. Whoever asks
// believes that this instance owns the group; serving two believers of different
// owners costs quality, refusing one of them would cost an answer.
func (n *Node) ownedFor(now monotime.Instant, name string) *ownedGroup {
	if g := n.owned[name]; g != nil {
		g.used = now
		n.warmAgain(now, g)
		return g
	}
	cat := n.catalog.Load()
	if cat == nil || cat.Groups[name] == nil {
		return nil
	}
	g := &ownedGroup{
		name:  name,
		sched: sched.New(now, cat.Groups[name], cat, n.cfg.Policy, n.rng.Uint64()),
		used:  now,
	}
	g.sched.SetMeasurements(n.measures)
	if !n.idle[name] && len(n.members) > 1 {
		g.sched.BeginTakeover(now.Add(ownerWarmUp))
	}
	delete(n.idle, name)
	n.owned[name] = g
	if view := n.view.Load(); view != nil {
		g.sched.SetShare(n.slotShare(view))
	}
	return g
}

// Owner returns the instance that owns the group among all live members,
// whether or not this one has a link to it; "" while no member is known.
func (n *Node) Owner(group *catalog.Group) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return route.Owner(group, n.members)
}

// noteLost marks the groups that another instance owns now; groups that were
// dropped while nobody used them may have had another owner meanwhile.
func (n *Node) noteLost() {
	clear(n.idle)
	cat := n.catalog.Load()
	if cat == nil {
		return
	}
	for name, g := range n.owned {
		g.lost = g.lost || n.ownerOf(cat.Groups[name]) != n.self()
	}
}

// warmAgain lets a group that comes back to this instance start carefully: its
// books are those of before.
func (n *Node) warmAgain(now monotime.Instant, g *ownedGroup) {
	group := n.catalog.Load().Groups[g.name]
	if g.lost && group != nil && n.ownerOf(group) == n.self() {
		g.lost = false
		g.sched.BeginTakeover(now.Add(ownerWarmUp))
	}
}

func (n *Node) submitOwned(now monotime.Instant, from string, msg wire.Acquire) {
	demand, ok := n.demandOf(now, from, msg)
	g := n.ownedFor(now, msg.Group)
	if g == nil || !ok {
		n.answer(now, pendingDecision{group: msg.Group, decision: sched.Decision{
			Ticket: ticket(from, msg.Seq),
			Reason: verdict.ReasonNotReady,
		}})
		return
	}
	n.answerAll(now, g, g.sched.Submit(now, demand, nil))
	n.tellQueued(now, from, g, demand)
}

// demandOf resolves what the message names by hash. A sender with another
// revision may name a class or customer unknown here.
func (n *Node) demandOf(now monotime.Instant, from string, msg wire.Acquire) (sched.Demand, bool) {
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
		ExpectedHold: milliseconds(msg.HoldMS),
	}, true
}

func dueAt(now monotime.Instant, budgetMS int) monotime.Instant {
	if budgetMS == 0 {
		return 0
	}
	return now.Add(milliseconds(budgetMS))
}

func ticket(from string, seq int) sched.Ticket {
	return sched.Ticket{Holder: from, Seq: uint64(seq)}
}

func (n *Node) withdrawOwned(now monotime.Instant, from string, msg wire.Withdraw) {
	if g := n.owned[msg.Group]; g != nil {
		n.answerAll(now, g, g.sched.Withdraw(now, ticket(from, msg.Seq), nil))
	}
}

func (n *Node) progressOwned(now monotime.Instant, from string, msg wire.Progress) {
	g := n.ownedFor(now, msg.Group)
	if g == nil {
		return
	}
	for _, item := range msg.Items {
		n.adopt(now, g, from, item)
		n.answerAll(now, g, g.sched.Progress(now, ticket(from, item.Seq), item.Tokens, nil))
	}
}

// adopt takes a slot into the books of a group that this instance owns newly.
func (n *Node) adopt(now monotime.Instant, g *ownedGroup, from string, item wire.ProgressItem) {
	if item.Engine == "" {
		return
	}
	cat := n.catalog.Load()
	g.sched.Adopt(now, ticket(from, item.Seq), sched.HeldSlot{
		Engine:       item.Engine,
		Class:        cat.ClassByHash[uint32(item.Class)],
		Customer:     cat.CustomerByHash[uint64(item.Customer)],
		Tier:         item.Tier,
		ExpectedHold: milliseconds(item.HoldMS),
	})
}

func (n *Node) releaseOwned(now monotime.Instant, from string, msg wire.Release) {
	g := n.owned[msg.Group]
	if g == nil {
		return
	}
	result := sched.Result{
		Outcome:    sched.Outcome(msg.Outcome),
		Tokens:     msg.Tokens,
		FirstToken: milliseconds(msg.FirstTokenMS),
		Gap:        time.Duration(msg.GapUS) * time.Microsecond,
	}
	n.answerAll(now, g, g.sched.Release(now, ticket(from, msg.Seq), result, nil))
}

func (n *Node) tickOwned(now monotime.Instant) {
	for _, name := range n.ownedNames() {
		g := n.owned[name]
		if now.Sub(g.used) > idleGroupAfter && g.sched.Idle() {
			delete(n.owned, name)
			n.idle[name] = !g.lost
			continue
		}
		n.answerAll(now, g, g.sched.Tick(now, nil))
	}
}

// ownedNames is sorted, so that no decision depends on the order of a map.
func (n *Node) ownedNames() []string {
	names := make([]string, 0, len(n.owned))
	for name := range n.owned {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// answerAll passes decisions on. Decisions for this instance's own requests can
// lead to further decisions (a granted engine was withdrawn, so the slot goes
// back and another is asked for); a queue instead of recursion keeps the group
// from being entered while it is still being read.
func (n *Node) answerAll(now monotime.Instant, g *ownedGroup, decisions []sched.Decision) {
	for _, d := range decisions {
		n.pending = append(n.pending, pendingDecision{group: g.name, decision: d})
	}
	if n.answering {
		return
	}
	n.answering = true
	for len(n.pending) > 0 {
		next := n.pending[0]
		n.pending = n.pending[1:]
		n.answer(now, next)
	}
	n.pending = nil
	n.answering = false
}

func (n *Node) answer(now monotime.Instant, p pendingDecision) {
	if p.decision.Granted {
		n.answerGrant(now, p)
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

func (n *Node) answerGrant(now monotime.Instant, p pendingDecision) {
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
		n.answerAll(now, g, g.sched.Reconfigure(now, cat, nil))
	}
}

// dropGoneHolders frees the slots of instances that died or were replaced by a
// new incarnation, which knows nothing of the requests of the old one.
func (n *Node) dropGoneHolders(now monotime.Instant, old, view *membership.View) {
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
		n.answerAll(now, g, g.sched.HolderGone(now, id, nil))
	}
}

func (n *Node) updateShares(view *membership.View) {
	for _, g := range n.owned {
		g.sched.SetShare(n.slotShare(view))
	}
}

// slotShare is the part of a group's slots that this node may hand out.
func (n *Node) slotShare(view *membership.View) (live, total int) {
	if n.cfg.Ownership == Shared {
		return 1, max(view.Known, 1)
	}
	return ShareOf(view)
}

// ShareOf returns how many of the known instances this part of the fleet sees.
// In a partition each part uses about that share of a server both reach.
func ShareOf(view *membership.View) (live, total int) {
	live = len(view.Live) + len(view.Leaving)
	return live, max(view.Known, live)
}
