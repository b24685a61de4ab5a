package relay

import "testing"

// Guards against a reset before the first bytes of an answer that is taken for its end.
func TestAResetWhileTheFirstBytesAreAwaitedIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct{ head, headers string }{
		"plain":               {closePlainHead, ""},
		"events after a part": {closeStreamHead, "X-Resume: 3\r\nX-First-Try: f\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenReset(c.head), replying(), replying()}}, "s1")
			b.fleet.origins = map[string]StreamOrigin{"f": {Known: true}}
			b.sockets = true
			got := b.callBody("1.1", "POST", "/resumable/", c.headers, "x")
			b.close()
			if got.status == 200 && !got.broken || got.status == 503 {
				t.Errorf("the caller got %v", got)
			}
		})
	}
}
