package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/placement"
	"basilrudder/internal/schema/wire"
)

const (
	// paceNumbers is the number of integers of a sample in RelayNews.Paces.
	paceNumbers = 3
	// hundredths is the unit of logarithms in messages.
	hundredths = 100
	// maxPaceHundredths bounds the logarithm of a ratio: a factor of twenty.
	maxPaceHundredths = 300
	// maxPaceCovered bounds the time that a sample covers.
	maxPaceCovered = time.Minute
	// refusedPacesInterval is the minimum time between two log lines on samples that are
	// ignored.
	refusedPacesInterval = 10 * time.Second
	// maxServerPaceLines bounds the lines a second on changed estimates of servers.
	maxServerPaceLines = 2
)

func encodePace(run int, sample pace.ServerSample) [paceNumbers]int {
	return [...]int{run, int(math.Round(hundredths * sample.LogRatio)), int(min(sample.Covered, maxPaceCovered).Milliseconds())}
}

// decodePace returns the sample of three numbers and whether it is valid.
func decodePace(numbers []int) (run int, sample pace.ServerSample, ok bool) {
	run, ratio, covered := numbers[0], numbers[1], numbers[2]
	if ratio < -maxPaceHundredths || ratio > maxPaceHundredths || covered < 1 || covered > int(maxPaceCovered.Milliseconds()) {
		return 0, pace.ServerSample{}, false
	}
	return run, pace.ServerSample{LogRatio: float64(ratio) / hundredths, Covered: milliseconds(covered)}, true
}

// refusedPaces counts the samples that were ignored since the last log line on them.
type refusedPaces struct {
	invalid, unknown int
	loggedAt         monotime.Instant
}

// applyPaces applies the samples of the pace of servers that an instance took. Runs may be
// unknown while the state of that instance is still on its way. mu is held.
func (p *peers) applyPaces(origin string, numbers []int, now monotime.Instant) {
	refused := &p.refusedPaces
	for ; len(numbers) >= paceNumbers; numbers = numbers[paceNumbers:] {
		run, sample, ok := decodePace(numbers)
		switch {
		case !ok:
			refused.invalid++
		case !p.fleet.board.RecordPace(placement.RunID{Instance: origin, Number: run}, sample, now):
			refused.unknown++
		}
	}
	if len(numbers) > 0 {
		refused.invalid++
	}
	if refused.invalid+refused.unknown == 0 || refused.loggedAt != 0 && now.Sub(refused.loggedAt) < refusedPacesInterval {
		return
	}
	p.log.Warn("server_pace_ignored", zap.String("peer", origin), zap.Int("invalid", refused.invalid), zap.Int("unknown_runs", refused.unknown))
	*refused = refusedPaces{loggedAt: now}
}

// paceEstimates returns the estimated pace of each server for an instance that has just
// started.
func (f *fleet) paceEstimates(now monotime.Instant) map[string]wire.RelayCache {
	out := make(map[string]wire.RelayCache)
	for _, s := range f.board.ServerPaces(now) {
		out[s.Server] = wire.RelayCache{
			Server:         s.Server,
			Slowness:       int(math.Round(hundredths * math.Log(s.Slowness))),
			SlownessSpread: max(1, int(math.Round(hundredths*s.Spread))),
		}
	}
	return out
}

// applyPaceEstimate applies the estimated pace of a server that a peer sent.
func (p *peers) applyPaceEstimate(cache *wire.RelayCache, now monotime.Instant) {
	if cache.SlownessSpread == 0 {
		return
	}
	if cache.SlownessSpread < 0 || cache.SlownessSpread > maxPaceHundredths || cache.Slowness < -maxPaceHundredths || cache.Slowness > maxPaceHundredths {
		p.log.Warn("server_pace_ignored", zap.String("server", cache.Server), zap.Int("invalid", 1))
		return
	}
	p.fleet.board.SetServerPace(cache.Server, float64(cache.Slowness)/hundredths, float64(cache.SlownessSpread)/hundredths, now)
}

// logServerPaces logs the servers whose estimated pace has changed. It is called once a
// second.
func (g *Gateway) logServerPaces(now monotime.Instant) {
	for _, s := range g.fleet.board.ChangedServerPaces(maxServerPaceLines, now) {
		g.cfg.Log.Info("server_pace", zap.String("service", s.Service), zap.String("server", s.Server),
			zap.Float64("slowness", roundHundredths(s.Slowness)), zap.Float64("spread", roundHundredths(s.Spread)))
	}
}

// serverPaceMetrics is the state of the estimates of one service in the metrics.
type serverPaceMetrics struct {
	Known   int     `json:"known"`
	Slowest float64 `json:"slowest"`
	Median  float64 `json:"median"`
	Spread  float64 `json:"spread"`
}

func (f *fleet) serverPaceMetrics(now monotime.Instant) map[string]serverPaceMetrics {
	out := make(map[string]serverPaceMetrics)
	for service, s := range f.board.ServerPaceSummaries(now) {
		out[service] = serverPaceMetrics{
			Known: s.Known, Slowest: roundHundredths(s.Slowest), Median: roundHundredths(s.Median), Spread: roundHundredths(s.Spread),
		}
	}
	return out
}

func roundHundredths(x float64) float64 { return math.Round(hundredths*x) / hundredths }
