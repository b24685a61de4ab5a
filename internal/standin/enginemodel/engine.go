// Package enginemodel simulates an inference engine: continuous batching, prompt
// processing shortened by a prefix cache, priorities, and an engine's failures. It is
// deterministic and reads no clock: the HTTP stand-in drives it in real time and replay
// in virtual time.
//
// An Engine is not safe for concurrent use.
package enginemodel

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

// Engine simulates one engine.
type Engine struct {
	cfg Config
	// stepTimes holds the duration of a step by the size of its batch.
	stepTimes   []time.Duration
	prefillCost float64 // nanoseconds per prompt token

	jobs     map[string]*job
	batch    []*job // running, in order of admission
	waiting  []*job // sorted by job.before
	paused   []*job // removed from the batch, not yet requeued
	ended    []*job // kept until forgetAt, in order of ending
	detached int
	nextSeq  uint64

	stepping bool
	stepEnd  monotime.Instant

	down     bool
	refusing bool
	stalled  bool

	cache   *prefixCache
	history loadHistory
	runs    []Run
	tokens  uint64
	busy    time.Duration

	pending, returned []Token
}

// New returns an idle engine. The seed determines which cache events are lost and
// their jitter.
func New(cfg Config, seed uint64) *Engine {
	cfg = cfg.withDefaults()
	log := eventLog{
		lag:    cfg.CacheEventLag,
		loss:   cfg.CacheEventLoss,
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
	e := &Engine{
		cfg:   cfg,
		jobs:  make(map[string]*job),
		cache: newPrefixCache(cfg.CacheTokens, log),
	}
	e.history.interval = cfg.LoadLag / samplesPerLag
	e.SetSlowdown(cfg.Slowdown)
	return e
}

// SetSlowdown multiplies the time of the steps that start from now on; 1 for none.
func (e *Engine) SetSlowdown(factor float64) {
	e.cfg.Slowdown = factor
	e.stepTimes = make([]time.Duration, e.cfg.Slots+1)
	for size := 1; size <= e.cfg.Slots; size++ {
		ms := e.cfg.StepMS * (1 + e.cfg.BatchSlowdown*float64(size-1)) * factor
		e.stepTimes[size] = time.Duration(ms * float64(time.Millisecond))
	}
	e.prefillCost = float64(time.Second) * factor / float64(e.cfg.PrefillTokensPerS)
}

// Submit accepts a job and records a run for it, or returns a Refusal.
func (e *Engine) Submit(now monotime.Instant, in Job) error {
	e.advanceTo(now)
	if refusal := e.refusal(in.ID); refusal != 0 {
		return refusal
	}
	in.OutputTokens = max(in.OutputTokens, 1)
	e.nextSeq++
	j := &job{Job: in, seq: e.nextSeq, runIndex: len(e.runs)}
	cached := e.cachedTokens(j)
	j.prefillLeft = max(in.PromptTokens-cached, 1)
	e.runs = append(e.runs, Run{
		ID:           in.ID,
		Accepted:     now,
		Priority:     in.Priority,
		PromptTokens: in.PromptTokens,
		CachedTokens: cached,
	})
	e.jobs[in.ID] = j
	e.enqueue(j)
	e.startStep(now)
	e.sampleLoad(now)
	return nil
}

func (e *Engine) refusal(id string) Refusal {
	switch {
	case e.down:
		return Down
	case e.jobs[id] != nil:
		return Duplicate
	case e.refusing:
		return Refusing
	case len(e.batch)+len(e.waiting) >= e.cfg.Slots+max(e.cfg.MaxWaiting, 0):
		return Full
	default:
		return 0
	}
}

func (e *Engine) cachedTokens(j *job) int {
	if j.Prefix == 0 {
		return 0
	}
	if j.PrefixTokens == 0 {
		j.PrefixTokens = int(float64(j.PromptTokens) * e.cfg.PrefixShare)
	}
	return min(e.cache.hit(j.Prefix), j.PrefixTokens, j.PromptTokens)
}

// Advance returns the tokens generated up to now for connected streams, in order. The
// slice is valid until the next call of Advance.
func (e *Engine) Advance(now monotime.Instant) []Token {
	e.advanceTo(now)
	e.pending, e.returned = e.returned[:0], e.pending
	return e.returned
}

// NextEvent returns when the next tokens are due or the current step ends, or false when
// the engine is idle or stalled.
func (e *Engine) NextEvent(monotime.Instant) (monotime.Instant, bool) {
	if len(e.pending) > 0 {
		return e.pending[0].At, true
	}
	return e.stepEnd, e.stepping && !e.stalled
}

// Cancel ends a run. It returns false when no run of the id is in progress.
func (e *Engine) Cancel(now monotime.Instant, id string) bool {
	e.advanceTo(now)
	j := e.jobs[id]
	if j == nil || j.ended {
		return false
	}
	e.remove(j)
	e.end(now, j, Cancelled)
	e.sampleLoad(now)
	return true
}

// Runs returns the record of every accepted request, in order of acceptance.
// The slice is valid until the next call on the engine.
func (e *Engine) Runs() []Run {
	for _, j := range e.batch {
		e.runs[j.runIndex].Tokens = j.generated
	}
	return e.runs
}

// CacheEvents returns published cache events from a sequence number on.
func (e *Engine) CacheEvents(now monotime.Instant, after int) engineapi.CacheEvents {
	e.advanceTo(now)
	return e.cache.log.after(now, after)
}

// Counts is the current state of an engine, without the lag of load reports, for tests
// and tools.
type Counts struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Tokens is the number of tokens generated since New.
	Tokens uint64
	// Busy is the time spent in steps.
	Busy time.Duration
}

// Counts returns the current state.
func (e *Engine) Counts() Counts {
	return Counts{Running: len(e.batch), Waiting: len(e.waiting), Tokens: e.tokens, Busy: e.busy}
}
