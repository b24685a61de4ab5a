package confsync

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/vtime"
)

// fleetShape holds the parameters that the propagation time depends on.
type fleetShape struct {
	instances   int
	regionDelay time.Duration
	installTime time.Duration
}

// BenchmarkPropagation measures in virtual time how long a change of one value
// of 64 KiB takes to be in force at every instance of a 6-regular graph over 7
// data centres, and what it costs. The metrics do not depend on the machine.
func BenchmarkPropagation(b *testing.B) {
	const check, far = 100 * time.Millisecond, 20 * time.Millisecond
	shapes := []fleetShape{{8, 0, 0}, {24, 0, 0}, {48, 0, 0}, {96, 0, 0}, {180, 0, 0}, {360, 0, 0}, {360, 0, check}, {360, far, check}}
	for _, shape := range shapes {
		name := fmt.Sprintf("%d/region=%v/check=%v", shape.instances, shape.regionDelay, shape.installTime)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				shape.measure(b)
			}
		})
	}
}

func (s fleetShape) measure(b *testing.B) {
	net := newNetwork(b)
	net.installTime = s.installTime
	net.delay = func(x, y *node) time.Duration {
		if (x.dc < "dc-4") != (y.dc < "dc-4") {
			return peerDelay + s.regionDelay
		}
		return peerDelay
	}
	net.ring(s.instances, 7, 6)
	content := map[string]string{"a": pad("one", 64<<10), "b": pad("rest", 512<<10)}
	net.platform.publish(5, content)
	net.updateLinks()
	net.Run(20 * time.Second)
	net.wantRevision(5)
	idle := net.bytes
	net.Run(20 * time.Second)
	idle = net.bytes - idle
	before, callsBefore := net.bytes, net.platform.calls
	published := net.Now()
	content["a"] = pad("two", 64<<10)
	net.platform.publish(6, content)
	net.Run(3 * time.Second)
	net.wantRevision(6)
	last := time.Duration(0)
	for _, n := range net.nodes {
		last = max(last, n.reachedAt[6].Sub(published))
	}
	count := float64(s.instances)
	b.ReportMetric(float64(last)/float64(time.Millisecond), "ms-to-all")
	b.ReportMetric(float64(net.bytes-before)/count, "bytes/instance/change")
	b.ReportMetric(float64(idle)/count/20, "idle-bytes/instance/s")
	b.ReportMetric(float64(net.platform.calls-callsBefore), "platform-calls/change")
	b.ReportMetric(0, "ns/op")
}

func pad(text string, size int) string {
	return fmt.Sprintf("%-*s", size, text)
}

// BenchmarkAnswer measures the work for one query of a neighbour.
func BenchmarkAnswer(b *testing.B) {
	net := newNetwork(b)
	net.ring(8, 1, 4)
	net.platform.publish(5, values(5))
	net.updateLinks()
	net.Run(time.Second)
	n := net.nodes[net.ids[0]]
	now := net.Now()
	offer := *n.core.offer(now)
	offer.Question = 1
	b.ReportAllocs()
	for b.Loop() {
		n.core.OnOffer(now, n.neighbours[0], offer, n)
		net.Loop = vtime.Loop{}
	}
}
