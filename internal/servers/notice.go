package servers

import (
	"time"

	"basilrudder/internal/monotime"
)

// Notice is what a server says of itself in an answer.
type Notice struct {
	// Leaving says that it is about to end and wants no new requests.
	Leaving bool
	// Limited says that it takes no more than Rate requests a second, of all instances
	// together, for as long as its answers say so.
	Limited bool
	Rate    float64
	// Pause is how long it wants nothing more from this instance; 0 for no such wish.
	Pause time.Duration
}

// RateLimit is whether a server names a limit, and which.
type RateLimit struct {
	// Limited says that it names one.
	Limited bool
	// Rate in requests a second, of all instances together.
	Rate float64
	// At is when it was last known to say so: a limit counts from when its answer came,
	// the end of one from when the request was sent whose answer named none. Never
	// named: 0.
	At monotime.Instant
}

// ApplyNotice takes what a server said of itself in its answer to a request sent at an instant.
//
// Answers of one server overtake each other on their way, and an instance may read one
// late. An answer without a limit ends one only if its request was sent after the limit
// was last heard of: then the server wrote it after it had named the limit. That a server
// leaves is never taken back.
func (r *Registry) ApplyNotice(id string, n Notice, sent, now monotime.Instant) Change {
	rec := r.live[id]
	if rec == nil {
		return Unchanged
	}
	change := Unchanged
	if n.Leaving {
		change = rec.drain()
	}
	switch {
	case n.Limited:
		return max(change, r.SetRateLimit(id, RateLimit{Limited: true, Rate: n.Rate, At: now}))
	case rec.rateLimit.Limited:
		return max(change, r.SetRateLimit(id, RateLimit{At: sent}))
	default:
		return change
	}
}

// SetRateLimit takes whether a server names a limit, as its answer or a peer told. Older
// words than the one known change nothing.
func (r *Registry) SetRateLimit(id string, b RateLimit) Change {
	rec := r.live[id]
	if rec == nil || b.At <= rec.rateLimit.At {
		return Unchanged
	}
	previous := rec.rateLimit
	rec.rateLimit = b
	if previous.Limited == b.Limited && previous.Rate == b.Rate {
		return Unchanged
	}
	return Updated
}

// RateLimit returns whether a server names a limit; the zero value for one that is not known.
func (r *Registry) RateLimit(id string) RateLimit {
	if rec := r.live[id]; rec != nil {
		return rec.rateLimit
	}
	return RateLimit{}
}

// Limited returns the ids of the servers that name a limit.
func (r *Registry) Limited() []string {
	out := []string{}
	for _, id := range r.ids() {
		if r.live[id].rateLimit.Limited {
			out = append(out, id)
		}
	}
	return out
}
