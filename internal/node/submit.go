package node

import (
	"fmt"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/limits"
	"basilrudder/internal/monotime"
	"basilrudder/internal/reqid"
	"basilrudder/internal/route"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// Retry-After values of refusals that concern the instance, not the request.
const (
	retryWhenDraining = time.Second
	retryWhenNotReady = time.Second
	retryWhenIsolated = time.Second
	retryWhenFull     = time.Second
)

// Submit admits a request and returns its number at this node. A refusal is always NotRun,
// except for an id that was used before, has expired or belongs to another process.
func (n *Node) Submit(now monotime.Instant, in Request) (uint64, *verdict.Error) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	cat := n.catalog.Load()
	if err := n.checkAdmission(cat); err != nil {
		n.recordRefused(now, in, err)
		return 0, err
	}
	if err := n.claimID(now, in); err != nil {
		n.recordRefused(now, in, err)
		return 0, err
	}
	permitted, err := n.checkLimits(now, in)
	if err != nil {
		n.ids.Forget(in.ID)
		n.recordRefused(now, in, err)
		return 0, err
	}
	r := n.addRequest(now, cat, in)
	n.recordStart(now, r)
	if permitted == limits.Waiting {
		n.awaitPermit(r)
		return r.seq, nil
	}
	n.acquireSlot(now, r)
	return r.seq, nil
}

// checkAdmission checks the conditions that do not depend on the request.
func (n *Node) checkAdmission(cat *catalog.Catalog) *verdict.Error {
	switch {
	case cat == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady,
			"this instance has no configuration yet").After(retryWhenNotReady)
	case n.draining:
		return verdict.New(verdict.NotRun, verdict.ReasonDraining,
			"this instance is leaving; ask the directory for another").After(retryWhenDraining)
	case n.cutOff:
		return verdict.New(verdict.NotRun, verdict.ReasonIsolated,
			"this instance has reached no other for too long; ask another").After(retryWhenIsolated)
	case len(n.requests) >= n.cfg.Capacity:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
			"this instance holds as many requests as it may").After(retryWhenFull)
	}
	return nil
}

// claimID claims the request id. A repeated request is refused here, at the only process
// that may have started the first one: another instance has no record of it, and a later
// incarnation does not accept the id.
func (n *Node) claimID(now monotime.Instant, in Request) *verdict.Error {
	id, err := reqid.Parse(in.ID)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	if id.Incarnation != n.cfg.Self {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone,
			"the request id is bound to another process")
	}
	switch n.ids.Claim(now, id) {
	case reqid.ClaimNew:
		return nil
	case reqid.ClaimTooFar:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest,
			"the expiry of the request id lies too far ahead")
	case reqid.ClaimFull:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
			"this instance remembers as many request ids as it may").After(retryWhenFull)
	case reqid.ClaimSeen:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownRequest,
			"the request id was used before and its answer is no longer kept")
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonIDExpired,
			"the request id has expired")
	}
}

func (n *Node) addRequest(now monotime.Instant, cat *catalog.Catalog, in Request) *request {
	n.nextSeq++
	r := &request{
		Request: in,
		seq:     n.nextSeq,
		tier:    in.Class.TierFor(in.Customer),
		arrived: now,
	}
	if in.Class.FirstToken > 0 {
		r.firstTokenBy = now.Add(in.Class.FirstToken)
	}
	if in.Class.Deadline > 0 {
		r.endBy = now.Add(in.Class.Deadline)
	}
	n.requests[r.seq] = r
	n.byID[r.ID] = r
	n.order.push(r)
	n.budget.credit()
	n.counts.Admitted++
	return r
}

// acquireSlot picks a group and requests a slot from its owner.
func (n *Node) acquireSlot(now monotime.Instant, r *request) {
	cat := n.catalog.Load()
	r.state = stateWaiting
	r.grantDeferred = false
	r.requestedAt = now
	r.group = n.picker.Pick(now, cat, n.routeQuery(r), n.rng)
	if r.group == nil {
		n.refuse(now, r, verdict.New(verdict.NotRun, verdict.ReasonNoServer,
			fmt.Sprintf("no server in service offers %s", r.Class.Target)).After(retryWhenNotReady))
		return
	}
	n.requestSlot(now, r)
}

