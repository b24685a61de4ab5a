package relay

import "testing"

// Guards against answers that end with their connection and are not counted, or counted as open for good.
func TestAnswersWithoutAMarkedEndAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, version, path  string
		first                script
		begun, closed, reset int64
	}{
		{"stream, closed", "1.1", "/stream/", sendThenClose(closeStreamHead, events(1, 5)), 1, 1, 0},
		{"stream, closed inside an event", "1.1", "/stream/", sendThenClose(closeStreamHead, events(1, 2)+"id"), 1, 0, 1},
		{"plain, closed", "1.1", "/once/", sendThenClose(closePlainHead, "{}"), 1, 1, 0},
		{"stream in chunks", "1.1", "/stream/", replying(streamHead + chunk(events(1, 5)) + lastChunk), 0, 0, 0},
		{"stream in chunks to HTTP/1.0", "1.0", "/stream/", replying(streamHead + chunk(events(1, 5)) + lastChunk), 1, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {c.first, replying(), replying()}}, "s1")
			b.sockets = true
			b.call(c.version, "POST", c.path)
			b.close()
			m := b.relay.cfg.Metrics
			begun, closed, reset := m.unmarkedCount(unmarkedBegun), m.unmarkedCount(unmarkedClosed), m.unmarkedCount(unmarkedReset)
			if begun != c.begun || closed != c.closed || reset != c.reset || m.unmarkedOpen() != 0 {
				t.Errorf("begun %d, closed %d, reset %d; want %d, %d, %d", begun, closed, reset, c.begun, c.closed, c.reset)
			}
		})
	}
}
