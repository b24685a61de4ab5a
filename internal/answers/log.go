// Package answers stores answers as append-only logs. An upstream appends to a Log, and
// any number of readers follow it from any offset, so a caller that lost its connection
// resumes where it stopped. A Store indexes the logs by customer and request id, with
// limits on memory and retention.
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

// Errors of Append and SetService. After any of them the upstream side must stop relaying.
var (
	// ErrClosed means that the answer is complete or closed.
	ErrClosed = errors.New("answer is closed")
	// ErrFull means that the answer would exceed its size limit.
	ErrFull = errors.New("answer is larger than its bound")
	// ErrGap means that tokens before this one are missing. The upstream stream must be
	// resumed at Len.
	ErrGap = errors.New("tokens are missing from the answer")
)

// eventOverhead is the memory of an event besides its text, in bytes. A smaller value
// lets answers of many short tokens take more memory than their size limit; a larger one
// refuses them too early.
const eventOverhead = 48

// State is the progress of an answer.
type State uint8

// States of an answer.
const (
	// Waiting means that no part of the answer has arrived.
	Waiting State = iota
	// Running means that a part of the answer has arrived.
	Running
	// Finished means that the answer is complete and closed.
	Finished
	// Failed means that the answer ended with an error.
	Failed
)

// String returns the name of the state in responses to callers.
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

// Header is one HTTP header field of a plain service's answer.
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
	// Headers are the fields that are forwarded to the caller.
	Headers []Header
	// Body of the answer.
	Body []byte
}

// Log is one answer. Events are only appended and never changed, so readers share them
// without copying. It is safe for concurrent use.
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

// waiter is a reader that waits for the event at an offset or for the end of the answer.
type waiter struct {
	offset int
	wake   chan struct{}
}

// Metadata holds what a response contains besides the tokens. It is stored with the
// answer so that a caller that fetches it again gets the same response as the first.
type Metadata struct {
	// Model that generates the answer; empty for a plain service.
	Model string
	// Created is the wall-clock time of the request in seconds since 1970.
	Created int64
	// PromptTokens is the number of tokens in the request's prompt.
	PromptTokens int
}

// NewLog returns an empty answer of at most maxBytes; 0 means no limit.
func NewLog(maxBytes int) *Log {
	return &Log{maxBytes: maxBytes}
}

// Append adds a token. A token that the log already holds is dropped without an error:
// an upstream that resumes may repeat tokens, and readers must receive each one once.
// It returns ErrClosed, ErrGap or ErrFull.
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

// SetService stores the whole answer of a plain service. The caller must call Close
// afterwards. It returns ErrClosed or ErrFull.
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

// Close ends the answer with an error, or with nil if the answer is complete. It reports
// whether this was the first call; later calls have no effect. A nil for an answer
// without its last token becomes an error, so that a truncated answer is not delivered as
// a complete one.
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

// Next returns the events from offset on and waits while there are none. done reports
// that the answer has ended and events holds the rest of it; err is then the error it was
// closed with, nil for a complete answer. When ctx ends first, err has the reason
// caller_gone. The caller must not modify the events.
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

// Wait blocks until the answer has ended and returns the error it was closed with, or
// caller_gone when ctx ends first. Unlike Next it is not woken by tokens.
func (l *Log) Wait(ctx context.Context) *verdict.Error {
	_, _, err := l.Next(ctx, math.MaxInt)
	return err
}

// SetMetadata stores the metadata. Once non-zero metadata is stored, further calls have
// no effect.
func (l *Log) SetMetadata(about Metadata) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.metadata == (Metadata{}) {
		l.metadata = about
	}
}

// Metadata returns what SetMetadata stored.
func (l *Log) Metadata() Metadata {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.metadata
}

// Attach registers a caller's connection that follows the answer.
func (l *Log) Attach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers++
}

// Detach reverts one Attach and returns the number of connections left.
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

// Len returns the number of tokens, which is the offset to resume from.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.events)
}

// Bytes returns the memory of the answer in bytes, as counted against its limit.
func (l *Log) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Service returns the answer of a plain service, or nil if there is none.
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

// complete reports whether the log holds the last part of the answer.
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

// register adds a waiter. It reuses the channels of earlier waits, so following an answer
// does not allocate for each token.
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

// wake removes and signals the waiters whose event or end has arrived. A waiter is
// signalled once, and its channel has a buffer of one, so the send never blocks.
func (l *Log) wake() {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool {
		if !l.ready(w.offset) {
			return false
		}
		w.wake <- struct{}{}
		return true
	})
}

// callerGone returns the error for a reader that stopped waiting. The answer itself
// continues.
func callerGone(ctx context.Context) *verdict.Error {
	return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonCallerGone, context.Cause(ctx))
}
