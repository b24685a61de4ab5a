package membership

import (
	"testing"
	"time"
)

// tcpIPHeaderBytes is the size of the TCP and IP headers of one frame.
const tcpIPHeaderBytes = 52

func TestTrafficPerMemberDoesNotGrowWithFleet(t *testing.T) {
	// In one fleet of each size: all start at once; nothing happens; one member is
	// replaced after an announced end; one is killed. The cost per member must not grow
	// with the fleet once it is larger than a neighbourhood.
	idle := map[int]float64{}
	for _, n := range []int{8, 16, 32, 64, 128, 360} {
		if n > largestFleet {
			break
		}
		w := newNetwork(t, n)
		started := w.settle()
		w.Run(10 * time.Second)
		idle[n] = w.logIdle()
		w.logReplacement()
		w.kill(w.ids[n/2])
		t.Logf("%3d members: all discovered all %v after a common start, and dropped a killed one after %v",
			n, started, w.settle())
	}
	if idle[largestFleet] > 1.2*idle[32] {
		t.Errorf("a member of %d sends %.0f B/s, one of 32 sends %.0f B/s", largestFleet, idle[largestFleet], idle[32])
	}
}

// logIdle logs and returns the bytes per second that a member sends.
func (w *network) logIdle() float64 {
	const measured = 10 * time.Second
	bytes, frames := w.trafficDuring(measured)
	share := float64(len(w.ids)) * measured.Seconds()
	perMember, rate := float64(bytes)/share, float64(frames)/share
	w.t.Logf("%3d members: idle: %.0f B/s and %.1f frames/s sent per member, %.0f B/s with TCP/IP headers",
		len(w.ids), perMember, rate, perMember+rate*tcpIPHeaderBytes)
	return perMember
}

// logReplacement replaces one member with an announced end and logs the cost above the
// idle state.
func (w *network) logReplacement() {
	const measured = 15 * time.Second
	quietBytes, quietFrames := w.trafficDuring(measured)
	id, n := w.ids[0], float64(len(w.ids))
	w.After(0, func() { w.procs[id].core.Leave(w.Now(), &sender{w, id}) })
	w.After(5*time.Second, func() { w.procs[id].core.Goodbye(w.Now(), &sender{w, id}) })
	w.After(5*time.Second+10*time.Millisecond, func() { w.kill(id) })
	w.After(8*time.Second, func() { w.start(id) })
	bytes, frames := w.trafficDuring(measured)
	w.t.Logf("%3.0f members: a replacement: %.0f B and %.1f frames sent per member",
		n, float64(bytes-quietBytes)/n, float64(frames-quietFrames)/n)
}

func TestPartitionTraffic(t *testing.T) {
	// Half of the fleet is cut off and reconnected. Logs what a member sends above the
	// idle state for each.
	const measured = 30 * time.Second
	for _, n := range []int{32, 64} {
		w := newNetwork(t, n)
		w.settle()
		w.Run(10 * time.Second)
		idle, _ := w.trafficDuring(measured)
		half := w.ids[n/2]
		w.cut = func(a, b string) bool { return (a < half) != (b < half) }
		apart, _ := w.trafficDuring(measured)
		w.cut = func(string, string) bool { return false }
		back, _ := w.trafficDuring(measured)
		if !w.sees(w.ids, w.ids) {
			t.Error("the parts did not merge")
		}
		t.Logf("%3d members: %d B per member to separate, %d B to merge", n, (apart-idle)/n, (back-idle)/n)
	}
}

// trafficDuring returns what all members send within d.
func (w *network) trafficDuring(d time.Duration) (bytes, frames int) {
	bytes, frames = w.traffic()
	w.Run(d)
	endBytes, endFrames := w.traffic()
	return endBytes - bytes, endFrames - frames
}
