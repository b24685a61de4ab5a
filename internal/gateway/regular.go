package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
)

// drain leaves the fleet: callers are sent elsewhere, and what is in flight is
// served for as long as the grace allows.
func (g *Gateway) drain() {
	began := monotime.Now()
	g.leaving.Store(true)
	g.relay.Drain()
	g.peers.leave()
	g.fleet.news.leaving()
	g.cfg.Log.Info("draining", zap.Int64("in_flight", g.relay.InFlight()))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	most := seconds(g.cfg.Settings.Drain.GraceS) - endReserve
	for range ticker.C {
		lasted := monotime.Now().Sub(began)
		if lasted >= most || lasted >= drainLeast && g.relay.InFlight() == 0 {
			return
		}
	}
}

// regularly does what is due by time alone.
func (g *Gateway) regularly(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-g.reload:
			g.takeSettings()
			continue
		case <-ticker.C:
		}
		g.fleet.update(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
		g.fleet.evacuate(fromTimer, func(r *servers.Registry) []servers.Evacuation { return r.ApplyDeferredEvacuations(monotime.Now()) })
		g.checkIsolation()
		g.tellEvidence(monotime.Now())
		g.peers.tick(monotime.Now())
		instances := g.peers.count()
		g.fleet.board.SetPeers(instances-1, g.peers.staleness())
		g.fleet.board.SetCostJitter(choiceNoise(monotime.Now().Sub(g.begun), instances))
		if n%sweepTicks == 0 {
			g.relay.Sweep(g.fleet.known)
			g.fleet.crashes.expire(monotime.Now())
			g.takeSettings()
			g.logPaces()
		}
	}
}

// checkIsolation notices that this instance hears neither the store nor a peer:
// it is likely cut off from servers too, and callers are better off elsewhere.
func (g *Gateway) checkIsolation() {
	silent := monotime.Now().Sub(monotime.Instant(g.fleet.heard.Load()))
	isolated := silent > isolatedAfter && len(g.peers.linked()) == 0 && g.peers.count() > 1
	if g.isolated.Swap(isolated) != isolated {
		g.cfg.Log.Warn("isolation_changed", zap.Bool("isolated", isolated), zap.Duration("store_silent_ms", silent))
	}
}

// Reload has the settings read again soon. It does not wait.
func (g *Gateway) Reload() {
	select {
	case g.reload <- struct{}{}:
	default:
	}
}

// takeSettings reads the settings again and takes what may change while running.
func (g *Gateway) takeSettings() {
	if g.cfg.Reload == nil {
		return
	}
	s, err := g.cfg.Reload()
	if err != nil {
		g.cfg.Log.Error("reload_failed", eventlog.Cause(err))
		return
	}
	if !slices.Equal(s.Peers.Seeds, g.seeds) {
		g.seeds = s.Peers.Seeds
		g.cfg.Log.Info("reloaded", zap.Strings("seeds", g.seeds))
		g.peers.setSeeds(g.seeds)
	}
}
