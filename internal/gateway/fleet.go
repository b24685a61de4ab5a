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

// fleet holds this instance's view of the configuration, servers and runs. It implements
// relay.Fleet. Decisions need no message: the view is kept current by the store and by
// updates of the peers.
type fleet struct {
	self       string
	dataCentre string
	log        *zap.Logger
	board      *placement.Board
	budget     *retryBudget
	// throttle limits what this instance sends to servers that sustain few requests.
	throttle    *throttle.Limiter
	outages     *outageDetector
	outageLog   outageLog
	preference  connectionPreference
	crashes     *crashTracker
	suspicions  suspicions
	streams     *streamVersions
	regions     regions
	memberCount func() int // instances tracked, including this one
	confirm     func(ctx context.Context) bool
	publish     func(config *routing.Config) // offers it to the peers
	updates     *updateBatcher

	table atomic.Pointer[routing.Table]
	// confirmedByStore is when the store last answered this instance, as a
	// monotime.Instant.
	confirmedByStore atomic.Int64
	// confirmedByPeer is when the store last answered an instance with the same version
	// in force, as a monotime.Instant.
	confirmedByPeer atomic.Int64

	// eraSince is when this instance detected that the store was restored from an older
	// copy, as a monotime.Instant; 0 for never.
	eraSince atomic.Int64

	// digest is the digest of the registry, shifted right to fit a non-negative int.
	digest atomic.Int64
	// rateLimitedCount is the number of servers that advertise a limit, and brittleCount
	// of those that say that they are brittle. While both are zero, answers that carry no
	// notice take no lock.
	rateLimitedCount, brittleCount atomic.Int64

	mu       sync.Mutex // guards registry and lists
	registry *servers.Registry
	// lists holds the usable servers by service; nil after a change of the registry or of
	// the configuration, until they are needed.
	lists map[string]*serverList

	lastRun atomic.Int64 // number of the last run begun here
}

var _ relay.Fleet = (*fleet)(nil)

// never is before every instant of a process, including instants some seconds before its
// start. Ages since never do not overflow.
const never = monotime.Instant(math.MinInt64 / 2)

// resetConfirmations marks the state as never confirmed by the store.
func (f *fleet) resetConfirmations() {
	f.confirmedByStore.Store(int64(never))
	f.confirmedByPeer.Store(int64(never))
}

// Table implements relay.Fleet.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

// Confirm implements relay.Fleet.
func (f *fleet) Confirm(ctx context.Context) bool { return f.confirm(ctx) }

// installConfig puts a configuration in force unless the version in force is the same or
// newer. It reports whether it did, and logs a configuration that cannot be put in force.
// The version never goes back while the process runs.
func (f *fleet) installConfig(config *routing.Config, from string) bool {
	done, err := f.tryInstallConfig(config, from)
	if err != nil {
		f.log.Error("config_refused", zap.Int64("version", config.Version), zap.String("from", from), eventlog.Cause(err))
	}
	return done
}

// tryInstallConfig is installConfig, but returns why a configuration cannot be put in
// force. The table is built without the lock, because changes of servers need it too.
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
	f.lists = nil
	f.mu.Unlock()
	f.streams.setRoutes(config.Routes)
	f.log.Info("config_in_force",
		zap.Int64("version", config.Version), zap.Int64("was", was), zap.String("from", from),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
	f.updates.sendStatus()
	return true, nil
}

// configVersion returns the version of the configuration in force; 0 for none.
func (f *fleet) configVersion() int64 {
	if table := f.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// installAndPublish is installConfig for a configuration read from the store. Peers may
// then fetch it from this instance.
func (f *fleet) installAndPublish(config *routing.Config, from string) {
	if f.installConfig(config, from) {
		f.publish(config)
	}
}

// fillStatus adds the state in force here to an update for peers.
func (f *fleet) fillStatus(update *wire.RelayNews) {
	update.Digest = int(f.digest.Load())
	update.ConfigVersion = int(f.configVersion())
	// Confirmations received from peers are passed on: otherwise an instance that
	// subscribes to one that does not read the store would read it too.
	if at := f.confirmedAt(); at != never {
		update.Confirmed = 1 + int(monotime.Now().Sub(at).Milliseconds())
	}
}

// confirmVersion applies a peer's confirmation that a version was the newest at an
// instant.
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

// confirmedAt returns when the version in force was last confirmed as the newest, or
// never.
func (f *fleet) confirmedAt() monotime.Instant {
	return monotime.Instant(max(f.confirmedByStore.Load(), f.confirmedByPeer.Load()))
}

// serversConfirmedAt returns when the entries of servers were last confirmed as current.
// A store restored from an older copy confirms none until servers have had time to write
// them again.
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
		f.throttle.MarkUnreachable(server)
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
	ok := f.budget.spend(service, now, f.memberCount())
	if !ok {
		f.log.Info("retry_budget_spent", zap.String("service", service))
	}
	return ok
}

// Count implements relay.Fleet.
func (f *fleet) Count(service string, now monotime.Instant) { f.budget.count(service, now) }
