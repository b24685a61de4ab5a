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
	accounts map[uint64]*issued
	share    float64
	since    monotime.Instant
	swept    monotime.Instant
}

// issued is the state of one customer at its home.
type issued struct {
	requests bucket
	tokens   bucket
	used     monotime.Instant
	holders  []holder
}

type holder struct {
	id    string
	asked monotime.Instant
}

// NewHome returns a home that issues nothing yet.
func NewHome(now monotime.Instant) *Home {
	return &Home{accounts: make(map[uint64]*issued), share: 1, since: now}
}

// SetMembers tells how many of the known members this part of the fleet
// reaches, and whether a customer, named by its hash, falls to this member. It
// is to be called whenever the membership changes. Buckets of customers that
// fall to another member are dropped: should they come back, a bucket that
// filled up meanwhile would give out a burst that the other home already gave.
func (h *Home) SetMembers(now monotime.Instant, live, known int, owns func(customer uint64) bool) {
	h.since = now
	h.share = 1
	if known > 0 {
		h.share = min(1, float64(live)/float64(known))
	}
	for hash := range h.accounts {
		if !owns(hash) {
			delete(h.accounts, hash)
		}
	}
}

// Ask answers a holder. The answer is to be sent only if ok.
func (h *Home) Ask(now monotime.Instant, from string, c *catalog.Customer, ask wire.PermitAsk) (give wire.PermitGive, ok bool) {
	a := h.account(now, c)
	a.used = now
	active := a.active(now, from)
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
func (b *bucket) issue(want, active int, quantum float64) int {
	least := min(float64(want), quantum)
	if want <= 0 || b.level < least {
		return 0
	}
	n := math.Floor(max(least, b.level/float64(active)))
	n = min(float64(want), n)
	b.level -= n
	return int(n)
}

// account returns the customer's buckets, refilled. A bucket that is new here
// starts with what it would hold if an earlier home had emptied it just before
// the membership last changed.
func (h *Home) account(now monotime.Instant, c *catalog.Customer) *issued {
	requests, tokens := c.RequestsPerSecond*h.share, c.TokensPerSecond*h.share
	a := h.accounts[c.Hash]
	if a == nil {
		fill := max(startFill, now.Sub(h.since)).Seconds()
		a = &issued{
			requests: bucket{level: max(1, requests*fill), at: now},
			tokens:   bucket{level: max(1, tokens*fill), at: now},
		}
		h.accounts[c.Hash] = a
	}
	a.requests.refill(now, requests, burst(c, c.RequestsPerSecond))
	a.tokens.refill(now, tokens, burst(c, c.TokensPerSecond))
	return a
}

// active notes the holder and returns how many asked lately.
func (a *issued) active(now monotime.Instant, from string) int {
	kept := a.holders[:0]
	found := false
	for _, x := range a.holders {
		if x.id == from {
			x.asked = now
			found = true
		}
		if now.Sub(x.asked) < holderMemory {
			kept = append(kept, x)
		}
	}
	if !found && len(kept) < maxHolders {
		kept = append(kept, holder{from, now})
	}
	a.holders = kept
	return max(1, len(kept))
}

// Tick forgets customers that were idle for long. Call it now and then.
func (h *Home) Tick(now monotime.Instant) {
	if now.Sub(h.swept) < forgetAfter {
		return
	}
	h.swept = now
	for hash, a := range h.accounts {
		// A debt is forgotten after maxDebt, when it would be repaid anyway.
		if now.Sub(a.used) >= max(forgetAfter, maxDebt) {
			delete(h.accounts, hash)
		}
	}
}

// Len returns the number of customers held.
func (h *Home) Len() int {
	return len(h.accounts)
}
