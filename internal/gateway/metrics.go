package gateway

import (
	"expvar"

	"github.com/valyala/fasthttp"
)

// metrics answers with all counters and histograms as JSON.
func (g *Gateway) metrics(ctx *fasthttp.RequestCtx) {
	vars := new(expvar.Map).Init()
	vars.Set("relay", g.stats.Vars())
	vars.Set("links", g.peers.links.Counters())
	vars.Set("link_queue_delay_ms", expvar.Func(func() any { return g.peers.links.QueueDelay().Milliseconds() }))
	vars.Set("config_version", expvar.Func(func() any { return g.fleet.configVersion() }))
	vars.Set("config", expvar.Func(func() any { return g.peers.configs.metrics() }))
	vars.Set("servers", expvar.Func(func() any { return g.fleet.serverCount() }))
	vars.Set("evacuated", expvar.Func(func() any { return g.fleet.evacuatedDataCentres() }))
	vars.Set("cold_servers", expvar.Func(func() any { return g.fleet.coldServers() }))
	vars.Set("store", expvar.Func(func() any { return g.storeMetrics() }))
	vars.Set("limited_servers", expvar.Func(func() any { return g.fleet.rateLimitedServers() }))
	vars.Set("crashes", expvar.Func(func() any { return g.fleet.crashes.metrics() }))
	vars.Set("news", expvar.Func(func() any { return g.peers.metrics() }))
	vars.Set("peers_linked", expvar.Func(func() any { return len(g.peers.linked()) }))
	vars.Set("memory", expvar.Get("memstats"))
	ctx.SetContentType("application/json; charset=utf-8")
	ctx.SetBodyString(vars.String())
}

// storeMetrics is the state of the store in the metrics.
type storeMetrics struct {
	Era                int64 `json:"era"`
	Revision           int64 `json:"revision"`
	UnconfirmedServers int   `json:"doubtful_servers"`
	// Calls of this process to the store, by purpose.
	Pages          int64 `json:"pages"`
	StalePages     int64 `json:"stale_pages"`
	ChangedWatches int64 `json:"changed_watches"`
	EmptyWatches   int64 `json:"empty_watches"`
	Configs        int64 `json:"configs"`
	Failed         int64 `json:"failed"`
}

func (g *Gateway) storeMetrics() storeMetrics {
	revision, unconfirmed := g.fleet.latestRevision()
	calls := g.cfg.Source.Calls()
	return storeMetrics{
		Era: revision.Era(), Revision: revision.Number(), UnconfirmedServers: unconfirmed,
		Pages: calls.Pages, StalePages: calls.StalePages,
		ChangedWatches: calls.ChangedWatches, EmptyWatches: calls.EmptyWatches,
		Configs: calls.Configs, Failed: calls.Failed,
	}
}
