// Package vtime carries out events in virtual time, in order and on one
// goroutine, so that a run depends on its seed alone. Replay and the failure
// tests of decision code use it.
package vtime

import (
	"container/heap"
	"time"

	"basilrudder/internal/monotime"
)

// Loop is a queue of events. The zero value starts at instant 0.
type Loop struct {
	now       monotime.Instant
	events    eventHeap
	scheduled int
}

// Now returns the current instant.
func (l *Loop) Now() monotime.Instant {
	return l.now
}

// Executed returns the number of events carried out.
func (l *Loop) Executed() int {
	return l.scheduled - len(l.events)
}

// After carries out do when d has passed; events due at one instant happen in
// the order in which they were put in.
func (l *Loop) After(d time.Duration, do func()) {
	l.At(l.now.Add(max(d, 0)), do)
}

// At carries out do at an instant, or at once if it has passed.
func (l *Loop) At(at monotime.Instant, do func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: max(at, l.now), sequence: l.scheduled, do: do})
}

// Step carries out the next event and reports whether there was one.
func (l *Loop) Step() bool {
	if len(l.events) == 0 {
		return false
	}
	next := heap.Pop(&l.events).(event)
	l.now = next.at
	next.do()
	return true
}

// Run carries out what is due within d, and then the time is d later.
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
