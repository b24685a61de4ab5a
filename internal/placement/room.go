package placement

import "basilrudder/internal/monotime"

// Refusal says why no server was chosen.
type Refusal uint8

const (
	// Chosen: there is one.
	Chosen Refusal = iota
	// NoneReachable: all were tried in vain a moment ago.
	NoneReachable
	// AllFull: those that can be reached have no room for this priority.
	AllFull
	// NotWorth: wherever it is placed, streams as urgent as it lose more than it earns.
	NotWorth
	// AllBounded: those that can be reached bear few requests a second, since they have
	// just started or say so, and get them, or want none for a while.
	AllBounded
)

// worthLeast is the least worth of a request that is placed, see Choice.Worth. In a
// burst beyond what engines can read, each further prompt makes streams that already
// run end at their deadline with nothing; refusing it while its caller has time to
// come back serves more of them.
const worthLeast = 0.0

// lostMost is the largest probability of being lost with which a request is placed. Beyond
// it its caller would almost certainly have left; one that is refused at once may come back.
const lostMost = 0.9

// lateLoses is the share of its worth that an answer loses which comes late: callers
// still take most of them.
const lateLoses = 0.5

// Shares of an engine's slots that are kept free of less urgent work. A request
// that comes to a full engine makes it preempt another one in the middle of its
// stream, which it has to read in again later; with some slots kept, more urgent
// work finds one. Nothing is sent beyond the slots: it would preempt or wait. In
// a burst that fills 140 engines of 16 slots this halves the preemptions.
const (
	keptForFirst  = 16 // a sixteenth, from the second priority, and from long streams
	keptForSecond = 5  // a fifth, from all others
)

// free is the number of an engine's slots that work may take; last says that work of the
// second priority may take those kept from it too.
func (s *server) free(work *Work, last bool, now monotime.Instant) int {
	most := s.slots
	switch {
	case work.Priority <= 0, work.Priority == 1 && last:
	case work.Priority == 1:
		most -= s.slots / keptForFirst
	default:
		most -= s.slots / keptForSecond
	}
	if len(s.runs) >= most || now < s.fullUntil || !s.hasMemory(work) {
		return 0
	}
	return most - len(s.runs)
}

// notLast returns the engines on which a long stream would not take one of the last slots,
// or all if there are no such. An engine whose slots are all held for seconds reads nothing
// for brief requests, which hold theirs for a moment.
func notLast(open []opening) []opening {
	var out []opening
	for _, s := range open {
		if s.memory == 0 || s.slots-len(s.runs) > s.slots/keptForFirst {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return open
	}
	return out
}

// unused is the number of an engine's slots that nothing is known to use.
func (s *server) unused(now monotime.Instant) int {
	if now < s.fullUntil {
		return 0
	}
	return max(0, s.slots-len(s.runs))
}

// opening is a server with room for a request.
type opening struct {
	*server
	// room is the number of slots that the request may take. It says nothing of a
	// server that is no engine: its requests wait for one.
	room int
}

// mean is the mean of a value over servers; 0 for none.
func mean(of []opening, value func(*server) float64) float64 {
	sum := 0.0
	for _, s := range of {
		sum += value(s.server)
	}
	return sum / float64(max(1, len(of)))
}
