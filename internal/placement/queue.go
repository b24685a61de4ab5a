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

func (q *queue) remove(r *run) {
	if at, ok := slices.BinarySearchFunc(q.runs, r, compareReading); ok {
		q.runs = slices.Delete(q.runs, at, at+1)
	}
}

func compareReading(a, b *run) int {
	return cmp.Or(cmp.Compare(a.work.Priority, b.work.Priority), cmp.Compare(a.order, b.order))
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

// ahead is how long reading takes that comes before a new prompt of a priority.
func (q *queue) ahead(priority int, now monotime.Instant) time.Duration {
	q.read(now)
	sum := time.Duration(0)
	for _, r := range q.runs {
		if r.work.Priority > priority {
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

// meanUrgent is the mean over engines of the share of their time that reading prompts
// takes which are more urgent than a priority.
func meanUrgent(of []opening, priority int, now monotime.Instant) float64 {
	sum := 0.0
	for _, s := range of {
		sum += s.queue.moreUrgent(priority, now)
	}
	return sum / float64(max(1, len(of)))
}

// readingTime is how long an engine reads a prompt among others, which share its steps.
func readingTime(speed *pace.Pace, unread, prompt, runs int) time.Duration {
	steps := float64(unread) / pace.Chunk
	return speed.Read(unread, prompt) + time.Duration(steps*float64(speed.Plain(runs)))
}
