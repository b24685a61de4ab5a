package gateway

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
)

// pagedStore is a memoryStore that is read in pages, whose answers share one link. Answers
// that come too late are transmitted in vain.
type pagedStore struct {
	*memoryStore
	pages    int
	pageTime time.Duration // of the link, for each page
	timeout  time.Duration
	// freeAt is when the link has transmitted all answers that were asked for.
	freeAt time.Time
	read   int // pages asked for
}

// storeTimeout is the default timeout of a read of the store.
const storeTimeout = 600 * time.Millisecond

// readPage reads one page.
func (s *pagedStore) readPage() error {
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.pageTime)
	s.read++
	arrives := s.freeAt.Add(storeCallTime).Sub(now)
	s.mu.Unlock()
	time.Sleep(min(arrives, s.timeout))
	if arrives > s.timeout {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// pagedReader reads a pagedStore. It resumes a listing that failed.
type pagedReader struct {
	*pagedStore
	next int // page
}

// All implements Source.
func (r *pagedReader) All(ctx context.Context, wanted func() bool) (*Changes, error) {
	for ; r.next < r.pages; r.next++ {
		if r.next > 0 && !wanted() {
			return nil, ErrNotWanted
		}
		if err := r.readPage(); err != nil {
			return nil, err
		}
	}
	r.next = 0
	return r.memoryStore.All(ctx, wanted)
}

// playStartOfAll starts instances together before a store with a page for each of some
// pages. It returns when all could serve, and how many pages were read until then.
func playStartOfAll(t *testing.T, size, pages int, pageTime, limit time.Duration) (last time.Duration, read int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		store := &pagedStore{memoryStore: newMemoryStore(), pages: pages, pageTime: pageTime, timeout: storeTimeout}
		store.change(func() {
			for n := range pages {
				store.put(fmt.Sprint("server-", n))
			}
		})
		fleet := startLinked(t, ctx, &tasks, size)
		begun := time.Now()
		for _, i := range fleet {
			fd := newStoreSync(i, &pagedReader{pagedStore: store})
			tasks.Go(func() error { return fd.run(ctx) })
		}
		last = lastCorrect(fleet, begun, limit, func(v *fleetView) bool { return len(v.uses) == pages })
		store.change(func() { read = store.read })
		stopLinked(t, cancel, &tasks)
	})
	return last, read
}

// newStoreSync returns what follows a store for an instance.
func newStoreSync(i *linkedInstance, source Source) *storeSync {
	return &storeSync{
		source: source, fleet: i.fleet, log: i.fleet.log, minWatch: 1100 * time.Millisecond, answerTimeout: storeTimeout,
		confirming: make(chan struct{}, 1), rank: i.peers.rank, hasHub: i.peers.hasHub, hasPeer: i.peers.hasPeer,
	}
}

// Guards against a fleet that never serves again after a start of all: all calls to the store time out.
func TestAStoreThatCannotAnswerAllAtOnceIsReadAfterAStartOfAll(t *testing.T) {
	const (
		limit = 18 * time.Second // until all instances serve again
		// pagesOfAll is how long the link takes to transmit one page to each instance: twice
		// the time that a call may take.
		pagesOfAll = 2 * storeTimeout
	)
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			last, read := playStartOfAll(t, size, max(1, size/2), pagesOfAll/time.Duration(size), limit)
			t.Logf("all serve after %v, %d pages read", last, read)
			if last >= limit {
				t.Errorf("some instance does not serve after %v; %d pages were read", last, read)
			}
		})
	}
}
