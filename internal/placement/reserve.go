package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// reservedSlots returns how many slots more than ending runs free will be needed by more
// urgent requests while work holds one. Work that holds its slot for no longer than they
// can wait delays none of them, and the result is 0.
func (b *Board) reservedSlots(work *Work, holds time.Duration, now monotime.Instant) float64 {
	if holds <= b.minGoal(work.Priority) {
		return 0
	}
	return b.contention.slotDeficit(work.Priority, now) * holds.Seconds()
}

// minGoal returns the shortest time to the first event required by requests more urgent
// than a priority.
func (b *Board) minGoal(priority int) time.Duration {
	shortest := maxRunAge
	for kind, goal := range b.goals {
		if kind.priority < priority {
			shortest = min(shortest, goal)
		}
	}
	return shortest
}

// isBrief reports whether work holds its slot for no longer than any request can wait.
func (b *Board) isBrief(work *Work, candidates []Candidate) bool {
	if len(candidates) == 0 {
		return false
	}
	return b.isBriefOn(b.kindOf(candidates[0].Service), candidates[0].Slots, work)
}

// isBriefOn is isBrief for the engines of a kind.
func (b *Board) isBriefOn(kind *engineKind, slots int, work *Work) bool {
	if work.Output == 0 {
		return false
	}
	speed := kind.model.Pace()
	holds := time.Duration(work.Output) * speed.DecodeStep(slots)
	return holds <= b.minGoal(lastPriorityIndex+1)
}
