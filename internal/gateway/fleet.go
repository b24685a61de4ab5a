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
)

// fleet is what this instance knows of configuration, servers and runs. It
// implements relay.Fleet. Deciding takes no message: all of it is kept up to
// date by the store and by news of the peers.
type fleet struct {
	self    string
	log     *zap.Logger
	board   *placement.Board
	budget  *budget
	members func() int // instances known, this one among them
	confirm func(ctx context.Context) bool
	news    *newsroom

	table atomic.Pointer[routing.Table]
	// heard is when the store last answered this instance, as a monotime.Instant.
	heard atomic.Int64
	// vouched is when the store last answered an instance that has the same
	// version in force, as a monotime.Instant.
	vouched atomic.Int64

	// digest is that of the registry, cut to an int.
	digest atomic.Int64

	mu       sync.Mutex // guards registry, byService
	registry *servers.Registry
	// byService is rebuilt at each change of the registry; readers take the
	// slices as they are.
	byService map[string][]servers.Server

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
	if config == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.table.Load()
	if old != nil && old.Version() >= config.Version {
		return false
	}
	table, err := routing.NewTable(config)
	if err != nil {
		f.log.Error("config_refused", zap.Int64("version", config.Version), zap.String("from", from), eventlog.Cause(err))
		return false
	}
	f.table.Store(table)
	f.listServers(table)
	was := int64(0)
	if old != nil {
		was = old.Version()
	}
	f.log.Info("config_in_force",
		zap.Int64("version", config.Version), zap.Int64("was", was), zap.String("from", from),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
	return true
}

// take is adopt, and tells the peers the new version.
func (f *fleet) take(config *routing.Config, from string) {
	if f.adopt(config, from) {
		f.news.soon()
	}
}

// status fills in what is in force here, for peers.
func (f *fleet) status(own *wire.RelayNews) {
	own.Digest = int(f.digest.Load())
	if table := f.table.Load(); table != nil {
		own.ConfigVersion = int(table.Version())
	}
	// What others vouched for is passed on: an instance that subscribes to one that
	// does not read the store would read it too.
	if at := f.confirmedAt(); at != never {
		own.Confirmed = 1 + int(monotime.Now().Sub(at).Milliseconds())
	}
}

// vouch takes a peer's word that the version was the newest at an instant.
func (f *fleet) vouch(version int64, at monotime.Instant) {
	table := f.table.Load()
	if table == nil || table.Version() != version {
		return
	}
	for {
		was := f.vouched.Load()
		if int64(at) <= was || f.vouched.CompareAndSwap(was, int64(at)) {
			return
		}
	}
}

// confirmedAt is when the version in force was last known to be the newest, or
// never.
func (f *fleet) confirmedAt() monotime.Instant {
	return monotime.Instant(max(f.heard.Load(), f.vouched.Load()))
}

// update runs a change of the registry and then tells of what changed.
func (f *fleet) update(from string, change func(r *servers.Registry, now monotime.Instant) []string) {
	now := monotime.Now()
	f.mu.Lock()
	ids := append(change(f.registry, now), f.registry.Replaced()...)
	if len(ids) == 0 {
		f.mu.Unlock()
		return
	}
	f.listServers(f.table.Load())
	f.digest.Store(int64(f.registry.Digest() >> 1))
	told := make([]wire.RelayServer, 0, len(ids))
	for _, id := range ids {
		if state, ok := f.stateOf(id); ok {
			told = append(told, state)
		}
	}
	f.mu.Unlock()
	for _, state := range told {
		f.log.Info("server_changed", zap.String("server", state.ID), zap.String("from", from),
			zap.String("service", state.Service), zap.String("address", state.Address),
			zap.Bool("draining", state.Draining), zap.Bool("invalid", state.Invalid), zap.Bool("gone", state.Gone),
			zap.Int("revision", state.Revision))
		if state.Gone {
			f.board.Forget(state.ID)
		}
	}
	if from == fromStore || from == fromTimer {
		f.news.servers(told)
	}
}

// listServers rebuilds byService for a table, or for none; mu is held.
func (f *fleet) listServers(table *routing.Table) {
	published := func(service string) bool { return table == nil || table.Service(service) != nil }
	f.byService = make(map[string][]servers.Server)
	for _, s := range f.registry.Taking(published) {
		f.byService[s.Service] = append(f.byService[s.Service], s)
	}
}

// Sources of a belief, for logs.
const (
	fromStore = "store"
	fromTimer = "timer"
)

// stateOf returns what to tell of a server; mu is held.
func (f *fleet) stateOf(id string) (wire.RelayServer, bool) {
	if revision, gone := f.registry.Gone(id); gone {
		return wire.RelayServer{ID: id, Gone: true, Revision: int(revision)}, true
	}
	s, ok := f.registry.Get(id)
	if !ok {
		return wire.RelayServer{}, false
	}
	return wire.RelayServer{
		ID: s.ID, Name: s.Name, Born: int(s.Born), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
		Slots: s.Slots, Draining: s.Draining, Invalid: s.Invalid, Revision: int(s.Revision),
	}, true
}

// allServers returns the state of every server, those that are gone among them,
// for a peer that is new or has missed something.
func (f *fleet) allServers() []wire.RelayServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []wire.RelayServer
	for _, s := range f.registry.List() {
		if state, ok := f.stateOf(s.ID); ok {
			out = append(out, state)
		}
	}
	for id, revision := range f.registry.Tombstones() {
		out = append(out, wire.RelayServer{ID: id, Gone: true, Revision: int(revision)})
	}
	return out
}

