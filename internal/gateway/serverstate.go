package gateway

import (
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// Origins of a change of server state, as logged.
const (
	fromStore = "store"
	fromTimer = "timer"
	// fromServer marks what a server reported about itself in an answer.
	fromServer = "server"
)

// serverState returns the state of a server as sent to peers, or its tombstone; false if
// the id is not tracked. mu is held.
func (f *fleet) serverState(id string) (wire.RelayServer, bool) {
	if revision, gone := f.registry.Gone(id); gone {
		return wire.RelayServer{ID: id, Gone: true, Revision: int(revision)}, true
	}
	s, ok := f.registry.Get(id)
	if !ok {
		return wire.RelayServer{}, false
	}
	now := monotime.Now()
	state := wire.RelayServer{
		ID: s.ID, Name: string(s.Name), Born: int(s.Born), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
		Software: s.Software, Slots: s.Slots, Draining: s.Draining, Invalid: s.Invalid, Revision: int(s.Revision),
		ColdMS: int(max(0, f.registry.ColdUntil(id).Sub(now)).Milliseconds()),
	}
	encodeRateLimit(&state, f.registry.RateLimit(id), now)
	encodeBrittleness(&state, f.registry.Brittleness(id), now)
	return state, true
}

// allServers returns the state of every server and the tombstones of those that are gone.
func (f *fleet) allServers() []wire.RelayServer {
	out, _ := f.differingServers(nil)
	return out
}

// differingServers returns the state of every server and tombstone of the buckets whose
// digests differ from the given ones, of the servers whose state has parts that digests
// do not cover, and those buckets; everything and no buckets if the digests are not those
// of as many buckets. It is sent to a peer that is new or has missed updates.
func (f *fleet) differingServers(digests []int) (out []wire.RelayServer, buckets []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	differs := func(string) bool { return true }
	if len(digests) == servers.Buckets {
		var differing [servers.Buckets]bool
		for bucket, own := range f.registry.BucketDigests() {
			if own != digests[bucket] {
				differing[bucket] = true
				buckets = append(buckets, bucket)
			}
		}
		differs = func(id string) bool { return differing[servers.BucketOf(id)] }
	}
	for _, s := range f.registry.List() {
		state, ok := f.serverState(s.ID)
		if ok && (differs(s.ID) || state.Limited || state.MaxRefusals > 0 || state.ColdMS > 0) {
			out = append(out, state)
		}
	}
	for id, revision := range f.registry.Tombstones() {
		if differs(id) {
			out = append(out, wire.RelayServer{ID: id, Gone: true, Revision: int(revision)})
		}
	}
	return out, buckets
}

// serverDigests returns the digests of the buckets of servers, or nil if there are no
// servers.
func (f *fleet) serverDigests() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry.Len() == 0 {
		return nil
	}
	return f.registry.BucketDigests()
}

// hasServer reports whether the registry holds a live entry of a server.
func (f *fleet) hasServer(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.registry.Get(id)
	return ok
}

// serverCount returns the number of servers with a live entry, including those of
// evacuated data centres: an instance that may send to none of them still answers
// callers.
func (f *fleet) serverCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Len()
}

// maxServersSent is the number of servers up to which an instance sends all others the
// servers of its first list. Of a longer list it sends the digest alone, and instances that
// lack servers ask for them: all instances that read the store at a start would otherwise
// send all servers to all others.
const maxServersSent = 256

