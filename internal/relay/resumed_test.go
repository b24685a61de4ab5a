package relay

import "testing"

// Guards against a resumed stream that looks complete after an answer of the second server that holds no events.
func TestAStreamIsResumedWithEventsOnly(t *testing.T) {
	for name, second := range map[string]string{
		"no content": "HTTP/1.1 204 No Content\r\nX-Id: r\r\nX-Seal: s\r\n\r\n",
		"JSON":       answer("r", 200, "Content-Type: application/json\r\n", "{}"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{
				"s1": {sendThenReset(streamHead, chunk(events(1, 2)))}, "s2": {replying(second)},
			}, "s1", "s2")
			b.sockets = true
			if got := b.call("1.1", "POST", "/resumable/"); !got.broken {
				t.Errorf("got %+v", got)
			}
			b.close()
		})
	}
}
