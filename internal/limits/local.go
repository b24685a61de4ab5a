package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Verdict is what a holder says of a request.
type Verdict uint8

const (
	// Admitted requests have their permit.
	Admitted Verdict = iota
	// Waiting requests are to be asked about again when permits come, or at
	// the latest after AnswerLimit.
	Waiting
	// Refused requests exceed the customer's limits.
	Refused
)

// Local spends the permits that this instance holds.
type Local struct {
	accounts map[uint64]*account
	due      []*account
	known    int
	swept    monotime.Instant
}

// account is what this instance holds for one customer.
type account struct {
	customer *catalog.Customer
	requests int     // below zero when overdrawn
	tokens   float64 // below zero when overdrawn
	until    monotime.Instant
	giver    string

	asked   monotime.Instant // last ask, 0 when none is open
	silent  monotime.Instant // first ask since the last answer
	wanted  bool             // an ask is due
	waiters int
	blocked monotime.Instant // the home said to wait
	alone   bool             // the home has not answered

	returnedRequests int
	returnedTokens   float64

	requestUse, tokenUse   meter
	ownRequests, ownTokens bucket // while alone
	seen                   monotime.Instant
}

// NewLocal returns a holder without permits.
func NewLocal() *Local {
	return &Local{accounts: make(map[uint64]*account), known: 1}
}

// SetKnown tells how many instances may share a limit while homes are out of
// reach.
func (l *Local) SetKnown(known int) {
	l.known = max(1, known)
}

// Admit judges a new request of the customer. For Refused it returns when to
// come back.
func (l *Local) Admit(now monotime.Instant, c *catalog.Customer) (Verdict, time.Duration) {
	if !Limited(c) {
		return Admitted, 0
	}
	a := l.account(now, c)
	a.requestUse.add(now, 1)
	verdict, after := l.judge(now, a)
	if verdict == Waiting {
		a.waiters++
	}
	return verdict, after
}

// Again judges a request that was told to wait.
func (l *Local) Again(now monotime.Instant, c *catalog.Customer) (Verdict, time.Duration) {
	if !Limited(c) {
		return Admitted, 0
	}
	a := l.account(now, c)
	verdict, after := l.judge(now, a)
	if verdict != Waiting {
		a.waiters = max(0, a.waiters-1)
	}
	return verdict, after
}

// Forget tells that a request that was told to wait is gone.
func (l *Local) Forget(c *catalog.Customer) {
	if a := l.accounts[c.Hash]; a != nil {
		a.waiters = max(0, a.waiters-1)
	}
}

// Charge counts tokens generated for the customer.
func (l *Local) Charge(now monotime.Instant, c *catalog.Customer, tokens int) {
	if c.TokensPerSecond <= 0 || tokens <= 0 {
		return
	}
	a := l.account(now, c)
	a.tokenUse.add(now, float64(tokens))
	if a.alone {
		a.refillOwn(now, l.known)
		a.ownTokens.level -= float64(tokens)
		return
	}
	a.tokens -= float64(tokens)
	if a.tokens < a.tokenUse.perSecond(now)*lowWater.Seconds() {
		l.want(a)
	}
}

func (l *Local) account(now monotime.Instant, c *catalog.Customer) *account {
	a := l.accounts[c.Hash]
	if a == nil {
		a = &account{}
		l.accounts[c.Hash] = a
	}
	a.customer = c
	a.seen = now
	a.expire(now)
	return a
}

// expire puts permits whose lease is over aside for return.
func (a *account) expire(now monotime.Instant) {
	if now < a.until {
		return
	}
	if a.requests > 0 {
		a.returnedRequests += a.requests
		a.requests = 0
	}
	if a.tokens > 0 {
		a.returnedTokens += a.tokens
		a.tokens = 0
	}
}

func (l *Local) judge(now monotime.Instant, a *account) (Verdict, time.Duration) {
	c := a.customer
	hasRequest := c.RequestsPerSecond <= 0 || a.requests > 0
	hasTokens := c.TokensPerSecond <= 0 || a.tokens > 0
	switch {
	case hasRequest && hasTokens:
		a.spend()
		if a.runsLow(now) {
			l.want(a)
		}
		return Admitted, 0
	case now < a.blocked:
		return Refused, a.blocked.Sub(now)
	case a.asked != 0 && now.Sub(a.silent) >= AnswerLimit:
		a.goAlone(now, l.known)
	}
	if a.alone {
		l.want(a)
		return a.judgeAlone(now, l.known)
	}
	l.want(a)
	return Waiting, 0
}

func (a *account) spend() {
	if a.customer.RequestsPerSecond > 0 {
		a.requests--
	}
}

// runsLow reports whether to ask ahead: soon used up, and used so often that
// the next permit would not expire unused.
func (a *account) runsLow(now monotime.Instant) bool {
	if a.customer.RequestsPerSecond <= 0 {
		return false
	}
	use := a.requestUse.perSecond(now)
	return use*Lease.Seconds() >= 2 && float64(a.requests) <= use*lowWater.Seconds()
}

// goAlone starts to admit this instance's own share: no home answers, and to
// refuse everybody until one does would turn a lost member into an outage.
func (a *account) goAlone(now monotime.Instant, known int) {
	if a.alone {
		return
	}
	a.alone = true
	a.ownRequests = bucket{level: a.ownBurst(a.customer.RequestsPerSecond, known), at: now}
	a.ownTokens = bucket{level: a.ownBurst(a.customer.TokensPerSecond, known), at: now}
}

