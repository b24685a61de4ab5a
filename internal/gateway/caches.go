package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/catalog"
	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/route"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/timer"
)

// The parts of prompts that engines keep are tracked from the requests sent to them, so a
// process that has just started tracks none. It would send prompts to engines that have
// to read them again, for as long as it takes to fill their caches anew. Peers send it
// their state. After a restart of all instances no peer has any; then each instance asks
// a part of the engines, at a small cost for each engine, and sends the results to the
// others.

const (
	// peerCacheWait is how long a process that has just received its state waits for a
	// peer's cache state before it asks engines.
	peerCacheWait = 500 * time.Millisecond
	// cacheListTimeout bounds a request for the cache list of one engine. It is also how
	// long the results of other instances are awaited afterwards.
	cacheListTimeout = 500 * time.Millisecond
	// maxConcurrentLists bounds the number of cache lists requested at the same time.
	maxConcurrentLists = 4
	// maxPartsPerEngine bounds the parts sent for one engine. It is more than engines
	// keep of the prompts in use, some 35 of 16,000 tokens. maxPartsInTotal bounds the
	// parts for all engines together: some 120 KB for each instance that starts. With it,
	// the busiest of 100 instances before 999 engines transfers 1,084 KB a second, and
	// 1,209 without.
	maxPartsPerEngine = 80
	maxPartsInTotal   = 5000
)

// CacheReader asks engines which parts of prompts they keep.
type CacheReader interface {
	// Cached returns the parts that an engine keeps.
	Cached(ctx context.Context, server servers.Server) ([]placement.Part, error)
}

// discoverCaches waits until the instance has its state and, for peerCacheWait, for the cache
// state of peers; then it asks engines. After a restart of all instances each must ask its
// own engines even if others were faster, because an update of theirs covers only their
// engines.
func (g *Gateway) discoverCaches(ctx context.Context) error {
	for g.storeSync.lacksState() && timer.Sleep(initialCheckInterval, ctx.Done()) {
	}
	timer.Sleep(peerCacheWait, ctx.Done())
	if ctx.Err() != nil || g.peers.cachesComplete.Load() || g.cfg.Caches == nil {
		return nil
	}
	var lists errgroup.Group
	lists.SetLimit(maxConcurrentLists)
	for _, s := range g.ownedEngines() {
		if g.fleet.board.CacheReported(s.ID) {
			continue
		}
		lists.Go(func() error {
			g.listCache(ctx, s)
			return nil
		})
	}
	err := lists.Wait()
	timer.Sleep(cacheListTimeout, ctx.Done())
	g.peers.cachesComplete.Store(true)
	return err
}

// ownedEngines returns the engines that this instance is responsible for asking.
func (g *Gateway) ownedEngines() []servers.Server {
	table := g.fleet.Table()
	if table == nil {
		return nil
	}
	members := g.peers.routeMembers()
	var out []servers.Server
	for _, s := range g.fleet.acceptingServers() {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		if route.Owner(&catalog.Group{Name: s.ID, DataCentre: s.DataCentre}, members) == g.fleet.self {
			out = append(out, s)
		}
	}
	return out
}

func (g *Gateway) listCache(ctx context.Context, s servers.Server) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	parts, err := g.cfg.Caches.Cached(ctx, s)
	if err != nil {
		g.cfg.Log.Info("cache_unknown", zap.String("server", s.ID), eventlog.Cause(err))
		return
	}
	g.cfg.Log.Info("cache_listed", zap.String("server", s.ID), zap.Int("parts", len(parts)))
	if len(parts) == 0 {
		return
	}
	g.fleet.board.RecordCachedParts(s.ID, parts, monotime.Now())
	recent := parts[max(0, len(parts)-partsPerEngine(g.fleet.serverCount())):]
	g.fleet.updates.addCache(wire.RelayCache{Server: s.ID, Parts: encodeParts(recent)})
}

// partsPerEngine returns how many parts are sent for each of so many engines: the most
// recently used ones.
func partsPerEngine(engines int) int {
	return min(maxPartsPerEngine, max(1, maxPartsInTotal/max(1, engines)))
}

// applyCaches applies the cache state that a peer sent.
func (p *peers) applyCaches(update *wire.RelayNews) {
	now := monotime.Now()
	if len(update.Caches) > 0 {
		p.cachesReceived.Store(true)
	}
	if update.CachesWhole {
		p.cachesComplete.Store(true)
	}
	for _, cache := range update.Caches {
		// Without parts, it only holds the pace of the server.
		if len(cache.Parts) > 0 {
			p.fleet.board.RecordCachedParts(cache.Server, decodeParts(cache.Parts), now)
		}
		p.applyPaceEstimate(&cache, now)
	}
}

// cacheStates returns the tracked cache state of all engines, most recently used parts
// only, and the estimated pace of each.
func (f *fleet) cacheStates() []wire.RelayCache {
	var out []wire.RelayCache
	estimates := f.paceEstimates(monotime.Now())
	for id, parts := range f.board.CachedParts(partsPerEngine(f.serverCount())) {
		cache := estimates[id]
		cache.Server, cache.Parts = id, encodeParts(parts)
		delete(estimates, id)
		out = append(out, cache)
	}
	for _, cache := range estimates {
		out = append(out, cache)
	}
	return out
}

// partsPerMessage is the number of parts after which a message ends: some 16 KB.
const partsPerMessage = 640

// splitCaches splits cache states into messages of about partsPerMessage parts.
func splitCaches(caches []wire.RelayCache) (out [][]wire.RelayCache) {
	start, parts := 0, 0
	for i, cache := range caches {
		parts += max(1, len(cache.Parts))
		if parts >= partsPerMessage || i+1 == len(caches) {
			out = append(out, caches[start:i+1])
			start, parts = i+1, 0
		}
	}
	return out
}

func encodeParts(parts []placement.Part) []wire.RelayPart {
	out := make([]wire.RelayPart, 0, len(parts))
	for _, part := range parts {
		out = append(out, wire.RelayPart{ID: part.ID, Tokens: part.Tokens})
	}
	return out
}

func decodeParts(parts []wire.RelayPart) []placement.Part {
	out := make([]placement.Part, 0, len(parts))
	for _, part := range parts {
		out = append(out, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return out
}
