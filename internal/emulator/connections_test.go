//go:build !race

package emulator

import (
	"testing"
	"time"
)

// openedShare returns the share of requests sent for which a connection was opened.
func (r *Result) openedShare() float64 { return float64(r.Opened) / float64(r.Opened+r.Reused) }

// Guards against a new connection for most requests, and late requests or rereads to avoid it.
func TestALargeFleetReusesConnections(t *testing.T) {
	uneven := scenario(t, "uneven-engines")
	uneven.Length = 7 * time.Second
	changing, even := uneven, uneven
	changing.Uneven, even.Uneven = Uneven{}, Uneven{}
	changing.Faults = []Fault{{At: 2 * time.Second, For: 3 * time.Second, Share: 0.33, SlowFactor: 2.4}}
	for name, s := range map[string]Scenario{"uneven": uneven, "changing": changing, "even": even} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			on := Run(s, 1)
			s.Features.PreferOpenConnections = false
			off := Run(s, 1)
			read := func(r *Result) float64 { return float64(r.PromptTokensRead) / float64(r.PromptTokens) }
			t.Logf("on time %.3f, opened %.3f, %.4f of prompts read; off %.3f, %.3f, %.4f",
				on.OnTime(), on.openedShare(), read(&on), off.OnTime(), off.openedShare(), read(&off))
			if on.openedShare() > 0.85*off.openedShare() {
				t.Errorf("%.3f of requests open a connection, %.3f without preference", on.openedShare(), off.openedShare())
			}
			if on.OnTime() < off.OnTime()-0.02 {
				t.Errorf("%.3f on time, %.3f without preference", on.OnTime(), off.OnTime())
			}
			if read(&on) > 1.02*read(&off) {
				t.Errorf("%.4f of prompts are read, %.4f without preference", read(&on), read(&off))
			}
		})
	}
}
