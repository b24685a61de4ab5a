package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
	"basilrudder/internal/timer"
)

const (
	// confirmTimeout bounds the request that checks whether the configuration is the
	// newest.
	confirmTimeout = 300 * time.Millisecond
	// confirmationTTL is how long the store's confirmation that a version is the newest
	// remains valid. A change has 2 s to be in force everywhere, so a request that a
	// version of that age refused was refused correctly. Without it, callers with an
	// invalid key would cause a read of the store with each request.
	confirmationTTL = time.Second
	// watchPerInstance is the length of a watch for each instance of the fleet. All
	// watches may stop receiving at once. Instances notice that at the end of their
	// watches and inform the others, so with n instances the first notices after about
	// watchPerInstance.
	watchPerInstance = 350 * time.Millisecond
	// storeReaders is the number of instances that read the store in a large fleet. If a
	// failure disconnects a third of the machines from the store, at least one reader is
	// left with a probability of 0.999.
	storeReaders = 6
	// takeOverAfter, takeOverStep for each place in rank and takeOverJitter bound how long
	// an instance that does not read the store goes without a confirmation that its
	// version is the newest. The readers together receive an answer of the store about
	// every half second, and hubs pass the confirmation on ten times a second. With the
	// steps few instances have begun to read when the first of them has an answer,
	// whatever their number. maxTakeOverSteps bounds the steps, for a fleet in which many
	// places in rank cannot reach the store.
	takeOverAfter    = 1800 * time.Millisecond
	takeOverStep     = 10 * time.Millisecond
	maxTakeOverSteps = 1500 * time.Millisecond
	takeOverJitter   = 100 * time.Millisecond
	// readCheckInterval is the time between checks whether this instance should read the
	// store, and initialCheckInterval that of a process without any state yet.
	readCheckInterval    = 100 * time.Millisecond
	initialCheckInterval = 10 * time.Millisecond
	// hubDiscoveryWait is how long a process that has just started waits to find out
	// whether it has peers and a hub, and hubStateWait how long it waits for them to send
	// their state. A link to a seed and one to a hub take some 20 ms. Without the wait,
	// each of 95 processes that start together would read five pages of the store, and
	// callers would not be served sooner.
	hubDiscoveryWait = 40 * time.Millisecond
	hubStateWait     = 600 * time.Millisecond
	// maxFirstReaders is the number of instances without state that may read the store at
	// once after hubStateWait.
	maxFirstReaders = 100
	// minWatchInterval is the minimum time between the starts of two watches of the first
	// reader in rank; each further reader waits that much longer. Servers that start
	// together change the store many times a second, each change answers the watches of
	// all readers, and each answer is paid for. With these intervals six readers make 12
	// calls a second instead of 30, and one of them still sees a change after some 60 ms
	// on average.
	minWatchInterval = 200 * time.Millisecond
	// maxWatch bounds a watch regardless of the size of the fleet.
	maxWatch = 5 * time.Second
)

// storeSync follows the store while this instance is one of its readers or receives no
// confirmations.
type storeSync struct {
	source        Source
	fleet         *fleet
	log           *zap.Logger
	minWatch      time.Duration // minimum length of a watch
	answerTimeout time.Duration // added to the length of a watch, for the answer to arrive

	// revision is that up to which this instance has all changes; 0 while it does not follow
	// the store, or does not have them. Only run changes it.
	revision atomic.Int64
	// failures is the number of calls that have failed since the last one that did not.
	failures atomic.Int64

	// confirming holds a token while the configuration is read.
	confirming chan struct{}
	// rank returns this instance's rank among the instances that can reach each other,
	// and how many they are.
	rank func() (place, of int)
	// hasHub reports whether this instance has a hub that sends it what it lacks, and
	// hasPeer whether it has a link to any instance.
	hasHub, hasPeer func() bool
	// started is when the process began to follow the store, and takeOverJitter its part
	// of the delay before it takes over. Drawn anew at each check, the jitter would end
	// listings that have begun.
	started        monotime.Instant
	takeOverJitter time.Duration
	// loggedReason is why this instance reads the store, as last logged.
	loggedReason readReason
}

