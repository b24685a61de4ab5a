package answerend

import "testing"

// Guards against doubt in whole answers, and against trust in those of servers that ended.
func TestAnEndIsDoubtfulOnlyWhereItsServerHasEnded(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		probes   bool
		want     Decision
	}{
		{"another connection open", Evidence{Siblings: Siblings{Open: 1}, Probe: Refused}, false, Whole},
		{"all ended, refused", Evidence{Siblings: Siblings{Ended: 3}, Probe: Refused}, true, Doubtful},
		{"none other, refused", Evidence{Probe: Refused}, true, Doubtful},
		{"none other, refused without confirmation", Evidence{Probe: Unconfirmed}, true, Doubtful},
		{"all ended, accepted", Evidence{Siblings: Siblings{Ended: 3}, Probe: Accepted}, true, Whole},
		{"all ended, accepted by the server", Evidence{Siblings: Siblings{Ended: 3}, Probe: Identified}, true, Whole},
		{"none other, accepted by another server", Evidence{Probe: Replaced}, true, Doubtful},
		{"all ended, accepted and dropped", Evidence{Siblings: Siblings{Ended: 3}, Probe: Dropped}, true, Doubtful},
		{"another connection open, dropped", Evidence{Siblings: Siblings{Open: 1}, Probe: Dropped}, false, Whole},
		{"unanswered", Evidence{Probe: Unanswered}, true, Whole},
		{"most ended, refused", Evidence{Siblings: Siblings{Open: 1, Ended: 2}, Probe: Refused}, true, Doubtful},
		{"most ended, accepted by the server", Evidence{Siblings: Siblings{Open: 1, Ended: 2}, Probe: Identified}, true, Whole},
		{"half of them open", Evidence{Siblings: Siblings{Open: 1, Ended: 1}, Probe: Refused}, false, Whole},
		{"most ended, no reply", Evidence{Siblings: Siblings{Open: 1, Ended: 2}, Probe: Unidentified}, true, Doubtful},
		{"none other, no reply", Evidence{Probe: Unidentified}, true, Whole},
		{"no time for a probe", Evidence{Probe: Interrupted}, true, Doubtful},
		{"no time, another connection open", Evidence{Siblings: Siblings{Open: 1}, Probe: Interrupted}, false, Whole},
		{"not probed", Evidence{Siblings: Siblings{Ended: 1}}, true, Whole},
	} {
		if got := c.evidence.NeedsProbe(); got != c.probes {
			t.Errorf("%s: needs a probe: %v", c.name, got)
		}
		if got := c.evidence.Decide(); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
