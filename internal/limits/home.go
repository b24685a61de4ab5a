package limits

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// maxHolders bounds how many holders of one customer are told apart.
const maxHolders = 16

// Home issues the permits of the customers that fall to this member.
type Home struct {
	accounts  map[uint64]*homeAccount
	share     float64
	changedAt monotime.Instant
	sweptAt   monotime.Instant
}

// homeAccount is the state of one customer at its home.
type homeAccount struct {
	requests bucket
	tokens   bucket
	askedAt  monotime.Instant
	holders  []holder
}

type holder struct {
	id      string
	askedAt monotime.Instant
}

// NewHome returns a home that issues nothing yet.
func NewHome(now monotime.Instant) *Home {
	return &Home{accounts: make(map[uint64]*homeAccount), share: 1, changedAt: now}
}

// SetMembers tells how many of the known members this part of the fleet
// reaches, and whether a customer, named by its hash, falls to this member. It
// is to be called whenever the membership changes. Buckets of customers that
// fall to another member are dropped: should they come back, a bucket that
// filled up meanwhile would give out a burst that the other home already gave.
func (h *Home) SetMembers(now monotime.Instant, live, total int, owns func(customer uint64) bool) {
	h.changedAt = now
	h.share = 1
	if total > 0 {
		h.share = min(1, float64(live)/float64(total))
	}
	for hash := range h.accounts {
		if !owns(hash) {
			delete(h.accounts, hash)
		}
	}
}

// OnAsk answers a holder. The answer is to be sent only if ok.
func (h *Home) OnAsk(now monotime.Instant, from string, c *catalog.Customer, ask wire.PermitAsk) (give wire.PermitGive, ok bool) {
	a := h.account(now, c)
	a.askedAt = now
	active := a.recordHolder(now, from)
	give = wire.PermitGive{Customer: ask.Customer, LeaseMS: int(Lease / time.Millisecond)}
	var wait time.Duration
	if rate := c.RequestsPerSecond * h.share; rate > 0 {
		capacity := burst(c, c.RequestsPerSecond)
		a.requests.level = min(capacity, a.requests.level+float64(ask.ReturnedRequests))
		quantum := min(capacity, max(1, rate*issueQuantum.Seconds()))
		give.Requests = a.requests.issue(ask.Requests, active, quantum)
		if ask.Requests > 0 && give.Requests == 0 {
			wait = a.requests.wait(quantum, rate)
		}
	}
	if rate := c.TokensPerSecond * h.share; rate > 0 {
		capacity := burst(c, c.TokensPerSecond)
		quantum := min(capacity, max(1, rate*issueQuantum.Seconds()))
		a.tokens.level = min(capacity, a.tokens.level+float64(ask.ReturnedTokens))
		a.tokens.level = max(-rate*maxDebt.Seconds(), a.tokens.level-float64(ask.Overdraft))
		give.Tokens = a.tokens.issue(ask.Tokens, active, quantum)
		if ask.Tokens > 0 && give.Tokens == 0 {
			wait = max(wait, a.tokens.wait(quantum, rate))
		}
	}
	give.WaitMS = int((wait + time.Millisecond - 1) / time.Millisecond)
	return give, ask.Requests > 0 || ask.Tokens > 0
}

// issue takes up to want from the bucket, leaving other active holders theirs.
// It issues no less than a quantum, unless less is wanted: a customer far above
// its rate would otherwise cost two messages for each permit.
func (b *bucket) issue(requested, active int, quantum float64) int {
	minimum := min(float64(requested), quantum)
	if requested <= 0 || b.level < minimum {
		return 0
	}
	n := math.Floor(max(minimum, b.level/float64(active)))
	n = min(float64(requested), n)
	b.level -= n
	return int(n)
}

// account returns the customer's buckets, refilled. A bucket that is new here
// starts with what it would hold if an earlier home had emptied it just before
// the membership last changed.
func (h *Home) account(now monotime.Instant, c *catalog.Customer) *homeAccount {
	requests, tokens := c.RequestsPerSecond*h.share, c.TokensPerSecond*h.share
	a := h.accounts[c.Hash]
	if a == nil {
		elapsed := max(initialFill, now.Sub(h.changedAt)).Seconds()
		a = &homeAccount{
			requests: bucket{level: max(1, requests*elapsed), updatedAt: now},
			tokens:   bucket{level: max(1, tokens*elapsed), updatedAt: now},
		}
		h.accounts[c.Hash] = a
	}
	a.requests.refill(now, requests, burst(c, c.RequestsPerSecond))
	a.tokens.refill(now, tokens, burst(c, c.TokensPerSecond))
	return a
}

// recordHolder notes the holder and returns how many asked lately.
func (a *homeAccount) recordHolder(now monotime.Instant, from string) int {
	kept := a.holders[:0]
	listed := false
	for _, x := range a.holders {
		if x.id == from {
			x.askedAt = now
			listed = true
		}
		if now.Sub(x.askedAt) < holderTTL {
			kept = append(kept, x)
		}
	}
	if !listed && len(kept) < maxHolders {
		kept = append(kept, holder{from, now})
	}
	a.holders = kept
	return max(1, len(kept))
}

// Tick forgets customers that were idle for long. Call it now and then.
func (h *Home) Tick(now monotime.Instant) {
	if now.Sub(h.sweptAt) < idleTTL {
		return
	}
	h.sweptAt = now
	for hash, a := range h.accounts {
		// A debt is forgotten after maxDebt, when it would be repaid anyway.
		if now.Sub(a.askedAt) >= max(idleTTL, maxDebt) {
			delete(h.accounts, hash)
		}
	}
}

// Len returns the number of customers held.
func (h *Home) Len() int {
	return len(h.accounts)
}
