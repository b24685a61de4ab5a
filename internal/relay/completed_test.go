package relay

import "testing"

// Guards against pauses of streams that were broken off being compared with predictions.
func TestOnlyWholeStreamsAreReportedAsCompleted(t *testing.T) {
	for name, c := range map[string]struct {
		first script
		want  int
		ended bool // the server, with the stream
	}{
		"whole":                     {replying(streamHead + chunk(events(1, 5)) + lastChunk), 1, false},
		"whole, closed":             {sendThenClose(closeStreamHead, events(1, 5)), 1, false},
		"closed as its server ends": {sendThenClose(closeStreamHead, events(1, 5)), 0, true},
		"without the last chunk":    {sendThenClose(streamHead, chunk(events(1, 5))), 0, false},
		"closed inside an event":    {sendThenClose(closeStreamHead, events(1, 5)+"id"), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			scripts := []script{c.first}
			if !c.ended {
				scripts = append(scripts, replying(), replying())
			}
			b := newRig(t, allRoutes, map[string][]script{"s1": scripts}, "s1")
			b.sockets = true
			b.call("1.1", "POST", "/stream/")
			b.close()
			if b.fleet.completed != c.want || b.fleet.ended != 1 {
				t.Errorf("%d completed, %d ended", b.fleet.completed, b.fleet.ended)
			}
		})
	}
}
