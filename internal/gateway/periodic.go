package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
	"basilrudder/internal/timer"
)

// drain leaves the fleet: callers are sent elsewhere, and requests in flight are served
// for as long as the grace period allows.
func (g *Gateway) drain(server *http.Server) {
	began := monotime.Now()
	g.leaving.Store(true)
	g.relay.Drain()
	g.peers.leave()
	g.fleet.updates.announceLeaving()
	g.cfg.Log.Info("draining", zap.Int64("in_flight", g.relay.InFlight()))
	ticker := timer.NewTicker(tickInterval)
	defer ticker.Stop()
	maxDrain := seconds(g.cfg.Settings.Drain.GraceS) - drainReserve
	for range ticker.C {
		lasted := monotime.Now().Sub(began)
		if lasted >= maxDrain || lasted >= minDrain && g.relay.InFlight()+g.tunnels.Open() == 0 {
			completeAnswers(server)
			g.cfg.Log.Info("drained", zap.Duration("lasted_ms", lasted), zap.Int64("broken_off", g.relay.InFlight()),
				zap.Int64("unmarked", g.relay.Unmarked()), zap.Int64("tunnels", g.tunnels.Open()))
			return
		}
	}
}

// completeAnswers waits for answers that are ending. A request is in flight until its handler
// returns; the HTTP server sends the last bytes after that.
func completeAnswers(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), maxCompletion)
	defer cancel()
	_ = server.Shutdown(ctx) // answers that go on for longer are broken off
}

// runPeriodic runs the tasks that depend on time alone.
func (g *Gateway) runPeriodic(ctx context.Context) error {
	ticker := timer.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-g.reload:
			g.reloadSettings()
			continue
		case <-ticker.C:
		}
		g.fleet.changeServers(fromTimer, func(r *servers.Registry, now monotime.Instant) []string { return r.Expire(now) })
		g.fleet.changeEvacuations(fromTimer, func(r *servers.Registry) []servers.Evacuation { return r.ApplyDeferredEvacuations(monotime.Now()) })
		g.checkIsolation()
		g.sendPaceStats(monotime.Now())
		g.peers.tick(monotime.Now())
		g.connector.probe(monotime.Now())
		g.fleet.logOutages(g.peers.staleness(), monotime.Now())
		instances := g.peers.memberCount()
		g.fleet.board.SetFleetSize(instances, monotime.Now())
		g.fleet.board.SetPeers(instances-1, g.peers.staleness())
		g.fleet.board.SetCostJitter(jitterOf(monotime.Now().Sub(g.started), instances))
		if n%ticksPerSweep == 0 {
			g.collector.Update(monotime.Now())
			g.descriptors.Set(descriptors.Peers, len(g.peers.linked()))
			g.callers.CloseSlow(g.headTimeout())
			g.callers.AnnounceFull(g.fleet.updates.announceFull)
			g.relay.Sweep(g.fleet.hasServer)
			g.fleet.crashes.expire(monotime.Now())
			g.reloadSettings()
			g.logPaces()
			g.logServerPaces(monotime.Now())
			g.logSplits()
			g.fleet.preference.logEnabled(g.cfg.Log, g.fleet.board.PrefersOpenConnections(monotime.Now()), instances)
		}
		if n%ticksPerStoreCalls == 0 {
			g.logStoreCalls()
			logMemory(g.cfg.Log)
			g.fleet.logPauseCalibration(monotime.Now())
		}
	}
}

// headTimeout returns how long a caller may take for the head of a request; 0 while there is no
// configuration.
func (g *Gateway) headTimeout() time.Duration {
	if table := g.fleet.Table(); table != nil {
		return table.Limits().HeaderTimeout
	}
	return 0
}

// logStoreCalls logs the calls to the store since the start, if there were any since the
// last line.
func (g *Gateway) logStoreCalls() {
	calls := g.cfg.Source.Calls()
	if calls == g.loggedCalls {
		return
	}
	g.loggedCalls = calls
	g.cfg.Log.Info("store_calls",
		zap.Int64("pages", calls.Pages), zap.Int64("stale_pages", calls.StalePages),
		zap.Int64("changed_watches", calls.ChangedWatches), zap.Int64("empty_watches", calls.EmptyWatches),
		zap.Int64("configs", calls.Configs), zap.Int64("failed", calls.Failed),
		zap.Int64("timed_out", calls.TimedOut), zap.Int64("slowest_page_ms", calls.SlowestPage))
}

// checkIsolation marks the instance as isolated if it has neither an answer of the store
// nor a linked peer: it is probably disconnected from servers too, and callers are better
// served elsewhere.
func (g *Gateway) checkIsolation() {
	sinceConfirmed := monotime.Now().Sub(monotime.Instant(g.fleet.confirmedByStore.Load()))
	isolated := sinceConfirmed > isolatedAfter && len(g.peers.linked()) == 0 && g.peers.memberCount() > 1
	if g.isolated.Swap(isolated) != isolated {
		g.cfg.Log.Warn("isolation_changed", zap.Bool("isolated", isolated), zap.Duration("store_silent_ms", sinceConfirmed))
	}
}

// Reload requests that the settings be read again soon. It does not wait.
func (g *Gateway) Reload() {
	select {
	case g.reload <- struct{}{}:
	default:
	}
}

// reloadSettings reads the settings again and applies those that may change while
// running.
func (g *Gateway) reloadSettings() {
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
