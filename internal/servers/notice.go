package servers

import (
	"maps"
	"math"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// Notice is what a server reports about itself in an answer.
type Notice struct {
	// Leaving is true if the server is about to end and accepts no new requests.
	Leaving bool
	// Limited is true if the server accepts at most Rate requests a second of all
	// instances together. It holds for as long as its answers advertise it.
	Limited bool
	Rate    float64
	// Pause is how long the server accepts nothing more from this instance; 0 for no
	// pause.
	Pause time.Duration
	// Brittle is true if the server fails when it has to refuse more than MaxRefusals
	// requests a second of all instances together. It holds for as long as its answers
	// say so.
	Brittle     bool
	MaxRefusals float64
	// Refused is true if the server refused the request for lack of capacity.
	Refused bool
}

// ValidRate reports whether a number of requests a second, received from outside, can be
// applied.
func ValidRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }

// Brittleness is how many refusals a server survives, if it says so.
type Brittleness struct {
	Brittle     bool
	MaxRefusals float64
	// At is when this was last confirmed, as in RateLimit; 0 if it never was.
	At monotime.Instant
}

// refusalShare is the share of the refusals that a brittle server survives up to which the
// fleet sends it requests after a refusal. Two sets of instances that do not know of each
// other, each within its limit, then stay within the number together.
const refusalShare = 0.5

// refusalWindow is the span over which brittle servers count their refusals. For as long,
// a server that refused counts as full, whatever else it answers.
const refusalWindow = time.Second

// limitRefresh is after how long a limit that was confirmed unchanged counts as a change, so
// that peers receive it: with the instant of an old one they would end it sooner.
const limitRefresh = 200 * time.Millisecond

// RateLimit is the limit that a server advertises, if any.
type RateLimit struct {
	// Limited is true if it advertises one.
	Limited bool
	// Rate in requests a second, of all instances together.
	Rate float64
	// At is when this was last confirmed: for a limit, when the answer with it arrived;
	// for the end of one, when the request was sent whose answer had none. 0 if no limit
	// was ever advertised.
	At monotime.Instant
}

// ApplyNotice applies what a server reported in its answer to a request sent at an
// instant.
//
// Answers of one server may arrive out of order, and an instance may read one late. An
// answer without a limit ends one only if its request was sent after the limit was last
// received: then the server wrote it after advertising the limit. Leaving is never
// undone.
func (r *Registry) ApplyNotice(id string, n Notice, sent, now monotime.Instant) Change {
	rec := r.live[id]
	if rec == nil {
		return Unchanged
	}
	change := Unchanged
	if n.Leaving {
		change = rec.drain()
		r.updateDigest(rec)
	}
	change = max(change, r.applyBrittleness(id, n, sent, now))
	switch {
	case n.Limited:
		return max(change, r.SetRateLimit(id, RateLimit{Limited: true, Rate: n.Rate, At: now}))
	case n.Brittle && n.Refused:
		// It had no room although it was expected to have some.
		return max(change, r.SetRateLimit(id, RateLimit{Limited: true, Rate: refusalShare * n.MaxRefusals, At: now}))
	case rec.rateLimit.Limited && (!n.Brittle || sent.Sub(rec.rateLimit.At) >= refusalWindow):
		return max(change, r.SetRateLimit(id, RateLimit{At: sent}))
	default:
		return change
	}
}

// SetRateLimit applies a limit, or its end, received from a server or a peer. One that is
// older than the current state is ignored.
func (r *Registry) SetRateLimit(id string, b RateLimit) Change {
	rec := r.live[id]
	if rec == nil || b.At <= rec.rateLimit.At {
		return Unchanged
	}
	previous := rec.rateLimit
	rec.rateLimit = b
	if b.Limited {
		r.limited[id] = struct{}{}
	} else {
		delete(r.limited, id)
	}
	confirmed := b.Limited && b.At.Sub(previous.At) >= limitRefresh && r.Brittleness(id).Brittle
	if previous.Limited == b.Limited && previous.Rate == b.Rate && !confirmed {
		return Unchanged
	}
	return Updated
}

func (r *Registry) applyBrittleness(id string, n Notice, sent, now monotime.Instant) Change {
	switch {
	case n.Brittle:
		return r.SetBrittleness(id, Brittleness{Brittle: true, MaxRefusals: n.MaxRefusals, At: now})
	case r.live[id].brittleness.Brittle:
		return r.SetBrittleness(id, Brittleness{At: sent})
	default:
		return Unchanged
	}
}

// SetBrittleness applies what a server or a peer said of refusals. What is older than the
// current state is ignored.
func (r *Registry) SetBrittleness(id string, b Brittleness) Change {
	rec := r.live[id]
	if rec == nil || b.At <= rec.brittleness.At {
		return Unchanged
	}
	previous := rec.brittleness
	rec.brittleness = b
	if b.Brittle {
		r.brittle[id] = struct{}{}
	} else {
		delete(r.brittle, id)
	}
	if previous.Brittle == b.Brittle && previous.MaxRefusals == b.MaxRefusals {
		return Unchanged
	}
	return Updated
}

// Brittleness returns what a server says of refusals; the zero value for an unknown one.
func (r *Registry) Brittleness(id string) Brittleness {
	if rec := r.live[id]; rec != nil {
		return rec.brittleness
	}
	return Brittleness{}
}

// BrittleCount returns the number of servers that say that they are brittle.
func (r *Registry) BrittleCount() int { return len(r.brittle) }

// RateLimit returns the limit that a server advertises; the zero value for an unknown
// server.
func (r *Registry) RateLimit(id string) RateLimit {
	if rec := r.live[id]; rec != nil {
		return rec.rateLimit
	}
	return RateLimit{}
}

// RateLimited returns the ids of the servers that advertise a limit, sorted.
func (r *Registry) RateLimited() []string {
	out := slices.AppendSeq(make([]string, 0, len(r.limited)), maps.Keys(r.limited))
	slices.Sort(out)
	return out
}

// RateLimitedCount returns the number of servers that advertise a limit.
func (r *Registry) RateLimitedCount() int { return len(r.limited) }
