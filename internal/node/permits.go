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

// chargeInterval is the time between charges of tokens to customers' limits.
const chargeInterval = 250 * time.Millisecond

// permits is the state of customers' limits at this node: what it holds, what
// it issues as home, and the requests that wait for a permit.
type permits struct {
	local   *limits.Local
	home    *limits.Home
	waiting []*request
	charged monotime.Instant
}

func newPermits() permits {
	return permits{local: limits.NewLocal(), home: limits.NewHome(0)}
}

// topTier is the tier that may overdraw its customer's limits.
const topTier = 0

// permit judges a new request before it is admitted.
func (n *Node) permit(now monotime.Instant, in Request) (limits.Decision, *verdict.Error) {
	v, after := n.permits.local.Admit(now, in.Customer)
	if v == limits.Waiting {
		// The home may be this node, which answers at once.
		n.askPermits(now)
		v, after = n.permits.local.Recheck(now, in.Customer)
	}
	v = n.overdraw(now, v, in)
	return v, rateError(v, after)
}

// overdraw admits a request of the top tier that its customer's lower work left
// no permit for.
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

// hold keeps a request until a permit comes.
func (n *Node) hold(r *request) {
	r.unpermitted = true
	n.permits.waiting = append(n.permits.waiting, r)
}

// judgeWaiting asks again for the requests that wait for a permit. Each waits
// for AnswerTimeout at most: then this node goes on without the home.
func (n *Node) judgeWaiting(now monotime.Instant) {
	if len(n.permits.waiting) == 0 {
		return
	}
	waiting := n.permits.waiting
	n.permits.waiting = nil
	for _, r := range waiting {
		if !r.unpermitted || r.state != stateWaiting {
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
			r.unpermitted = false
			r.queued += now.Sub(r.arrived)
			n.acquire(now, r)
		}
	}
	n.askPermits(now)
}

// askPermits sends the asks that are due.
func (n *Node) askPermits(now monotime.Instant) {
	n.permits.local.SendAsks(now, n.homeOf, func(to string, ask wire.PermitAsk) { n.sendAsk(now, to, ask) })
}

// homeOf returns the member that keeps the customer's limits. It follows the
// membership alone and not the links that are down: two homes at a time issue
// twice, and a holder without its home goes on with a share.
func (n *Node) homeOf(customer *catalog.Customer) string {
	if home := route.Home(customer.Hash, n.members); home != "" {
		return home
	}
	return n.self()
}

func (n *Node) sendAsk(now monotime.Instant, to string, ask wire.PermitAsk) {
	if to != n.self() {
		n.eff.Send(to, &wire.Envelope{PermitAsks: []wire.PermitAsk{ask}})
		return
	}
	if give, ok := n.answerAsk(now, n.self(), ask); ok {
		n.permits.local.OnGive(now, n.self(), give)
	}
}

func (n *Node) onPermitAsk(now monotime.Instant, from string, ask wire.PermitAsk) {
	if give, ok := n.answerAsk(now, from, ask); ok {
		n.eff.Send(from, &wire.Envelope{PermitGives: []wire.PermitGive{give}})
	}
}

func (n *Node) answerAsk(now monotime.Instant, from string, ask wire.PermitAsk) (wire.PermitGive, bool) {
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
	n.judgeWaiting(now)
}

// tickPermits does what is due.
func (n *Node) tickPermits(now monotime.Instant) {
	if now.Sub(n.permits.charged) >= chargeInterval {
		n.permits.charged = now
		for r := n.order.head; r != nil; r = r.next {
			n.chargeLimit(now, r)
		}
	}
	n.permits.home.Tick(now)
	n.permits.local.Tick(now, n.homeOf, func(to string, ask wire.PermitAsk) { n.sendAsk(now, to, ask) })
	n.askPermits(now)
	n.judgeWaiting(now)
}

// chargeLimit charges the tokens since the last charge to the customer's limit.
func (n *Node) chargeLimit(now monotime.Instant, r *request) {
	if r.Customer.TokensPerSecond <= 0 || r.progress == nil {
		return
	}
	tokens := r.tokens()
	n.permits.local.Charge(now, r.Customer, tokens-r.limited)
	r.limited = tokens
}

// setPermitMembers follows the membership.
func (n *Node) setPermitMembers(now monotime.Instant, view *membership.View) {
	live, known := ShareOf(view)
	n.permits.local.SetMemberCount(known)
	n.permits.home.SetMembers(now, live, known, func(customer uint64) bool {
		return route.Home(customer, n.members) == n.self()
	})
}
