// Package vtime runs events in virtual time, in order and on one goroutine, which makes
// a simulation depend only on its seed. Replay, the emulator and the failure tests of
// decision code use it.
package vtime

import (
	"container/heap"
	"time"

	"basilrudder/internal/monotime"
)

// Loop is an event queue with a virtual clock. The zero value starts at instant 0.
type Loop struct {
	now       monotime.Instant
	events    eventHeap
	scheduled int
}

// Now returns the current virtual time.
func (l *Loop) Now() monotime.Instant {
	return l.now
}

// Executed returns the number of events that have run or are running.
func (l *Loop) Executed() int {
	return l.scheduled - len(l.events)
}

// After schedules do to run after d, or now if d is negative. Events due at the same
// instant run in the order in which they were scheduled.
func (l *Loop) After(d time.Duration, do func()) {
	l.At(l.now.Add(max(d, 0)), do)
}

// At schedules do for an instant, or for the current one if that has passed.
func (l *Loop) At(at monotime.Instant, do func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: max(at, l.now), sequence: l.scheduled, do: do})
}

// Step runs the next event and reports whether there was one.
func (l *Loop) Step() bool {
	if len(l.events) == 0 {
		return false
	}
	next := heap.Pop(&l.events).(event)
	l.now = next.at
	next.do()
	return true
}

// Run runs all events due within d and advances the clock by d.
func (l *Loop) Run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.events) > 0 && l.events[0].at <= end {
		l.Step()
	}
	l.now = end
}

type event struct {
	at       monotime.Instant
	sequence int
	do       func()
}

// eventHeap implements heap.Interface, earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
