package replay

import (
	"container/heap"
	"time"

	"basilrudder/internal/monotime"
)

// event is something that happens at an instant of virtual time.
type event struct {
	at  monotime.Instant
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// loop runs events in order of time; events of one instant run in the order in
// which they were added.
type loop struct {
	now    monotime.Instant
	events eventHeap
	seq    uint64
}

func (l *loop) at(when monotime.Instant, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: max(when, l.now), seq: l.seq, run: run})
}

func (l *loop) after(d time.Duration, run func()) {
	l.at(l.now.Add(d), run)
}

// step runs the next event.
func (l *loop) step() bool {
	if len(l.events) == 0 {
		return false
	}
	next := heap.Pop(&l.events).(event)
	l.now = next.at
	next.run()
	return true
}
