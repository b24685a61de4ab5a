package membership

import (
	"testing"
	"time"
)

// headerBytes stands for TCP and IP headers of one frame.
const headerBytes = 52

func TestQuietTraffic(t *testing.T) {
	// Nothing happens. The cost of a member must not grow with the fleet once
	// the fleet is larger than a neighbourhood.
	const measured = 60 * time.Second
	perMember := map[int]float64{}
	for _, n := range []int{8, 16, 32, 64, 128, 360} {
		w := newNetwork(t, n)
		w.settle()
		w.run(10 * time.Second)
		bytes, frames := w.traffic()
		w.run(measured)
		endBytes, endFrames := w.traffic()
		share := float64(n) * measured.Seconds()
		perMember[n] = float64(endBytes-bytes) / share
		rate := float64(endFrames-frames) / share
		t.Logf("%3d members: %.0f B/s and %.1f frames/s sent per member, %.0f B/s with TCP/IP headers",
			n, perMember[n], rate, perMember[n]+rate*headerBytes)
	}
	if perMember[360] > 1.2*perMember[32] {
		t.Errorf("a member of 360 sends %.0f B/s, one of 32 sends %.0f B/s", perMember[360], perMember[32])
	}
}

func TestReplacementTraffic(t *testing.T) {
	// One member announces that it leaves, ends, and a new one takes its
	// place. What does that cost above the quiet state?
	const measured = 20 * time.Second
	for _, n := range []int{8, 64, 360} {
		w := newNetwork(t, n)
		w.settle()
		w.run(10 * time.Second)
		quietBytes, quietFrames := w.during(measured)
		id := w.ids[0]
		w.at(0, func() { w.procs[id].core.Leave(w.now, &sender{w, id}) })
		w.at(5*time.Second, func() { w.procs[id].core.Goodbye(w.now, &sender{w, id}) })
		w.at(5*time.Second+10*time.Millisecond, func() { w.kill(id) })
		w.at(8*time.Second, func() { w.start(id) })
		bytes, frames := w.during(measured)
		t.Logf("%3d members: a replacement costs %.0f B and %.1f frames sent per member",
			n, float64(bytes-quietBytes)/float64(n), float64(frames-quietFrames)/float64(n))
	}
}

func TestPartitionTraffic(t *testing.T) {
	// Half of the fleet is cut off and comes back. What does a member send
	// above the quiet state for each?
	const measured = 30 * time.Second
	for _, n := range []int{32, 128} {
		w := newNetwork(t, n)
		w.settle()
		w.run(10 * time.Second)
		quiet, _ := w.during(measured)
		half := w.ids[n/2]
		w.cut = func(a, b string) bool { return (a < half) != (b < half) }
		apart, _ := w.during(measured)
		w.cut = func(string, string) bool { return false }
		back, _ := w.during(measured)
		if !w.sees(w.ids, w.ids) {
			t.Error("the fleet is not whole again")
		}
		t.Logf("%3d members: %d B per member to part, %d B to rejoin", n, (apart-quiet)/n, (back-quiet)/n)
	}
}

// during returns what all members send within d.
func (w *network) during(d time.Duration) (bytes, frames int) {
	bytes, frames = w.traffic()
	w.run(d)
	endBytes, endFrames := w.traffic()
	return endBytes - bytes, endFrames - frames
}
