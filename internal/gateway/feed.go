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
	// readers is the number of instances that read the store in a large fleet. A
	// trouble of the store that strikes a third of the machines leaves one of
	// them with a probability of 0.999.
	readers = 6
	// takeOverAfter and takeOverSpread bound how long an instance that does not
	// read goes without anybody's word that its version is the newest. Readers
	// hear the store about every half second together, and hubs pass that on ten
	// times a second.
	takeOverAfter  = 1800 * time.Millisecond
	takeOverSpread = 600 * time.Millisecond
	// restInterval is the time between looks whether to read, and coldInterval that of
	// a process that knows nothing yet.
	restInterval = 100 * time.Millisecond
	coldInterval = 10 * time.Millisecond
	// coldSettle is how long a process that starts waits to find out whether it has a
	// hub, and coldPatience how long it waits for the hub to tell what is in force. A
	// link to a seed and one to a hub take some 20 ms. Of 95 processes that start
	// together each would read five pages; callers would not be served sooner.
	coldSettle   = 40 * time.Millisecond
	coldPatience = 600 * time.Millisecond
	// watchLeast is the least time between the starts of two watches of the first reader
	// in rank; each further one waits as much longer. Servers that start together change
	// the store many times a second; each change answers the watches of all readers, and
	// each answer is paid for. Six readers then make 12 calls a second in place of 30,
	// and one of them still sees a change some 60 ms after it in the mean.
	watchLeast = 200 * time.Millisecond
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

	revision servers.Revision
	failures int

	// confirming is held, by a token in it, while the configuration is read.
	confirming chan struct{}
	// rank is this instance's place among those that hear each other, and how
	// many they are.
	rank func() (place, of int)
	// hears reports whether this instance has a hub that tells it what it lacks.
	hears func() bool
	// begun is when the process began to follow the store.
	begun monotime.Instant
}

// run follows the store until the context ends.
func (f *feed) run(ctx context.Context) error {
	f.begun = monotime.Now()
	for ctx.Err() == nil {
		if !f.reads() {
			f.rest(ctx)
			continue
		}
		begun := monotime.Now()
		err := f.step(ctx)
		switch {
		case err == nil:
			f.succeeded()
			sleep(ctx, f.watchInterval()-monotime.Now().Sub(begun))
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("store_history_lost", zap.Stringer("revision", f.revision))
			f.revision = 0
		default:
			f.failed(err)
			f.pause(ctx)
		}
	}
	return nil
}

// reads reports whether this instance reads the store itself. Every call is
// paid for, and each change answers all watches, so in a large fleet only the
// first few in rank read; the others learn from their news, which carry each
// change and vouch for the version in force. An instance to which nobody vouches
// reads too, whatever its rank: the readers may be dead, cut off or turned away.
func (f *feed) reads() bool {
	if f.cold() {
		waited := monotime.Now().Sub(f.begun)
		return waited >= coldPatience || waited >= coldSettle && !f.hears()
	}
	if place, _ := f.rank(); place < readers {
		return true
	}
	patience := takeOverAfter + time.Duration(rand.Int64N(int64(takeOverSpread)))
	return monotime.Now().Sub(f.fleet.confirmedAt()) > patience
}

// cold reports whether this instance lacks what it needs to serve anybody.
func (f *feed) cold() bool { return f.fleet.Table() == nil || f.fleet.serverCount() == 0 }

// rest waits before the next look whether this instance should read. What it
// missed of the store until then is read as a whole.
func (f *feed) rest(ctx context.Context) {
	if f.revision != 0 {
		f.log.Info("store_left_to_others")
		f.revision, f.failures = 0, 0
	}
	if f.cold() {
		sleep(ctx, coldInterval)
		return
	}
	sleep(ctx, restInterval)
}

// step reads everything once, and changes from then on.
func (f *feed) step(ctx context.Context) error {
	begun := monotime.Now()
	if f.revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, f.slack)
		defer cancel()
		all, err := f.source.All(ctx)
		if err != nil {
			return err
		}
		f.returned()
		f.takeAll(all)
		f.heardAt(begun)
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
	if changes.Config == nil {
		begun = monotime.Now()
	}
	f.heardAt(begun)
	return nil
}

