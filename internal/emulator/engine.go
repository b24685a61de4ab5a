package emulator

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/placement"
)

// EngineKind says what an engine can do and how fast it is.
type EngineKind struct {
	// Slots is the number of requests it runs at once, and Queue how many may wait.
	Slots, Queue int
	// MemoryTokens is its room for prompts.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Pace is how fast it works.
	Pace pace.Pace
}

// engine is one modelled engine: in each step every request whose prompt is read
// makes a token, and a chunk of the prompts still to be read is read, the more urgent
// first.
type engine struct {
	kind EngineKind
	id   string
	sim  *sim
	// slow multiplies the time of every step; down engines do nothing.
	slow  float64
	down  bool
	runs  []*run
	queue []*run
	// kept are the parts of prompts in memory, with their last use.
	kept     map[string]keptPart
	keptSum  int
	stepping bool
	// generation ends the steps of an engine that crashed.
	generation int
}

type keptPart struct {
	tokens int
	used   monotime.Instant
}

// run is a request at an engine.
type run struct {
	call     *call
	instance *instance
	number   int
	unread   int
	made     int
	pending  int // tokens made since the last event
}

// take takes a request and reports whether it has room for it.
func (e *engine) take(r *run) bool {
	if e.down || len(e.runs)+len(e.queue) >= e.kind.Slots+e.kind.Queue {
		return false
	}
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *run) int {
		return cmp.Compare(a.call.work.Priority, b.call.work.Priority)
	})
	e.admit()
	e.step()
	return true
}

// admit starts waiting requests while slots are free.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.runs) < e.kind.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.unread = e.read(r.call.work)
		e.sim.result.Read += r.unread
		e.runs = append(e.runs, r)
	}
}

// read returns how many tokens of a prompt are not kept, and keeps its parts.
func (e *engine) read(work placement.Work) int {
	unread, known := work.Prompt, true
	for _, part := range work.Parts {
		_, kept := e.kept[part.ID]
		if known = known && kept; known {
			unread -= part.Tokens
		}
		if !kept {
			e.keptSum += part.Tokens
		}
		e.kept[part.ID] = keptPart{tokens: part.Tokens, used: e.sim.loop.Now()}
	}
	for e.keptSum > e.kind.MemoryTokens && len(e.kept) > 0 {
		e.dropOldest()
	}
	return max(1, unread)
}

func (e *engine) dropOldest() {
	oldest := ""
	for id, part := range e.kept {
		if at := e.kept[oldest].used; oldest == "" || part.used < at || part.used == at && id < oldest {
			oldest = id
		}
	}
	e.keptSum -= e.kept[oldest].tokens
	delete(e.kept, oldest)
}

// step plans the next step, unless one is under way or there is nothing to do.
func (e *engine) step() {
	if e.stepping || e.down || len(e.runs) == 0 {
		return
	}
	e.stepping = true
	took := e.kind.Pace.DecodeStep(len(e.runs))
	budget := pace.Chunk
	for _, r := range e.toRead() {
		if budget == 0 {
			break
		}
		chunk := min(r.unread, budget)
		took += e.kind.Pace.Read(chunk, r.call.work.Prompt-r.unread+chunk)
		r.unread -= chunk
		budget -= chunk
	}
	generation := e.generation
	e.sim.loop.After(time.Duration(float64(took)*e.slow), func() {
		if generation == e.generation {
			e.stepping = false
			e.endStep()
		}
	})
}

// toRead are the requests whose prompt is not read yet, the more urgent first.
func (e *engine) toRead() []*run {
	var out []*run
	for _, r := range e.runs {
		if r.unread > 0 {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int {
		return cmp.Compare(a.call.work.Priority, b.call.work.Priority)
	})
	return out
}

// endStep hands out the tokens of a step. A request makes its first token in the step
// that reads the last of its prompt.
func (e *engine) endStep() {
	for _, r := range slices.Clone(e.runs) {
		if r.unread > 0 {
			continue
		}
		r.made++
		r.pending++
		ended := r.made >= r.call.output
		if r.made == 1 || r.pending >= e.kind.EventTokens || ended {
			r.pending = 0
			r.instance.event(r, ended)
		}
		if ended {
			e.remove(r)
		}
	}
	e.admit()
	e.step()
}

// remove ends a request, however it ended.
func (e *engine) remove(r *run) {
	e.runs = slices.DeleteFunc(e.runs, func(x *run) bool { return x == r })
	e.queue = slices.DeleteFunc(e.queue, func(x *run) bool { return x == r })
}

// crash loses all that the engine does and keeps.
func (e *engine) crash() {
	lost := append(slices.Clone(e.runs), e.queue...)
	e.down, e.stepping, e.runs, e.queue = true, false, nil, nil
	e.generation++
	e.kept, e.keptSum = make(map[string]keptPart), 0
	for _, r := range lost {
		r.instance.lost(r)
	}
}
