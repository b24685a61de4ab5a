package limits

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// maxHolders bounds the holders that are counted for one customer. Further holders do not
// reduce the part of the bucket that each may take; a larger value costs memory.
const maxHolders = 16

// Home issues the permits of the customers whose home is this member.
type Home struct {
	accounts  map[uint64]*homeAccount
	share     float64          // part of each rate that is issued here
	changedAt monotime.Instant // time of the last change of the membership
	sweptAt   monotime.Instant
}

// homeAccount is the state of one customer at its home.
type homeAccount struct {
	requests bucket
	tokens   bucket
	askedAt  monotime.Instant
	holders  []holder
}

// holder is an instance that asked for permits of a customer.
type holder struct {
	id      string
	askedAt monotime.Instant
}

// NewHome returns a home without accounts that issues the full rate until SetMembers is
// called.
func NewHome(now monotime.Instant) *Home {
	return &Home{accounts: make(map[uint64]*homeAccount), share: 1, changedAt: now}
}

// SetMembers sets how many of all members this part of the fleet reaches, and drops the
// accounts of customers whose home is another member. owns reports whether a customer,
// named by its hash, has its home here. It must be called whenever the membership
// changes. Keeping a dropped bucket would be wrong: it would fill up meanwhile and, if
// the customer returned to this member, issue a burst that the other home has already
// issued.
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

// OnAsk handles an ask of a holder. The answer is to be sent only if ok; an ask that only
// returns permits gets none.
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

// issue takes up to requested from the bucket, but no more than the bucket divided by the
// active holders. It issues at least a quantum, or all of a smaller request, or nothing: a
// customer far above its rate would otherwise cost two messages for each permit.
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

// account returns the customer's buckets, refilled. A new bucket starts with what it
// would hold if an earlier home had emptied it just before the last change of the
// membership.
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

// recordHolder records an ask of a holder and returns the number of active holders.
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

// Tick drops the accounts of idle customers. It is to be called regularly.
func (h *Home) Tick(now monotime.Instant) {
	if now.Sub(h.sweptAt) < idleTTL {
		return
	}
	h.sweptAt = now
	for hash, a := range h.accounts {
		// Debt is dropped only after maxDebt, by which time it is repaid anyway.
		if now.Sub(a.askedAt) >= max(idleTTL, maxDebt) {
			delete(h.accounts, hash)
		}
	}
}

// Len returns the number of customers with an account.
func (h *Home) Len() int {
	return len(h.accounts)
}
