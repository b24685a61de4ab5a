package sched

import (
	"basilrudder/internal/catalog"
)

// account tracks a customer's usage in one tier of a pool, in tokens divided by the
// customer's weight. The waiting customer with the lowest counter is served next (virtual
// token counter with a start-time clock). A customer who returns after a pause starts at
// the clock of the tier: the pause neither accumulates credit for a burst, nor does an
// old debt remain from times without competition.
type account struct {
	key     uint64
	weight  float64
	counter float64
	waiting int
	held    int
	// work is the slot time of the waiting requests, in seconds.
	work       float64
	queues     []*customerQueue
	waitingPos int
	idlePos    int
	next       *account
}

// promptCost is the cost of a prompt token relative to a generated one. Engines process
// prompts several times faster than they decode; at 1, customers with long prompts would
// be charged far more than they use.
const promptCost = 0.2

// serviceCostPerSecond is the cost of a second of a plain service, in tokens. A higher
// one lets services use up a customer's share faster, compared with models.
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
	g.markActive(q, a)
	return a
}

func (g *Group) markActive(q *tierQueue, a *account) {
	if a.idlePos != notInHeap {
		q.idle.remove(a.idlePos)
	}
}

func (g *Group) newAccount() *account {
	a := g.unusedAccounts
	if a == nil {
		return &account{waitingPos: notInHeap, idlePos: notInHeap}
	}
	g.unusedAccounts = a.next
	*a = account{waitingPos: notInHeap, idlePos: notInHeap, queues: a.queues[:0]}
	return a
}

// updateWaiting adds delta to the number of the account's waiting requests.
func (g *Group) updateWaiting(q *tierQueue, a *account, delta int) {
	before := a.waiting
	a.waiting += delta
	switch {
	case before == 0:
		q.weights += a.weight
		q.byWaiting.push(-float64(a.waiting), uint64(a.key), a)
	case a.waiting == 0:
		q.weights = max(0, q.weights-a.weight)
		q.byWaiting.remove(a.waitingPos)
		a.work = 0
	default:
		q.byWaiting.update(a.waitingPos, -float64(a.waiting), uint64(a.key))
	}
	if q.waiting == 0 {
		q.weights = 0
	}
	g.markIdle(q, a)
}

// markIdle keeps an account without requests until the clock of the tier has passed its
// counter; removeIdleAccounts then deletes it.
func (g *Group) markIdle(q *tierQueue, a *account) {
	if a.waiting > 0 || a.held > 0 || a.idlePos != notInHeap {
		return
	}
	q.idle.push(a.counter, uint64(a.key), a)
}

// removeIdleAccounts deletes idle accounts whose counter the clock of the tier has
// passed.
func (g *Group) removeIdleAccounts(q *tierQueue) {
	for q.idle.len() > 0 && q.idle.min().key <= q.clock {
		a := q.idle.min().value
		q.idle.remove(a.idlePos)
		delete(q.accounts, a.key)
		a.next = g.unusedAccounts
		g.unusedAccounts = a
	}
}

// charge adds a cost in tokens to an account; a negative cost is a refund.
func (g *Group) charge(a *account, cost float64) {
	a.counter += cost / a.weight
	for _, cust := range a.queues {
		g.reorder(cust)
	}
}

// reorder moves a customer queue to the position of its account's counter. Equal counters
// are ordered by the most urgent request.
func (g *Group) reorder(cust *customerQueue) {
	cust.classQueue.customers.update(cust.pos, g.usageOf(cust.account), uint64(cust.entries.min().value.latestStart))
}

func (g *Group) usageOf(a *account) float64 {
	if !g.policy.Fairness {
		return 0
	}
	return a.counter
}

func (g *Group) customerQueueFor(a *account, cq *classQueue) *customerQueue {
	for _, cust := range a.queues {
		if cust.classQueue == cq {
			return cust
		}
	}
	cust := g.newCustomerQueue()
	cust.account = a
	cust.classQueue = cq
	a.queues = append(a.queues, cust)
	cq.customers.push(g.usageOf(a), 0, cust)
	return cust
}

func (g *Group) newCustomerQueue() *customerQueue {
	if n := len(g.unusedQueues); n > 0 {
		cust := g.unusedQueues[n-1]
		g.unusedQueues = g.unusedQueues[:n-1]
		return cust
	}
	cust := &customerQueue{pos: notInHeap}
	cust.entries.onMove = func(e *entry, i int) { e.queuePos = i }
	return cust
}

func (g *Group) dropCustomerQueue(cust *customerQueue) {
	a := cust.account
	for i, other := range a.queues {
		if other == cust {
			last := len(a.queues) - 1
			a.queues[i] = a.queues[last]
			a.queues[last] = nil
			a.queues = a.queues[:last]
			break
		}
	}
	cust.account = nil
	cust.classQueue = nil
	g.unusedQueues = append(g.unusedQueues, cust)
}

// expectedCost returns what a request is charged when it starts, in tokens.
func (e *entry) expectedCost(stats *classStats) float64 {
	if e.pool == nil || e.demand.PromptTokens == 0 && stats.service {
		return e.work * serviceCostPerSecond
	}
	return promptCost*float64(e.demand.PromptTokens) + stats.median
}
