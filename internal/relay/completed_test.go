package relay

import "testing"

// Guards against pauses of streams that were broken off being compared with predictions.
func TestOnlyWholeStreamsAreReportedAsCompleted(t *testing.T) {
	for name, c := range map[string]struct {
		first script
		want  int
	}{
		"whole":                  {replying(streamHead + chunk(events(1, 5)) + lastChunk), 1},
		"whole, closed":          {sendThenClose(closeStreamHead, events(1, 5)), 1},
		"without the last chunk": {sendThenClose(streamHead, chunk(events(1, 5))), 0},
		"closed inside an event": {sendThenClose(closeStreamHead, events(1, 5)+"id"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {c.first}}, "s1")
			b.sockets = true
			b.call("1.1", "POST", "/stream/")
			b.close()
			if b.fleet.completed != c.want || b.fleet.ended != 1 {
				t.Errorf("%d completed, %d ended", b.fleet.completed, b.fleet.ended)
			}
		})
	}
}
