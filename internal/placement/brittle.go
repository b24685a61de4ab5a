package placement

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// Places returns the place of this instance among those that share a server, from 0, and
// their number. ok is false while this instance has too few members to share with.
type Places func(server string) (place, instances int, ok bool)

// SetSharing sets the id of this instance and its place among those that share a server.
// places must not call the Board.
func (b *Board) SetSharing(self string, places Places) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self, b.places = self, places
}

// hasBrittleSlot reports whether this instance may send a request to a brittle server.
//
// Instances that see the same free slots share them: each may use as many as its place
// gives it until the others have received its reports. Together they send no more requests
// than there are slots, unless their lists of members differ.
func (b *Board) hasBrittleSlot(s *server, now monotime.Instant) bool {
	unused := s.unusedSlots(now) - s.orphaned(now)
	if unused <= 0 {
		return false
	}
	place, instances, ok := b.places(s.id)
	if !ok {
		return false
	}
	unreported := s.ownRuns(b.self, now.Add(-b.contention.reportDelay()))
	return unreported < shareOf(unused+unreported, place, instances)
}

// shareOf returns how many of the given slots, dealt out in turn, the instance at a place
// gets.
func shareOf(slots, place, instances int) int {
	return (slots + instances - 1 - place) / instances
}

// ownRuns returns the number of an instance's runs that began after an instant.
func (s *server) ownRuns(self string, after monotime.Instant) (count int) {
	for id, r := range s.runs {
		if id.Instance == self && r.begun > after {
			count++
		}
	}
	return count
}

// BeginOnBrittle is Begin for a request that this instance sends to a brittle server. It
// reports whether the server still has a slot for it: other requests may have been sent
// since it was chosen.
func (b *Board) BeginOnBrittle(id RunID, serverID string, work Work, unread int, now monotime.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[serverID]; s == nil || !b.hasBrittleSlot(s, now) {
		return false
	}
	b.beginRun(id, serverID, work, unread, now)
	return true
}

// orphanMargin is how much longer than the mean run a server is expected to go on with a
// request whose instance is gone.
const orphanMargin = 1.5

// addOrphan records a run whose instance is gone. Some servers finish such requests, and
// a brittle one must not be sent others meanwhile.
func (s *server) addOrphan(r *run, now monotime.Instant) {
	until := r.begun.Add(time.Duration(orphanMargin * float64(s.kind.meanLife)))
	if s.orphaned(now); until > now && len(s.orphans) < s.slots {
		s.orphans = append(s.orphans, until)
	}
}

// orphaned returns the number of requests without an instance that the server may be
// running.
func (s *server) orphaned(now monotime.Instant) int {
	s.orphans = slices.DeleteFunc(s.orphans, func(until monotime.Instant) bool { return until <= now })
	return len(s.orphans)
}

// chooseShared is ChooseFrom for brittle servers.
func (b *Board) chooseShared(work *Work, pool, sources *Pool, allowed func(*Candidate) bool, now monotime.Instant) (Choice, Refusal) {
	asked := &b.kindOf(pool.candidates[0].Service).asked
	asked.add(now)
	sharing := allowed
	if pool.Len() > maxWholePool {
		sharing = func(c *Candidate) bool {
			place, _, ok := b.places(c.ID)
			return ok && place < c.Slots && allowed(c)
		}
	}
	candidates, others := pool.filter(sharing), sources.filter(allowed)
	share := float64(max(1, len(candidates))) / float64(pool.Len())
	choice, refusal := b.choose(work, append(candidates, others...), share, now)
	if refusal != NoneReachable && refusal != AllFull {
		return choice, refusal
	}
	if idle, ok := b.idleServer(pool, allowed, asked.perSecondAt(now), now); ok {
		return b.decide(work, append([]Candidate{idle}, others...), 1/float64(pool.Len()), now)
	}
	if len(candidates) == 0 && pool.Len() > maxWholePool {
		refusal = AllFull
	}
	if refusal == AllFull {
		b.recordRefusal(work, now)
	}
	return choice, refusal
}

const (
	// idleSample is the number of random servers that decide whether a service is idle.
	idleSample = 16
	// idleMargin is how many times the requests expected to be on their way to a server
	// from other instances its unused slots must be.
	idleMargin = 4
)

// idleServer returns a random one of the brittle servers of which at least half the slots
// are unused, if the service as a whole has as many unused. Instances that have no share of
// any server, since they are more than the slots, use those. The server is not marked as
// brittle.
func (b *Board) idleServer(pool *Pool, allowed func(*Candidate) bool, asked float64, now monotime.Instant) (Candidate, bool) {
	expected := asked * float64(b.contention.others) * b.contention.reportDelay().Seconds() / float64(pool.Len())
	var idle []Candidate
	slots, unused := 0, 0
	for range idleSample {
		c := pool.candidates[b.rand.IntN(pool.Len())]
		s := b.server(c)
		free := s.unusedSlots(now)
		slots, unused = slots+s.slots, unused+free
		if 2*free >= s.slots && float64(free) >= idleMargin*expected && allowed(&c) {
			c.Brittle = false
			idle = append(idle, c)
		}
	}
	if _, _, ok := b.places(pool.candidates[0].ID); !ok || 2*unused < slots || len(idle) == 0 {
		return Candidate{}, false
	}
	return idle[b.rand.IntN(len(idle))], true
}

// areBrittle reports whether candidates of one service are brittle: all or none are.
func areBrittle(candidates []Candidate) bool {
	return len(candidates) > 0 && candidates[0].Brittle
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
