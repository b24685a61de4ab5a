package limits

import (
	"testing"
	"time"

	"basilrudder/internal/catalog"
)

func requestLimit(perSecond float64, burst time.Duration) *catalog.Customer {
	return &catalog.Customer{Name: "c", Hash: 7, RequestsPerSecond: perSecond, Burst: burst}
}

// checkBound fails if more requests were admitted than the bound in the package comment
// allows.
func (f *fleet) checkBound(t *testing.T, admitted int, over time.Duration, extra float64) {
	t.Helper()
	c := f.customer
	bound := c.RequestsPerSecond*(over+Lease).Seconds() + burst(c, c.RequestsPerSecond) + extra
	t.Logf("admitted %d in %v, rate allows %.0f, bound %.0f; refused %d, %d messages, longest wait %v",
		admitted, over, c.RequestsPerSecond*over.Seconds(), bound, f.refused, f.messages, f.longestWait)
	if float64(admitted) > bound {
		t.Errorf("admitted %d, bound %.0f", admitted, bound)
	}
}

func TestFleetAdmitsAtTheRate(t *testing.T) {
	// A customer sends three times its rate to five instances, unevenly. The fleet must
	// admit no more than the bound and at least 90% of the rate.
	for _, rate := range []float64{1, 20, 200} {
		f := newFleet(t, 5, requestLimit(rate, 2*time.Second))
		f.sendRequests(3*rate, 0, 1, 2, 3, 4)
		f.Run(time.Minute)
		f.checkBound(t, f.admitted, time.Minute, 0)
		if float64(f.admitted) < 0.9*rate*60 {
			t.Errorf("admitted %d of %.0f", f.admitted, rate*60)
		}
	}
}

func TestRequestsBelowTheRateAreAdmitted(t *testing.T) {
	// A customer sends 70% of its rate. Permits are spread over several instances, and
	// some expire unused and are returned; at most 1% of the requests may be refused.
	f := newFleet(t, 5, requestLimit(20, 2*time.Second))
	f.sendRequests(14, 0, 1, 2, 3, 4)
	f.Run(5 * time.Minute)
	f.checkBound(t, f.admitted, 5*time.Minute, 0)
	if share := float64(f.refused) / float64(f.admitted+f.refused); share > 0.01 {
		t.Errorf("%.1f%% refused", 100*share)
	}
}

func TestHolderFallsBackWhenHomeCrashes(t *testing.T) {
	// The customer's home crashes. Until the membership changes, holders get no answer.
	// They must fall back to their own share of the rate, and no request may wait
	// longer than AnswerTimeout and two ticks. Then another member becomes home with a
	// new bucket.
	f := newFleet(t, 5, requestLimit(50, 2*time.Second))
	f.sendRequests(150, 1, 2, 3)
	f.Run(20 * time.Second)
	f.instances[0].dead = true
	before := f.admitted
	f.Run(4 * time.Second)
	withoutHome := f.admitted - before
	f.setMembership(1, 4, 5)
	f.Run(36 * time.Second)
	f.checkBound(t, f.admitted, time.Minute, 50+1)
	t.Logf("admitted %d in the 4 s without a home", withoutHome)
	if withoutHome == 0 {
		t.Error("no request was admitted while the home was down")
	}
	if f.longestWait > AnswerTimeout+2*testTick {
		t.Errorf("a request waited %v", f.longestWait)
	}
}

func TestHomeChangesStayWithinBound(t *testing.T) {
	// The membership changes every 5 s and the customer's home moves each time. Each move
	// may add at most one second of the rate, plus one request.
	f := newFleet(t, 5, requestLimit(50, 2*time.Second))
	f.sendRequests(150, 0, 1, 2, 3, 4)
	const moves = 12
	for i := range moves {
		f.Run(5 * time.Second)
		f.setMembership(i%5, 5, 5)
	}
	f.checkBound(t, f.admitted, moves*5*time.Second, moves*(50+1))
	if f.admitted < 50*60*8/10 {
		t.Errorf("admitted %d of %d", f.admitted, 50*60)
	}
}

func TestPartitionStaysWithinBound(t *testing.T) {
	// Two of five instances are cut off for 40 s. The home of each part issues its share
	// of the rate, so both together stay within the limit. Only until the views change
	// may the two homes issue more.
	f := newFleet(t, 5, requestLimit(50, 2*time.Second))
	f.sendRequests(150, 0, 1, 2)
	f.sendRequests(150, 3, 4)
	f.Run(10 * time.Second)
	isolated := func(i int) bool { return i >= 3 }
	f.partitioned = func(a, b int) bool { return isolated(a) != isolated(b) }
	f.Run(6 * time.Second)
	f.setMembership(0, 3, 5, 0, 1, 2)
	f.setMembership(3, 2, 5, 3, 4)
	before := f.admitted
	f.Run(34 * time.Second)
	duringPartition := f.admitted - before
	f.partitioned = func(int, int) bool { return false }
	f.setMembership(0, 5, 5)
	f.Run(10 * time.Second)
	f.checkBound(t, duringPartition, 34*time.Second, 100+51)
	f.checkBound(t, f.admitted, time.Minute, 100+51+50*6)
	if duringPartition < 50*34*8/10 {
		t.Errorf("admitted %d of %d during the partition", duringPartition, 50*34)
	}
}

func TestTokenOverdraftIsRepaid(t *testing.T) {
	// Answers of unknown length use up the token rate. Requests in flight overdraw when the
	// permits run out. The debt must be repaid: the fleet stays at its rate over 2 min.
	c := &catalog.Customer{Name: "c", Hash: 7, TokensPerSecond: 1000, Burst: 2 * time.Second}
	f := newFleet(t, 3, c)
	for i := range 1200 {
		f.After(time.Duration(i)*100*time.Millisecond, func() { f.generateTokens(i%3, 200) })
	}
	f.Run(2 * time.Minute)
	allowed := 1000 * 120
	inFlight := 3 * 20 * 200 // three instances, 2 s of arrivals each
	t.Logf("generated %d tokens in 2 min, rate allows %d; %d admitted, %d refused", f.tokens, allowed, f.admitted, f.refused)
	if f.tokens > allowed+2000+inFlight || f.tokens < allowed*85/100 {
		t.Errorf("generated %d tokens, rate allows %d", f.tokens, allowed)
	}
}

func TestPausedHolderDoesNotUseExpiredPermits(t *testing.T) {
	// A holder is paused with unused permits and resumes after their lease. The home may
	// have issued others since, so the expired ones must not be used.
	f := newFleet(t, 2, requestLimit(10, time.Second))
	in := f.instances[1]
	in.request()
	f.Run(20 * time.Millisecond)
	in.local.accounts[7].requests = 5
	f.Run(Lease + testTick)
	if decision, _ := in.local.Admit(f.Now(), f.customer); decision != Waiting {
		t.Errorf("decision %v with expired permits", decision)
	}
}

func TestUnlimitedCustomersNeedNoPermits(t *testing.T) {
	f := newFleet(t, 2, &catalog.Customer{Name: "c", Hash: 7})
	f.sendRequests(100, 0, 1)
	f.Run(10 * time.Second)
	if f.refused != 0 || f.messages != 0 || f.instances[0].local.Len() != 0 {
		t.Errorf("%d refused, %d messages, %d accounts", f.refused, f.messages, f.instances[0].local.Len())
	}
}