func (a *account) ownBurst(perSecond float64, known int) float64 {
	return max(1, burst(a.customer, perSecond)/float64(known))
}

func (a *account) refillOwn(now monotime.Instant, known int) {
	c, n := a.customer, float64(known)
	a.ownRequests.refill(now, c.RequestsPerSecond/n, a.ownBurst(c.RequestsPerSecond, known))
	a.ownTokens.refill(now, c.TokensPerSecond/n, a.ownBurst(c.TokensPerSecond, known))
}

func (a *account) judgeAlone(now monotime.Instant, known int) (Verdict, time.Duration) {
	a.refillOwn(now, known)
	c, n := a.customer, float64(known)
	if c.RequestsPerSecond > 0 && a.ownRequests.level < 1 {
		return Refused, a.ownRequests.wait(1, c.RequestsPerSecond/n)
	}
	if c.TokensPerSecond > 0 && a.ownTokens.level <= 0 {
		return Refused, a.ownTokens.wait(1, c.TokensPerSecond/n)
	}
	a.ownRequests.level--
	return Admitted, 0
}

func (l *Local) want(a *account) {
	if !a.wanted {
		a.wanted = true
		l.due = append(l.due, a)
	}
}

// Asks hands the asks that are due to send. home names the member that is the
// customer's home now. send may call OnGive before it returns.
func (l *Local) Asks(now monotime.Instant, home func(*catalog.Customer) string, send func(to string, ask wire.PermitAsk)) {
	if len(l.due) == 0 {
		return
	}
	due := l.due
	l.due = nil
	for _, a := range due {
		a.wanted = false
		open := a.asked != 0 && now.Sub(a.asked) < AnswerLimit
		if open || now < a.blocked {
			continue
		}
		to := home(a.customer)
		send(to, a.ask(now, to))
	}
}

// ask builds the message and marks it as open.
func (a *account) ask(now monotime.Instant, to string) wire.PermitAsk {
	c := a.customer
	if a.asked == 0 {
		a.silent = now
	}
	a.asked = now
	ask := wire.PermitAsk{Customer: int(c.Hash)}
	if c.RequestsPerSecond > 0 {
		ahead := math.Ceil(a.requestUse.perSecond(now)*askAhead.Seconds()) - float64(a.requests)
		ask.Requests = max(1, a.waiters, int(ahead))
	}
	if c.TokensPerSecond > 0 {
		least := c.TokensPerSecond * issueQuantum.Seconds()
		ahead := a.tokenUse.perSecond(now)*askAhead.Seconds() - max(0, a.tokens)
		ask.Tokens = int(math.Ceil(max(1, least, ahead)))
		if a.tokens < 0 {
			ask.Overdraft = int(math.Ceil(-a.tokens))
			a.tokens = 0
		}
	}
	a.addReturns(&ask, to)
	return ask
}

// addReturns gives unused permits back, to the member that issued them only:
// any other one never took them from its bucket.
func (a *account) addReturns(ask *wire.PermitAsk, to string) {
	if to == a.giver {
		ask.ReturnedRequests = a.returnedRequests
		ask.ReturnedTokens = int(a.returnedTokens)
	}
	a.returnedRequests, a.returnedTokens = 0, 0
}

// OnGive takes permits.
func (l *Local) OnGive(now monotime.Instant, from string, give wire.PermitGive) {
	a := l.accounts[uint64(give.Customer)]
	if a == nil || a.asked == 0 {
		return
	}
	a.expire(now)
	if a.giver != from {
		// Permits of an earlier home stay usable until their lease is over,
		// but cannot be returned any more.
		a.returnedRequests, a.returnedTokens = 0, 0
	}
	a.asked = 0
	a.alone = false
	a.giver = from
	a.requests += max(0, give.Requests)
	a.tokens += float64(max(0, give.Tokens))
	if give.Requests > 0 || give.Tokens > 0 {
		// What was left, at most lowWater of recent use, lives on with it.
		a.until = now.Add(time.Duration(give.LeaseMS) * time.Millisecond)
	}
	a.blocked = 0
	if give.WaitMS > 0 {
		a.blocked = now.Add(time.Duration(give.WaitMS) * time.Millisecond)
	}
	if a.waiters > a.requests && a.blocked == 0 {
		l.want(a)
	}
}

// Tick returns unused permits whose lease is over and forgets idle customers.
func (l *Local) Tick(now monotime.Instant, home func(*catalog.Customer) string, send func(to string, ask wire.PermitAsk)) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	var returning []*account
	for hash, a := range l.accounts {
		a.expire(now)
		if a.returnedRequests > 0 || a.returnedTokens >= 1 {
			returning = append(returning, a)
		}
		if now.Sub(a.seen) >= forgetAfter && a.waiters == 0 {
			delete(l.accounts, hash)
		}
	}
	slices.SortFunc(returning, func(a, b *account) int { return cmp.Compare(a.customer.Hash, b.customer.Hash) })
	for _, a := range returning {
		to := home(a.customer)
		ask := wire.PermitAsk{Customer: int(a.customer.Hash)}
		if a.addReturns(&ask, to); to == a.giver {
			send(to, ask)
		}
	}
}

// Len returns the number of customers held.
func (l *Local) Len() int {
	return len(l.accounts)
}
