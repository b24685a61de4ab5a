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
	budget *budget
	// throttle bounds what this instance sends to servers that bear few requests.
	throttle *throttle.Limiter
	outages  *outages
	crashes  *crashBook
	regions  regions
	members  func() int // instances known, this one among them
	confirm  func(ctx context.Context) bool
	publish  func(config *routing.Config) // has peers fetch it
	news     *newsroom

	table atomic.Pointer[routing.Table]
	// heard is when the store last answered this instance, as a monotime.Instant.
	heard atomic.Int64
	// vouched is when the store last answered an instance that has the same
	// version in force, as a monotime.Instant.
	vouched atomic.Int64

	// eraSince is when this instance heard that the store is back from an older copy, as a
	// monotime.Instant; 0 for never.
	eraSince atomic.Int64

	// digest is that of the registry, cut to an int.
	digest atomic.Int64
	// limited is the number of servers that name a limit, so that answers of others cost
	// nothing while there is none.
	limited atomic.Int64

	mu       sync.Mutex // guards registry, byService, sources
	registry *servers.Registry
	// byService is rebuilt at each change of the registry; readers take the
	// slices as they are.
	byService map[string][]servers.Server
	// sources are the servers of evacuated data centres, rebuilt and read likewise.
	sources map[string][]servers.Server

	number atomic.Int64 // of the last own run
}

var _ relay.Fleet = (*fleet)(nil)

// never is before every instant of a process, also before those that lie some
// seconds before its start. Ages since then do not overflow.
const never = monotime.Instant(math.MinInt64 / 2)

// neverHeard resets what is known of the store's last answers.
func (f *fleet) neverHeard() {
	f.heard.Store(int64(never))
	f.vouched.Store(int64(never))
}

// Table implements relay.Fleet.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

// Confirm implements relay.Fleet.
func (f *fleet) Confirm(ctx context.Context) bool { return f.confirm(ctx) }

// adopt puts a configuration in force unless one at least as new is. It reports
// whether it did. A version never goes back while the process lives.
func (f *fleet) adopt(config *routing.Config, from string) bool {
	done, err := f.enforce(config, from)
	if err != nil {
		f.log.Error("config_refused", zap.Int64("version", config.Version), zap.String("from", from), eventlog.Cause(err))
	}
	return done
}

// enforce is adopt, and returns why a configuration can't be put in force. The table is
// built without the lock, which changes of servers take too.
func (f *fleet) enforce(config *routing.Config, from string) (done bool, err error) {
	if config == nil || f.version() >= config.Version {
		return false, nil
	}
	table, err := routing.NewTable(config)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	was := f.version()
	if was >= config.Version {
		f.mu.Unlock()
		return false, nil
	}
	f.table.Store(table)
	f.listServers(table)
	f.mu.Unlock()
	f.log.Info("config_in_force",
		zap.Int64("version", config.Version), zap.Int64("was", was), zap.String("from", from),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
	f.news.soon()
	return true, nil
}

// version of the configuration in force; 0 for none.
func (f *fleet) version() int64 {
	if table := f.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// take is adopt for what the store tells; peers may fetch it from this instance then.
func (f *fleet) take(config *routing.Config, from string) {
	if f.adopt(config, from) {
		f.publish(config)
	}
}

// status fills in what is in force here, for peers.
func (f *fleet) status(own *wire.RelayNews) {
	own.Digest = int(f.digest.Load())
	own.ConfigVersion = int(f.version())
	// What others vouched for is passed on: an instance that subscribes to one that
	// does not read the store would read it too.
	if at := f.confirmedAt(); at != never {
		own.Confirmed = 1 + int(monotime.Now().Sub(at).Milliseconds())
	}
}

// vouch takes a peer's word that the version was the newest at an instant.
func (f *fleet) vouch(version int64, at monotime.Instant) {
	if version == 0 || f.version() != version {
		return
	}
	raise(&f.vouched, at)
}

// raise sets an instant unless a later one is set.
func raise(to *atomic.Int64, at monotime.Instant) {
	for {
		was := to.Load()
		if int64(at) <= was || to.CompareAndSwap(was, int64(at)) {
			return
		}
	}
}

// confirmedAt is when the version in force was last known to be the newest, or
// never.
func (f *fleet) confirmedAt() monotime.Instant {
	return monotime.Instant(max(f.heard.Load(), f.vouched.Load()))
}

// storeWord is when the entries of servers were last known to be the newest. A store that
// is back from an older copy vouches for none until servers had time to write again.
func (f *fleet) storeWord(now monotime.Instant) monotime.Instant {
	word := f.confirmedAt()
	since := monotime.Instant(f.eraSince.Load())
	if since != 0 && now.Sub(since) < servers.EraGrace {
		return min(word, since)
	}
	return word
}

// Observe implements relay.Fleet.
func (f *fleet) Observe(server string, outcome placement.Outcome, now monotime.Instant) {
	if outcome == placement.Unreachable {
		f.throttle.MarkUnreachable(server)
		f.noteUnreachable(server, now)
	}
	if f.board.Observe(server, outcome, now) {
		f.log.Info("server_reachability", zap.String("server", server), zap.Bool("reachable", outcome == placement.Served))
	}
}

func (f *fleet) noteUnreachable(server string, now monotime.Instant) {
	f.mu.Lock()
	s, ok := f.registry.Get(server)
	f.mu.Unlock()
	if ok {
		f.outages.unreachable(s.Service, server, now)
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
