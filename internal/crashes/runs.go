package crashes

import (
	"maps"

	"basilrudder/internal/monotime"
)

// maxRanParts bounds the parts whose runs are recorded. Beyond it old ones are dropped, or
// else all.
const maxRanParts = 8192

// Runs holds when an instance's requests with each part last ran without a crash, before
// any end made the part a suspect. It is not safe for concurrent use.
type Runs struct {
	begunAt map[Fingerprint]monotime.Instant
}

// NewRuns returns Runs without any.
func NewRuns() *Runs { return &Runs{begunAt: make(map[Fingerprint]monotime.Instant)} }

// Record records a run of a request with some parts whose answer began at an instant.
func (r *Runs) Record(parts []Fingerprint, begunAt monotime.Instant) {
	if len(r.begunAt) >= maxRanParts {
		maps.DeleteFunc(r.begunAt, func(_ Fingerprint, at monotime.Instant) bool { return begunAt.Sub(at) > exonerationTTL })
	}
	if len(r.begunAt) >= maxRanParts {
		clear(r.begunAt)
	}
	for _, part := range parts {
		r.begunAt[part] = max(r.begunAt[part], begunAt)
	}
}

// Last returns when the last run with a part began; false for none within exonerationTTL.
func (r *Runs) Last(part Fingerprint, now monotime.Instant) (begunAt monotime.Instant, ok bool) {
	at, ok := r.begunAt[part]
	return at, ok && now.Sub(at) <= exonerationTTL
}
