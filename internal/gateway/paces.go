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
	// evidenceInterval is the least time between telling the others what was seen of
	// engines, and evidencePeer what is added to it for each of them. It is some 150
	// bytes a service, so that an instance receives some 2.5 KB/s of it at most,
	// whatever the size of the fleet.
	evidenceInterval = time.Second
	evidencePeer     = 60 * time.Millisecond
	// While less than evidenceFew samples are known of a service, each evidenceSoon:
	// after a start of all instances each second without knowledge is one of wrong
	// choices.
	evidenceFew  = 100
	evidenceSoon = 200 * time.Millisecond
)

// tellEvidence tells the others what this instance has seen of engines, when due.
func (g *Gateway) tellEvidence(now monotime.Instant) {
	every := max(evidenceInterval, time.Duration(g.peers.count())*evidencePeer)
	if g.fleet.board.MinPaceSamples() < evidenceFew {
		every = evidenceSoon
	}
	if now.Sub(g.toldEvidence) < every {
		return
	}
	g.toldEvidence = now
	if told := g.fleet.evidence(); len(told) > 0 {
		g.fleet.news.evidence(told)
	}
}

func (f *fleet) evidence() []wire.RelayEvidence {
	var out []wire.RelayEvidence
	for service, e := range f.board.PaceStatistics() {
		out = append(out, wire.RelayEvidence{
			Service: service, StepSamples: e.StepSamples, FirstSamples: e.FirstSamples, Sums: e.Sums,
		})
	}
	return out
}

// takeEvidence believes a peer what it has seen of engines.
func (p *peers) takeEvidence(from string, news *wire.RelayNews) {
	for _, e := range news.Evidence {
		told := pace.Statistics{StepSamples: e.StepSamples, FirstSamples: e.FirstSamples, Sums: e.Sums}
		if !p.fleet.board.MergePaceStatistics(from, e.Service, told) {
			p.log.Warn("evidence_refused", zap.String("peer", from), zap.String("service", e.Service), zap.Int("numbers", len(e.Sums)))
		}
	}
}

// paceChange is the share by which what was learned of engines must differ from
// what was last logged to be logged again.
const paceChange = 0.05

// logPaces logs what has been learned of the engines of each service, as it changes.
func (g *Gateway) logPaces() {
	for service, learned := range g.fleet.board.Paces() {
		if !differs(g.loggedPaces[service], learned) {
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

// differs reports whether two paces predict differently for a request of usual size
// among usual company.
func differs(a, b pace.Pace) bool {
	const unread, prompt, runs, output = 2000, 8000, 20, 200
	before := float64(a.First + a.Prompt(unread, prompt, runs) + output*a.DecodeStep(runs))
	after := float64(b.First + b.Prompt(unread, prompt, runs) + output*b.DecodeStep(runs))
	return math.Abs(after-before) > paceChange*before
}
