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
	// NotWorthwhile: wherever it is placed, streams as urgent as it lose more than it earns.
	NotWorthwhile
	// AllLimited: those that can be reached bear few requests a second, since they have
	// just started or say so, and get them, or want none for a while.
	AllLimited
)

// minValue is the least worth of a request that is placed, see Choice.Worth. In a
// burst beyond what engines can read, each further prompt makes streams that already
// run end at their deadline with nothing; refusing it while its caller has time to
// come back serves more of them.
const minValue = 0.0

// maxLostProbability is the largest probability of being lost with which a request is placed. Beyond
// it its caller would almost certainly have left; one that is refused at once may come back.
const maxLostProbability = 0.9

// lateLossShare is the share of its worth that an answer loses which comes late: callers
// still take most of them.
const lateLossShare = 0.5

// Shares of an engine's slots that are kept free of less urgent work. A request
// that comes to a full engine makes it preempt another one in the middle of its
// stream, which it has to read in again later; with some slots kept, more urgent
// work finds one. Nothing is sent beyond the slots: it would preempt or wait. In
// a burst that fills 140 engines of 16 slots this halves the preemptions.
const (
	firstReserveDivisor  = 16 // a sixteenth, from the second priority, and from long streams
	secondReserveDivisor = 5  // a fifth, from all others
)

// freeSlotsFor is the number of an engine's slots that work may take; last says that work of the
// second priority may take those kept from it too.
func (s *server) freeSlotsFor(work *Work, useReserve bool, now monotime.Instant) int {
	limit := s.slots
	switch {
	case work.Priority <= 0, work.Priority == 1 && useReserve:
	case work.Priority == 1:
		limit -= s.slots / firstReserveDivisor
	default:
		limit -= s.slots / secondReserveDivisor
	}
	if len(s.runs) >= limit || now < s.fullUntil || !s.hasMemory(work) {
		return 0
	}
	return limit - len(s.runs)
}

// excludeLastSlots returns the engines on which a long stream would not take one of the last slots,
// or all if there are no such. An engine whose slots are all held for seconds reads nothing
// for brief requests, which hold theirs for a moment.
func excludeLastSlots(open []availableServer) []availableServer {
	var out []availableServer
	for _, s := range open {
		if s.memory == 0 || s.slots-len(s.runs) > s.slots/firstReserveDivisor {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return open
	}
	return out
}

// unusedSlots is the number of an engine's slots that nothing is known to use.
func (s *server) unusedSlots(now monotime.Instant) int {
	if now < s.fullUntil {
		return 0
	}
	return max(0, s.slots-len(s.runs))
}

// availableServer is a server with room for a request.
type availableServer struct {
	*server
	// freeSlots is the number of slots that the request may take. It says nothing of a
	// server that is no engine: its requests wait for one.
	freeSlots int
}

// mean is the mean of a value over servers; 0 for none.
func mean(of []availableServer, value func(*server) float64) float64 {
	sum := 0.0
	for _, s := range of {
		sum += value(s.server)
	}
	return sum / float64(max(1, len(of)))
}
