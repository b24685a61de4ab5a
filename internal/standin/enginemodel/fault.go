package enginemodel

import (
	"slices"

	"basilrudder/internal/monotime"
)

// Crash ends every run and clears the cache. The engine is down until Restart.
func (e *Engine) Crash(now monotime.Instant) {
	e.advanceTo(now)
	running := slices.Clone(e.batch)
	for _, j := range append(running, e.waiting...) {
		e.end(now, j, Crashed)
	}
	e.batch = e.batch[:0]
	e.waiting = e.waiting[:0]
	e.ended = e.ended[:0]
	e.pending = e.pending[:0]
	clear(e.jobs)
	e.cache.clear()
	e.stepping = false
	e.stalled = false
	e.down = true
	e.sampleLoad(now)
}

// Restart starts a crashed engine again, without any record of earlier request ids.
func (e *Engine) Restart() {
	e.down = false
}

// Down reports whether the engine has crashed.
func (e *Engine) Down() bool {
	return e.down
}

// SetRefusing makes the engine refuse new requests, or accept them again.
func (e *Engine) SetRefusing(refusing bool) {
	e.refusing = refusing
}

// SetStalled stops the engine in the middle of a step, or lets it continue.
func (e *Engine) SetStalled(now monotime.Instant, stalled bool) {
	if stalled == e.stalled {
		return
	}
	if stalled {
		e.advanceTo(now)
	}
	e.stalled = stalled
	if !stalled && e.stepping {
		e.stepEnd = max(e.stepEnd, now)
	}
}

// Silence makes all open connections unresponsive: they carry no further tokens, but
// their runs continue and are not detached. New connections work.
func (e *Engine) Silence(now monotime.Instant) {
	e.advanceTo(now)
	for _, j := range e.batch {
		j.silent = true
	}
	for _, j := range e.waiting {
		j.silent = true
	}
}

// SilenceOne does what Silence does to the connection of one run.
func (e *Engine) SilenceOne(now monotime.Instant, id string) {
	e.advanceTo(now)
	if j := e.jobs[id]; j != nil {
		j.silent = true
	}
}

// Detach reports that the connection of a run is lost. The run continues for
// Config.Linger and can be resumed with Attach.
func (e *Engine) Detach(now monotime.Instant, id string) {
	e.advanceTo(now)
	j := e.jobs[id]
	if j == nil || j.ended || j.detached {
		return
	}
	j.detached = true
	j.lingersUntil = now.Add(e.cfg.Linger)
	e.detached++
}

// Attach reconnects to a run. It appends the tokens generated so far, from the offset
// on, to out; Advance returns later ones. The error is Down or Unknown.
func (e *Engine) Attach(now monotime.Instant, id string, offset int, out []Token) ([]Token, error) {
	e.advanceTo(now)
	if e.down {
		return out, Down
	}
	j := e.jobs[id]
	if j == nil {
		return out, Unknown
	}
	if j.ended && e.runs[j.runIndex].End != Completed {
		return out, Unknown
	}
	if j.detached {
		j.detached = false
		e.detached--
	}
	j.silent = false
	e.dropPending(id)
	for at := max(offset, 0); at < j.generated; at++ {
		out = append(out, Token{ID: id, Ref: j.Ref, At: now, Offset: at, Done: at+1 == j.OutputTokens})
	}
	return out, nil
}

// dropPending removes the pending tokens of a run. Attach returns them itself, and
// Advance would deliver them twice.
func (e *Engine) dropPending(id string) {
	e.pending = slices.DeleteFunc(e.pending, func(t Token) bool { return t.ID == id })
}

// abandon ends the runs that have had no connection for Config.Linger.
func (e *Engine) abandon(now monotime.Instant) {
	expired := func(j *job) bool { return j.detached && j.lingersUntil <= now }
	for _, jobs := range []*[]*job{&e.batch, &e.waiting} {
		*jobs = slices.DeleteFunc(*jobs, func(j *job) bool {
			if !expired(j) {
				return false
			}
			e.end(now, j, Abandoned)
			return true
		})
	}
}