// heardAt notes since when the store has told all that this instance has in force. A long
// answer is as old as its beginning, and counts only once what it tells is in force: the
// version before would be vouched for.
func (f *feed) heardAt(at monotime.Instant) { raise(&f.fleet.heard, at) }

// watchInterval is the least time between the starts of two watches of this reader.
func (f *feed) watchInterval() time.Duration {
	place, _ := f.rank()
	return time.Duration(1+min(place, readers-1)) * watchLeast
}

// watchTime is how long the next watch waits. Every call is paid for, so the
// more instances there are, the fewer each makes; the times differ a little, so
// that their ends do not stay together.
func (f *feed) watchTime() time.Duration {
	_, of := f.rank()
	wait := min(max(f.wait, time.Duration(min(of, readers))*watchSpread), watchMost)
	return wait - time.Duration(rand.Int64N(int64(wait/4)+1))
}

// awayFailures is the number of failures in a row after which the store counts
// as having been away. A single one may be a connection that went silent, while
// the store went on removing entries as it should.
const awayFailures = 2

// returned tells the registry that the store is back, before what it says is taken.
func (f *feed) returned() {
	if f.failures < awayFailures {
		return
	}
	f.fleet.mu.Lock()
	f.fleet.registry.StoreRecovered(monotime.Now())
	f.fleet.mu.Unlock()
}

func (f *feed) takeAll(all *Changes) {
	f.fleet.take(all.Config, fromStore)
	f.fleet.evacuate(fromStore, func(r *servers.Registry) []servers.Evacuation {
		return r.ReplaceEvacuations(all.Evacuations, all.Revision, monotime.Now())
	})
	before := f.fleet.listed()
	f.fleet.update(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
		return r.Replace(all.Servers, all.Invalid, all.Revision, now)
	})
	f.revision = all.Revision
	if before != 0 && before.Era() < all.Revision.Era() {
		f.fleet.news.listed(f.fleet.allServers(), all.Revision)
	}
}

func (f *feed) take(changes *Changes) {
	f.fleet.take(changes.Config, fromStore)
	f.fleet.takeEvacuations(fromStore, changes.Evacuations)
	f.fleet.update(fromStore, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for _, s := range changes.Servers {
			if r.Put(s, now) != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		for _, removal := range changes.Removals {
			if id, change := r.Remove(removal.Name, removal.Revision, now); change != servers.Unchanged {
				ids = append(ids, id)
			}
		}
		for _, mark := range changes.Invalid {
			if id, change := r.Invalidate(mark, now); change != servers.Unchanged {
				ids = append(ids, id)
			}
		}
		return ids
	})
	f.revision = max(f.revision, changes.Revision)
}

func (f *feed) succeeded() {
	if f.failures > 0 {
		f.log.Info("store_regained", zap.Int("failures", f.failures), zap.Stringer("revision", f.revision))
	}
	f.failures = 0
}

func (f *feed) failed(err error) {
	f.failures++
	if f.failures == 1 {
		f.log.Warn("store_lost", eventlog.Cause(err), zap.Stringer("revision", f.revision))
	}
}

func (f *feed) pause(ctx context.Context) {
	wait := min(feedPauseMin<<min(f.failures-1, 4), feedPauseMax)
	// While the store is down for all, nobody vouches and every instance of the fleet
	// tries to read it: 95 of them made 2,900 calls in 12 s. The first in rank go on
	// as usual and tell the others when it is back, so these may try rarely, the more
	// so the more they are.
	if place, of := f.rank(); place >= readers && !f.cold() {
		wait *= time.Duration(max(1, of/readers))
	}
	sleep(ctx, wait)
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
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
	begun := monotime.Now()
	config, err := f.source.Config(ctx)
	if err != nil || config == nil {
		f.log.Info("config_unconfirmed", eventlog.Cause(err))
		return false
	}
	f.fleet.take(config, fromStore)
	f.heardAt(begun)
	return true
}

// fresh reports whether the version in force was the newest a moment ago.
func (f *feed) fresh() bool {
	return monotime.Now().Sub(f.fleet.confirmedAt()) < confirmFresh
}
