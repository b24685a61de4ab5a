package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/limits"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/route"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// chargeInterval is the time between charges of tokens to customers' limits. A longer one
// lets a customer exceed its token limit for longer.
const chargeInterval = 250 * time.Millisecond

// permits is the state of customers' limits at this node: the permits it holds, those it
// issues as home, and the requests that wait for one.
type permits struct {
	local     *limits.Local
	home      *limits.Home
	waiting   []*request
	chargedAt monotime.Instant
}

func newPermits() permits {
	return permits{local: limits.NewLocal(), home: limits.NewHome(0)}
}

// topTier is the tier that may overdraw its customer's limits.
const topTier = 0

// checkLimits checks a new request against its customer's limits before admission.
func (n *Node) checkLimits(now monotime.Instant, in Request) (limits.Decision, *verdict.Error) {
	v, after := n.permits.local.Admit(now, in.Customer)
	if v == limits.Waiting {
		// The home may be this node, which answers immediately.
		n.askPermits(now)
		v, after = n.permits.local.Recheck(now, in.Customer)
	}
	v = n.overdraw(now, v, in)
	return v, rateError(v, after)
}

// overdraw admits a request of the top tier when lower tiers of its customer have used up
// the permits, as far as the limits allow an overdraft.
func (n *Node) overdraw(now monotime.Instant, v limits.Decision, in Request) limits.Decision {
	if v != limits.Refused || in.Class.TierFor(in.Customer) != topTier {
		return v
	}
	if !n.permits.local.Overdraw(now, in.Customer) {
		return v
	}
	return limits.Admitted
}

func rateError(v limits.Decision, after time.Duration) *verdict.Error {
	if v != limits.Refused {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonRateLimited,
		"the customer's rate over all instances is used up").After(after)
}

// awaitPermit queues a request until a permit arrives.
func (n *Node) awaitPermit(r *request) {
	r.awaitingPermit = true
	n.permits.waiting = append(n.permits.waiting, r)
}

// recheckWaiting checks again the requests that wait for a permit. Each waits for
// AnswerTimeout at most; then this node continues without the home.
func (n *Node) recheckWaiting(now monotime.Instant) {
	if len(n.permits.waiting) == 0 {
		return
	}
	waiting := n.permits.waiting
	n.permits.waiting = nil
	for _, r := range waiting {
		if !r.awaitingPermit || r.state != stateWaiting {
			n.permits.local.CancelWait(r.Customer)
			continue
		}
		v, after := n.permits.local.Recheck(now, r.Customer)
		v = n.overdraw(now, v, r.Request)
		switch v {
		case limits.Waiting:
			n.permits.waiting = append(n.permits.waiting, r)
		case limits.Refused:
			n.refuse(now, r, rateError(v, after))
		default:
			r.awaitingPermit = false
			r.queueTime += now.Sub(r.arrived)
			n.acquireSlot(now, r)
		}
	}
	n.askPermits(now)
}

// askPermits sends the requests for permits that are due.
func (n *Node) askPermits(now monotime.Instant) {
	n.permits.local.SendAsks(now, n.homeOf, func(to string, ask wire.PermitAsk) { n.sendPermitAsk(now, to, ask) })
}

// homeOf returns the member that keeps the customer's limits. It depends on the membership
// alone and not on broken links: two homes at once would issue permits twice, while a
// holder without its home continues with a share.
func (n *Node) homeOf(customer *catalog.Customer) string {
	if home := route.Home(customer.Hash, n.members); home != "" {
		return home
	}
	return n.self()
}

func (n *Node) sendPermitAsk(now monotime.Instant, to string, ask wire.PermitAsk) {
	if to != n.self() {
		n.eff.Send(to, &wire.Envelope{PermitAsks: []wire.PermitAsk{ask}})
		return
	}
	if give, ok := n.issuePermits(now, n.self(), ask); ok {
		n.permits.local.OnGive(now, n.self(), give)
	}
}

func (n *Node) onPermitAsk(now monotime.Instant, from string, ask wire.PermitAsk) {
	if give, ok := n.issuePermits(now, from, ask); ok {
		n.eff.Send(from, &wire.Envelope{PermitGives: []wire.PermitGive{give}})
	}
}

func (n *Node) issuePermits(now monotime.Instant, from string, ask wire.PermitAsk) (wire.PermitGive, bool) {
	cat := n.catalog.Load()
	if cat == nil {
		return wire.PermitGive{}, false
	}
	customer := cat.CustomerByHash[uint64(ask.Customer)]
	if customer == nil {
		return wire.PermitGive{}, false
	}
	return n.permits.home.OnAsk(now, from, customer, ask)
}

func (n *Node) onPermitGives(now monotime.Instant, from string, gives []wire.PermitGive) {
	for _, give := range gives {
		n.permits.local.OnGive(now, from, give)
	}
	n.recheckWaiting(now)
}

// tickPermits performs the timed work of the limits.
func (n *Node) tickPermits(now monotime.Instant) {
	if now.Sub(n.permits.chargedAt) >= chargeInterval {
		n.permits.chargedAt = now
		for r := n.order.head; r != nil; r = r.next {
			n.chargeLimit(now, r)
		}
	}
	n.permits.home.Tick(now)
	n.permits.local.Tick(now, n.homeOf, func(to string, ask wire.PermitAsk) { n.sendPermitAsk(now, to, ask) })
	n.askPermits(now)
	n.recheckWaiting(now)
}

// chargeLimit charges the tokens relayed since the last charge to the customer's limit.
func (n *Node) chargeLimit(now monotime.Instant, r *request) {
	if r.Customer.TokensPerSecond <= 0 || r.progress == nil {
		return
	}
	tokens := r.tokens()
	n.permits.local.Charge(now, r.Customer, tokens-r.chargedTokens)
	r.chargedTokens = tokens
}

// setPermitMembers applies a membership view to the limits.
func (n *Node) setPermitMembers(now monotime.Instant, view *membership.View) {
	live, total := ShareOf(view)
	n.permits.local.SetMemberCount(total)
	n.permits.home.SetMembers(now, live, total, func(customer uint64) bool {
		return route.Home(customer, n.members) == n.self()
	})
}
