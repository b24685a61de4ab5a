package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/schema/wire"
)

const (
	// paceStatsInterval is the minimum time between two sendings of pace statistics to
	// the other instances. In a larger fleet it is paceStatsPerPeer for each instance.
	// The statistics take some 150 bytes a service, so an instance receives some 2.5 KB/s
	// of them at most, whatever the size of the fleet.
	paceStatsInterval = time.Second
	paceStatsPerPeer  = 60 * time.Millisecond
	// While some service has fewer than fewSamples samples, statistics are sent each
	// earlyPaceStatsInterval: after a start of all instances, servers are chosen without
	// them until they arrive.
	fewSamples             = 100
	earlyPaceStatsInterval = 200 * time.Millisecond
)

// sendPaceStats sends this instance's statistics of engine pace to the others, when due.
func (g *Gateway) sendPaceStats(now monotime.Instant) {
	interval := max(paceStatsInterval, time.Duration(g.peers.memberCount())*paceStatsPerPeer)
	if g.fleet.board.MinPaceSamples() < fewSamples {
		interval = earlyPaceStatsInterval
	}
	if now.Sub(g.paceStatsSentAt) < interval {
		return
	}
	g.paceStatsSentAt = now
	if stats := g.fleet.paceStats(); len(stats) > 0 {
		g.fleet.updates.setPaceStats(stats)
	}
}

func (f *fleet) paceStats() []wire.RelayEvidence {
	var out []wire.RelayEvidence
	pauses := f.board.PauseCounts(monotime.Now())
	for service, e := range f.board.PaceStatistics() {
		out = append(out, wire.RelayEvidence{
			Service: service, StepSamples: e.StepSamples, FirstSamples: e.FirstSamples, Sums: e.Sums,
			Gaps: pauses[service],
		})
	}
	return out
}

// applyPaceStats applies the statistics of engine pace and of pauses that a peer sent. An
// older instance sends none of pauses.
func (p *peers) applyPaceStats(from string, update *wire.RelayNews) {
	for _, e := range update.Evidence {
		stats := pace.Statistics{StepSamples: e.StepSamples, FirstSamples: e.FirstSamples, Sums: e.Sums}
		valid := p.fleet.board.MergePaceStatistics(from, e.Service, stats)
		if len(e.Gaps) > 0 {
			valid = p.fleet.board.MergePauseCounts(from, e.Service, e.Gaps, monotime.Now()) && valid
		}
		if !valid {
			p.log.Warn("evidence_refused", zap.String("peer", from), zap.String("service", e.Service),
				zap.Int("numbers", len(e.Sums)), zap.Int("bins", len(e.Gaps)))
		}
	}
}

// minPaceChange is the share by which the predicted time of a request must differ from
// that of the pace last logged for a pace to be logged again.
const minPaceChange = 0.05

// logPaces logs the estimated pace of the engines of each service when it changes.
func (g *Gateway) logPaces() {
	for service, current := range g.fleet.board.Paces() {
		if !pacesDiffer(g.loggedPaces[service], current) {
			continue
		}
		g.loggedPaces[service] = current
		g.cfg.Log.Info("engine_pace", zap.String("service", service),
			zap.Int64("step_us", current.Step.Microseconds()), zap.Int64("step_per_run_us", current.StepPerRun.Microseconds()),
			zap.Int64("read_1k_us", (1000*current.ReadToken).Microseconds()),
			zap.Int64("attention_1m_us", current.AttentionPerM.Microseconds()),
			zap.Int64("first_us", current.First.Microseconds()))
	}
}

// pacesDiffer reports whether two paces predict different times for a request of typical
// size beside a typical number of runs.
func pacesDiffer(a, b pace.Pace) bool {
	const unread, prompt, runs, output = 2000, 8000, 20, 200
	before := float64(a.First + a.Prompt(unread, prompt, runs) + output*a.DecodeStep(runs))
	after := float64(b.First + b.Prompt(unread, prompt, runs) + output*b.DecodeStep(runs))
	return math.Abs(after-before) > minPaceChange*before
}