// run follows the store until the context ends.
func (f *storeSync) run(ctx context.Context) error {
	if f.started == 0 {
		f.started = monotime.Now()
		f.takeOverJitter = time.Duration(rand.Int64N(int64(takeOverJitter)))
	}
	for ctx.Err() == nil {
		reason := f.readReason()
		f.logReason(reason)
		if reason == "" {
			f.idle(ctx)
			continue
		}
		begun := monotime.Now()
		err := f.readNext(ctx)
		switch {
		case err == nil:
			f.succeeded()
			timer.Sleep(f.watchInterval()-monotime.Now().Sub(begun), ctx.Done())
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrNotWanted):
		case errors.Is(err, ErrHistoryLost) && f.complete() != 0:
			f.log.Info("store_history_lost", zap.Stringer("revision", f.complete()))
			f.revision.Store(0)
		default:
			f.failed(err)
			f.backOff(ctx, err)
		}
	}
	return nil
}

// logReason logs why this instance reads the store when that changes.
func (f *storeSync) logReason(reason readReason) {
	if reason == f.loggedReason {
		return
	}
	f.loggedReason = reason
	if reason == "" {
		return
	}
	place, of := f.rank()
	f.log.Info("store_read", zap.String("reason", string(reason)), zap.Int("place", place), zap.Int("instances", of),
		zap.Duration("running_ms", monotime.Now().Sub(f.started)))
}

// idle waits before the next check whether this instance should read the store. When it
// reads again, it reads everything, because it has missed changes, and its earlier failures
// say nothing about the time in between.
func (f *storeSync) idle(ctx context.Context) {
	if f.complete() != 0 || f.failures.Load() != 0 {
		f.log.Info("store_left_to_others")
		f.revision.Store(0)
		f.failures.Store(0)
	}
	if f.lacksState() {
		timer.Sleep(initialCheckInterval, ctx.Done())
		return
	}
	timer.Sleep(readCheckInterval, ctx.Done())
}

// readNext reads everything at first, and from then on the changes.
func (f *storeSync) readNext(ctx context.Context) error {
	begun := monotime.Now()
	if f.complete() == 0 {
		pageBegun := begun
		all, err := f.source.All(ctx, func() bool {
			f.pauseBetweenPages(ctx, monotime.Now().Sub(pageBegun))
			pageBegun = monotime.Now()
			return f.shouldRead()
		})
		if err != nil {
			return err
		}
		f.recordRecovery()
		f.applyAll(all)
		f.recordConfirmation(begun)
		return nil
	}
	wait := f.watchDuration()
	ctx, cancel := context.WithTimeout(ctx, wait+f.answerTimeout)
	defer cancel()
	changes, err := f.source.Watch(ctx, f.complete(), wait)
	if err != nil {
		return err
	}
	f.recordRecovery()
	f.applyChanges(changes)
	f.revision.Store(int64(max(f.complete(), changes.Revision)))
	if changes.Config == nil {
		begun = monotime.Now()
	}
	f.recordConfirmation(begun)
	return nil
}

// recordConfirmation records that the store has confirmed everything in force here as of
// an instant. A long answer is as old as its beginning, and counts only once its content
// is in force: otherwise it would confirm the version before.
func (f *storeSync) recordConfirmation(at monotime.Instant) { advance(&f.fleet.confirmedByStore, at) }

// watchInterval is the minimum time between the starts of two watches of this reader.
func (f *storeSync) watchInterval() time.Duration {
	place, _ := f.rank()
	return time.Duration(1+min(place, storeReaders-1)) * minWatchInterval
}

// watchDuration returns how long the next watch waits. Every call is paid for, so the
// more instances there are, the fewer each makes. A random part keeps the watches of
// instances from ending at the same time.
func (f *storeSync) watchDuration() time.Duration {
	_, of := f.rank()
	wait := min(max(f.minWatch, time.Duration(min(of, storeReaders))*watchPerInstance), maxWatch)
	return wait - time.Duration(rand.Int64N(int64(wait/4)+1))
}

