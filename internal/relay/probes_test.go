package relay

import (
	"context"
	"testing"
	"time"

	"basilrudder/internal/answerend"
	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
)

// probeResults is a connector whose probes have given results, one after the other.
type probeResults struct {
	directConnector
	left []answerend.Probe
}

func (r *probeResults) Probe(context.Context, Target, Identify) (found answerend.Probe) {
	found, r.left = r.left[0], r.left[1:]
	return found
}

// Guards against a result from before an answer's end that says nothing of its server since.
func TestAnEarlierProbeIsReusedOnlyIfItStillHolds(t *testing.T) {
	target := Target{Server: servers.Server{ID: "s1"}}
	for earlier, reused := range map[answerend.Probe]bool{
		answerend.Refused: true, answerend.Replaced: true,
		answerend.Accepted: false, answerend.Identified: false, answerend.Dropped: false, answerend.Unanswered: false,
	} {
		connector := &probeResults{left: []answerend.Probe{earlier, "later"}}
		p := newProbes(connector, func(Target) Identify { return AnyServer })
		examine := func() answerend.Probe {
			return p.examine(t.Context(), target, monotime.Now(), func() bool { return true })
		}
		want := answerend.Probe("later")
		if reused {
			want = earlier
		}
		if got := examine(); got != earlier {
			t.Errorf("%s: first %s", earlier, got)
		}
		time.Sleep(time.Millisecond)
		if got := examine(); got != want {
			t.Errorf("%s: then %s", earlier, got)
		}
	}
}
