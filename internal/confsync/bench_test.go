package confsync

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// BenchmarkPropagation measures in virtual time how long a change of one value
// of 64 KiB takes to reach every instance of a 6-regular graph with 1 ms one
// way, and what it costs. The metrics do not depend on the machine.
func BenchmarkPropagation(b *testing.B) {
	for _, size := range []int{8, 24, 48, 96, 180, 360} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var last time.Duration
			var bytes, calls, quiet int
			for b.Loop() {
				net := newNetwork(b)
				net.ring(size, 7, 6)
				content := map[string]string{"a": pad("one", 64<<10), "b": pad("rest", 512<<10)}
				net.platform.publish(5, content)
				net.link()
				net.run(20 * time.Second)
				net.wantRevision(5)
				quiet = net.bytes
				net.run(20 * time.Second)
				quiet = net.bytes - quiet
				before, callsBefore := net.bytes, net.platform.calls
				published := net.now
				content["a"] = pad("two", 64<<10)
				net.platform.publish(6, content)
				net.run(time.Second)
				net.wantRevision(6)
				last = 0
				for _, n := range net.nodes {
					last = max(last, n.reachedAt[6].Sub(published))
				}
				bytes, calls = net.bytes-before, net.platform.calls-callsBefore
			}
			b.ReportMetric(float64(last)/float64(time.Millisecond), "ms-to-all")
			b.ReportMetric(float64(bytes)/float64(size), "bytes/instance/change")
			b.ReportMetric(float64(quiet)/float64(size)/20, "idle-bytes/instance/s")
			b.ReportMetric(float64(calls), "platform-calls/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func pad(text string, size int) string {
	return fmt.Sprintf("%-*s", size, text)
}

// BenchmarkAnswer is the work for one question of a neighbour.
func BenchmarkAnswer(b *testing.B) {
	net := newNetwork(b)
	net.ring(8, 1, 4)
	net.platform.publish(5, values(5))
	net.link()
	net.run(time.Second)
	n := net.nodes[net.ids[0]]
	offer := *n.core.offer(net.now)
	offer.Question = 1
	b.ReportAllocs()
	for b.Loop() {
		n.core.OnOffer(monotime.Instant(net.now), n.neighbours[0], offer, n)
		net.events = net.events[:0]
	}
}
