package emulator

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/placement"
)

// EngineKind describes the capacity and the speed of an engine.
type EngineKind struct {
	// Slots is the number of concurrent requests, Queue the maximum number waiting.
	Slots, Queue int
	// MemoryTokens is the capacity of the prompt cache.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Pace is the speed model.
	Pace pace.Pace
	// Preempts lets a queued run take the slot of a less urgent one, whose output,
	// and what is no longer cached of its prompt, is read again later.
	Preempts bool
}

// engine models an engine with continuous batching. In each step, every request whose
// prompt has been read generates a token, and up to pace.Chunk tokens of the unread
// prompts are read in order of priority.
type engine struct {
	kind EngineKind
	id   string
	sim  *sim
	// ownFactor and slowFactor multiply the time of every step, the first for good; an
	// engine that is down refuses runs.
	ownFactor, slowFactor float64
	down                  bool
	running               []*run
	queue                 []*run
	// cache holds the prompt parts in memory by ID; cachedTokens is their sum.
	cache        map[string]cachedPart
	cachedTokens int
	stepping     bool
	// generation increases with each crash, which invalidates the step under way.
	generation int
}

type cachedPart struct {
	tokens int
	usedAt monotime.Instant
}

// run is one execution of a request on an engine. unread counts the prompt tokens
// still to be read.
type run struct {
	call      *call
	instance  *instance
	number    int
	unread    int
	generated int // output tokens so far
	pending   int // tokens generated since the last event
}

// enqueue adds a run to the queue. It reports false if the engine is down or full.
func (e *engine) enqueue(r *run) bool {
	if e.down || len(e.running)+len(e.queue) >= e.kind.Slots+e.kind.Queue {
		return false
	}
	e.addToQueue(r)
	e.admit()
	e.startStep()
	return true
}

func (e *engine) addToQueue(r *run) {
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *run) int {
		return cmp.Compare(a.call.work.Priority, b.call.work.Priority)
	})
}

// admit starts queued runs while slots are free or can be taken from less urgent runs.
func (e *engine) admit() {
	for len(e.queue) > 0 {
		if len(e.running) >= e.kind.Slots && !e.preempt(e.queue[0].call.work.Priority) {
			return
		}
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.unread = e.unreadOf(r)
		e.sim.result.PromptTokensRead += r.unread
		e.running = append(e.running, r)
	}
}

// preempt moves the newest of the least urgent runs back to the queue if it is less
// urgent than a priority. It reports whether a slot is free now.
func (e *engine) preempt(priority int) bool {
	if !e.kind.Preempts {
		return false
	}
	var least *run
	for _, r := range e.running {
		if r.call.work.Priority > priority && (least == nil || r.call.work.Priority >= least.call.work.Priority) {
			least = r
		}
	}
	if least == nil {
		return false
	}
	e.remove(least)
	e.addToQueue(least)
	return true
}

// unreadOf returns the number of tokens to read before a run starts or continues: what is
// not cached of its prompt, and the output generated before it was preempted.
func (e *engine) unreadOf(r *run) int {
	return e.cachePrompt(r.call.work) + r.generated
}

// cachePrompt returns the number of prompt tokens after the cached prefix, at least 1,
// and caches all parts of the prompt.
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

// evictOldest evicts the least recently used part; ties go to the smallest ID.
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

// startStep plans the next step and schedules its end, unless a step is under way, the
// engine is down or nothing runs.
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
	e.sim.loop.After(time.Duration(float64(duration)*e.ownFactor*e.slowFactor), func() {
		if generation == e.generation {
			e.stepping = false
			e.endStep()
		}
	})
}

// prefilling returns the runs with unread prompt tokens in order of priority.
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

// endStep emits the tokens of a step. A run generates its first token in the step that
// reads the end of its prompt.
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

// remove removes a run from the slots and the queue.
func (e *engine) remove(r *run) {
	e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == r })
	e.queue = slices.DeleteFunc(e.queue, func(x *run) bool { return x == r })
}

// crash takes the engine down, fails its runs and clears its cache.
func (e *engine) crash() {
	lost := append(slices.Clone(e.running), e.queue...)
	e.down, e.stepping, e.running, e.queue = true, false, nil, nil
	e.generation++
	e.cache, e.cachedTokens = make(map[string]cachedPart), 0
	for _, r := range lost {
		r.instance.failRun(r)
	}
}
