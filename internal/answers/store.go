package answers

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Key identifies an answer. It includes the customer because request ids are not secret:
// another customer that has the id must not be able to read the answer.
type Key struct {
	// Customer name.
	Customer string
	// ID of the request.
	ID string
}

// StoreConfig holds the limits of a Store.
type StoreConfig struct {
	// Retention is how long a finished answer is kept.
	Retention time.Duration
	// KeptBytes limits the memory of finished answers.
	KeptBytes int
	// AnswerBytes limits one answer; 0 means no limit.
	AnswerBytes int
	// MaxEntries limits the number of request ids in the store, with and without their
	// answer; 0 means no limit.
	MaxEntries int
}

// Request describes a request whose answer will be stored.
type Request struct {
	// Fingerprint of the request. A different request under the same id has another
	// fingerprint and is refused; it would otherwise receive the wrong answer.
	Fingerprint uint64
	// Expires is when the id stops being accepted. Until then the store keeps the id even
	// if its answer was dropped, so that the request is not run again.
	Expires monotime.Instant
}

// Store indexes answers by customer and request id. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	cfg       StoreConfig
	entries   map[Key]*entry
	kept      list.List // of *entry, in order of finishing, oldest at the front
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

// Stats holds the sizes of a Store.
type Stats struct {
	// InProgress is the number of answers that are not finished.
	InProgress int `json:"in_progress"`
	// Kept is the number of finished answers.
	Kept int `json:"kept"`
	// KeptBytes is the memory of the kept answers.
	KeptBytes int `json:"kept_bytes"`
	// Remembered is the number of unexpired ids whose answer was dropped.
	Remembered int `json:"remembered"`
}

// NewStore returns an empty Store.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg, entries: make(map[Key]*entry)}
}

// Configure replaces the limits and drops the finished answers that exceed them.
func (s *Store) Configure(now monotime.Instant, cfg StoreConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
	s.expire(now)
}

// Begin returns the answer with the key and creates it if the id is new. Lookup and
// creation are atomic: of two concurrent requests with the same id only one gets created
// and may start the work. A different request under a used id is refused, as is a new id
// beyond MaxEntries.
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

// Find returns the answer with the key. For a dropped answer it returns a closed log
// whose error reports how the answer ended.
func (s *Store) Find(key Key) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return nil, false
	}
	return e.log, true
}

// Finish starts the retention of a closed answer and reports whether it did. It may drop
// older finished answers.
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

// Remove deletes a request that never ran, so that its id may be used again. Readers that
// already hold its log keep it.
func (s *Store) Remove(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || e.finished {
		return
	}
	delete(s.entries, key)
}

// Expire drops answers past their retention and deletes expired ids.
func (s *Store) Expire(now monotime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

// Stats returns the current sizes.
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

// expire drops finished answers only. An answer in progress is never dropped, whatever
// the memory in use, because a caller is still going to read it.
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

// drop frees an answer. The id is kept until it expires; without it, a retry would start
// the work a second time.
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

// droppedLog returns a closed log without events that reports how the answer ended.
func droppedLog(log *Log) *Log {
	_, err := log.Status()
	if err == nil {
		err = verdict.New(verdict.Ran, verdict.ReasonUnknownRequest, "the answer is no longer kept")
	}
	out := NewLog(0)
	out.Close(err)
	return out
}

// expiryHeap implements heap.Interface, earliest expiry of an id first.
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
