package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
)

const (
	// feedPauseMin and feedPauseMax bound the wait after the store failed. The
	// last is short against the 2 s in which a change must be in force.
	feedPauseMin = 40 * time.Millisecond
	feedPauseMax = 400 * time.Millisecond
	// confirmTimeout bounds the question whether the configuration is the newest.
	confirmTimeout = 300 * time.Millisecond
	// confirmFresh is how long the word of the store that a version is the newest
	// holds. A change has 2 s to be in force everywhere, so what was refused by a
	// version that old was refused rightly. Callers with a wrong key may ask
	// often, and each question is a read at the store.
	confirmFresh = time.Second
	// watchSpread is the time that one watch waits for each instance of the
	// fleet. All watches may go silent at once; instances notice at the end of
	// theirs and tell the others, so one of n notices about watchSpread later.
	watchSpread = 350 * time.Millisecond
	// watchMost bounds one watch whatever the size of the fleet.
	watchMost = 5 * time.Second
)

// feed follows the store.
type feed struct {
	source Source
	fleet  *fleet
	log    *zap.Logger
	wait   time.Duration // least time of a watch
	slack  time.Duration // beyond wait, for the answer to come

	revision int64
	failures int

	// confirming is held, by a token in it, while the configuration is read.
	confirming chan struct{}
	// linked is the number of instances that hear each other, with this one.
	linked func() int
}

// run follows the store until the context ends.
func (f *feed) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.succeeded()
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("store_history_lost", zap.Int64("revision", f.revision))
			f.revision = 0
		default:
			f.failed(err)
			f.pause(ctx)
		}
	}
	return nil
}

// step reads everything once, and changes from then on.
func (f *feed) step(ctx context.Context) error {
	if f.revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, f.slack)
		defer cancel()
		all, err := f.source.All(ctx)
		if err != nil {
			return err
		}
		f.returned()
		f.takeAll(all)
		return nil
	}
	wait := f.watchTime()
	ctx, cancel := context.WithTimeout(ctx, wait+f.slack)
	defer cancel()
	changes, err := f.source.Watch(ctx, f.revision, wait)
	if err != nil {
		return err
	}
	f.returned()
	f.take(changes)
	return nil
}

// watchTime is how long the next watch waits. Every call is paid for, so the
// more instances there are, the fewer each makes; the times differ a little, so
// that their ends do not stay together.
func (f *feed) watchTime() time.Duration {
	wait := min(max(f.wait, time.Duration(f.linked())*watchSpread), watchMost)
	return wait - time.Duration(rand.Int64N(int64(wait/4)+1))
}

// awayFailures is the number of failures in a row after which the store counts
// as having been away. A single one may be a connection that went silent, while
// the store went on removing entries as it should.
const awayFailures = 2

// returned tells the registry that the store is back, before what it says is taken.
func (f *feed) returned() {
	f.fleet.heard.Store(int64(monotime.Now()))
	if f.failures < awayFailures {
		return
	}
	f.fleet.mu.Lock()
	f.fleet.registry.StoreReturned(monotime.Now())
	f.fleet.mu.Unlock()
}

func (f *feed) takeAll(all *Changes) {
	f.fleet.take(all.Config, fromStore)
	f.fleet.update(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
		return r.Replace(all.Servers, all.Revision, now)
	})
	f.revision = all.Revision
}

func (f *feed) take(changes *Changes) {
	f.fleet.take(changes.Config, fromStore)
	f.fleet.update(fromStore, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for _, s := range changes.Servers {
			if r.Put(s, now) != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		for _, removal := range changes.Removals {
			if r.Remove(removal.ID, removal.Revision, now) != servers.Unchanged {
				ids = append(ids, removal.ID)
			}
		}
		return ids
	})
	f.revision = max(f.revision, changes.Revision)
}

func (f *feed) succeeded() {
	if f.failures > 0 {
		f.log.Info("store_regained", zap.Int("failures", f.failures), zap.Int64("revision", f.revision))
	}
	f.failures = 0
}

func (f *feed) failed(err error) {
	f.failures++
	if f.failures == 1 {
		f.log.Warn("store_lost", eventlog.Cause(err), zap.Int64("revision", f.revision))
	}
}

func (f *feed) pause(ctx context.Context) {
	wait := min(feedPauseMin<<min(f.failures-1, 4), feedPauseMax)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// confirm reads the configuration and reports whether the one in force is now
// the newest. Questions at the same time share one read.
func (f *feed) confirm(ctx context.Context) bool {
	if f.fresh() {
		return true
	}
	select {
	case f.confirming <- struct{}{}:
		defer func() { <-f.confirming }()
	case <-ctx.Done():
		return false
	}
	if f.fresh() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	config, err := f.source.Config(ctx)
	if err != nil || config == nil {
		f.log.Info("config_unconfirmed", eventlog.Cause(err))
		return false
	}
	f.fleet.take(config, fromStore)
	f.fleet.heard.Store(int64(monotime.Now()))
	return true
}

// fresh reports whether the version in force was the newest a moment ago.
func (f *feed) fresh() bool {
	return monotime.Now().Sub(f.fleet.confirmedAt()) < confirmFresh
}
