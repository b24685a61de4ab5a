package placement

import "basilrudder/internal/monotime"

// RunState is a run as the board knows it.
type RunState struct {
	// Number of the run in its instance.
	Number int
	// Server that it is on.
	Server string
	// Work without the parts of its prompt.
	Work Work
	// Unread is the number of prompt tokens that were to be read.
	Unread int
	// First says that its prompt has been read.
	First bool
}

// Runs returns the runs of all instances, by instance, with the time that is left to
// each as of now.
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

// ReconcileRuns ends the runs of an instance that are not among those given, and returns the
// given ones that are not known.
func (b *Board) ReconcileRuns(instance string, running []RunState, now monotime.Instant) (unknown []RunState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[int]bool, len(running))
	for _, state := range running {
		kept[state.Number] = true
		if b.runs[RunID{Instance: instance, Number: state.Number}] == nil {
			unknown = append(unknown, state)
		}
	}
	for id := range b.runs {
		if id.Instance == instance && !kept[id.Number] {
			b.end(id, now)
		}
	}
	return unknown
}
