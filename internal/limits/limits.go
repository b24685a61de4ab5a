// Package limits holds customers' request and token rates over the fleet
// without a shared store. One member, the customer's home, keeps the customer's
// token bucket and issues permits in blocks with a short lease; the instances
// that serve the customer spend them.
//
// Error, for a rate R, a burst C and the lease L, over any time W:
//
//   - While the home stays, at most R·(W+L)+C is admitted: every permit was
//     taken from the bucket, at most L before its use.
//   - Each change of the home adds at most R·1s+1, since a new home starts with
//     one second of the rate.
//   - In a partition each part's home issues its share n/N of the rate, so that
//     all parts together issue R, each with its own burst; until the views have
//     changed a second home adds at most R times that delay.
//   - An instance that reaches no home admits R/N by itself.
//   - Tokens are charged as they appear: the requests in flight when permits
//     run out may overdraw. The overdraft is repaid before anything new is
//     issued, so it delays later requests and does not add up.
//
// The package is pure: the shell calls it with the current instant and carries
// its messages.
package limits

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Timing of permits.
const (
	// Lease is how long a permit may be used.
	Lease = 5 * time.Second
	// AnswerTimeout is how long an ask may stay without an answer before the
	// holder counts its home as unreachable.
	AnswerTimeout = 300 * time.Millisecond

	// initialFill is the time of the rate that a new home starts with.
	initialFill = time.Second
	// prefetchPeriod is the time of recent use that an ask covers.
	prefetchPeriod = 2 * time.Second
	// lowWater is the time of recent use below which the holder asks again.
	lowWater = 500 * time.Millisecond
	// usageTimeConstant is the time constant of the estimate of recent use.
	usageTimeConstant = 2 * time.Second
	// holderTTL is how long a holder counts as active after an ask.
	holderTTL = 5 * time.Second
	// idleTTL is how long an idle account or bucket is kept.
	idleTTL = time.Minute
	// issueQuantum is the time of a rate that is worth issuing.
	issueQuantum = 100 * time.Millisecond
	// sweepInterval is the time between looks at all accounts.
	sweepInterval = 250 * time.Millisecond
	// maxDebt bounds an overdraft, in time of the rate.
	maxDebt = time.Minute
)

// Limited reports whether the customer has any limit.
func Limited(c *catalog.Customer) bool {
	return c.RequestsPerSecond > 0 || c.TokensPerSecond > 0
}

// burst returns what may be used at once at a rate.
func burst(c *catalog.Customer, perSecond float64) float64 {
	return max(1, perSecond*c.Burst.Seconds())
}

// bucket is a token bucket whose level may go below zero. x/time/rate allows
// neither debts nor returns, which permits in blocks need.
type bucket struct {
	level     float64
	updatedAt monotime.Instant
}

// refill brings the level up to now.
func (b *bucket) refill(now monotime.Instant, perSecond, capacity float64) {
	b.level = min(capacity, b.level+perSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// wait returns the time until the level reaches want.
func (b *bucket) wait(target, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxDebt
	}
	missing := max(0, target-b.level)
	return min(maxDebt, time.Duration(math.Ceil(missing/perSecond*1e9)))
}

// meter estimates recent use per second.
type meter struct {
	sum       float64
	updatedAt monotime.Instant
}

func (m *meter) decay(now monotime.Instant) {
	m.sum *= math.Exp(-now.Sub(m.updatedAt).Seconds() / usageTimeConstant.Seconds())
	m.updatedAt = now
}

func (m *meter) add(now monotime.Instant, n float64) {
	m.decay(now)
	m.sum += n
}

func (m *meter) perSecond(now monotime.Instant) float64 {
	m.decay(now)
	return m.sum / usageTimeConstant.Seconds()
}
