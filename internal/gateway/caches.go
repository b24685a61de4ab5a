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
)

// What engines keep of prompts is known from the requests sent to them, so a
// process that starts knows nothing of it. It would send prompts to engines that
// have to read them again, for as long as it takes to fill them anew. Peers tell
// it. After a restart of all instances no peer knows either; then each asks a
// part of the engines, which costs each of them a little, and tells the others.

const (
	// coldStart is how long a process that starts waits for peers that know.
	coldStart = 500 * time.Millisecond
	// listTimeout bounds the question to one engine.
	listTimeout = 500 * time.Millisecond
	// listsAtOnce bounds the questions open at the same time.
	listsAtOnce = 4
	// mostParts bounds what is told of one engine: more than engines keep of the
	// prompts in use, some 35 of 16,000 tokens. mostPartsOfAll bounds it for all engines
	// together: some 120 KB for each instance that starts. The busiest of 100 instances
	// before 999 engines has 1,084 KB a second with it and 1,209 without.
	mostParts      = 80
	mostPartsOfAll = 5000
)

// CacheReader asks engines what they keep.
type CacheReader interface {
	// Cached returns the parts that an engine keeps.
	Cached(ctx context.Context, server servers.Server) ([]placement.Part, error)
}

// learnCaches asks peers, and after coldStart engines, what engines keep. After a restart
// of all instances each of them must ask its own engines, also when others were faster:
// what they tell is of theirs.
func (g *Gateway) learnCaches(ctx context.Context) error {
	sleep(ctx, coldStart)
	if ctx.Err() != nil || g.peers.warm.Load() || g.cfg.Caches == nil {
		return nil
	}
	var lists errgroup.Group
	lists.SetLimit(listsAtOnce)
	for _, s := range g.ownEngines() {
		if g.fleet.board.CacheReported(s.ID) {
			continue
		}
		lists.Go(func() error {
			g.listEngine(ctx, s)
			return nil
		})
	}
	err := lists.Wait()
	sleep(ctx, listTimeout)
	g.peers.warm.Store(true)
	return err
}

// ownEngines returns the engines that this instance asks.
func (g *Gateway) ownEngines() []servers.Server {
	table := g.fleet.Table()
	if table == nil {
		return nil
	}
	members := g.peers.routeMembers()
	var out []servers.Server
	for _, s := range g.fleet.takingRequests() {
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

func (g *Gateway) listEngine(ctx context.Context, s servers.Server) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
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
	told := parts[max(0, len(parts)-partsTold(g.fleet.serverCount())):]
	g.fleet.news.caches(wire.RelayCache{Server: s.ID, Parts: encodeParts(told)})
}

// partsTold is how many parts are told of each of so many engines, the most recently used
// ones.
func partsTold(engines int) int {
	return min(mostParts, max(1, mostPartsOfAll/max(1, engines)))
}

// takeCaches believes a peer what engines keep.
func (p *peers) takeCaches(news *wire.RelayNews) {
	now := monotime.Now()
	if len(news.Caches) > 0 {
		p.informed.Store(true)
	}
	if news.CachesWhole {
		p.warm.Store(true)
	}
	for _, cache := range news.Caches {
		p.fleet.board.RecordCachedParts(cache.Server, decodeParts(cache.Parts), now)
	}
}

// caches returns what engines are believed to keep.
func (f *fleet) caches() []wire.RelayCache {
	var out []wire.RelayCache
	for id, parts := range f.board.CachedParts(partsTold(f.serverCount())) {
		out = append(out, wire.RelayCache{Server: id, Parts: encodeParts(parts)})
	}
	return out
}

// partsAtOnce is how many parts are told in a message: some 16 KB.
const partsAtOnce = 640

// splitCaches cuts what engines keep into messages.
func splitCaches(caches []wire.RelayCache) (out [][]wire.RelayCache) {
	start, parts := 0, 0
	for i, cache := range caches {
		parts += len(cache.Parts)
		if parts >= partsAtOnce || i+1 == len(caches) {
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
