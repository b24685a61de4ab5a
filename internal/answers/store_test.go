package answers

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

const second = monotime.Instant(time.Second)

func finishOne(t *testing.T, s *Store, now monotime.Instant, key Key, expires monotime.Instant) *Log {
	t.Helper()
	log, created, err := s.Begin(now, key, Request{Expires: expires})
	if err != nil || !created {
		t.Fatalf("Begin(%v): created %v, error %v", key, created, err)
	}
	_ = log.Append(token(0, "stop"))
	log.Close(nil)
	if !s.Finish(now, key) {
		t.Fatalf("Finish(%v) refused", key)
	}
	return log
}

// Guards against executing a request twice when retries of it arrive concurrently on
// several connections: only one may start the work, and all must follow the same answer.
func TestBeginCreatesOnce(t *testing.T) {
	s := NewStore(StoreConfig{Retention: time.Minute, KeptBytes: 1 << 20})
	const callers = 32
	var mu sync.Mutex
	creators := 0
	logs := make(map[*Log]bool)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			log, created, _ := s.Begin(0, Key{Customer: "a", ID: "1"}, Request{Expires: 100 * second})
			mu.Lock()
			defer mu.Unlock()
			logs[log] = true
			if created {
				creators++
			}
		})
	}
	wg.Wait()
	if creators != 1 || len(logs) != 1 {
		t.Errorf("%d creators and %d logs, want one each", creators, len(logs))
	}
}

func TestFindIsScopedToCustomer(t *testing.T) {
	s := NewStore(StoreConfig{Retention: time.Minute, KeptBytes: 1 << 20})
	finishOne(t, s, 0, Key{Customer: "a", ID: "1"}, 100*second)
	if _, ok := s.Find(Key{Customer: "b", ID: "1"}); ok {
		t.Error("Find returned the answer of another customer")
	}
	if _, ok := s.Find(Key{Customer: "a", ID: "1"}); !ok {
		t.Error("Find did not return the customer's own answer")
	}
}

// Guards against delivering the answer to another request: a caller that reuses an id for
// a different request is refused instead of receiving the stored answer.
func TestAnotherRequestUnderTheSameIDIsRefused(t *testing.T) {
	s := NewStore(StoreConfig{Retention: time.Minute, KeptBytes: 1 << 20})
	key := Key{Customer: "a", ID: "1"}
	_, _, _ = s.Begin(0, key, Request{Fingerprint: 1, Expires: 100 * second})
	_, _, err := s.Begin(0, key, Request{Fingerprint: 2, Expires: 100 * second})
	if err == nil || err.Verdict != verdict.MayHaveRun {
		t.Errorf("got %v", err)
	}
}

// Guards against losing an answer in progress when many finished answers exceed the memory
// limit. The oldest finished answers are dropped first.
func TestBoundDropsOldestFinishedOnly(t *testing.T) {
	one := eventOverhead + len("0") + len("stop")
	s := NewStore(StoreConfig{Retention: time.Hour, KeptBytes: 3 * one})
	running := Key{Customer: "a", ID: "running"}
	runningLog, _, _ := s.Begin(0, running, Request{Expires: 9999 * second})
	for i := range 10 {
		finishOne(t, s, monotime.Instant(i), Key{Customer: "a", ID: fmt.Sprint(i)}, 9999*second)
		if got := s.Stats().KeptBytes; got > 3*one {
			t.Fatalf("kept %d bytes, limit %d", got, 3*one)
		}
	}
	if log, ok := s.Find(running); !ok || log != runningLog {
		t.Error("the answer in progress was dropped")
	}
	for i := range 10 {
		log, _ := s.Find(Key{Customer: "a", ID: fmt.Sprint(i)})
		state, _ := log.Status()
		if wantKept := i >= 7; (state == Finished) != wantKept {
			t.Errorf("answer %d is %v, want kept %v", i, state, wantKept)
		}
	}
}

// Guards against executing a request twice: a retry arrives after the answer was dropped
// but before its id expired. It must get the verdict that the request ran.
func TestDroppedAnswerIsNotRunAgain(t *testing.T) {
	s := NewStore(StoreConfig{Retention: 10 * time.Second, KeptBytes: 1 << 20})
	key := Key{Customer: "a", ID: "1"}
	finishOne(t, s, 0, key, 60*second)
	s.Expire(10 * second)
	log, created, err := s.Begin(20*second, key, Request{Expires: 60 * second})
	if created || err != nil {
		t.Fatalf("created %v, error %v", created, err)
	}
	if _, end := log.Status(); end == nil || end.Verdict != verdict.Ran {
		t.Errorf("error of the dropped answer is %v, want verdict ran", end)
	}
	s.Expire(60 * second)
	if _, ok := s.Find(key); ok {
		t.Error("the id was still found after its expiry")
	}
	if got := s.Stats(); got != (Stats{}) {
		t.Errorf("the store still holds %+v", got)
	}
}

func TestFinishNeedsAClosedAnswer(t *testing.T) {
	s := NewStore(StoreConfig{Retention: time.Second, KeptBytes: 0})
	key := Key{Customer: "a", ID: "1"}
	log, _, _ := s.Begin(0, key, Request{Expires: second})
	if s.Finish(0, key) {
		t.Error("Finish accepted an answer in progress")
	}
	s.Expire(1000 * second)
	if found, ok := s.Find(key); !ok || found != log {
		t.Error("an answer in progress expired")
	}
}

func TestEntriesAreBounded(t *testing.T) {
	s := NewStore(StoreConfig{Retention: time.Second, KeptBytes: 1 << 20, MaxEntries: 1})
	finishOne(t, s, 0, Key{Customer: "a", ID: "1"}, 100*second)
	_, _, err := s.Begin(0, Key{Customer: "a", ID: "2"}, Request{Expires: 100 * second})
	if err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("Begin beyond MaxEntries: %v", err)
	}
	if _, _, err := s.Begin(100*second, Key{Customer: "a", ID: "2"}, Request{Expires: 200 * second}); err != nil {
		t.Errorf("after expiry: %v", err)
	}
}
