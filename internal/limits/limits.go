// Package limits enforces customers' request and token rates over the whole fleet without
// a shared store. One member, the customer's home, holds the customer's token bucket and
// issues permits in blocks with a short lease. The instances that serve the customer are
// the holders: they spend the permits.
//
// Error bounds for a rate R, a burst C and the lease L, over any period W:
//
//   - While the home does not change, at most R·(W+L)+C is admitted: every permit was
//     taken from the bucket at most L before its use.
//   - Each change of the home adds at most R·1s+1, because a new home starts with one
//     second of the rate.
//   - In a partition the home of each part issues its share n/N of the rate, for n of N
//     members reached. All parts together issue R, each with its own burst. Until the
//     membership views have changed, a second home adds at most R times that delay.
//   - An instance that reaches no home admits R/N on its own.
//   - Tokens are charged as they are generated, so requests in flight when permits run
//     out may overdraw. The overdraft is repaid before anything new is issued: it delays
//     later requests and does not accumulate.
//
// The package does no I/O: the caller passes the current instant and carries the
// messages.
package limits

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Timing of permits.
const (
	// Lease is how long a permit may be used. Every second of it adds a second of the
	// rate to the bound on what is admitted. A shorter lease makes more permits expire
	// unused at holders that serve the customer rarely.
	Lease = 5 * time.Second
	// AnswerTimeout is how long an ask may remain unanswered before the holder treats its
	// home as unreachable. A request waits for a permit that long at most; below the
	// round-trip time between peers, holders would fall back although the home answers.
	AnswerTimeout = 300 * time.Millisecond

	// initialFill is the period of the rate that a new home starts with. A larger value
	// raises what each change of the home may add; a smaller one refuses more requests
	// after the change.
	initialFill = time.Second
	// prefetchPeriod is the period of recent use that an ask covers. A shorter period
	// costs more messages; one beyond Lease requests permits that expire unused.
	prefetchPeriod = 2 * time.Second
	// lowWater is the period of recent use below which the holder asks again. Below the
	// round-trip time to the home, permits run out before the answer arrives and requests
	// wait; a larger value keeps more of the rate at the holders, and what remains is
	// carried into the next lease.
	lowWater = 500 * time.Millisecond
	// usageTimeConstant is the time constant of the estimate of recent use. A longer one
	// follows changes of the load later; with a shorter one, single requests move the
	// estimate.
	usageTimeConstant = 2 * time.Second
	// holderTTL is how long a holder counts as active after an ask. A longer one reserves
	// part of the bucket for holders that are gone; a shorter one gives the part of
	// holders that ask rarely to the others.
	holderTTL = 5 * time.Second
	// idleTTL is how long the state of an idle customer is kept. A longer one costs
	// memory; a shorter one drops a holder's debt before it is repaid.
	idleTTL = time.Minute
	// issueQuantum is the smallest amount that is issued, as a period of the rate. A
	// smaller one costs more messages for a customer far above its rate; a larger one
	// makes its requests wait longer for permits.
	issueQuantum = 100 * time.Millisecond
	// sweepInterval is the time between two scans of a holder's accounts. A longer one
	// returns expired permits later; a shorter one scans all accounts more often.
	sweepInterval = 250 * time.Millisecond
	// maxDebt bounds an overdraft, as a period of the rate, and the wait that a refusal
	// reports. A larger value lets a single overdraft block the customer for longer; a
	// smaller one cancels debt that is then never repaid.
	maxDebt = time.Minute
)

// Limited reports whether the customer has any limit.
func Limited(c *catalog.Customer) bool {
	return c.RequestsPerSecond > 0 || c.TokensPerSecond > 0
}

// burst returns the capacity of a customer's bucket for a rate: at least 1.
func burst(c *catalog.Customer, perSecond float64) float64 {
	return max(1, perSecond*c.Burst.Seconds())
}

// bucket is a token bucket whose level may be negative. golang.org/x/time/rate supports
// neither debt nor returned permits, both of which permits in blocks require.
type bucket struct {
	level     float64
	updatedAt monotime.Instant
}

// refill adds what has accrued since the last refill.
func (b *bucket) refill(now monotime.Instant, perSecond, capacity float64) {
	b.level = min(capacity, b.level+perSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// wait returns the time until the level reaches target, at most maxDebt.
func (b *bucket) wait(target, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxDebt
	}
	missing := max(0, target-b.level)
	return min(maxDebt, time.Duration(math.Ceil(missing/perSecond*1e9)))
}

// meter estimates recent use per second by exponential decay.
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
