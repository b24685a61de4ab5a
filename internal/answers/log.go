// Package answers keeps answers as logs. An upstream appends to a Log, and any
// number of readers follow it from any offset, so that a caller who lost its
// connection resumes where it stopped. A Store finds a Log again by customer
// and request id, within bounds of memory and time.
package answers

import (
	"context"
	"math"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// Errors of Append. Each tells the upstream side to stop relaying.
var (
	// ErrClosed means that the answer has ended.
	ErrClosed = errors.New("answer is closed")
	// ErrFull means that the answer has reached its bound.
	ErrFull = errors.New("answer is larger than its bound")
	// ErrGap means that tokens are missing before this one; resume the upstream
	// stream at Len.
	ErrGap = errors.New("tokens are missing from the answer")
)

// eventOverhead is the memory of an event besides its text, in bytes.
const eventOverhead = 48

// State tells how far an answer has come.
type State uint8

// States of an answer, in the order they are reached.
const (
	// Waiting means that no part of the answer has arrived.
	Waiting State = iota
	// Running means that a part of the answer has arrived.
	Running
	// Finished means that the whole answer is here.
	Finished
	// Failed means that the answer ended with an error.
	Failed
)

// String returns the name callers see.
func (s State) String() string {
	switch s {
	case Waiting:
		return "waiting"
	case Running:
		return "running"
	case Finished:
		return "finished"
	default:
		return "failed"
	}
}

// Header is one header field of a plain service's answer.
type Header struct {
	// Name of the field.
	Name string
	// Value of the field.
	Value string
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int
	// Headers are the fields to pass on.
	Headers []Header
	// Body of the answer.
	Body []byte
}

// Log is one answer. Events are only appended and never changed, so that
// readers share them without copying. It is safe for concurrent use.
type Log struct {
	maxBytes int

	mu           sync.Mutex
	events       []engineapi.TokenEvent
	service      *ServiceAnswer
	bytes        int
	closed       bool
	err          *verdict.Error
	metadata     Metadata
	readers      int
	waiters      []waiter
	freeChannels []chan struct{}
}

// waiter is a reader that waits for the event at an offset, or for the end.
type waiter struct {
	offset int
	wake   chan struct{}
}

// Metadata describes an answer, so that a caller who fetches it again sees it as
// the first one did.
type Metadata struct {
	// Model that answers; empty for a plain service.
	Model string
	// Created is the wall-clock time of the request in seconds since 1970.
	Created int64
	// PromptTokens of the request.
	PromptTokens int
}

// NewLog returns an empty answer that holds at most maxBytes; 0 for no bound.
func NewLog(maxBytes int) *Log {
	return &Log{maxBytes: maxBytes}
}

// Append adds a token. A token the log already holds is dropped: an upstream
// that resumes may repeat some, and a reader must see each one once.
func (l *Log) Append(event engineapi.TokenEvent) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if event.Offset < len(l.events) {
		return nil
	}
	if event.Offset > len(l.events) {
		return ErrGap
	}
	if l.complete() {
		return ErrClosed
	}
	size := eventOverhead + len(event.Text) + len(event.Finish)
	if l.maxBytes > 0 && l.bytes+size > l.maxBytes {
		return ErrFull
	}
	l.bytes += size
	l.events = append(l.events, event)
	l.wake()
	return nil
}

// SetService stores the whole answer of a plain service. Close must follow.
func (l *Log) SetService(answer ServiceAnswer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.service != nil {
		return ErrClosed
	}
	size := len(answer.Body)
	for _, h := range answer.Headers {
		size += len(h.Name) + len(h.Value)
	}
	if l.maxBytes > 0 && size > l.maxBytes {
		return ErrFull
	}
	l.bytes += size
	l.service = &answer
	return nil
}

