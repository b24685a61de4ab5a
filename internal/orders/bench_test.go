package orders

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// BenchmarkTick measures one tick of an instance whose engines have all converged.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{7, 2400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			w := newTestFleet(true, engines, engines)
			r := newInstance(w, catalogWith(1, engines, "m@1"), NewIssuer(engines, lease))
			w.run(time.Minute, r)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r.Tick(monotime.Instant(0), nil)
			}
		})
	}
}
