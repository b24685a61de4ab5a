package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

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
	// confirmFresh is how long an answer to it holds. Callers with a wrong key
	// may ask often, and each question is a read at the store.
	confirmFresh = 50 * time.Millisecond
)

// feed follows the store.
type feed struct {
	source Source
	fleet  *fleet
	log    *zap.Logger
	wait   time.Duration
	slack  time.Duration // beyond wait, for the answer to come

	revision int64
	failures int

	// confirming is held, by a token in it, while the configuration is read.
	confirming chan struct{}
	confirmed  monotime.Instant
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
	ctx, cancel := context.WithTimeout(ctx, f.wait+f.slack)
	defer cancel()
	changes, err := f.source.Watch(ctx, f.revision, f.wait)
	if err != nil {
		return err
	}
	f.returned()
	f.take(changes)
	return nil
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
		f.log.Warn("store_lost", zap.Error(err), zap.Int64("revision", f.revision))
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
	asked := monotime.Now()
	select {
	case f.confirming <- struct{}{}:
		defer func() { <-f.confirming }()
	case <-ctx.Done():
		return false
	}
	if f.confirmed != 0 && asked.Sub(f.confirmed) < confirmFresh {
		return true
	}
	began := monotime.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	config, err := f.source.Config(ctx)
	if err != nil || config == nil {
		f.log.Info("config_unconfirmed", zap.Error(err))
		return false
	}
	f.fleet.take(config, fromStore)
	f.confirmed = began
	return true
}
