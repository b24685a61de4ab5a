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

const (
	retryWhenDraining = time.Second
	retryWhenNotReady = time.Second
	retryWhenIsolated = time.Second
	retryWhenFull     = time.Second
)

// Submit admits a request and returns its number at this node. A refusal is
// always NotRun, except for an id that was taken before or has expired.
func (n *Node) Submit(now monotime.Instant, in Request) (uint64, *verdict.Error) {
	n.enter(now)
	defer n.mu.Unlock()
	cat := n.catalog.Load()
	if err := n.admissible(cat); err != nil {
		n.recordRefused(now, in, err)
		return 0, err
	}
	if err := n.claim(now, in); err != nil {
		n.recordRefused(now, in, err)
		return 0, err
	}
	permitted, err := n.permit(now, in)
	if err != nil {
		n.ids.Release(in.ID)
		n.recordRefused(now, in, err)
		return 0, err
	}
	r := n.add(now, cat, in)
	n.recordStart(now, r)
	if permitted == limits.Waiting {
		n.hold(r)
		return r.seq, nil
	}
	n.acquire(now, r)
	return r.seq, nil
}

// admissible checks what does not depend on the request.
func (n *Node) admissible(cat *catalog.Catalog) *verdict.Error {
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

// claim takes the id. A repeated request is refused here, at the one process
// that may ever have started the first: a second instance cannot know, and a
// later incarnation does not accept the id.
func (n *Node) claim(now monotime.Instant, in Request) *verdict.Error {
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

func (n *Node) add(now monotime.Instant, cat *catalog.Catalog, in Request) *request {
	n.nextSeq++
	r := &request{
		Request: in,
		seq:     n.nextSeq,
		tier:    in.Class.TierFor(in.Customer),
		arrived: now,
	}
	if in.Class.FirstToken > 0 {
		r.firstBy = now.Add(in.Class.FirstToken)
	}
	if in.Class.Deadline > 0 {
		r.endBy = now.Add(in.Class.Deadline)
	}
	n.requests[r.seq] = r
	n.byID[r.ID] = r
	n.order.push(r)
	n.budget.served()
	n.counts.Admitted++
	return r
}

// acquire asks the owner of a group for a slot.
func (n *Node) acquire(now monotime.Instant, r *request) {
	cat := n.catalog.Load()
	r.state = stateWaiting
	r.held = false
	r.askedAt = now
	r.group = n.picker.Pick(now, cat, n.askFor(r), n.rng)
	if r.group == nil {
		n.refuse(now, r, verdict.New(verdict.NotRun, verdict.ReasonNoServer,
			fmt.Sprintf("no server in service offers %s", r.Class.Target)).After(retryWhenNotReady))
		return
	}
	n.ask(now, r)
}

func (n *Node) askFor(r *request) route.Request {
	return route.Request{
		Target:       r.Class.Target,
		DataCentre:   n.cfg.DataCentre,
		Tier:         r.tier,
		Prefix:       r.Prefix,
		PromptTokens: r.PromptTokens,
		Skip:         r.skip,
	}
}

// ask sends the acquire for the group already picked.
func (n *Node) ask(now monotime.Instant, r *request) {
	r.owner = n.ownerFor(now, r)
	r.believed = n.beliefOf(now, r)
	msg := n.acquireMessage(now, r)
	if r.owner == n.self() {
		n.submitOwned(now, n.self(), msg)
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
		BudgetMS:     budgetMS(now, r.firstBy),
		EndBudgetMS:  budgetMS(now, r.endBy),
		Avoid:        r.avoid,
		HoldMS:       n.holdMS(r),
	}
}

// holdMS is how long requests of the class hold a slot, as this node measured.
func (n *Node) holdMS(r *request) int {
	return int(n.measures.ExpectedHold(r.Class) / time.Millisecond)
}

// budgetMS turns an instant into the time left, since instants of two processes
// cannot be compared. A budget used up is sent as 1, for 0 means none.
func budgetMS(now, by monotime.Instant) int {
	if by == 0 {
		return 0
	}
	return max(int(by.Sub(now)/time.Millisecond), 1)
}

// reroute asks again for the waiting requests that match.
func (n *Node) reroute(now monotime.Instant, match func(*request) bool) {
	n.eachWaiting(match, func(r *request) {
		n.withdraw(now, r)
		n.acquire(now, r)
	})
}

// eachWaiting calls do for the waiting requests that match. It looks at the
// state again before each call: taking one request back can free a slot of a
// group owned here, which starts another of the list at that moment. Asking
// for that one again would let it run twice and be told "not run".
func (n *Node) eachWaiting(match func(*request) bool, do func(*request)) {
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

// misowned reports a waiting request whose group has another owner by now.
func (n *Node) misowned(r *request) bool {
	return r.group != nil && n.ownerOf(r.group) != r.owner
}

// stale reports a waiting request whose group left the configuration.
func (n *Node) stale(r *request) bool {
	return r.group != nil && n.catalog.Load().Groups[r.group.Name] == nil
}

// withdraw takes back what was asked of the owner.
func (n *Node) withdraw(now monotime.Instant, r *request) {
	if r.group == nil {
		return
	}
	msg := wire.Withdraw{Seq: int(r.seq), Group: r.group.Name}
	if r.owner == n.self() {
		n.withdrawOwned(now, n.self(), msg)
		return
	}
	n.eff.Send(r.owner, &wire.Envelope{Withdraws: []wire.Withdraw{msg}})
}
