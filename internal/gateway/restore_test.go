package gateway

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/monotime"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
	"basilrudder/internal/timer"
)

// fleetSize adds a fleet size to the tests of any fleet size.
var fleetSize = flag.Int("fleet", 0, "number of instances of one more fleet")

func fleetSizes() []int {
	if *fleetSize > 0 {
		return append(slices.Clone(defaultFleetSizes), *fleetSize)
	}
	return defaultFleetSizes
}

// memoryStore is a store that many instances read, and that can be restored from a copy.
type memoryStore struct {
	mu      sync.Mutex
	config  *routing.Config
	entries map[string]servers.Server
	latest  servers.Revision
	changed chan struct{}
	calls   int
}

const storeCallTime = 4 * time.Millisecond

func newMemoryStore() *memoryStore {
	return &memoryStore{config: config(1), entries: make(map[string]servers.Server), changed: make(chan struct{})}
}

// change applies a change to the store and answers the watches.
func (s *memoryStore) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an entry. mu is held.
func (s *memoryStore) put(id string) {
	s.latest++
	s.entries[id] = entry(id, s.latest)
}

func (s *memoryStore) call() {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	time.Sleep(storeCallTime)
}

func (s *memoryStore) All(context.Context, func() bool) (*Changes, error) {
	s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Changes{Config: s.config, Servers: slices.Collect(maps.Values(s.entries)), Revision: s.latest}, nil
}

func (s *memoryStore) Watch(ctx context.Context, after servers.Revision, wait time.Duration) (*Changes, error) {
	s.call()
	end := timer.New(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		out, changed := &Changes{Revision: s.latest}, s.changed
		lost := after.Era() != s.latest.Era()
		for _, e := range s.entries {
			if e.Revision > after {
				out.Servers = append(out.Servers, e)
			}
		}
		s.mu.Unlock()
		if lost {
			return nil, ErrHistoryLost
		}
		if len(out.Servers) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return out, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *memoryStore) Calls() StoreCalls { return StoreCalls{} }

func (s *memoryStore) Config(context.Context) (*routing.Config, error) {
	s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, nil
}

// Guards against instances that keep an outdated view, or that all read the store, after
// it was restored from a copy.
func TestRestoredStoreIsFollowedSoonAtAnyFleetSize(t *testing.T) {
	const (
		limit          = time.Second // until all views are correct
		watched        = 4 * time.Second
		maxReaderCalls = 60 // of the six readers in that time
		lost, kept     = 5, 20
	)
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var tasks errgroup.Group
				store := newMemoryStore()
				store.change(func() {
					for n := range kept {
						store.put(fmt.Sprint("kept-", n))
					}
				})
				fleet := startLinked(t, ctx, &tasks, size)
				for _, i := range fleet {
					fd := newStoreSync(i, store)
					tasks.Go(func() error { return fd.run(ctx) })
					tasks.Go(func() error {
						for ctx.Err() == nil {
							i.fleet.changeServers(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
							timer.Sleep(tickInterval, ctx.Done())
						}
						return nil
					})
				}
				time.Sleep(10 * time.Second)
				var copied map[string]servers.Server
				store.change(func() {
					copied = maps.Clone(store.entries)
					for n := range lost {
						store.put(fmt.Sprint("lost-", n))
					}
				})
				time.Sleep(2 * time.Second)
				begun, calls := time.Now(), 0
				store.change(func() {
					calls = -store.calls
					store.latest = revision(t, 1, 1)
					store.entries = make(map[string]servers.Server)
					for _, id := range slices.Sorted(maps.Keys(copied)) {
						store.put(id)
					}
					store.put("new")
				})
				last := lastCorrect(fleet, begun, watched, func(f *fleetView) bool { return f.era == 1 && f.uses["new"] && f.uses["lost-0"] })
				if last > limit {
					t.Errorf("some instance has no correct view after %v", last)
				}
				time.Sleep(watched - time.Since(begun))
				store.change(func() { calls += store.calls })
				t.Logf("correct at all instances after %v, %d calls to the store in %v", last, calls, watched)
				if maxCalls := maxReaderCalls + 2*size; calls > maxCalls {
					t.Errorf("%d calls in %v, at most %d wanted", calls, watched, maxCalls)
				}
				for _, i := range fleet {
					if v := viewOf(i.fleet); v.uses["lost-0"] || len(v.uses) != kept+1 {
						t.Errorf("%s uses %d servers", i.fleet.self, len(v.uses))
					}
				}
				stopLinked(t, cancel, &tasks)
			})
		})
	}
}

// fleetView is an instance's view of the servers.
type fleetView struct {
	era  int64
	uses map[string]bool
}

func viewOf(f *fleet) *fleetView {
	latest, _ := f.latestRevision()
	out := &fleetView{era: latest.Era(), uses: make(map[string]bool)}
	for _, id := range ready(f) {
		out.uses[id] = true
	}
	return out
}

// lastCorrect returns how long after an instant the last instance had a correct view, or
// the timeout.
func lastCorrect(fleet []*linkedInstance, begun time.Time, timeout time.Duration, correct func(*fleetView) bool) time.Duration {
	const interval = 10 * time.Millisecond
	for time.Since(begun) < timeout {
		time.Sleep(interval)
		if !slices.ContainsFunc(fleet, func(i *linkedInstance) bool { return !correct(viewOf(i.fleet)) }) {
			return time.Since(begun)
		}
	}
	return timeout
}
