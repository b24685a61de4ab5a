package crashes

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// fallWindow is the span before the end of a brittle server in which its refusals
	// count. Servers count over a second; the rest is for answers and ends that are seen
	// late.
	fallWindow = 1200 * time.Millisecond
	// fallTTL is how long refusals and reports of them are kept. Reports of all instances
	// on one end arrive within a second.
	fallTTL = 5 * time.Second
	// maxFallServers bounds the servers whose refusals or ends are kept, and
	// maxRefusalsKept the refusals of one: a server that survives more of them in a
	// second refuses nearly all it gets.
	maxFallServers, maxRefusalsKept = 1024, 256
)

// Falls decides which ends of brittle servers are explained by the requests that they
// refused before. It is not safe for concurrent use.
type Falls struct {
	// refused is when servers refused requests of this instance, oldest first.
	refused map[string][]monotime.Instant
	ends    map[string]*end
}

// end is what instances have reported of the end of a server.
type end struct {
	at monotime.Instant
	// refusals before the end, by instance.
	refusals map[string]int
}

// NewFalls returns Falls that know of no refusal.
func NewFalls() *Falls {
	return &Falls{refused: make(map[string][]monotime.Instant), ends: make(map[string]*end)}
}

// Refused records that a server refused a request of this instance.
func (f *Falls) Refused(server string, now monotime.Instant) {
	f.expire(now)
	if _, ok := f.refused[server]; !ok && len(f.refused) >= maxFallServers {
		return
	}
	recent := append(f.refused[server], now)
	f.refused[server] = recent[max(0, len(recent)-maxRefusalsKept):]
}

// Before returns how many requests of this instance a server refused shortly before its
// end.
func (f *Falls) Before(server string, endedAt monotime.Instant) (count int) {
	for _, at := range f.refused[server] {
		if since := endedAt.Sub(at); since >= 0 && since < fallWindow {
			count++
		}
	}
	return count
}

// Report records how many requests of an instance a server refused shortly before its end.
// It reports whether this is new, and whether the refusals of all instances explain the end
// of a server that survives maxRefusals a second: they are more than half of what it takes.
// The others may be those of instances that no report came from.
func (f *Falls) Report(server, instance string, refusals int, maxRefusals float64, endedAt, now monotime.Instant) (isNew, explained bool) {
	f.expire(now)
	e := f.ends[server]
	if e == nil {
		if len(f.ends) >= maxFallServers {
			return false, false
		}
		e = &end{at: endedAt, refusals: make(map[string]int)}
		f.ends[server] = e
	}
	isNew = refusals > e.refusals[instance]
	if isNew {
		e.refusals[instance] = refusals
	}
	sum := 0
	for _, n := range e.refusals {
		sum += n
	}
	return isNew, sum > 0 && 2*float64(sum) > maxRefusals
}

func (f *Falls) expire(now monotime.Instant) {
	for server, recent := range f.refused {
		recent = slices.DeleteFunc(recent, func(at monotime.Instant) bool { return now.Sub(at) > fallTTL })
		if f.refused[server] = recent; len(recent) == 0 {
			delete(f.refused, server)
		}
	}
	for server, e := range f.ends {
		if now.Sub(e.at) > fallTTL {
			delete(f.ends, server)
		}
	}
}
