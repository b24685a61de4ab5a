package placement

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// urgentMost bounds the share of an engine's reading that more urgent prompts are
	// expected to take, so that predicted waits stay finite.
	urgentMost = 0.9
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

// leave takes a run out whose prompt is read, or that is over.
func (q *queue) leave(r *run, now monotime.Instant) {
	q.read(now)
	if at, ok := slices.BinarySearchFunc(q.runs, r, compareReading); ok {
		q.runs = slices.Delete(q.runs, at, at+1)
	}
}

// headedBy reports whether nothing is read before a run.
func (q *queue) headedBy(r *run) bool {
	return len(q.runs) == 0 || compareReading(r, q.runs[0]) <= 0
}

func compareReading(a, b *run) int {
	return cmp.Or(compareUrgency(&a.work, &b.work), cmp.Compare(a.order, b.order))
}

func compareUrgency(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Rank, b.Rank))
}

// read accounts for the reading done up to an instant.
func (q *queue) read(now monotime.Instant) {
	passed := now.Sub(q.readAt)
	if passed <= 0 {
		return
	}
	q.readAt = now
	for _, r := range q.runs {
		took := min(passed, r.left)
		r.left -= took
		passed -= took
		if passed == 0 {
			return
		}
	}
}

// ahead is how long reading takes that comes before new work.
func (q *queue) ahead(work *Work, now monotime.Instant) time.Duration {
	q.read(now)
	sum := time.Duration(0)
	for _, r := range q.runs {
		if compareUrgency(&r.work, work) > 0 {
			break
		}
		sum += r.left
	}
	return sum
}

// arrive notes that a prompt came which takes so long to read.
func (q *queue) arrive(priority int, reading time.Duration, now monotime.Instant) {
	faded := fadeOver(now.Sub(q.loadAt), urgentWindow)
	for i := range q.load {
		q.load[i] *= faded
	}
	q.loadAt = now
	q.load[counted(priority)] += reading.Seconds() / urgentWindow.Seconds()
}

// moreUrgent is the share of an engine's time that reading prompts takes which come
// and are more urgent than a priority.
func (q *queue) moreUrgent(priority int, now monotime.Instant) float64 {
	if priority <= 0 {
		return 0
	}
	return q.load.upTo(priority-1) * fadeOver(now.Sub(q.loadAt), urgentWindow)
}

// overtaken is how long a wait becomes while more urgent prompts come that need a share
// of the time: they are read first.
func overtaken(wait time.Duration, share float64) time.Duration {
	return time.Duration(float64(wait) / (1 - min(share, urgentMost)))
}

// Ahead is what an engine is believed to have to read before a prompt.
type Ahead struct {
	// Prompts and Tokens of them, by priority; those beyond the last counted are in it.
	Prompts, Tokens [lowestCounted + 1]int
}

// before lists what is read before work that arrived with an order.
func (q *queue) before(work *Work, order int) Ahead {
	var out Ahead
	for _, r := range q.runs {
		if cmp.Or(compareUrgency(&r.work, work), cmp.Compare(r.order, order)) >= 0 {
			break
		}
		out.Prompts[counted(r.work.Priority)]++
		out.Tokens[counted(r.work.Priority)] += r.unread
	}
	return out
}

// readingTime is how long an engine reads a prompt among others, which share its steps.
func readingTime(speed *pace.Pace, unread, prompt, runs int) time.Duration {
	steps := float64(unread) / pace.Chunk
	return speed.Read(unread, prompt) + time.Duration(steps*float64(speed.Plain(runs)))
}

const (
	// workShown is how long after its last sign of work an engine is believed to go on.
	// Its steps take some tens of milliseconds; the first event of a long prompt takes
	// longer, and news of it travel.
	workShown = time.Second
	// overtakenFor is how long a request may be overtaken: engines read prompts in parts
	// and fetch some, so the next one may be ready before.
	overtakenFor = 500 * time.Millisecond
)

// Standing is where a request is believed to stand that an engine has not answered yet.
type Standing struct {
	// Ahead of it are the prompts that are read before its own.
	Ahead Ahead
	// Head is for how long there have been none.
	Head time.Duration
	// Quiet is how long no event of the engine is known of.
	Quiet time.Duration
	// Overtaken is how long ago a request gave its first event that came later and
	// ranks no better; 0 for never.
	Overtaken time.Duration
}

// Queued reports whether the engine is believed to be at work on the prompts before it, or
// for no longer than patience on its own. An engine that serves those who came later has
// lost it.
func (s *Standing) Queued(patience time.Duration) bool {
	return s.Quiet <= workShown && s.Overtaken <= overtakenFor && s.Head <= patience
}

// Standing returns where a run stands. A server that is no engine tells nothing of its queue,
// and counts as quiet.
func (b *Board) Standing(id RunID, now monotime.Instant) Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil || r.work.Prompt == 0 {
		return Standing{Quiet: runLife}
	}
	out := Standing{Ahead: r.server.queue.before(&r.work, r.order), Quiet: now.Sub(r.server.workedAt)}
	switch {
	case out.Ahead != Ahead{}:
		r.headAt = 0
	case r.headAt == 0:
		r.headAt = now
	default:
		out.Head = now.Sub(r.headAt)
	}
	if r.overtakenAt != 0 {
		out.Overtaken = now.Sub(r.overtakenAt)
	}
	return out
}

// noteOvertaken notes which requests wait that came before one with a first event and rank
// no worse.
func (s *server) noteOvertaken(by *run, now monotime.Instant) {
	for _, r := range s.runs {
		if !r.first && r.order < by.order && r.overtakenAt == 0 && compareUrgency(&r.work, &by.work) <= 0 {
			r.overtakenAt = now
		}
	}
}
