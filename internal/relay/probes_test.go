package relay

import (
	"context"
	"testing"
	"testing/synctest"
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

// slowConfirmation is a connector whose servers refuse it, and whose peers don't answer in time.
type slowConfirmation struct{ directConnector }

func (slowConfirmation) Probe(context.Context, Target, Identify) answerend.Probe {
	return answerend.Refused
}

func (slowConfirmation) Confirm(context.Context, Target, Identify) answerend.Probe {
	time.Sleep(2 * maxEndHold)
	return answerend.Unconfirmed
}

// Guards against part of an answer that looks whole since no peer confirms in time that its server refuses.
func TestARefusalDoesNotCountLessWhileItIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenClose(closeStreamHead, events(1, 2))}}, "s1")
		b.relay = New(Config{Fleet: b.fleet, Protocol: plainProtocol{}, Connector: slowConfirmation{directConnector{b.dial}}})
		_, aborted := b.serve(request("POST", "/stream/", "r", "x"))
		b.close()
		if ends := b.relay.cfg.Metrics.ends.String(); !aborted || ends != `{"doubtful: new connection refused without confirmation": 1}` {
			t.Errorf("aborted %v, ends %s", aborted, ends)
		}
	})
}
