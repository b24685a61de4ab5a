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
	// paceStatsInterval is the least time between telling the others what was seen of
	// engines, and evidencePeer what is added to it for each of them. It is some 150
	// bytes a service, so that an instance receives some 2.5 KB/s of it at most,
	// whatever the size of the fleet.
	paceStatsInterval = time.Second
	paceStatsPerPeer  = 60 * time.Millisecond
	// While less than fewSamples samples are known of a service, each evidenceSoon:
	// after a start of all instances each second without knowledge is one of wrong
	// choices.
	fewSamples             = 100
	earlyPaceStatsInterval = 200 * time.Millisecond
)

// sendPaceStats tells the others what this instance has seen of engines, when due.
func (g *Gateway) sendPaceStats(now monotime.Instant) {
	interval := max(paceStatsInterval, time.Duration(g.peers.count())*paceStatsPerPeer)
	if g.fleet.board.Learned() < fewSamples {
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
	for service, e := range f.board.Evidence() {
		out = append(out, wire.RelayEvidence{
			Service: service, StepSamples: e.StepSamples, FirstSamples: e.FirstSamples, Sums: e.Sums,
		})
	}
	return out
}

// applyPaceStats believes a peer what it has seen of engines.
func (p *peers) applyPaceStats(from string, update *wire.RelayNews) {
	for _, e := range update.Evidence {
		stats := pace.Evidence{StepSamples: e.StepSamples, FirstSamples: e.FirstSamples, Sums: e.Sums}
		if !p.fleet.board.Hear(from, e.Service, stats) {
			p.log.Warn("evidence_refused", zap.String("peer", from), zap.String("service", e.Service), zap.Int("numbers", len(e.Sums)))
		}
	}
}

// minPaceChange is the share by which what was learned of engines must differ from
// what was last logged to be logged again.
const minPaceChange = 0.05

// logPaces logs what has been learned of the engines of each service, as it changes.
func (g *Gateway) logPaces() {
	for service, learned := range g.fleet.board.Paces() {
		if !pacesDiffer(g.loggedPaces[service], learned) {
			continue
		}
		g.loggedPaces[service] = learned
		g.cfg.Log.Info("engine_pace", zap.String("service", service),
			zap.Int64("step_us", learned.Step.Microseconds()), zap.Int64("step_per_run_us", learned.StepPerRun.Microseconds()),
			zap.Int64("read_1k_us", (1000*learned.ReadToken).Microseconds()),
			zap.Int64("attention_1m_us", learned.AttentionPerM.Microseconds()),
			zap.Int64("first_us", learned.First.Microseconds()))
	}
}

// pacesDiffer reports whether two paces predict differently for a request of usual size
// among usual company.
func pacesDiffer(a, b pace.Pace) bool {
	const unread, prompt, runs, output = 2000, 8000, 20, 200
	before := float64(a.First + a.Prompt(unread, prompt, runs) + output*a.Plain(runs))
	after := float64(b.First + b.Prompt(unread, prompt, runs) + output*b.Plain(runs))
	return math.Abs(after-before) > minPaceChange*before
}
