package placement

import "basilrudder/internal/monotime"

// Refusal is the reason why no server was chosen.
type Refusal uint8

const (
	// Chosen: a server was chosen.
	Chosen Refusal = iota
	// NoneReachable: all servers are paused after failed connections.
	NoneReachable
	// AllFull: the reachable servers have no free capacity for the request's priority.
	AllFull
	// NotWorthwhile: on any server, streams at least as urgent would lose more than the
	// request is worth, its caller would probably leave first, or a request that waits at
	// a server would not begin sufficiently sooner elsewhere.
	NotWorthwhile
	// AllLimited: the reachable servers sustain only a limited rate of requests, since
	// they have just started or advertise a limit, and have reached it, or they accept
	// none for a while.
	AllLimited
)

// minValue is the minimum of Choice.Value for a request to be placed. In a burst beyond
// what engines can read, each further prompt makes running streams miss their deadline
// with nothing delivered. Refusing it while its caller has time to retry serves more of
// them.
const minValue = 0.0

// maxLostProbability is the maximum Choice.LostProbability for a request to be placed.
// Beyond it the caller would almost certainly leave before the request begins or ends; if
// refused at once, it may retry.
const maxLostProbability = 0.9

// lateLossShare is the share of its value that a late response loses. Callers still use
// most of them: at 1 late responses would count as nothing.
const lateLossShare = 0.5

// Shares of an engine's slots that are reserved for more urgent requests, as divisors of
// the number of slots. A request that arrives at a full engine makes it preempt another
// one in the middle of its stream, which has to be read again later; with reserved slots,
// more urgent requests find a free one. Beyond the slots an engine gets only what
// preemptableSlots allows. In a burst that fills 140 engines of 16 slots this halves the
// preemptions.
const (
	firstReserveDivisor  = 16 // a sixteenth, from the second priority and from long streams
	secondReserveDivisor = 5  // a fifth, from all lower priorities
)

// freeSlotsFor returns the number of an engine's slots that work may take. With
// useReserve, work of the second priority may also take those reserved from it.
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

// excludeLastSlots returns the engines on which a long stream would not take one of the
// last slots, or all if there are none. An engine whose slots are all held for seconds
// serves no brief requests, which hold theirs for a moment.
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

// unusedSlots returns the number of an engine's slots that no tracked run uses.
func (s *server) unusedSlots(now monotime.Instant) int {
	if now < s.fullUntil {
		return 0
	}
	return max(0, s.slots-len(s.runs))
}

// availableServer is a server with free capacity for a request.
type availableServer struct {
	*server
	// freeSlots is the number of slots that the request may take. It is meaningless for a
	// server that is no engine, where requests wait for a slot.
	freeSlots int
}

// mean returns the mean of a value over servers; 0 for none.
func mean(of []availableServer, value func(*server) float64) float64 {
	sum := 0.0
	for _, s := range of {
		sum += value(s.server)
	}
	return sum / float64(max(1, len(of)))
}
