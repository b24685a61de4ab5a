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

// Decision is the result of checking a request against its customer's limits.
type Decision uint8

const (
	// Admitted requests have a permit.
	Admitted Decision = iota
	// Waiting requests need a permit from the home. They are to be rechecked when permits
	// arrive, and after AnswerTimeout at the latest.
	Waiting
	// Refused requests exceed the customer's limits.
	Refused
)

// Local holds and spends the permits of this instance.
type Local struct {
	accounts    map[uint64]*localAccount
	due         []*localAccount
	memberCount int
	sweptAt     monotime.Instant
}

// localAccount is the state of one customer at a holder.
type localAccount struct {
	customer *catalog.Customer
	requests int     // negative when overdrawn
	tokens   float64 // negative when overdrawn
	leaseEnd monotime.Instant
	issuer   string

	askedAt         monotime.Instant // time of the unanswered ask, 0 for none
	unansweredSince monotime.Instant // time of the first ask since the last answer
	askDue          bool             // the account is in Local.due
	waiters         int
	blockedUntil    monotime.Instant // end of the wait that the home requested
	fallback        bool             // the home does not answer

	returnedRequests int
	returnedTokens   float64

	requestUse, tokenUse             meter
	fallbackRequests, fallbackTokens bucket // own share of the rate during fallback
	usedAt                           monotime.Instant
}

// NewLocal returns a holder without permits.
func NewLocal() *Local {
	return &Local{accounts: make(map[uint64]*localAccount), memberCount: 1}
}

// SetMemberCount sets how many instances share a limit while its home is unreachable.
func (l *Local) SetMemberCount(total int) {
	l.memberCount = max(1, total)
}

// Admit checks a new request of the customer. For Refused it also returns the time after
// which to retry.
func (l *Local) Admit(now monotime.Instant, c *catalog.Customer) (Decision, time.Duration) {
	if !Limited(c) {
		return Admitted, 0
	}
	a := l.account(now, c)
	a.requestUse.add(now, 1)
	decision, after := l.decide(now, a)
	if decision == Waiting {
		a.waiters++
	}
	return decision, after
}

// Recheck repeats the check of a request for which Admit returned Waiting.
func (l *Local) Recheck(now monotime.Instant, c *catalog.Customer) (Decision, time.Duration) {
	if !Limited(c) {
		return Admitted, 0
	}
	a := l.account(now, c)
	decision, after := l.decide(now, a)
	if decision != Waiting {
		a.waiters = max(0, a.waiters-1)
	}
	return decision, after
}

// CancelWait removes a waiting request that ended before it was admitted or refused.
func (l *Local) CancelWait(c *catalog.Customer) {
	if a := l.accounts[c.Hash]; a != nil {
		a.waiters = max(0, a.waiters-1)
	}
}

// Charge deducts tokens generated for the customer.
func (l *Local) Charge(now monotime.Instant, c *catalog.Customer, tokens int) {
	if c.TokensPerSecond <= 0 || tokens <= 0 {
		return
	}
	a := l.account(now, c)
	a.tokenUse.add(now, float64(tokens))
	if a.fallback {
		a.refillFallback(now, l.memberCount)
		a.fallbackTokens.level -= float64(tokens)
		return
	}
	a.tokens -= float64(tokens)
	if a.tokens < a.tokenUse.perSecond(now)*lowWater.Seconds() {
		l.scheduleAsk(a)
	}
}

func (l *Local) account(now monotime.Instant, c *catalog.Customer) *localAccount {
	a := l.accounts[c.Hash]
	if a == nil {
		a = &localAccount{}
		l.accounts[c.Hash] = a
	}
	a.customer = c
	a.usedAt = now
	a.expire(now)
	return a
}

