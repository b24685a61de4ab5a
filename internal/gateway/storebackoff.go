package gateway

import (
	"context"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/timer"
)

const (
	// minStoreBackoff and maxStoreBackoff bound the wait after a failure of the store. The
	// maximum is short compared to the 2 s in which a change must be in force.
	minStoreBackoff = 40 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
	// maxTimeoutWait bounds the wait of an instance without state after a call timed out.
	maxTimeoutWait = 30 * time.Second
)

// backOff waits after a failure of the store.
func (f *storeSync) backOff(ctx context.Context, err error) {
	wait := min(minStoreBackoff<<min(f.failures.Load()-1, 4), maxStoreBackoff)
	// While the store is unavailable to all, no instance receives confirmations and each
	// tries to read it: 95 instances made 2,900 calls in 12 s. The first in rank continue
	// as usual and inform the others when it has recovered, so the others may try rarely,
	// in proportion to their number.
	place, of := f.rank()
	if place >= storeReaders {
		wait *= time.Duration(max(1, of/storeReaders))
	}
	if netconn.IsTimeout(err) && f.lacksState() {
		// A store that can't answer all in time may be able to answer the first ones. What it
		// sends of answers that nobody waits for any more delays the others.
		wait = max(wait, min(time.Duration(place)*f.answerTimeout, maxTimeoutWait))
	}
	if place >= storeReaders {
		f.waitUnlessFirst(ctx, wait)
		return
	}
	timer.Sleep(wait, ctx.Done())
}

// waitUnlessFirst waits for d, or until this instance is one of the first in rank or has
// received the state that it lacked: in a large fleet d is many times as long as an instance
// may go without a confirmation.
func (f *storeSync) waitUnlessFirst(ctx context.Context, d time.Duration) {
	lacked := f.lacksState()
	for until := monotime.Now().Add(d); ctx.Err() == nil && monotime.Now() < until; {
		if place, _ := f.rank(); place < storeReaders || lacked && !f.lacksState() {
			return
		}
		timer.Sleep(min(readCheckInterval, until.Sub(monotime.Now())), ctx.Done())
	}
}
