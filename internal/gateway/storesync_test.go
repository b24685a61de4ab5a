package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
)

// Guards against all instances that read the store at once when its readers are lost: of
// 585 each would list thousands of servers.
func TestFewInstancesTakeOverBeforeTheFirstHasAnAnswer(t *testing.T) {
	const (
		// answerWithin is the time in which the first one reads the store and the others
		// receive its confirmation.
		answerWithin = 300 * time.Millisecond
		most         = int((answerWithin + takeOverJitter) / takeOverStep)
		// inForceWithin is the time in which a change must be in force.
		inForceWithin = 5 * time.Second
	)
	for _, size := range []int{60, 585, 1200} {
		reading, last := 0, time.Duration(0)
		for place := storeReaders; place < size; place++ {
			delay := takeOverDelay(place)
			if delay <= takeOverDelay(storeReaders)+answerWithin {
				reading++
			}
			last = max(last, delay+takeOverJitter)
		}
		if reading > most {
			t.Errorf("%d of %d instances read at once", reading, size)
		}
		if last > inForceWithin-takeOverAfter/2 {
			t.Errorf("the last of %d instances reads after %v", size, last)
		}
	}
}

// Guards against instances that do not become readers because they wait after a failure:
// in a fleet of 585 for up to 39 s.
func TestAnInstanceThatBecomesAReaderDoesNotWaitOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		const becomesReader, length = 10 * time.Second, 20 * time.Second
		begun, callsBefore := monotime.Now(), 0
		fd.rank = func() (int, int) {
			if monotime.Now().Sub(begun) >= becomesReader {
				return 1, 585
			}
			callsBefore = len(source.calls)
			return 50, 585
		}
		f.installConfig(config(1), "peer")
		put(f, "peer", entry("a", 1))
		f.confirmVersion(1, monotime.Now())
		for range 1000 {
			source.all = append(source.all, result{err: errors.New("refused"), after: time.Millisecond})
		}
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		_ = fd.run(ctx)
		if n := len(source.calls) - callsBefore; n < 20 {
			t.Errorf("one of the first in rank asks %d times in %v", n, length-becomesReader)
		}
	})
}

// Guards against a start in which all instances read the store because the first ones that
// do take longer than in a small fleet.
func TestFewInstancesReadAtOnceAfterAStart(t *testing.T) {
	for _, size := range []int{60, 585, 1200} {
		reading := 0
		for place := range size {
			if stateWait(place) <= hubStateWait+300*time.Millisecond {
				reading++
			}
			if stateWait(place) > 3*time.Second {
				t.Errorf("place %d waits for %v", place, stateWait(place))
			}
		}
		if most := maxFirstReaders + 30; reading > most+1 {
			t.Errorf("%d of %d instances read at once", reading, size)
		}
	}
}

// Guards against a process that lists the store right after a peer has sent it everything,
// because it has had no confirmation yet.
func TestAStartingProcessWaitsForItsFirstConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		fd.rank = func() (int, int) { return 20, 59 }
		fd.hasPeer = func() bool { return true }
		f.installConfig(config(1), "peer")
		put(f, "peer", entry("a", 1))
		ctx, cancel := context.WithTimeout(t.Context(), takeOverAfter)
		defer cancel()
		_ = fd.run(ctx)
		if len(source.calls) != 0 {
			t.Errorf("calls %v", source.calls)
		}
	})
}

// Guards against an instance that waits for its turn though the readers are gone or it has its state.
func TestAPauseBetweenPagesEndsWhenItHasNoReason(t *testing.T) {
	for name, end := range map[string]func(f *fleet, place *atomic.Int64){
		"first in rank":  func(_ *fleet, place *atomic.Int64) { place.Store(1) },
		"state received": func(f *fleet, _ *atomic.Int64) { f.installConfig(config(1), "peer"); put(f, "peer", entry("a", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, fd, _ := newFleet()
				var place atomic.Int64
				place.Store(500)
				fd.rank = func() (int, int) { return int(place.Load()), 585 }
				fd.started = monotime.Now()
				time.AfterFunc(time.Second, func() { end(f, &place) })
				begun := time.Now()
				fd.pauseBetweenPages(t.Context(), storeTimeout)
				if took := time.Since(begun); took < time.Second || took > time.Second+2*readCheckInterval {
					t.Errorf("waited for %v", took)
				}
			})
		})
	}
}

// Guards against a removed server that is used on because earlier failures look like an outage.
func TestFailuresOfAFormerReaderAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		fd.rank = func() (int, int) { return 40, 59 }
		f.installConfig(config(1), "peer")
		put(f, "peer", entry("a", 1))
		put(f, "peer", entry("b", 2))
		for range outageFailures + 1 {
			source.all = append(source.all, result{err: errors.New("refused"), after: time.Millisecond})
		}
		source.all = append(source.all, result{changes: &Changes{
			Config: config(1), Servers: []servers.Server{entry("a", 1)}, Removals: []servers.EntryRef{{Name: "b", Revision: 3}}, Revision: 3,
		}})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = fd.run(ctx) })
		time.Sleep(takeOverDelay(40) + takeOverJitter + 2*time.Second) // until all those have failed
		for range 20 {
			f.confirmVersion(1, monotime.Now())
			time.Sleep(readCheckInterval)
		}
		time.Sleep(takeOverDelay(40) + 2*takeOverJitter)
		cancel()
		running.Wait()
		if len(source.all) != 0 {
			t.Fatal("the store was not read again")
		}
		if got := ready(f); len(got) != 1 {
			t.Errorf("%v get requests", got)
		}
	})
}

// Guards against a listing of many pages that is given up because the instance no longer
// counts as one that takes over: its jitter was drawn anew at each page.
func TestAnInstanceThatTakesOverReadsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		fd.rank = func() (int, int) { return 40, 59 }
		f.installConfig(config(1), "peer")
		put(f, "peer", entry("a", 1))
		ctx, cancel := context.WithTimeout(t.Context(), takeOverDelay(40)+2*takeOverJitter)
		defer cancel()
		_ = fd.run(ctx)
		if len(source.calls) == 0 {
			t.Fatal("does not take over")
		}
		for range 1000 {
			if !fd.shouldRead() {
				t.Fatal("gives up although nothing is confirmed")
			}
		}
	})
}