// expire moves permits whose lease has ended to those to be returned.
func (a *localAccount) expire(now monotime.Instant) {
	if now < a.leaseEnd {
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

func (l *Local) decide(now monotime.Instant, a *localAccount) (Decision, time.Duration) {
	c := a.customer
	hasRequest := c.RequestsPerSecond <= 0 || a.requests > 0
	hasTokens := c.TokensPerSecond <= 0 || a.tokens > 0
	switch {
	case hasRequest && hasTokens:
		a.spendRequest()
		if a.shouldPrefetch(now) {
			l.scheduleAsk(a)
		}
		return Admitted, 0
	case now < a.blockedUntil:
		return Refused, a.blockedUntil.Sub(now)
	case a.askedAt != 0 && now.Sub(a.unansweredSince) >= AnswerTimeout:
		a.enterFallback(now, l.memberCount)
	}
	if a.fallback {
		l.scheduleAsk(a)
		return a.decideFallback(now, l.memberCount)
	}
	l.scheduleAsk(a)
	return Waiting, 0
}

func (a *localAccount) spendRequest() {
	if a.customer.RequestsPerSecond > 0 {
		a.requests--
	}
}

// shouldPrefetch reports whether to ask before the permits run out: when they are nearly
// used up and the rate of use is high enough that the next ones would not expire unused.
func (a *localAccount) shouldPrefetch(now monotime.Instant) bool {
	if a.customer.RequestsPerSecond <= 0 {
		return false
	}
	rate := a.requestUse.perSecond(now)
	return rate*Lease.Seconds() >= 2 && float64(a.requests) <= rate*lowWater.Seconds()
}

// enterFallback starts to admit this instance's own share of the rate because the home
// does not answer. To refuse every request until a home answers would turn the loss of
// one member into an outage.
func (a *localAccount) enterFallback(now monotime.Instant, memberCount int) {
	if a.fallback {
		return
	}
	a.fallback = true
	a.fallbackRequests = bucket{level: a.fallbackBurst(a.customer.RequestsPerSecond, memberCount), updatedAt: now}
	a.fallbackTokens = bucket{level: a.fallbackBurst(a.customer.TokensPerSecond, memberCount), updatedAt: now}
}

func (a *localAccount) fallbackBurst(perSecond float64, memberCount int) float64 {
	return max(1, burst(a.customer, perSecond)/float64(memberCount))
}

func (a *localAccount) refillFallback(now monotime.Instant, memberCount int) {
	c, n := a.customer, float64(memberCount)
	a.fallbackRequests.refill(now, c.RequestsPerSecond/n, a.fallbackBurst(c.RequestsPerSecond, memberCount))
	a.fallbackTokens.refill(now, c.TokensPerSecond/n, a.fallbackBurst(c.TokensPerSecond, memberCount))
}

func (a *localAccount) decideFallback(now monotime.Instant, memberCount int) (Decision, time.Duration) {
	a.refillFallback(now, memberCount)
	c, n := a.customer, float64(memberCount)
	if c.RequestsPerSecond > 0 && a.fallbackRequests.level < 1 {
		return Refused, a.fallbackRequests.wait(1, c.RequestsPerSecond/n)
	}
	if c.TokensPerSecond > 0 && a.fallbackTokens.level <= 0 {
		return Refused, a.fallbackTokens.wait(1, c.TokensPerSecond/n)
	}
	a.fallbackRequests.level--
	return Admitted, 0
}

func (l *Local) scheduleAsk(a *localAccount) {
	if !a.askDue {
		a.askDue = true
		l.due = append(l.due, a)
	}
}

// SendAsks passes the asks that are due to send. home returns the member that is the
// customer's home. send may call OnGive before it returns.
func (l *Local) SendAsks(now monotime.Instant, home func(*catalog.Customer) string, send func(to string, ask wire.PermitAsk)) {
	if len(l.due) == 0 {
		return
	}
	due := l.due
	l.due = nil
	for _, a := range due {
		a.askDue = false
		pending := a.askedAt != 0 && now.Sub(a.askedAt) < AnswerTimeout
		if pending || now < a.blockedUntil {
			continue
		}
		to := home(a.customer)
		send(to, a.buildAsk(now, to))
	}
}

// buildAsk builds the message and records it as unanswered.
func (a *localAccount) buildAsk(now monotime.Instant, to string) wire.PermitAsk {
	c := a.customer
	if a.askedAt == 0 {
		a.unansweredSince = now
	}
	a.askedAt = now
	ask := wire.PermitAsk{Customer: int(c.Hash)}
	if c.RequestsPerSecond > 0 {
		ahead := math.Ceil(a.requestUse.perSecond(now)*prefetchPeriod.Seconds()) - float64(a.requests)
		ask.Requests = max(1, a.waiters, int(ahead))
	}
	if c.TokensPerSecond > 0 {
		minimum := c.TokensPerSecond * issueQuantum.Seconds()
		ahead := a.tokenUse.perSecond(now)*prefetchPeriod.Seconds() - max(0, a.tokens)
		ask.Tokens = int(math.Ceil(max(1, minimum, ahead)))
		if a.tokens < 0 {
			ask.Overdraft = int(math.Ceil(-a.tokens))
			a.tokens = 0
		}
	}
	a.addReturns(&ask, to)
	return ask
}

// addReturns adds unused permits to the ask if it goes to the member that issued them,
// and drops them otherwise: another member did not take them from its bucket.
func (a *localAccount) addReturns(ask *wire.PermitAsk, to string) {
	if to == a.issuer {
		ask.ReturnedRequests = a.returnedRequests
		ask.ReturnedTokens = int(a.returnedTokens)
	}
	a.returnedRequests, a.returnedTokens = 0, 0
}

// OnGive adds the permits that a home issued.
func (l *Local) OnGive(now monotime.Instant, from string, give wire.PermitGive) {
	a := l.accounts[uint64(give.Customer)]
	if a == nil || a.askedAt == 0 {
		return
	}
	a.expire(now)
	if a.issuer != from {
		// Permits of an earlier home remain valid until their lease ends, but can no
		// longer be returned.
		a.returnedRequests, a.returnedTokens = 0, 0
	}
	a.askedAt = 0
	a.fallback = false
	a.issuer = from
	a.requests += max(0, give.Requests)
	a.tokens += float64(max(0, give.Tokens))
	if give.Requests > 0 || give.Tokens > 0 {
		// Remaining permits, at most lowWater of recent use, get the new lease too.
		a.leaseEnd = now.Add(time.Duration(give.LeaseMS) * time.Millisecond)
	}
	a.blockedUntil = 0
	if give.WaitMS > 0 {
		a.blockedUntil = now.Add(time.Duration(give.WaitMS) * time.Millisecond)
	}
	if a.waiters > a.requests && a.blockedUntil == 0 {
		l.scheduleAsk(a)
	}
}

// Tick returns unused permits whose lease has ended and drops idle customers.
func (l *Local) Tick(now monotime.Instant, home func(*catalog.Customer) string, send func(to string, ask wire.PermitAsk)) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	var returning []*localAccount
	for hash, a := range l.accounts {
		a.expire(now)
		if a.returnedRequests > 0 || a.returnedTokens >= 1 {
			returning = append(returning, a)
		}
		if now.Sub(a.usedAt) >= idleTTL && a.waiters == 0 {
			delete(l.accounts, hash)
		}
	}
	slices.SortFunc(returning, func(a, b *localAccount) int { return cmp.Compare(a.customer.Hash, b.customer.Hash) })
	for _, a := range returning {
		to := home(a.customer)
		ask := wire.PermitAsk{Customer: int(a.customer.Hash)}
		if a.addReturns(&ask, to); to == a.issuer {
			send(to, ask)
		}
	}
}

// Len returns the number of customers with an account.
func (l *Local) Len() int {
	return len(l.accounts)
}
