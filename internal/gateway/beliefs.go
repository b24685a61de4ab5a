package gateway

import (
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// Sources of a belief, for logs.
const (
	fromStore = "store"
	fromTimer = "timer"
	// fromServer: what the server itself said in an answer.
	fromServer = "server"
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
	now := monotime.Now()
	state := wire.RelayServer{
		ID: s.ID, Name: s.Name, Born: int(s.Born), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
		Slots: s.Slots, Draining: s.Draining, Invalid: s.Invalid, Revision: int(s.Revision),
		ColdMS: int(max(0, f.registry.ColdUntil(id).Sub(now)).Milliseconds()),
	}
	encodeBound(&state, f.registry.RateLimit(id), now)
	return state, true
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

// serverCount returns the number of servers that are known, those of evacuated data
// centres among them: an instance that may send to none of them still answers callers.
func (f *fleet) serverCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Len()
}

// update runs a change of the registry and then tells of what changed.
func (f *fleet) update(from string, change func(r *servers.Registry, now monotime.Instant) []string) {
	now := monotime.Now()
	f.mu.Lock()
	before := f.registry.Latest()
	ids := append(change(f.registry, now), f.registry.Replaced()...)
	after := f.registry.Latest()
	f.noteEra(from, before, after)
	if len(ids) == 0 {
		f.mu.Unlock()
		return
	}
	f.listServers(f.table.Load())
	f.digest.Store(int64(f.registry.Digest() >> 1))
	f.limited.Store(int64(len(f.registry.Limited())))
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
			zap.Int("cold_ms", state.ColdMS), zap.Bool("limited", state.Limited), zap.Float64("limit_per_s", state.Rate),
			zap.Stringer("revision", servers.Revision(state.Revision)))
		f.noteServer(&state, now)
	}
	if from == fromStore || from == fromTimer || from == fromServer {
		f.news.servers(told)
	}
}

// noteEra notes that the store has come back from a copy, if it has.
func (f *fleet) noteEra(from string, before, after servers.Revision) {
	if before == 0 || before.Era() == after.Era() {
		return
	}
	f.eraSince.Store(int64(monotime.Now()))
	f.log.Warn("store_era_changed", zap.String("from", from), zap.Int64("era", after.Era()), zap.Int64("was", before.Era()),
		zap.Stringer("revision", after), zap.Stringer("revision_before", before))
}

// listed returns the revision of the last full list of the store that is known here.
func (f *fleet) listed() servers.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Listed()
}

// latest returns the highest revision of the store heard of, and doubtful the number of
// servers whose entries are missing and may come back.
func (f *fleet) latest() (revision servers.Revision, doubtful int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Latest(), f.registry.CountInGrace()
}

// noteServer tells the model of servers and the limiter of one that changed.
func (f *fleet) noteServer(state *wire.RelayServer, now monotime.Instant) {
	if state.Gone {
		f.board.RemoveServer(state.ID)
		f.throttle.Forget(state.ID)
		return
	}
	until := monotime.Instant(0)
	if state.ColdMS > 0 {
		until = now.Add(milliseconds(state.ColdMS))
	}
	f.throttle.SetCold(state.ID, until)
	if state.Limited {
		f.throttle.SetRateLimit(state.ID, state.Rate)
	} else {
		f.throttle.ClearRateLimit(state.ID)
	}
}

// listServers rebuilds byService and sources for a table, or for none; mu is held.
func (f *fleet) listServers(table *routing.Table) {
	published := func(service string) bool { return table == nil || table.Service(service) != nil }
	f.byService = make(map[string][]servers.Server)
	for _, s := range f.registry.Accepting(published) {
		f.byService[s.Service] = append(f.byService[s.Service], s)
	}
	f.sources = make(map[string][]servers.Server)
	for _, s := range f.registry.EvacuatedServers(published) {
		f.sources[s.Service] = append(f.sources[s.Service], s)
	}
}
