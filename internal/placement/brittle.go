package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// SetOwner sets the function that reports whether this instance is the one that may use
// the last free slots of a server. It must not call the Board.
func (b *Board) SetOwner(owns func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owns = owns
}

// brittleRoom decides which brittle servers have room for a request. A server with few
// free slots belongs to one instance, which knows all that it sends there: several
// instances would send to the same slot before they receive each other's reports, and the
// server would have to refuse all but one.
type brittleRoom struct {
	owns func(server string) bool
	// unreported is the number of requests expected to be on their way to each server
	// with a free slot from other instances.
	unreported float64
}

// brittleRoom returns the decision for a choice among candidates of one service, which are
// the given share of its servers.
func (b *Board) brittleRoom(candidates []Candidate, share float64, now monotime.Instant) brittleRoom {
	if !areBrittle(candidates) {
		return brittleRoom{owns: b.owns}
	}
	free := 0
	for _, c := range candidates {
		if s := b.servers[c.ID]; s != nil && s.unusedSlots(now) > 0 {
			free++
		}
	}
	asked := b.kindOf(candidates[0].Service).asked.perSecondAt(now)
	others := share * asked * float64(b.contention.others) * b.contention.reportDelay().Seconds()
	return brittleRoom{owns: b.owns, unreported: others / float64(max(1, free))}
}

// mayTake reports whether this instance may send a request to a server.
func (r *brittleRoom) mayTake(s *server, now monotime.Instant) bool {
	unused := s.unusedSlots(now)
	return unused > 0 && (float64(unused) > r.unreported || r.owns(s.id))
}

// areBrittle reports whether candidates of one service are brittle: all or none are.
func areBrittle(candidates []Candidate) bool {
	return len(candidates) > 0 && candidates[0].Brittle
}

// recordAsked records a request for a service of brittle servers.
func (b *Board) recordAsked(pool *Pool, now monotime.Instant) {
	if pool.Len() > 0 && areBrittle(pool.candidates) {
		b.kindOf(pool.candidates[0].Service).asked.add(now)
	}
}

// SlotView is what this instance knows of the slots of a server.
type SlotView struct {
	// Slots of the server, and Runs of all instances that are known to be on it, Own of
	// them of this instance.
	Slots, Runs, Own int
	// ReportDelay is for how long choices of other instances may be unreported.
	ReportDelay time.Duration
}

// SlotsOf returns what is known of the slots of a server.
func (b *Board) SlotsOf(server, self string) SlotView {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := SlotView{ReportDelay: b.contention.reportDelay()}
	if s := b.servers[server]; s != nil {
		view.Slots, view.Runs = s.slots, len(s.runs)
		for id := range s.runs {
			if id.Instance == self {
				view.Own++
			}
		}
	}
	return view
}
