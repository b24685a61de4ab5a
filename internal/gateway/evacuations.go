package gateway

import (
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// applyEvacuations applies evacuations that began or ended, as read from the store or
// sent by a peer.
func (f *fleet) applyEvacuations(from string, list []servers.Evacuation) {
	if len(list) == 0 {
		return
	}
	now := monotime.Now()
	f.changeEvacuations(from, func(r *servers.Registry) (changed []servers.Evacuation) {
		for _, e := range list {
			if r.Plausible(e.Revision) && r.ApplyEvacuation(e, now) {
				changed = append(changed, e)
			}
		}
		return changed
	})
}

// changeEvacuations applies a change of evacuations to the registry and sends what
// changed to the peers, unless a peer sent it. The servers of a data centre whose
// evacuation ended count as cold.
func (f *fleet) changeEvacuations(from string, change func(r *servers.Registry) []servers.Evacuation) {
	now := monotime.Now()
	coldStart := func(service string) time.Duration { return f.coldLimit(service).Duration }
	f.mu.Lock()
	before := f.registry.Latest()
	changed := change(f.registry)
	f.recordEraChange(from, before, f.registry.Latest())
	if len(changed) == 0 {
		f.mu.Unlock()
		return
	}
	var cold []string
	for _, e := range changed {
		if !e.Active {
			cold = append(cold, f.registry.AssumeCold(e.DataCentre, coldStart, e.Revision, now)...)
		}
	}
	for _, id := range cold {
		f.throttle.SetCold(id, f.registry.ColdUntil(id))
	}
	f.lists = nil
	f.digest.Store(int64(f.registry.Digest() >> 1))
	f.mu.Unlock()
	for _, e := range changed {
		f.log.Info("evacuation_changed", zap.String("data_centre", e.DataCentre), zap.Bool("evacuated", e.Active),
			zap.String("from", from), zap.Stringer("revision", e.Revision), zap.Int("cold_servers", len(cold)))
	}
	if from == fromStore || from == fromTimer {
		f.updates.addEvacuations(encodeEvacuations(changed))
	}
}

// evacuatedDataCentres returns the names of the data centres whose servers get no
// requests, sorted.
func (f *fleet) evacuatedDataCentres() []string {
	out := []string{}
	for _, e := range f.allEvacuations() {
		if e.Active {
			out = append(out, e.DataCentre)
		}
	}
	return out
}

func (f *fleet) allEvacuations() []servers.Evacuation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Evacuations()
}

func encodeEvacuations(list []servers.Evacuation) []wire.RelayEvacuation {
	out := make([]wire.RelayEvacuation, 0, len(list))
	for _, e := range list {
		out = append(out, wire.RelayEvacuation{DataCentre: e.DataCentre, Active: e.Active, Revision: int(e.Revision)})
	}
	return out
}

func decodeEvacuations(list []wire.RelayEvacuation) []servers.Evacuation {
	out := make([]servers.Evacuation, 0, len(list))
	for _, e := range list {
		out = append(out, servers.Evacuation{DataCentre: e.DataCentre, Active: e.Active, Revision: servers.Revision(e.Revision)})
	}
	return out
}
