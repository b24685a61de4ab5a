package answers

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Key names an answer. The customer is part of it: a request id is no secret,
// and another customer who knows it must not read the answer.
type Key struct {
	// Customer name.
	Customer string
	// ID of the request.
	ID string
}

// StoreConfig bounds a Store.
type StoreConfig struct {
	// Retention is the time a finished answer is kept.
	Retention time.Duration
	// KeptBytes bounds the memory of finished answers.
	KeptBytes int
	// AnswerBytes bounds one answer; 0 for no bound.
	AnswerBytes int
	// MaxEntries bounds the ids remembered; 0 for no bound.
	MaxEntries int
}

// Request describes a request whose answer is to be stored.
type Request struct {
	// Fingerprint of the request. A second request under the same id must have
	// the same one, or it would be given the answer to another request.
	Fingerprint uint64
	// Expires is when the id stops being accepted. Until then the id is
	// remembered even when its answer was dropped, so that it is not run again.
	Expires monotime.Instant
}

// Store finds answers by customer and request id. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	cfg       StoreConfig
	entries   map[Key]*entry
	kept      list.List // of *entry, finished first at the front
	dropped   expiryHeap
	keptBytes int
}

type entry struct {
	key         Key
	fingerprint uint64
	expires     monotime.Instant
	log         *Log
	bytes       int
	finished    bool
	finishedAt  monotime.Instant
	element     *list.Element // in Store.kept, nil unless the answer is kept
}

// Stats counts what a Store holds.
type Stats struct {
	// InProgress answers.
	InProgress int `json:"in_progress"`
	// Kept finished answers.
	Kept int `json:"kept"`
	// KeptBytes is the memory of the kept answers.
	KeptBytes int `json:"kept_bytes"`
	// Remembered ids whose answer was dropped.
	Remembered int `json:"remembered"`
}

// NewStore returns an empty Store.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg, entries: make(map[Key]*entry)}
}

// Configure changes the bounds.
func (s *Store) Configure(now monotime.Instant, cfg StoreConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
	s.expire(now)
}

// Begin returns the answer under the key, creating it when the id is new.
// Looking up and creating are one step, so that of two requests with the same
// id only one sees created and may start the work.
func (s *Store) Begin(now monotime.Instant, key Key, request Request) (log *Log, created bool, err *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if e := s.entries[key]; e != nil {
		if e.fingerprint != request.Fingerprint {
			return nil, false, verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest,
				"this request id was used for a different request")
		}
		return e.log, false, nil
	}
	if s.cfg.MaxEntries > 0 && len(s.entries) >= s.cfg.MaxEntries {
		return nil, false, verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
			"too many request ids are remembered").After(time.Second)
	}
	e := &entry{
		key:         key,
		fingerprint: request.Fingerprint,
		expires:     request.Expires,
		log:         NewLog(s.cfg.AnswerBytes),
	}
	s.entries[key] = e
	return e.log, true, nil
}

// Find returns the answer under the key. One that was dropped is found as a
// closed answer that says so.
func (s *Store) Find(key Key) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return nil, false
	}
	return e.log, true
}

// Finish starts the keeping of an answer that has been closed, and reports
// whether it did. It may drop older finished answers.
func (s *Store) Finish(now monotime.Instant, key Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || e.finished {
		return false
	}
	if state, _ := e.log.Status(); state != Finished && state != Failed {
		return false
	}
	e.finished = true
	e.finishedAt = now
	e.bytes = e.log.Bytes()
	e.element = s.kept.PushBack(e)
	s.keptBytes += e.bytes
	s.expire(now)
	return true
}

// Remove forgets a request that never ran, so that its id may be used again.
// Its readers keep the closed log they hold.
func (s *Store) Remove(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || e.finished {
		return
	}
	delete(s.entries, key)
}

// Expire drops answers and ids whose time has passed.
func (s *Store) Expire(now monotime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

// Stats returns what the store holds.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		InProgress: len(s.entries) - s.kept.Len() - len(s.dropped),
		Kept:       s.kept.Len(),
		KeptBytes:  s.keptBytes,
		Remembered: len(s.dropped),
	}
}

// expire walks only finished answers: one in progress has a caller to come,
// however much memory is asked for.
func (s *Store) expire(now monotime.Instant) {
	for front := s.kept.Front(); front != nil; front = s.kept.Front() {
		e := front.Value.(*entry)
		due := !now.Before(e.finishedAt.Add(s.cfg.Retention))
		if !due && s.keptBytes <= s.cfg.KeptBytes {
			break
		}
		s.drop(now, e)
	}
	for len(s.dropped) > 0 && !now.Before(s.dropped[0].expires) {
		e := heap.Pop(&s.dropped).(*entry)
		delete(s.entries, e.key)
	}
}

// drop frees an answer. Its id stays until it expires: were it forgotten, a
// caller that sends it again would start the work a second time.
func (s *Store) drop(now monotime.Instant, e *entry) {
	s.kept.Remove(e.element)
	e.element = nil
	s.keptBytes -= e.bytes
	if !now.Before(e.expires) {
		delete(s.entries, e.key)
		return
	}
	e.log = droppedLog(e.log)
	heap.Push(&s.dropped, e)
}

// droppedLog replaces an answer by one that tells only how it ended.
func droppedLog(log *Log) *Log {
	_, err := log.Status()
	if err == nil {
		err = verdict.New(verdict.Ran, verdict.ReasonUnknownRequest, "the answer is no longer kept")
	}
	out := NewLog(0)
	out.Close(err)
	return out
}

// expiryHeap orders entries by the expiry of their id.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*entry)) }

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
