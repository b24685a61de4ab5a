package enginemodel

import (
	"slices"
	"sort"
	"time"

	"basilrudder/internal/monotime"
)

// advanceTo finishes every step that ends at or before now and prunes ended runs.
func (e *Engine) advanceTo(now monotime.Instant) {
	for e.stepping && !e.stalled && e.stepEnd <= now {
		e.finishStep()
	}
	e.pruneEnded(now)
}

// startStep fills the batch and starts a step, unless one is in progress.
func (e *Engine) startStep(now monotime.Instant) {
	if e.stepping {
		return
	}
	e.fillBatch(now)
	if len(e.batch) == 0 {
		return
	}
	prefill := e.planPrefill()
	duration := e.stepTimes[len(e.batch)] + time.Duration(float64(prefill)*e.prefillCost)
	e.stepping = true
	e.stepEnd = now.Add(duration)
	e.busy += duration
}

// fillBatch admits waiting jobs, highest priority first.
func (e *Engine) fillBatch(now monotime.Instant) {
	admitted := 0
	for _, j := range e.waiting {
		if len(e.batch) == e.cfg.Slots && !e.pauseFor(j) {
			break
		}
		j.running = true
		e.batch = append(e.batch, j)
		admitted++
	}
	if admitted == 0 {
		return
	}
	e.waiting = slices.Delete(e.waiting, 0, admitted)
	e.requeuePaused()
	e.sampleLoad(now)
}

// pauseFor pauses the running job that is last by priority and arrival, if its priority
// is lower than j's, and returns whether it did. The paused job leaves the batch here;
// requeuePaused adds it to the queue.
func (e *Engine) pauseFor(j *job) bool {
	if !e.cfg.Preempt {
		return false
	}
	victim := 0
	for i, candidate := range e.batch {
		if e.batch[victim].before(candidate) {
			victim = i
		}
	}
	paused := e.batch[victim]
	if paused.Priority <= j.Priority {
		return false
	}
	e.batch = slices.Delete(e.batch, victim, victim+1)
	paused.running = false
	paused.prefillLeft = max(paused.PromptTokens, 1) + paused.generated
	e.paused = append(e.paused, paused)
	return true
}

func (e *Engine) requeuePaused() {
	for _, j := range e.paused {
		e.enqueue(j)
	}
	e.paused = e.paused[:0]
}

func (e *Engine) enqueue(j *job) {
	at := sort.Search(len(e.waiting), func(i int) bool { return j.before(e.waiting[i]) })
	e.waiting = slices.Insert(e.waiting, at, j)
}

// planPrefill distributes the step's PrefillChunk to the jobs with prompt tokens left,
// highest priority first, and returns the number of tokens assigned.
func (e *Engine) planPrefill() int {
	budget := e.cfg.PrefillChunk
	for budget > 0 {
		next := e.nextToPrefill()
		if next == nil {
			break
		}
		next.prefillThisStep = min(next.prefillLeft, budget)
		budget -= next.prefillThisStep
	}
	return e.cfg.PrefillChunk - budget
}

func (e *Engine) nextToPrefill() *job {
	var next *job
	for _, j := range e.batch {
		if j.prefillLeft == 0 || j.prefillThisStep > 0 {
			continue
		}
		if next == nil || j.before(next) {
			next = j
		}
	}
	return next
}

// finishStep applies the step to each job of the batch and starts the next step.
func (e *Engine) finishStep() {
	now := e.stepEnd
	e.stepping = false
	kept := e.batch[:0]
	for _, j := range e.batch {
		if !e.stepJob(now, j) {
			kept = append(kept, j)
		}
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	if e.detached > 0 {
		e.abandon(now)
	}
	e.startStep(now)
	e.sampleLoad(now)
}

// stepJob processes the job's prompt tokens of the step and, once none is left, generates
// one token. It returns whether the job has ended.
func (e *Engine) stepJob(now monotime.Instant, j *job) bool {
	if j.prefillLeft > 0 {
		j.prefillLeft -= j.prefillThisStep
		j.prefillThisStep = 0
		if j.prefillLeft > 0 {
			return false
		}
		if j.Prefix != 0 {
			e.cache.store(now, j.Prefix, j.PrefixTokens)
		}
	}
	offset := j.generated
	j.generated++
	e.tokens++
	done := j.generated == j.OutputTokens
	if !j.silent && !j.detached {
		e.pending = append(e.pending, Token{ID: j.ID, Ref: j.Ref, At: now, Offset: offset, Done: done})
	}
	if offset == 0 {
		e.runs[j.runIndex].FirstToken = now
	}
	if done {
		e.end(now, j, Completed)
	}
	return done
}

// end records the end of a run. The caller removes the job from the batch or the queue.
func (e *Engine) end(now monotime.Instant, j *job, end End) {
	run := &e.runs[j.runIndex]
	run.Ended = now
	run.End = end
	run.Tokens = j.generated
	if j.detached {
		j.detached = false
		e.detached--
	}
	j.ended = true
	j.running = false
	j.forgetAt = now.Add(e.cfg.KeepEnded)
	e.ended = append(e.ended, j)
}

// remove removes a job from the batch or the queue.
func (e *Engine) remove(j *job) {
	if j.running {
		e.batch = deleteJob(e.batch, j)
		return
	}
	e.waiting = deleteJob(e.waiting, j)
}

func deleteJob(jobs []*job, j *job) []*job {
	at := slices.Index(jobs, j)
	return slices.Delete(jobs, at, at+1)
}

// pruneEnded drops the runs that ended Config.KeepEnded ago or earlier.
func (e *Engine) pruneEnded(now monotime.Instant) {
	count := 0
	for count < len(e.ended) && e.ended[count].forgetAt <= now {
		delete(e.jobs, e.ended[count].ID)
		count++
	}
	if count > 0 {
		e.ended = slices.Delete(e.ended, 0, count)
	}
}
