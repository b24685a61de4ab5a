// Package hints decides when an instance asks the engines of its groups for
// load reports and cache events. Both are hints: they come late and with gaps,
// so a lost one costs nothing and asking seldom is enough. It does no I/O and
// reads no clock.
package hints

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
)

// Intervals between two questions to one engine. With the seven engines that
// fall to an instance at the target's size, both together take less than a third
// of the 6 KB/s an instance may spend on control.
const (
	LoadEvery  = 5 * time.Second
	CacheEvery = 2 * time.Second
	// maxBackoff bounds the wait after failures, which doubles.
	maxBackoff = time.Minute
)

// Schedule says which engines to ask now. It is not safe for concurrent use.
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

// NewSchedule returns a schedule that asks each engine about once in every.
func NewSchedule(every time.Duration, seed uint64) *Schedule {
	return &Schedule{
		every:   every,
		rng:     rand.New(rand.NewPCG(seed, uint64(every))),
		engines: make(map[string]*engine),
	}
}

// Due appends those of the engines that are to be asked now; Done must follow
// for each. An engine that is not in ids any more is forgotten. At most atOnce
// engines are asked at a time, so that a switch full of silent servers does not
// take all connections of the instance.
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

// setEngines adds new engines at a random point of their interval, so that an
// instance that took over many groups does not ask all engines at once, and
// drops the others.
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

// Done tells how asking an engine ended.
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

// jitter spreads a wait over a quarter of it in both directions: instances
// that started together would otherwise ask together for ever.
func (s *Schedule) jitter(wait time.Duration) time.Duration {
	const fraction = 4
	return wait - wait/fraction + time.Duration(s.rng.Int64N(int64(2*wait/fraction)))
}
