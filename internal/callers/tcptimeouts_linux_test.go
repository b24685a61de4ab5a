package callers

import (
	"testing"
	"time"
)

// Guards against an idle connection that the user timeout closes after one lost probe.
func TestProbesOfAnIdleConnectionFitInTheUserTimeout(t *testing.T) {
	for _, userTimeout := range []time.Duration{5 * time.Second, 10 * time.Second, time.Minute} {
		c := keepAlive(userTimeout)
		lost := 0
		// The kernel closes the connection at the first probe that is due once the user
		// timeout has passed and an earlier one was lost.
		for at := c.Idle; at < userTimeout || lost == 0; at += c.Interval {
			lost++
		}
		if lost < keepAliveCount {
			t.Errorf("user timeout %v: closed after %d lost probes", userTimeout, lost)
		}
		if last := c.Idle + time.Duration(c.Count)*c.Interval; last > userTimeout {
			t.Errorf("user timeout %v: probes go on until %v", userTimeout, last)
		}
	}
}
