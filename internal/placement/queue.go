package placement

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// maxUrgentShare bounds the share of an engine's reading that more urgent prompts are
	// expected to take, so that predicted waits stay finite.
	maxUrgentShare = 0.9
	// urgentWindow is the time over which that share is averaged.
	urgentWindow = time.Second
)

// queue holds the prompts that an engine has yet to read, in the order in which it reads
// them: the more urgent first, and those as urgent as each other in order of arrival.
type queue struct {
	runs []*run
	// readAt is the instant up to which the runs' left is accounted for.
	readAt monotime.Instant
	// load is the share of its time that an engine needs to read what comes, by
	// priority, as of loadAt.
	load   byPriority
	loadAt monotime.Instant
}

func (q *queue) add(r *run) {
	at, _ := slices.BinarySearchFunc(q.runs, r, compareReading)
	q.runs = slices.Insert(q.runs, at, r)
}

// remove takes a run out whose prompt is read, or that is over.
func (q *queue) remove(r *run, now monotime.Instant) {
	q.advance(now)
	if at, ok := slices.BinarySearchFunc(q.runs, r, compareReading); ok {
		q.runs = slices.Delete(q.runs, at, at+1)
	}
}

// startsWith reports whether nothing is read before a run.
func (q *queue) startsWith(r *run) bool {
	return len(q.runs) == 0 || compareReading(r, q.runs[0]) <= 0
}

func compareReading(a, b *run) int {
	return cmp.Or(compareUrgency(&a.work, &b.work), cmp.Compare(a.order, b.order))
}

func compareUrgency(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Rank, b.Rank))
}

// advance accounts for the reading done up to an instant.
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

// timeAhead is how long reading takes that comes before new work.
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

// recordArrival notes that a prompt came which takes so long to read.
func (q *queue) recordArrival(priority int, reading time.Duration, now monotime.Instant) {
	faded := decay(now.Sub(q.loadAt), urgentWindow)
	for i := range q.load {
		q.load[i] *= faded
	}
	q.loadAt = now
	q.load[priorityIndex(priority)] += reading.Seconds() / urgentWindow.Seconds()
}

// moreUrgentShare is the share of an engine's time that reading prompts takes which come
// and are more urgent than a priority.
func (q *queue) moreUrgentShare(priority int, now monotime.Instant) float64 {
	if priority <= 0 {
		return 0
	}
	return q.load.upTo(priority-1) * decay(now.Sub(q.loadAt), urgentWindow)
}

// delayedByUrgent is how long a wait becomes while more urgent prompts come that need a share
// of the time: they are read first.
func delayedByUrgent(wait time.Duration, share float64) time.Duration {
	return time.Duration(float64(wait) / (1 - min(share, maxUrgentShare)))
}

// Ahead is what an engine is believed to have to read before a prompt.
type Ahead struct {
	// Prompts and Tokens of them, by priority; those beyond the last counted are in it.
	Prompts, Tokens [lastPriorityIndex + 1]int
}

// promptsAhead lists what is read promptsAhead work that arrived with an order.
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

// readingTime is how long an engine reads a prompt among others, which share its steps.
func readingTime(speed *pace.Pace, unread, prompt, runs int) time.Duration {
	steps := float64(unread) / pace.Chunk
	return speed.Read(unread, prompt) + time.Duration(steps*float64(speed.DecodeStep(runs)))
}

const (
	// maxEventSilence is how long after its last sign of work an engine is believed to go on.
	// Its steps take some tens of milliseconds; the first event of a long prompt takes
	// longer, and news of it travel.
	maxEventSilence = time.Second
	// maxBypassed is how long a request may be overtaken: engines read prompts in parts
	// and fetch some, so the next one may be ready before.
	maxBypassed = 500 * time.Millisecond
)

// QueueStatus is where a request is believed to stand that an engine has not answered yet.
type QueueStatus struct {
	// Ahead of it are the prompts that are read before its own.
	Ahead Ahead
	// AtHead is for how long there have been none.
	AtHead time.Duration
	// SinceLastEvent is how long no event of the engine is known of.
	SinceLastEvent time.Duration
	// SinceBypassed is how long ago a request gave its first event that came later and
	// ranks no better; 0 for never.
	SinceBypassed time.Duration
}

// Queued reports whether the engine is believed to be at work on the prompts before it, or
// for no longer than patience on its own. An engine that serves those who came later has
// lost it.
func (s *QueueStatus) Queued(limit time.Duration) bool {
	return s.SinceLastEvent <= maxEventSilence && s.SinceBypassed <= maxBypassed && s.AtHead <= limit
}

// QueueStatus returns where a run stands. A server that is no engine tells nothing of its queue,
// and counts as quiet.
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

// recordBypassed notes which requests wait that came before one with a first event and rank
// no worse.
func (s *server) recordBypassed(by *run, now monotime.Instant) {
	for _, r := range s.runs {
		if !r.first && r.order < by.order && r.bypassedAt == 0 && compareUrgency(&r.work, &by.work) <= 0 {
			r.bypassedAt = now
		}
	}
}