// Close ends the answer; nil means that it is whole. Only the first call
// counts, and it reports true. A nil for an answer without its last token
// would let a cut answer pass for a whole one, so it becomes an error.
func (l *Log) Close(err *verdict.Error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if err == nil && !l.complete() {
		err = verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "the answer ended before its last token")
	}
	l.closed = true
	l.err = err
	l.wake()
	return true
}

// Next returns the events from offset on, waiting for one when there is none.
// done means that the answer has ended and that events holds the rest of it; err
// is then the way it ended, nil for a whole answer. When ctx ends first, err
// has the reason caller_gone. The events must not be changed.
func (l *Log) Next(ctx context.Context, offset int) (events []engineapi.TokenEvent, done bool, err *verdict.Error) {
	l.mu.Lock()
	for !l.ready(offset) {
		if ctx.Err() != nil {
			l.mu.Unlock()
			return nil, false, callerGone(ctx)
		}
		wait := l.register(offset)
		l.mu.Unlock()
		select {
		case <-wait:
			l.mu.Lock()
			l.freeChannels = append(l.freeChannels, wait)
		case <-ctx.Done():
			l.mu.Lock()
			l.unregister(wait)
		}
	}
	defer l.mu.Unlock()
	if offset < len(l.events) {
		events = l.events[offset:len(l.events):len(l.events)]
	}
	return events, l.closed, l.err
}

// Wait returns when the answer has ended, or with caller_gone when ctx ends. It
// is not woken for each token.
func (l *Log) Wait(ctx context.Context) *verdict.Error {
	_, _, err := l.Next(ctx, math.MaxInt)
	return err
}

// SetMetadata stores what the answer is about. Only the first call counts.
func (l *Log) SetMetadata(about Metadata) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.metadata == (Metadata{}) {
		l.metadata = about
	}
}

// Metadata returns what Describe stored.
func (l *Log) Metadata() Metadata {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.metadata
}

// Attach counts a caller's connection that follows the answer.
func (l *Log) Attach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers++
}

// Detach ends what Attach began, and returns the number of connections left.
func (l *Log) Detach() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers--
	return l.readers
}

// Readers returns the number of connections that follow the answer.
func (l *Log) Readers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers
}

// Len returns the number of tokens; it is the offset to resume from.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.events)
}

// Bytes returns the memory the answer takes.
func (l *Log) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Service returns the answer of a plain service, or nil.
func (l *Log) Service() *ServiceAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service
}

// Status returns the state and, for a failed answer, its error.
func (l *Log) Status() (State, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed && l.err != nil:
		return Failed, l.err
	case l.closed:
		return Finished, nil
	case len(l.events) > 0 || l.service != nil:
		return Running, nil
	default:
		return Waiting, nil
	}
}

// complete reports whether the last part of the answer is here.
func (l *Log) complete() bool {
	if l.service != nil {
		return true
	}
	n := len(l.events)
	return n > 0 && l.events[n-1].Finish != ""
}

func (l *Log) ready(offset int) bool {
	return l.closed || offset < len(l.events)
}

// register adds a waiter. Its channel is taken from the ones earlier waits
// left, so that following an answer does not allocate for each token.
func (l *Log) register(offset int) chan struct{} {
	var wake chan struct{}
	if n := len(l.freeChannels); n > 0 {
		wake = l.freeChannels[n-1]
		l.freeChannels = l.freeChannels[:n-1]
	} else {
		wake = make(chan struct{}, 1)
	}
	l.waiters = append(l.waiters, waiter{offset: offset, wake: wake})
	return wake
}

func (l *Log) unregister(wake chan struct{}) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return w.wake == wake })
}

// wake wakes the waiters whose wait is over. Each is sent one signal, for which
// its channel has room.
func (l *Log) wake() {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool {
		if !l.ready(w.offset) {
			return false
		}
		w.wake <- struct{}{}
		return true
	})
}

// callerGone is the error of a reader that stopped waiting; the answer goes on.
func callerGone(ctx context.Context) *verdict.Error {
	return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonCallerGone, context.Cause(ctx))
}
