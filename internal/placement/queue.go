package placement

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// maxUrgentShare bounds the expected share of an engine's time spent reading more
	// urgent prompts, which keeps predicted waits finite: at 1 they would be infinite.
	maxUrgentShare = 0.9
	// urgentWindow is the time constant of the average of that share.
	urgentWindow = time.Second
)

// queue holds the prompts that an engine has yet to read, in the order in which it reads
// them: by urgency, then in order of arrival.
type queue struct {
	runs []*run
	// readAt is the instant up to which readLeft of the runs is brought.
	readAt monotime.Instant
	// load is the share of an engine's time needed to read arriving prompts, by priority,
	// as of loadAt.
	load   byPriority
	loadAt monotime.Instant
}

func (q *queue) add(r *run) {
	at, _ := slices.BinarySearchFunc(q.runs, r, compareReading)
	q.runs = slices.Insert(q.runs, at, r)
}

// remove removes a run whose prompt has been read, or that has ended.
func (q *queue) remove(r *run, now monotime.Instant) {
	q.advance(now)
	if at, ok := slices.BinarySearchFunc(q.runs, r, compareReading); ok {
		q.runs = slices.Delete(q.runs, at, at+1)
	}
}

// startsWith reports whether no prompt is read before that of a run.
func (q *queue) startsWith(r *run) bool {
	return len(q.runs) == 0 || compareReading(r, q.runs[0]) <= 0
}

func compareReading(a, b *run) int {
	return cmp.Or(compareUrgency(&a.work, &b.work), cmp.Compare(a.order, b.order))
}

func compareUrgency(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Rank, b.Rank))
}

// advance brings readLeft of the runs up to an instant.
func (q *queue) advance(now monotime.Instant) {
	passed := now.Sub(q.readAt)
	if passed <= 0 {
		return
	}
	q.readAt = now
	for _, r := range q.runs {
		took := min(passed, r.readLeft)
		r.readLeft -= took
		passed -= took
		if passed == 0 {
			return
		}
	}
}

// timeAhead returns the time to read the prompts that come before new work.
func (q *queue) timeAhead(work *Work, now monotime.Instant) time.Duration {
	q.advance(now)
	sum := time.Duration(0)
	for _, r := range q.runs {
		if compareUrgency(&r.work, work) > 0 {
			break
		}
		sum += r.readLeft
	}
	return sum
}

// recordArrival records the arrival of a prompt with its reading time.
func (q *queue) recordArrival(priority int, reading time.Duration, now monotime.Instant) {
	faded := decay(now.Sub(q.loadAt), urgentWindow)
	for i := range q.load {
		q.load[i] *= faded
	}
	q.loadAt = now
	q.load[priorityIndex(priority)] += reading.Seconds() / urgentWindow.Seconds()
}

// moreUrgentShare returns the share of an engine's time needed to read arriving prompts
// that are more urgent than a priority.
func (q *queue) moreUrgentShare(priority int, now monotime.Instant) float64 {
	if priority <= 0 {
		return 0
	}
	return q.load.upTo(priority-1) * decay(now.Sub(q.loadAt), urgentWindow)
}

// arrivingShare returns the share of an engine's time needed to read arriving prompts.
func (q *queue) arrivingShare(now monotime.Instant) float64 {
	return q.load.upTo(lastPriorityIndex) * decay(now.Sub(q.loadAt), urgentWindow)
}

// delayedByUrgent returns the length of a wait during which arriving prompts that are
// more urgent, and so are read first, take a share of the time.
func delayedByUrgent(wait time.Duration, share float64) time.Duration {
	return time.Duration(float64(wait) / (1 - min(share, maxUrgentShare)))
}

// Ahead counts the prompts that an engine is expected to read before another one.
type Ahead struct {
	// Prompts and their Tokens, by priority; the last entry includes all lower
	// priorities.
	Prompts, Tokens [lastPriorityIndex + 1]int
}

// promptsAhead returns what is read before work that arrived as the order-th request.
func (q *queue) promptsAhead(work *Work, order int) Ahead {
	var out Ahead
	for _, r := range q.runs {
		if cmp.Or(compareUrgency(&r.work, work), cmp.Compare(r.order, order)) >= 0 {
			break
		}
		out.Prompts[priorityIndex(r.work.Priority)]++
		out.Tokens[priorityIndex(r.work.Priority)] += r.unread
	}
	return out
}

// readingTime returns the time to read a prompt beside running requests, which share its
// steps.
func readingTime(speed *pace.Pace, unread, prompt, runs int) time.Duration {
	steps := float64(unread) / pace.Chunk
	return speed.Read(unread, prompt) + time.Duration(steps*float64(speed.DecodeStep(runs)))
}

const (
	// maxEventSilence is the time since its last event up to which an engine is assumed
	// to be at work. Its steps take some tens of milliseconds, but the first event of a
	// long prompt takes longer, and so does the report of it; with a shorter time,
	// requests would be taken from engines at work.
	maxEventSilence = time.Second
	// maxBypassed is how long after it was first bypassed a request is still assumed to
	// be queued. Engines read prompts in parts and fetch some, so a later prompt may be
	// ready first.
	maxBypassed = 500 * time.Millisecond
)

// QueueStatus is the estimated position of a request that has received no event yet.
type QueueStatus struct {
	// Ahead are the prompts that are read before its own.
	Ahead Ahead
	// AtHead is the time for which there have been none.
	AtHead time.Duration
	// SinceLastEvent is the time since the last reported event of the engine.
	SinceLastEvent time.Duration
	// SinceBypassed is the time since a request that arrived later and is no more urgent
	// gave its first event; 0 for never.
	SinceBypassed time.Duration
}

// Queued reports whether the engine is assumed to be at work on earlier prompts, or on
// the request's own for no longer than limit. An engine that serves requests bypassing
// this one for longer than maxBypassed has lost it.
func (s *QueueStatus) Queued(limit time.Duration) bool {
	return s.SinceLastEvent <= maxEventSilence && s.SinceBypassed <= maxBypassed && s.AtHead <= limit
}

// QueueStatus returns the queue status of a run. A run that is not tracked or has no
// prompt counts as on a server without recent events.
func (b *Board) QueueStatus(id RunID, now monotime.Instant) QueueStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil || r.work.Prompt == 0 {
		return QueueStatus{SinceLastEvent: maxRunAge}
	}
	out := QueueStatus{Ahead: r.server.queue.promptsAhead(&r.work, r.order), SinceLastEvent: now.Sub(r.server.lastEventAt)}
	switch {
	case out.Ahead != Ahead{}:
		r.headAt = 0
	case r.headAt == 0:
		r.headAt = now
	default:
		out.AtHead = now.Sub(r.headAt)
	}
	if r.bypassedAt != 0 {
		out.SinceBypassed = now.Sub(r.bypassedAt)
	}
	return out
}

// recordBypassed marks the waiting requests that arrived before one with a first event
// and are at least as urgent.
func (s *server) recordBypassed(by *run, now monotime.Instant) {
	for _, r := range s.runs {
		if !r.first && r.order < by.order && r.bypassedAt == 0 && compareUrgency(&r.work, &by.work) <= 0 {
			r.bypassedAt = now
		}
	}
}
