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
	// slowFactor multiplies the time of every step; down engines do nothing.
	slowFactor float64
	down       bool
	running    []*run
	queue      []*run
	// cache are the parts of prompts in memory, with their last use.
	cache        map[string]cachedPart
	cachedTokens int
	stepping     bool
	// generation ends the steps of an engine that crashed.
	generation int
}

type cachedPart struct {
	tokens int
	usedAt monotime.Instant
}

// run is a request at an engine.
type run struct {
	call      *call
	instance  *instance
	number    int
	unread    int
	generated int
	pending   int // tokens made since the last event
}

// enqueue takes a request and reports whether it has room for it.
func (e *engine) enqueue(r *run) bool {
	if e.down || len(e.running)+len(e.queue) >= e.kind.Slots+e.kind.Queue {
		return false
	}
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *run) int {
		return cmp.Compare(a.call.work.Priority, b.call.work.Priority)
	})
	e.admit()
	e.startStep()
	return true
}

// admit starts waiting requests while slots are free.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.kind.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.unread = e.cachePrompt(r.call.work)
		e.sim.result.PromptTokensRead += r.unread
		e.running = append(e.running, r)
	}
}

// cachePrompt returns how many tokens of a prompt are not kept, and keeps its parts.
func (e *engine) cachePrompt(work placement.Work) int {
	unread, prefixCached := work.Prompt, true
	for _, part := range work.Parts {
		_, cached := e.cache[part.ID]
		if prefixCached = prefixCached && cached; prefixCached {
			unread -= part.Tokens
		}
		if !cached {
			e.cachedTokens += part.Tokens
		}
		e.cache[part.ID] = cachedPart{tokens: part.Tokens, usedAt: e.sim.loop.Now()}
	}
	for e.cachedTokens > e.kind.MemoryTokens && len(e.cache) > 0 {
		e.evictOldest()
	}
	return max(1, unread)
}

func (e *engine) evictOldest() {
	oldest := ""
	for id, part := range e.cache {
		if at := e.cache[oldest].usedAt; oldest == "" || part.usedAt < at || part.usedAt == at && id < oldest {
			oldest = id
		}
	}
	e.cachedTokens -= e.cache[oldest].tokens
	delete(e.cache, oldest)
}

// startStep plans the next startStep, unless one is under way or there is nothing to do.
func (e *engine) startStep() {
	if e.stepping || e.down || len(e.running) == 0 {
		return
	}
	e.stepping = true
	duration := e.kind.Pace.DecodeStep(len(e.running))
	budget := pace.Chunk
	for _, r := range e.prefilling() {
		if budget == 0 {
			break
		}
		chunk := min(r.unread, budget)
		duration += e.kind.Pace.Read(chunk, r.call.work.Prompt-r.unread+chunk)
		r.unread -= chunk
		budget -= chunk
	}
	generation := e.generation
	e.sim.loop.After(time.Duration(float64(duration)*e.slowFactor), func() {
		if generation == e.generation {
			e.stepping = false
			e.endStep()
		}
	})
}

// prefilling are the requests whose prompt is not read yet, the more urgent first.
func (e *engine) prefilling() []*run {
	var out []*run
	for _, r := range e.running {
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
	for _, r := range slices.Clone(e.running) {
		if r.unread > 0 {
			continue
		}
		r.generated++
		r.pending++
		ended := r.generated >= r.call.output
		if r.generated == 1 || r.pending >= e.kind.EventTokens || ended {
			r.pending = 0
			r.instance.event(r, ended)
		}
		if ended {
			e.remove(r)
		}
	}
	e.admit()
	e.startStep()
}

// remove ends a request, however it ended.
func (e *engine) remove(r *run) {
	e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == r })
	e.queue = slices.DeleteFunc(e.queue, func(x *run) bool { return x == r })
}

// crash loses all that the engine does and keeps.
func (e *engine) crash() {
	lost := append(slices.Clone(e.running), e.queue...)
	e.down, e.stepping, e.running, e.queue = true, false, nil, nil
	e.generation++
	e.cache, e.cachedTokens = make(map[string]cachedPart), 0
	for _, r := range lost {
		r.instance.failRun(r)
	}
}
