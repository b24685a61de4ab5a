package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/throttle"
)

// fleet is what this instance knows of configuration, servers and runs. It
// implements relay.Fleet. Deciding takes no message: all of it is kept up to
// date by the store and by news of the peers.
type fleet struct {
	self   string
	log    *zap.Logger
	board  *placement.Board
	budget *retryBudget
	// throttle bounds what this instance sends to servers that bear few requests.
	throttle *throttle.Limiter
	outages  *outageDetector
	crashes  *crashTracker
	regions  regions
	members  func() int // instances known, this one among them
	confirm  func(ctx context.Context) bool
	publish  func(config *routing.Config) // has peers fetch it
	updates  *updateBatcher

	table atomic.Pointer[routing.Table]
	// confirmedByStore is when the store last answered this instance, as a monotime.Instant.
	confirmedByStore atomic.Int64
	// confirmedByPeer is when the store last answered an instance that has the same
	// version in force, as a monotime.Instant.
	confirmedByPeer atomic.Int64

	// eraSince is when this instance heard that the store is back from an older copy, as a
	// monotime.Instant; 0 for never.
	eraSince atomic.Int64

	// digest is that of the registry, cut to an int.
	digest atomic.Int64
	// limitedCount is the number of servers that name a limit, so that answers of others cost
	// nothing while there is none.
	limitedCount atomic.Int64

	mu       sync.Mutex // guards registry, byService, sources
	registry *servers.Registry
	// byService is rebuilt at each change of the registry; readers take the
	// slices as they are.
	byService map[string][]servers.Server
	// sources are the servers of evacuated data centres, rebuilt and read likewise.
	sources map[string][]servers.Server

	lastRun atomic.Int64 // of the last own run
}

var _ relay.Fleet = (*fleet)(nil)

// never is before every instant of a process, also before those that lie some
// seconds before its start. Ages since then do not overflow.
const never = monotime.Instant(math.MinInt64 / 2)

// resetConfirmations resets what is known of the store's last answers.
func (f *fleet) resetConfirmations() {
	f.confirmedByStore.Store(int64(never))
	f.confirmedByPeer.Store(int64(never))
}

// Table implements relay.Fleet.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

// Confirm implements relay.Fleet.
func (f *fleet) Confirm(ctx context.Context) bool { return f.confirm(ctx) }

// installConfig puts a configuration in force unless one at least as new is. It reports
// whether it did. A version never goes back while the process lives.
func (f *fleet) installConfig(config *routing.Config, from string) bool {
	done, err := f.tryInstallConfig(config, from)
	if err != nil {
		f.log.Error("config_refused", zap.Int64("version", config.Version), zap.String("from", from), eventlog.Cause(err))
	}
	return done
}

// tryInstallConfig is adopt, and returns why a configuration can't be put in force. The table is
// built without the lock, which changes of servers take too.
func (f *fleet) tryInstallConfig(config *routing.Config, from string) (done bool, err error) {
	if config == nil || f.configVersion() >= config.Version {
		return false, nil
	}
	table, err := routing.NewTable(config)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	was := f.configVersion()
	if was >= config.Version {
		f.mu.Unlock()
		return false, nil
	}
	f.table.Store(table)
	f.rebuildServerLists(table)
	f.mu.Unlock()
	f.log.Info("config_in_force",
		zap.Int64("version", config.Version), zap.Int64("was", was), zap.String("from", from),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
	f.updates.sendStatus()
	return true, nil
}

// configVersion of the configuration in force; 0 for none.
func (f *fleet) configVersion() int64 {
	if table := f.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// installAndPublish is adopt for what the store tells; peers may fetch it from this instance then.
func (f *fleet) installAndPublish(config *routing.Config, from string) {
	if f.installConfig(config, from) {
		f.publish(config)
	}
}

// fillStatus fills in what is in force here, for peers.
func (f *fleet) fillStatus(update *wire.RelayNews) {
	update.Digest = int(f.digest.Load())
	update.ConfigVersion = int(f.configVersion())
	// What others vouched for is passed on: an instance that subscribes to one that
	// does not read the store would read it too.
	if at := f.confirmedAt(); at != never {
		update.Confirmed = 1 + int(monotime.Now().Sub(at).Milliseconds())
	}
}

// confirmVersion takes a peer's word that the version was the newest at an instant.
func (f *fleet) confirmVersion(version int64, at monotime.Instant) {
	if version == 0 || f.configVersion() != version {
		return
	}
	advance(&f.confirmedByPeer, at)
}

// advance sets an instant unless a later one is set.
func advance(to *atomic.Int64, at monotime.Instant) {
	for {
		current := to.Load()
		if int64(at) <= current || to.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// confirmedAt is when the version in force was last known to be the newest, or
// never.
func (f *fleet) confirmedAt() monotime.Instant {
	return monotime.Instant(max(f.confirmedByStore.Load(), f.confirmedByPeer.Load()))
}

// serversConfirmedAt is when the entries of servers were last known to be the newest. A store that
// is back from an older copy vouches for none until servers had time to write again.
func (f *fleet) serversConfirmedAt(now monotime.Instant) monotime.Instant {
	confirmed := f.confirmedAt()
	since := monotime.Instant(f.eraSince.Load())
	if since != 0 && now.Sub(since) < servers.EraGrace {
		return min(confirmed, since)
	}
	return confirmed
}

// Observe implements relay.Fleet.
func (f *fleet) Observe(server string, outcome placement.Outcome, now monotime.Instant) {
	if outcome == placement.Unreachable {
		f.throttle.Lost(server)
		f.recordUnreachable(server, now)
	}
	if f.board.Observe(server, outcome, now) {
		f.log.Info("server_reachability", zap.String("server", server), zap.Bool("reachable", outcome == placement.Served))
	}
}

func (f *fleet) recordUnreachable(server string, now monotime.Instant) {
	f.mu.Lock()
	s, ok := f.registry.Get(server)
	f.mu.Unlock()
	if ok {
		f.outages.recordUnreachable(s.Service, server, now)
	}
}

// Spend implements relay.Fleet.
func (f *fleet) Spend(service string, now monotime.Instant) bool {
	ok := f.budget.spend(service, now, f.members())
	if !ok {
		f.log.Info("retry_budget_spent", zap.String("service", service))
	}
	return ok
}

// Count implements relay.Fleet.
func (f *fleet) Count(service string, now monotime.Instant) { f.budget.count(service, now) }
