package placement

import "basilrudder/internal/monotime"

// survey is the result of checking the candidates for a request.
type survey struct {
	// reachable are the servers that are not paused after a failed connection, accepting
	// those of them that take requests, available those with free capacity for this
	// request, and preemptable the full engines that may serve it in place of another.
	reachable, accepting   []*server
	available, preemptable []availableServer
	// free is the total of unused slots.
	free int
	// brittle is set if the servers are brittle: then available holds only those whose
	// free slots no other instance is expected to take.
	brittle bool
}

// survey checks each candidate once.
func (b *Board) survey(work *Work, candidates []Candidate, now monotime.Instant) survey {
	found := survey{
		reachable: make([]*server, 0, len(candidates)),
		accepting: make([]*server, 0, len(candidates)),
		available: make([]availableServer, 0, len(candidates)),
	}
	brief := b.isBrief(work, candidates)
	useReserve := brief && !b.contention.urgentRefused(work.Priority, now)
	found.brittle = areBrittle(candidates)
	for _, candidate := range candidates {
		s := b.server(candidate)
		if s.retryAt != 0 && now < s.retryAt {
			continue
		}
		found.reachable = append(found.reachable, s)
		if candidate.SourceOnly {
			continue
		}
		found.accepting = append(found.accepting, s)
		found.free += s.unusedSlots(now)
		if candidate.Brittle && !b.hasBrittleSlot(s, now) {
			continue
		}
		slots := s.freeSlotsFor(work, useReserve, now)
		switch {
		case slots > 0, s.memory == 0:
			found.available = append(found.available, availableServer{s, slots})
		case len(s.runs) >= s.slots:
			if slots := b.preemptableSlots(s, work, brief, useReserve, now); slots > 0 {
				found.preemptable = append(found.preemptable, availableServer{s, slots})
			}
		}
	}
	if !brief {
		found.available = excludeLastSlots(found.available)
	}
	return found
}
