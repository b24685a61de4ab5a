package limits

import (
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Requests of lower tiers use up the customer's permits and the home says to wait.
// Without an overdraft, top-tier requests would be refused too. They may overdraw by one
// burst, and lower tiers must wait until the debt is repaid.
func TestTopTierOverdraftIsRepaidByLowerTiers(t *testing.T) {
	c := &catalog.Customer{Name: "c", Hash: 1, RequestsPerSecond: 2, Burst: 2 * time.Second}
	l := NewLocal()
	now := monotime.Instant(time.Second)
	give := func(requests, waitMS int) {
		l.Admit(now, c)
		l.SendAsks(now, func(*catalog.Customer) string { return "home" }, func(to string, _ wire.PermitAsk) {
			l.OnGive(now, to, wire.PermitGive{Customer: 1, Requests: requests, LeaseMS: 10_000, WaitMS: waitMS})
		})
	}
	give(0, 500)
	if v, _ := l.Recheck(now, c); v != Refused {
		t.Fatalf("lower-tier request without a permit: %v", v)
	}
	passed := 0
	for range 20 {
		if l.Overdraw(now, c) {
			passed++
		}
	}
	if passed != 4 {
		t.Errorf("%d top-tier requests were admitted, want a burst of 4", passed)
	}
	now = now.Add(time.Second)
	give(4, 0)
	if v, _ := l.Recheck(now, c); v == Admitted {
		t.Error("lower-tier request was admitted before the debt was repaid")
	}
	now = now.Add(time.Second)
	give(2, 0)
	if v, _ := l.Recheck(now, c); v != Admitted {
		t.Errorf("lower-tier request after the debt was repaid: %v", v)
	}
}
