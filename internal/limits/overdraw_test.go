package limits

import (
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// What the caller of the top tier sees: service, up to a burst beyond the rate.
// The customer's lower work used the permits up; the home says to wait. The top
// tier goes into debt, the lower work waits until the debt is paid.
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
		t.Fatalf("lower work without a permit: %v", v)
	}
	passed := 0
	for range 20 {
		if l.Overdraw(now, c) {
			passed++
		}
	}
	if passed != 4 {
		t.Errorf("%d requests of the top tier passed, want a burst of 4", passed)
	}
	now = now.Add(time.Second)
	give(4, 0)
	if v, _ := l.Recheck(now, c); v == Admitted {
		t.Error("lower work was admitted before the debt was paid")
	}
	now = now.Add(time.Second)
	give(2, 0)
	if v, _ := l.Recheck(now, c); v != Admitted {
		t.Errorf("after the debt was paid: %v", v)
	}
}
