package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// A request at a full engine preempts the newest of the least urgent streams, which waits
// for a slot and has its prompt read again. Streams hold a slot for seconds and cannot be
// ended when load rises, so slots that they took in calm would be missing in a burst. A
// stream that is preempted gives its slot to many brief requests in a row.

const (
	// preemptDivisor is the divisor of an engine's slots that brief requests may take from
	// less urgent streams. With a larger one brief requests are refused while long streams
	// run, with 1 all long streams of an engine may stand still at once.
	preemptDivisor = 2
	// maxReadShareToPreempt is the share of an engine's time needed to read arriving
	// prompts up to which it gets requests that preempt. The rest is for the prompts of
	// the preempted streams.
	maxReadShareToPreempt = 0.7
)

// preemptableSlots returns how many requests like work a full engine may get in addition.
func (b *Board) preemptableSlots(s *server, work *Work, brief, useReserve bool, now monotime.Instant) int {
	free := s.slots + s.yieldedSlots(work, brief, useReserve) - len(s.runs)
	if free <= 0 || now < s.fullUntil || !s.hasMemory(work) || !b.servesSoon(s, work, brief, now) {
		return 0
	}
	return free
}

// yieldedSlots returns how many slots other runs may yield to requests like work: long
// less urgent ones to brief requests, and brief ones, which end soon, to the most urgent.
// With useReserve, brief requests may also take the slots reserved for the most urgent.
func (s *server) yieldedSlots(work *Work, brief, useReserve bool) int {
	yielded := min(s.slots/preemptDivisor, s.longLessUrgent(work.Priority))
	switch {
	case !brief && work.Priority <= 0:
		return min(yielded, s.briefLessUrgent(work.Priority))
	case !brief:
		return 0
	case work.Priority <= 0 || useReserve:
		return yielded
	default:
		return yielded - max(1, s.slots/firstReserveDivisor)
	}
}

// servesSoon reports whether an engine has reading time to spare and begins work, and ends
// it if it is brief, within the shortest time that any request can wait.
func (b *Board) servesSoon(s *server, work *Work, brief bool, now monotime.Instant) bool {
	if s.queue.arrivingShare(now) > maxReadShareToPreempt {
		return false
	}
	speed := s.pace(now)
	unread := max(0, work.Prompt-s.cache.cachedTokens(work.Parts))
	took := s.queue.timeAhead(work, now) + speed.Prompt(unread, work.Prompt, len(s.runs))
	if brief {
		took += time.Duration(work.Output) * speed.DecodeStep(len(s.runs))
	}
	return took <= b.minGoal(lastPriorityIndex+1)
}
