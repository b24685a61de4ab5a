// Package gcpace sets how far the heap grows between two garbage collections. A fixed
// percentage is wrong for a process that holds much and allocates little: many such processes
// share a machine, and few collections are saved. With H bytes to grow by, G bytes allocated a
// second and L bytes to go through, collections cost time in proportion to G L / H, and
// memory grows with H; together they are least where H is proportional to the square root of
// G L (Kirisame et al., "Optimal heap limits for reducing browser memory use", 2022).
package gcpace

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// maxPercent and minPercent bound the growth relative to what the heap holds.
	maxPercent, minPercent = 300, 75
	// startPercent applies until the rate of allocation is known.
	startPercent = 100
	// factor of the square root, in seconds to the power of a half: with 4 MB held and 9 MB
	// allocated a second, the heap grows by 6 MB.
	factor = 1
	// rateWindow is the time constant of the rate of allocation.
	rateWindow = 5 * time.Second
	// minChange is the least change of the percentage that is applied: each change stops all
	// goroutines for a moment.
	minChange = 0.2
)

// Pacer adapts the percentage of the collector to what the process holds and allocates.
type Pacer struct {
	percent   int
	allocated uint64  // bytes, as of at
	rate      float64 // bytes a second
	at        monotime.Instant
	samples   []metrics.Sample
}

// New returns a Pacer and sets the percentage for the start.
func New(now monotime.Instant) *Pacer {
	debug.SetGCPercent(startPercent)
	p := &Pacer{percent: startPercent, samples: []metrics.Sample{
		{Name: "/gc/heap/allocs:bytes"}, {Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
	}}
	p.allocated, _ = p.read()
	p.at = now
	return p
}

// read returns the bytes allocated since the start, and those that the last collection went
// through, of which the collector takes the percentage.
func (p *Pacer) read() (allocated, held uint64) {
	metrics.Read(p.samples)
	for _, s := range p.samples[1:] {
		held += s.Value.Uint64()
	}
	return p.samples[0].Value.Uint64(), held
}

// Update applies the percentage for the present. It is called once a second or less often.
func (p *Pacer) Update(now monotime.Instant) {
	allocated, held := p.read()
	since := now.Sub(p.at).Seconds()
	if since <= 0 {
		return
	}
	weight := 1 - math.Exp(-since/rateWindow.Seconds())
	p.rate += weight * (float64(allocated-p.allocated)/since - p.rate)
	p.allocated, p.at = allocated, now
	next := percentFor(float64(held), p.rate)
	if math.Abs(float64(next-p.percent)) < minChange*float64(p.percent) {
		return
	}
	p.percent = next
	debug.SetGCPercent(next)
}

// percentFor returns the percentage for a process that holds so many bytes and allocates at a
// rate in bytes a second.
func percentFor(held, rate float64) int {
	if held <= 0 {
		return startPercent
	}
	growth := factor * math.Sqrt(held*rate)
	return int(min(max(minPercent, 100*growth/held), maxPercent))
}
