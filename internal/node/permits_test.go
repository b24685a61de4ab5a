package node

import (
	"testing"
	"time"

	"basilrudder/internal/limits"
	"basilrudder/internal/verdict"
)

// burst sends requests of the limited customer to all live processes at three times its
// rate, and returns those calls.
func (w *world) burst(d time.Duration) []*call {
	var calls []*call
	for end := w.Now().Add(d); w.Now() < end; {
		for _, p := range w.procs {
			if c := w.sendAs(p, "limited", "often"); c != nil {
				calls = append(calls, c)
			}
		}
		w.Run(time.Second * time.Duration(len(w.procs)) / (3 * limitedRate))
	}
	w.Run(5 * time.Second)
	return calls
}

// countRateLimited counts the calls refused by the limit and the others.
func (w *world) countRateLimited(calls []*call) (refused, admitted int) {
	for _, c := range calls {
		if c.err != nil && c.err.Reason == verdict.ReasonRateLimited {
			refused++
			if c.err.Verdict != verdict.NotRun || c.err.RetryAfter <= 0 {
				w.fail("%s: refused with %v, retry after %v", c.id, c.err.Verdict, c.err.RetryAfter)
			}
		} else {
			admitted++
		}
	}
	return refused, admitted
}

// Guards against a limit that applies per instance: three instances get three times the
// rate together. They hold permits of one home and must admit the rate once, not once
// each. Callers above the rate are answered "not run" with a time to retry.
func TestRateHoldsOverAllNodes(t *testing.T) {
	w := newWorld(t, 1)
	calls := w.burst(20 * time.Second)
	refused, admitted := w.countRateLimited(calls)
	t.Logf("%d admitted, %d refused in 20 s at %d a second", admitted, refused, limitedRate)
	if bound := limitedRate*(20+int(limits.Lease/time.Second)) + limitedRate; admitted > bound || admitted < limitedRate*18 {
		t.Errorf("%d admitted, want %d to %d", admitted, limitedRate*18, bound)
	}
	if left := w.unanswered(); len(left) > 0 {
		t.Errorf("no answer for %v", left)
	}
	w.reportFailures()
}

// Guards against refusing everybody when the home of a limit is lost. The member that
// keeps the customer's limit is killed; the others get no answer and must continue with
// their own shares after a short delay.
func TestLostHomeOfALimitRefusesNobodyForLong(t *testing.T) {
	w := newWorld(t, 1)
	w.burst(time.Second)
	home := w.procs[0].node.homeOf(w.procs[0].node.Catalog().Customers["limited"])
	for _, p := range w.procs {
		if p.name == home {
			p.dead = true
		}
	}
	calls := w.burst(10 * time.Second)
	refused, admitted := w.countRateLimited(calls)
	t.Logf("%d admitted, %d refused in 10 s without a home", admitted, refused)
	// Two of three instances admit a third of the rate each.
	if share := limitedRate * 10 * 2 / 3; admitted < share*8/10 || admitted > limitedRate*12 {
		t.Errorf("%d admitted, want about %d", admitted, share)
	}
	if left := w.unanswered(); len(left) > 0 {
		t.Errorf("no answer for %v", left)
	}
	w.reportFailures()
}
