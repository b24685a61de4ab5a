package gateway

import (
	"expvar"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/inbound"
	"basilrudder/internal/monotime"
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
	vars.Set("server_paces", expvar.Func(func() any { return g.fleet.serverPaceMetrics(monotime.Now()) }))
	vars.Set("unreachable_services", expvar.Func(func() any { return g.fleet.unreachableServices() }))
	vars.Set("paths", expvar.Func(func() any { return g.connector.metrics() }))
	vars.Set("open_connections_preferred", expvar.Func(func() any { return g.fleet.preference.moved.Load() }))
	vars.Set("tunnels", expvar.Func(func() any { return tunnelMetrics{Open: g.tunnels.Open(), Opened: g.tunnels.Total()} }))
	vars.Set("crashes", expvar.Func(func() any { return g.fleet.crashes.metrics() }))
	vars.Set("engine_split", expvar.Func(func() any { return g.fleet.board.EngineSplits() }))
	vars.Set("streams", expvar.Func(func() any { return g.fleet.streams.metrics() }))
	vars.Set("pause_calibration", expvar.Func(func() any { return g.fleet.pauseCalibration(monotime.Now()) }))
	vars.Set("news", expvar.Func(func() any { return g.peers.metrics() }))
	vars.Set("peers_linked", expvar.Func(func() any { return len(g.peers.linked()) }))
	vars.Set("descriptors", expvar.Func(func() any { return g.descriptorMetrics() }))
	vars.Set("request_memory", expvar.Func(func() any { return requestMemory{Limit: g.memory.Limit(), Used: g.memory.Used()} }))
	vars.Set("memory", expvar.Get("memstats"))
	ctx.SetContentType("application/json; charset=utf-8")
	ctx.SetBodyString(vars.String())
}

// storeMetrics is the state of the store in the metrics.
type storeMetrics struct {
	Era                int64 `json:"era"`
	Revision           int64 `json:"revision"`
	UnconfirmedServers int   `json:"doubtful_servers"`
	StoreCalls
}

func (g *Gateway) storeMetrics() storeMetrics {
	revision, unconfirmed := g.fleet.latestRevision()
	return storeMetrics{
		Era: revision.Era(), Revision: revision.Number(), UnconfirmedServers: unconfirmed,
		StoreCalls: g.cfg.Source.Calls(),
	}
}

// tunnelMetrics counts the connections to servers that this instance passes on for others.
type tunnelMetrics struct {
	Open   int64 `json:"open"`
	Opened int64 `json:"opened"`
}

// descriptorMetrics are the descriptors in use.
type descriptorMetrics struct {
	Limit   int             `json:"limit"`
	Used    map[string]int  `json:"used"`
	Callers inbound.Metrics `json:"callers"`
	Control inbound.Metrics `json:"control"`
}

func (g *Gateway) descriptorMetrics() descriptorMetrics {
	return descriptorMetrics{
		Limit: g.descriptors.Limit(), Used: g.descriptors.Used(), Callers: g.callers.Metrics(), Control: g.control.Metrics(),
	}
}

// requestMemory is what requests hold together, and may hold, in bytes.
type requestMemory struct {
	Limit int64 `json:"limit"`
	Used  int64 `json:"used"`
}