// known reports whether a server's entry is live.
func (f *fleet) known(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.registry.Get(id)
	return ok
}

// takingRequests returns the servers of all services that take requests.
func (f *fleet) takingRequests() []servers.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []servers.Server
	for _, list := range f.byService {
		out = append(out, list...)
	}
	return out
}

// serverCount returns the number of servers that take requests.
func (f *fleet) serverCount() int {
	return len(f.takingRequests())
}

// Place implements relay.Fleet.
func (f *fleet) Place(service string, work placement.Work, excluded map[string]bool, now monotime.Instant) (relay.Target, placement.Refusal) {
	table := f.table.Load()
	published := table.Service(service)
	if published == nil {
		return relay.Target{}, placement.NoneReachable
	}
	f.mu.Lock()
	list := f.byService[service]
	f.mu.Unlock()
	candidates := make([]placement.Candidate, 0, len(list))
	for _, s := range list {
		if !excluded[s.ID] {
			candidates = append(candidates, candidate(s, published))
		}
	}
	choice, refusal := f.board.Choose(work, candidates, now)
	if refusal != placement.Chosen {
		return relay.Target{Choice: choice}, refusal
	}
	target := relay.Target{
		Choice:   choice,
		MaxConns: f.connectionShare(published.MaxConns),
		EntryAge: now.Sub(f.confirmedAt()),
	}
	for _, s := range list {
		switch s.ID {
		case choice.Server:
			target.Server = s
		case choice.FetchFrom:
			target.FetchFrom = s.Address
		}
	}
	return target, placement.Chosen
}

// minConnections is what an instance may always open to a server: a fleet that
// grows for a moment must not leave an instance without any.
const minConnections = 2

// connectionShare is this instance's part of the connections that a server
// accepts of all instances together.
func (f *fleet) connectionShare(most int) int {
	if most <= 0 {
		return 0
	}
	return max(minConnections, most/max(1, f.members()))
}

func candidate(s servers.Server, service *routing.Service) placement.Candidate {
	c := placement.Candidate{ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Slots: s.Slots}
	if service.Engine != nil {
		c.MemoryTokens = service.Engine.MemoryTokens
		c.EventTokens = service.Engine.EventTokens
		c.TokenBytes = service.Engine.TokenBytes
		c.LinkMbps = service.Engine.LinkMbps
	}
	return c
}

// Observe implements relay.Fleet.
func (f *fleet) Observe(server string, outcome placement.Outcome, now monotime.Instant) {
	if f.board.Observe(server, outcome, now) {
		f.log.Info("server_reachability", zap.String("server", server), zap.Bool("reachable", outcome == placement.Served))
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