func (n *Node) routeQuery(r *request) route.Request {
	return route.Request{
		Target:       r.Class.Target,
		DataCentre:   n.cfg.DataCentre,
		Tier:         r.tier,
		Prefix:       r.Prefix,
		PromptTokens: r.PromptTokens,
		Skip:         r.refusedBy,
	}
}

// requestSlot requests a slot from the owner of the group already picked.
func (n *Node) requestSlot(now monotime.Instant, r *request) {
	r.owner = n.ownerForRequest(now, r)
	r.estimate = n.waitEstimateOf(now, r)
	msg := n.acquireMessage(now, r)
	if r.owner == n.self() {
		n.onAcquire(now, n.self(), msg)
		return
	}
	n.sendAcquire(now, r.owner, msg)
}

func (n *Node) acquireMessage(now monotime.Instant, r *request) wire.Acquire {
	return wire.Acquire{
		Seq:          int(r.seq),
		Group:        r.group.Name,
		Class:        int(r.Class.Hash),
		Customer:     int(r.Customer.Hash),
		Tier:         r.tier,
		PromptTokens: r.PromptTokens,
		Prefix:       int(r.Prefix),
		BudgetMS:     budgetMS(now, r.firstTokenBy),
		EndBudgetMS:  budgetMS(now, r.endBy),
		Avoid:        r.avoidEngine,
		HoldMS:       n.expectedHoldMS(r),
	}
}

// expectedHoldMS returns how long requests of the class hold a slot, as measured by this
// node.
func (n *Node) expectedHoldMS(r *request) int {
	return int(n.measures.ExpectedHold(r.Class) / time.Millisecond)
}

// budgetMS returns the time left until an instant, since instants of two processes cannot
// be compared. An exhausted budget is sent as 1, because 0 means none.
func budgetMS(now, by monotime.Instant) int {
	if by == 0 {
		return 0
	}
	return max(int(by.Sub(now)/time.Millisecond), 1)
}

// reroute withdraws the waiting requests that match and requests slots for them again.
func (n *Node) reroute(now monotime.Instant, match func(*request) bool) {
	n.forEachWaiting(match, func(r *request) {
		n.withdraw(now, r)
		n.acquireSlot(now, r)
	})
}

// forEachWaiting calls do for the waiting requests that match. It checks the state again
// before each call, because withdrawing one request can free a slot of a group owned here
// and so start another request of the list. Requesting a slot for that one again would let
// it run twice and be answered "not run".
func (n *Node) forEachWaiting(match func(*request) bool, do func(*request)) {
	var list []*request
	for r := n.order.head; r != nil; r = r.next {
		if r.state == stateWaiting && match(r) {
			list = append(list, r)
		}
	}
	for _, r := range list {
		if r.state == stateWaiting && match(r) {
			do(r)
		}
	}
}

// ownerChanged reports whether the group of the request has another owner now.
func (n *Node) ownerChanged(r *request) bool {
	return r.group != nil && n.ownerOf(r.group) != r.owner
}

// groupRemoved reports whether the group of the request is no longer in the configuration.
func (n *Node) groupRemoved(r *request) bool {
	return r.group != nil && n.catalog.Load().Groups[r.group.Name] == nil
}

// withdraw withdraws the request from its owner.
func (n *Node) withdraw(now monotime.Instant, r *request) {
	if r.group == nil {
		return
	}
	msg := wire.Withdraw{Seq: int(r.seq), Group: r.group.Name}
	if r.owner == n.self() {
		n.onWithdraw(now, n.self(), msg)
		return
	}
	n.eff.Send(r.owner, &wire.Envelope{Withdraws: []wire.Withdraw{msg}})
}
