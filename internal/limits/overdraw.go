package limits

import (
	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Overdraw lets a request of the top tier pass that Admit or Again refused, as
// long as this instance's debt for the customer stays below one burst. The debt
// comes out of the permits that follow, so lower work pays for it and the rate
// holds over time. Without it a customer's own lower work, which came first,
// would have its top-tier requests turned away.
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
