package sched

import (
	"basilrudder/internal/catalog"
)

// account counts what a customer used in one tier of a lane, in tokens over
// the customer's weight. The waiting customer with the least counter is served
// next (virtual token counter with a start-time clock): a customer who comes
// back after a pause starts at the clock of the tier and has neither saved up a
// burst nor kept an old debt from times when nobody waited.
type account struct {
	key     uint64
	weight  float64
	counter float64
	waiting int
	held    int
	// work is the slot time that waits, in seconds.
	work    float64
	shares  []*share
	sizePos int
	idlePos int
	next    *account
}

// promptCost is the cost of a prompt token against a generated one: engines
// process prompts several times faster than they decode.
const promptCost = 0.2

// serviceCostPerSecond is the cost of a second of a plain service, in tokens.
const serviceCostPerSecond = 100

func (g *Group) accountFor(q *tierQueue, customer *catalog.Customer) *account {
	key, weight := customer.Hash, customer.Weight
	if !g.policy.Fairness {
		key, weight = 0, 1
	}
	if weight <= 0 {
		weight = 1
	}
	a := q.accounts[key]
	if a == nil {
		a = g.newAccount()
		a.key = key
		a.counter = q.clock
		if q.accounts == nil {
			q.accounts = make(map[uint64]*account)
		}
		q.accounts[key] = a
	}
	if a.waiting == 0 {
		a.weight = weight
		a.counter = max(a.counter, q.clock)
	}
	g.unpark(q, a)
	return a
}

func (g *Group) unpark(q *tierQueue, a *account) {
	if a.idlePos != outside {
		q.idle.remove(a.idlePos)
	}
}

func (g *Group) newAccount() *account {
	a := g.unusedAccounts
	if a == nil {
		return &account{sizePos: outside, idlePos: outside}
	}
	g.unusedAccounts = a.next
	*a = account{sizePos: outside, idlePos: outside, shares: a.shares[:0]}
	return a
}

// accountWaits notes that delta more requests of the account wait.
func (g *Group) accountWaits(q *tierQueue, a *account, delta int) {
	before := a.waiting
	a.waiting += delta
	switch {
	case before == 0:
		q.weights += a.weight
		q.sizes.push(-float64(a.waiting), uint64(a.key), a)
	case a.waiting == 0:
		q.weights = max(0, q.weights-a.weight)
		q.sizes.remove(a.sizePos)
		a.work = 0
	default:
		q.sizes.update(a.sizePos, -float64(a.waiting), uint64(a.key))
	}
	if q.waiting == 0 {
		q.weights = 0
	}
	g.parkAccount(q, a)
}

// parkAccount keeps an account without requests until the clock of the tier
// has caught up with what it used, and then forgets it.
func (g *Group) parkAccount(q *tierQueue, a *account) {
	if a.waiting > 0 || a.held > 0 || a.idlePos != outside {
		return
	}
	q.idle.push(a.counter, uint64(a.key), a)
}

// forgetIdle drops accounts whose debt the clock of the tier has passed.
func (g *Group) forgetIdle(q *tierQueue) {
	for q.idle.len() > 0 && q.idle.min().key <= q.clock {
		a := q.idle.min().value
		q.idle.remove(a.idlePos)
		delete(q.accounts, a.key)
		a.next = g.unusedAccounts
		g.unusedAccounts = a
	}
}

// charge adds cost in tokens to an account; a negative cost is a refund.
func (g *Group) charge(a *account, cost float64) {
	a.counter += cost / a.weight
	for _, s := range a.shares {
		g.reorder(s)
	}
}

// reorder puts a share where its account's counter belongs; equal counters are
// ordered by the most urgent request.
func (g *Group) reorder(s *share) {
	s.line.shares.update(s.pos, g.useOf(s.account), uint64(s.entries.min().value.latestStart))
}

func (g *Group) useOf(a *account) float64 {
	if !g.policy.Fairness {
		return 0
	}
	return a.counter
}

func (g *Group) shareFor(a *account, ln *line) *share {
	for _, s := range a.shares {
		if s.line == ln {
			return s
		}
	}
	s := g.newShare()
	s.account = a
	s.line = ln
	a.shares = append(a.shares, s)
	ln.shares.push(g.useOf(a), 0, s)
	return s
}

func (g *Group) newShare() *share {
	if n := len(g.unusedShares); n > 0 {
		s := g.unusedShares[n-1]
		g.unusedShares = g.unusedShares[:n-1]
		return s
	}
	s := &share{pos: outside}
	s.entries.moved = func(e *entry, i int) { e.sharePos = i }
	return s
}

func (g *Group) dropShare(s *share) {
	a := s.account
	for i, other := range a.shares {
		if other == s {
			last := len(a.shares) - 1
			a.shares[i] = a.shares[last]
			a.shares[last] = nil
			a.shares = a.shares[:last]
			break
		}
	}
	s.account = nil
	s.line = nil
	g.unusedShares = append(g.unusedShares, s)
}

// expectedCost is what a request is charged when it starts, in tokens.
func (e *entry) expectedCost(stats *classStats) float64 {
	if e.lane == nil || e.demand.PromptTokens == 0 && stats.service {
		return e.work * serviceCostPerSecond
	}
	return promptCost*float64(e.demand.PromptTokens) + stats.median
}
