// Package hints schedules how often an instance polls the engines of its groups for load
// reports and cache events. Both are hints that arrive late and with gaps: a lost one
// costs nothing, so infrequent polling suffices. The package does no I/O and reads no
// clock.
package hints

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
)

// Intervals between two polls of one engine. With the seven engines per instance at the
// target size, both polls together use less than a third of the 6 KB/s that an instance
// may spend on control traffic; shorter intervals use more of it.
const (
	LoadEvery  = 5 * time.Second
	CacheEvery = 2 * time.Second
	// maxBackoff bounds the interval after failures, which doubles with each one. A
	// longer bound delays the reports of an engine that has recovered.
	maxBackoff = time.Minute
)

// Schedule determines which engines to poll. It is not safe for concurrent use.
type Schedule struct {
	every   time.Duration
	rng     *rand.Rand
	engines map[string]*engine
}

type engine struct {
	next     monotime.Instant
	inFlight bool
	failures int
}

// NewSchedule returns a schedule that polls each engine about once per interval every.
func NewSchedule(every time.Duration, seed uint64) *Schedule {
	return &Schedule{
		every:   every,
		rng:     rand.New(rand.NewPCG(seed, uint64(every))),
		engines: make(map[string]*engine),
	}
}

// Due appends to out the engines of ids to poll now; each must be followed by Done.
// Engines missing from ids are removed. At most maxInFlight polls are open at a time:
// otherwise unresponsive servers behind one failed switch would occupy all connections of
// the instance.
func (s *Schedule) Due(now monotime.Instant, ids []string, maxInFlight int, out []string) []string {
	s.setEngines(now, ids)
	inFlight := 0
	for _, id := range ids {
		if s.engines[id].inFlight {
			inFlight++
		}
	}
	for _, id := range ids {
		t := s.engines[id]
		if inFlight >= maxInFlight || t.inFlight || now.Before(t.next) {
			continue
		}
		t.inFlight = true
		inFlight++
		out = append(out, id)
	}
	return out
}

// setEngines adds new engines at a random point of their interval and removes those
// missing from ids. Without the random start, an instance that takes over many groups
// would poll all their engines at once.
func (s *Schedule) setEngines(now monotime.Instant, ids []string) {
	for _, id := range ids {
		t := s.engines[id]
		if t == nil {
			t = &engine{next: now.Add(time.Duration(s.rng.Int64N(int64(s.every))))}
			s.engines[id] = t
		}
	}
	if len(s.engines) == len(ids) {
		return
	}
	current := make(map[string]bool, len(ids))
	for _, id := range ids {
		current[id] = true
	}
	for id := range s.engines {
		if !current[id] {
			delete(s.engines, id)
		}
	}
}

// Done records the result of polling an engine. An engine that was removed meanwhile is
// ignored.
func (s *Schedule) Done(now monotime.Instant, id string, ok bool) {
	t := s.engines[id]
	if t == nil {
		return
	}
	t.inFlight = false
	if ok {
		t.failures = 0
	} else {
		t.failures++
	}
	t.next = now.Add(s.jitter(min(s.every<<min(t.failures, 8), max(s.every, maxBackoff))))
}

// jitter varies a wait by up to a quarter in both directions. Without it, instances that
// started together would poll at the same times forever.
func (s *Schedule) jitter(wait time.Duration) time.Duration {
	const fraction = 4
	return wait - wait/fraction + time.Duration(s.rng.Int64N(int64(2*wait/fraction)))
}