// changeServers applies a change to the registry, logs what changed of the servers, and
// sends them to the peers unless a peer sent the change.
func (f *fleet) changeServers(from string, change func(r *servers.Registry, now monotime.Instant) []string) {
	now := monotime.Now()
	f.mu.Lock()
	before := f.registry.Latest()
	ids := append(change(f.registry, now), f.registry.Replaced()...)
	after := f.registry.Latest()
	f.recordEraChange(from, before, after)
	if len(ids) == 0 {
		f.mu.Unlock()
		return
	}
	f.lists = nil
	live, since := f.registry.Versions()
	f.streams.history.Observe(since, now)
	f.streams.history.Observe(live, now)
	f.digest.Store(int64(f.registry.Digest() >> 1))
	f.rateLimitedCount.Store(int64(f.registry.RateLimitedCount()))
	f.brittleCount.Store(int64(f.registry.BrittleCount()))
	states := make([]wire.RelayServer, 0, len(ids))
	for _, id := range ids {
		if state, ok := f.serverState(id); ok {
			states = append(states, state)
		}
	}
	f.mu.Unlock()
	f.logServerChanges(from, states)
	for i := range states {
		f.applyServerState(&states[i], now)
	}
	f.settleServers(states, now)
	switch {
	case from != fromStore && from != fromTimer && from != fromServer:
	case before == 0 && len(states) > maxServersSent:
		f.updates.sendStatus()
	default:
		f.updates.addServers(states)
	}
}

// maxServerLines bounds the lines logged for one change of servers. A process that starts
// learns of all servers at once, and a line for each would displace those of its requests.
const maxServerLines = 64

// logServerChanges logs each changed server, or a summary of many.
func (f *fleet) logServerChanges(from string, states []wire.RelayServer) {
	if len(states) > maxServerLines {
		f.logServerSummary(from, states)
		return
	}
	for _, state := range states {
		f.log.Info("server_changed", zap.String("server", state.ID), zap.String("from", from),
			zap.String("service", state.Service), zap.String("address", state.Address), zap.String("software", state.Software),
			zap.Bool("draining", state.Draining), zap.Bool("invalid", state.Invalid), zap.Bool("gone", state.Gone),
			zap.Int("cold_ms", state.ColdMS), zap.Bool("limited", state.Limited), zap.Float64("limit_per_s", state.Rate),
			zap.Float64("refusals_per_s", state.MaxRefusals),
			zap.Stringer("revision", servers.Revision(state.Revision)))
	}
}

func (f *fleet) logServerSummary(from string, states []wire.RelayServer) {
	var draining, invalid, gone, cold, limited, brittle, newest int
	for _, state := range states {
		count(&draining, state.Draining)
		count(&invalid, state.Invalid)
		count(&gone, state.Gone)
		count(&cold, state.ColdMS > 0)
		count(&limited, state.Limited)
		count(&brittle, state.MaxRefusals > 0)
		newest = max(newest, state.Revision)
	}
	f.log.Info("servers_changed", zap.Int("servers", len(states)), zap.String("from", from),
		zap.Int("draining", draining), zap.Int("invalid", invalid), zap.Int("gone", gone),
		zap.Int("cold", cold), zap.Int("limited", limited), zap.Int("brittle", brittle), zap.Stringer("revision", servers.Revision(newest)))
}

func count(n *int, holds bool) {
	if holds {
		*n++
	}
}

// recordEraChange records and logs that the store was restored from an older copy, if its
// era changed.
func (f *fleet) recordEraChange(from string, before, after servers.Revision) {
	if before == 0 || before.Era() == after.Era() {
		return
	}
	f.eraSince.Store(int64(monotime.Now()))
	f.log.Warn("store_era_changed", zap.String("from", from), zap.Int64("era", after.Era()), zap.Int64("was", before.Era()),
		zap.Stringer("revision", after), zap.Stringer("revision_before", before))
}

// listedRevision returns the revision of the last full list of the store that was applied
// here.
func (f *fleet) listedRevision() servers.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Listed()
}

// latestRevision returns the highest revision of the store received, and unconfirmed the
// number of servers whose entries are missing from the store and may reappear.
func (f *fleet) latestRevision() (revision servers.Revision, unconfirmed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Latest(), f.registry.CountInGrace()
}

// applyServerState passes a changed server on to the placement board and the limiter.
func (f *fleet) applyServerState(state *wire.RelayServer, now monotime.Instant) {
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