// outageFailures is the number of consecutive failures after which the store counts as
// having been unavailable. A single failure may be a connection that stopped responding
// while the store correctly went on removing entries.
const outageFailures = 2

// recordRecovery marks the store as recovered from an outage, before its answer is
// applied.
func (f *storeSync) recordRecovery() {
	if f.failures.Load() < outageFailures {
		return
	}
	f.fleet.mu.Lock()
	f.fleet.registry.StoreRecovered(monotime.Now())
	f.fleet.mu.Unlock()
}

func (f *storeSync) applyAll(all *Changes) {
	f.fleet.installAndPublish(all.Config, fromStore)
	f.fleet.changeEvacuations(fromStore, func(r *servers.Registry) []servers.Evacuation {
		return r.ReplaceEvacuations(all.Evacuations, all.Revision, monotime.Now())
	})
	listedBefore := f.fleet.listedRevision()
	f.fleet.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
		ids := r.Replace(all.Servers, all.Invalid, all.Revision, now)
		return append(ids, remove(r, all.Removals, now)...)
	})
	// Versions may have been listed and gone since the last changes that are known.
	f.fleet.streams.history.Interrupt(monotime.Now())
	f.revision.Store(int64(all.Revision))
	if listedBefore != 0 && listedBefore.Era() < all.Revision.Era() {
		f.fleet.updates.addServerList(f.fleet.allServers(), all.Revision)
	}
}

func (f *storeSync) applyChanges(changes *Changes) {
	f.fleet.installAndPublish(changes.Config, fromStore)
	f.fleet.applyEvacuations(fromStore, changes.Evacuations)
	f.fleet.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for _, s := range changes.Servers {
			if r.Put(s, now) != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		ids = append(ids, remove(r, changes.Removals, now)...)
		for _, mark := range changes.Invalid {
			if id, change := r.Invalidate(mark, now); change != servers.Unchanged {
				ids = append(ids, id)
			}
		}
		return ids
	})
}

// complete returns the revision up to which this instance has all changes; 0 for none.
func (f *storeSync) complete() servers.Revision { return servers.Revision(f.revision.Load()) }

// remove applies removals of entries and returns the ids of what changed.
func remove(r *servers.Registry, removals []servers.EntryRef, now monotime.Instant) (ids []string) {
	for _, removal := range removals {
		if id, change := r.Remove(removal.Name, removal.Revision, now); change != servers.Unchanged {
			ids = append(ids, id)
		}
	}
	return ids
}

func (f *storeSync) succeeded() {
	if failures := f.failures.Swap(0); failures > 0 {
		f.log.Info("store_regained", zap.Int64("failures", failures), zap.Stringer("revision", f.complete()))
	}
}

func (f *storeSync) failed(err error) {
	if f.failures.Add(1) == 1 {
		f.log.Warn("store_lost", eventlog.Cause(err), zap.Stringer("revision", f.complete()))
	}
}

// confirm reads the configuration and reports whether the version in force is now the
// newest. Concurrent calls share one read.
func (f *storeSync) confirm(ctx context.Context) bool {
	if f.recentlyConfirmed() {
		return true
	}
	select {
	case f.confirming <- struct{}{}:
		defer func() { <-f.confirming }()
	case <-ctx.Done():
		return false
	}
	if f.recentlyConfirmed() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	begun := monotime.Now()
	config, err := f.source.Config(ctx)
	if err != nil || config == nil {
		f.log.Info("config_unconfirmed", eventlog.Cause(err))
		return false
	}
	f.fleet.installAndPublish(config, fromStore)
	f.recordConfirmation(begun)
	return true
}

// recentlyConfirmed reports whether the version in force was confirmed as the newest
// within confirmationTTL.
func (f *storeSync) recentlyConfirmed() bool {
	return monotime.Now().Sub(f.fleet.confirmedAt()) < confirmationTTL
}
