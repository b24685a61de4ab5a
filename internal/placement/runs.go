package placement

import "basilrudder/internal/monotime"

// RunState is the state of a run for exchange with other instances.
type RunState struct {
	// Number of the run in its instance.
	Number int
	// Server that it is on.
	Server string
	// Work without the parts of its prompt.
	Work Work
	// Unread is the number of prompt tokens that were to be read.
	Unread int
	// First reports whether its prompt has been read.
	First bool
}

// Runs returns the runs of all instances, by instance, each with the time left as of now.
func (b *Board) Runs(now monotime.Instant) map[string][]RunState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]RunState)
	for id, r := range b.runs {
		state := RunState{Number: id.Number, Server: r.server.id, Work: r.work, Unread: r.unread, First: r.first}
		state.Work.Parts = nil
		if r.deadline != 0 {
			state.Work.Left = max(1, r.deadline.Sub(now))
		}
		out[id.Instance] = append(out[id.Instance], state)
	}
	return out
}

// ReconcileRuns ends the tracked runs of an instance that are not among running, and
// returns those of running that are not tracked.
func (b *Board) ReconcileRuns(instance string, running []RunState, now monotime.Instant) (unknown []RunState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[int]bool, len(running))
	for _, state := range running {
		listed[state.Number] = true
		if b.runs[RunID{Instance: instance, Number: state.Number}] == nil {
			unknown = append(unknown, state)
		}
	}
	for id := range b.runs {
		if id.Instance == instance && !listed[id.Number] {
			b.end(id, now)
		}
	}
	return unknown
}
