package crashes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// maxChance is the probability, over all suspects together, that content is refused that
	// was on servers that ended for other reasons.
	maxChance = 0.01
	// defaultExposure is assumed until runs have been observed.
	defaultExposure = time.Second
	// maxEnded bounds the servers whose ends are recorded, to the latest.
	maxEnded = 4096
	// settleExposures is how many times the mean exposure runs may take to show that a part
	// is harmless. Until then it is not rejected.
	settleExposures = 4
)

// rateSpans are the spans before the first end of some content that count for the rate at
// which other servers ended. The highest rate counts, since such ends come in bursts.
var rateSpans = [...]time.Duration{time.Second, 5 * time.Second, 20 * time.Second}

// ended is the end of a server, whatever ran there.
type ended struct {
	server string
	at     monotime.Instant
	pool   Pool
}

// Pool is the servers among which a request's server was chosen.
type Pool struct {
	// Service is its name.
	Service string
	// Servers is the number of those that had not ended before; 0 for unknown.
	Servers int
}

// Chance is how likely the ends recorded for some content are if it is harmless.
type Chance struct {
	// OtherEnds is the number of servers of the same services that ended in the same time
	// without the content.
	OtherEnds int
	// PerRun is the probability that the server of one run ends while the run would be blamed.
	PerRun float64
	// Required is the number of ends in a row that such chance does not explain.
	Required int
	// Unsettled means that runs that began after the first end may still go on unharmed.
	Unsettled bool
}

// SetExposure sets for how long a run is blamed if its server ends, on average: from the
// send of the request until some time after its first event.
func (t *Tracker) SetExposure(d time.Duration) { t.exposure = d }

// Ended reports whether the end of a server is recorded.
func (t *Tracker) Ended(server string) bool {
	_, ok := t.endedPools[server]
	return ok
}

// recordEnd records the end of a server.
func (t *Tracker) recordEnd(c *Crash) {
	if t.Ended(c.Server) {
		return
	}
	t.endedPools[c.Server] = c.Pool
	e := ended{server: c.Server, at: c.At, pool: c.Pool}
	t.ended = slices.Insert(t.ended, t.endedBefore(e.at), e)
	if len(t.ended) > maxEnded {
		delete(t.endedPools, t.ended[0].server)
		t.ended = slices.Delete(t.ended, 0, 1)
	}
}

// endedBefore returns the number of servers that ended before an instant.
func (t *Tracker) endedBefore(at monotime.Instant) int {
	i, _ := slices.BinarySearchFunc(t.ended, at, func(e ended, at monotime.Instant) int { return cmp.Compare(e.at, at) })
	return i
}

// forgetEnds removes the ends of servers for which drop returns true.
func (t *Tracker) forgetEnds(drop func(*ended) bool) {
	t.ended = slices.DeleteFunc(t.ended, func(e ended) bool {
		if !drop(&e) {
			return false
		}
		delete(t.endedPools, e.server)
		return true
	})
}

// chance returns how likely the ends of a suspect are if it is harmless. Those in explained
// have another culprit.
func (t *Tracker) chance(s *suspect, explained map[string]bool, now monotime.Instant) Chance {
	first, last := s.span()
	settle := settleExposures * t.exposure
	out := Chance{}
	for _, before := range rateSpans {
		from := first.Add(-before)
		// Content on most servers is on most that end meanwhile, which leaves few others. So the
		// time before it was blamed counts by itself too, and that after it was held back.
		for _, to := range []monotime.Instant{first - 1, last, min(now, last.Add(settle))} {
			others, perServer := t.otherEnds(s, explained, from, to)
			rate := perServer / to.Sub(from).Seconds()
			out.OtherEnds = max(out.OtherEnds, others)
			out.PerRun = max(out.PerRun, 1-math.Exp(-rate*t.exposure.Seconds()))
		}
	}
	out.Required = required(out.PerRun, len(t.suspects))
	out.Unsettled = !s.whole && now.Sub(first) < settle
	return out
}

// required returns how many ends in a row chance does not explain for one of several
// suspects, if each run of harmless content meets an end with some probability. More than
// maxEnds are never recorded.
func required(perRun float64, suspects int) int {
	n := minEnds
	for n <= maxEnds && float64(suspects)*math.Pow(perRun, float64(n)) > maxChance {
		n++
	}
	return n
}

// otherEnds returns the number of servers that ended in a span without the content, and
// that as a share of the servers of their services.
func (t *Tracker) otherEnds(s *suspect, explained map[string]bool, from, to monotime.Instant) (count int, perServer float64) {
	for _, e := range t.ended[t.endedBefore(from):t.endedBefore(to+1)] {
		if e.pool.Servers == 0 || s.ends[e.server] != nil || explained[e.server] || !s.services[e.pool.Service] {
			continue
		}
		count++
		perServer += 1 / float64(e.pool.Servers)
	}
	return count, perServer
}

// span returns when the first and the last server ended.
func (s *suspect) span() (first, last monotime.Instant) {
	for _, e := range s.ends {
		if first == 0 || e.at < first {
			first = e.at
		}
		last = max(last, e.at)
	}
	return first, last
}
