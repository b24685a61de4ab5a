package limits

import (
	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Overdraw admits a top-tier request that Admit or Recheck refused, if this instance's
// debt for the customer is below one burst. The debt is deducted from the permits that
// follow: requests of lower tiers are delayed, and the rate holds over time. Without it,
// the customer's lower-tier requests that came first would cause its top-tier requests to
// be refused.
func (l *Local) Overdraw(now monotime.Instant, c *catalog.Customer) bool {
	a := l.account(now, c)
	if a.fallback {
		return a.overdrawFallback()
	}
	if c.TokensPerSecond > 0 && a.tokens <= -burst(c, c.TokensPerSecond) {
		return false
	}
	if c.RequestsPerSecond > 0 {
		if float64(a.requests) <= -burst(c, c.RequestsPerSecond) {
			return false
		}
		a.requests--
	}
	l.scheduleAsk(a)
	return true
}

// overdrawFallback is Overdraw for an instance whose home does not answer.
func (a *localAccount) overdrawFallback() bool {
	c := a.customer
	if c.TokensPerSecond > 0 && a.fallbackTokens.level <= -burst(c, c.TokensPerSecond) {
		return false
	}
	if c.RequestsPerSecond > 0 && a.fallbackRequests.level <= -burst(c, c.RequestsPerSecond) {
		return false
	}
	a.fallbackRequests.level--
	return true
}
