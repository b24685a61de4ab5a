package relay

import (
	"context"
	"net"
	"slices"
	"testing"
)

// Guards against an incomplete answer whose caller's connection would end in order with the process.
func TestAnIncompleteAnswerIsResetWhenItsProcessEnds(t *testing.T) {
	for _, c := range []struct {
		name, version, path string
		first               script
		want                []bool
	}{
		{"stream", "1.1", "/stream/", sendThenClose(closeStreamHead, events(1, 5)), []bool{true, false}},
		{"stream cut inside an event", "1.1", "/stream/", sendThenClose(closeStreamHead, events(1, 2)+"id"), []bool{true}},
		{"plain", "1.1", "/once/", sendThenClose(closePlainHead, "{}"), []bool{true, false}},
		{"stream in chunks", "1.1", "/stream/", replying(streamHead + chunk(events(1, 5)) + lastChunk), nil},
		{"stream in chunks to HTTP/1.0", "1.0", "/stream/", replying(streamHead + chunk(events(1, 5)) + lastChunk), []bool{true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {c.first, replying(), replying()}}, "s1")
			b.sockets = true
			var got []bool
			b.relay.cfg.ResetOnClose = func(_ context.Context, reset bool) error { got = append(got, reset); return nil }
			b.call(c.version, "POST", c.path)
			b.close()
			if !slices.Equal(got, c.want) {
				t.Errorf("resets set %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an answer told as whole whose caller's connection was reset before its end.
func TestAnAnswerWhoseConnectionCanNotEndInOrderIsBrokenOff(t *testing.T) {
	for path, head := range map[string]string{"/stream/": closeStreamHead + events(1, 5), "/once/": closePlainHead + "{}"} {
		b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenClose(head, ""), replying(), replying()}}, "s1")
		b.sockets = true
		b.relay.cfg.ResetOnClose = func(_ context.Context, reset bool) error {
			if !reset {
				return net.ErrClosed
			}
			return nil
		}
		b.call("1.1", "POST", path)
		b.close()
		if closed, reset := b.relay.cfg.Metrics.unmarkedCount(unmarkedClosed), b.relay.cfg.Metrics.unmarkedCount(unmarkedReset); closed != 0 || reset != 1 {
			t.Errorf("%s: %d ends in order and %d resets are told", path, closed, reset)
		}
	}
}
