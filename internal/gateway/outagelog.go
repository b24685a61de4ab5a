package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
)

// outageLog logs which services this instance can't reach and whether other instances
// still serve them. It is safe for concurrent use.
type outageLog struct {
	mu      sync.Mutex
	outages map[string]serviceOutage
}

// serviceOutage is the last logged state of a service that this instance can't reach.
type serviceOutage struct {
	since monotime.Instant
	// peersServe is whether other instances send requests to its servers.
	peersServe bool
}

// logOutages logs the changes since the last call. age is about how old the updates of
// other instances are.
func (f *fleet) logOutages(age time.Duration, now monotime.Instant) {
	current := f.currentOutages(now)
	f.outageLog.mu.Lock()
	defer f.outageLog.mu.Unlock()
	for service, o := range current {
		if last, ok := f.outageLog.outages[service]; !ok || last != o {
			f.log.Warn("service_unreachable", zap.String("service", service), zap.Bool("peers_serve", o.peersServe),
				zap.Duration("lasts_ms", now.Sub(o.since)), zap.Duration("news_age_ms", age))
		}
	}
	for service, o := range f.outageLog.outages {
		if _, ok := current[service]; !ok {
			f.log.Info("service_reachable", zap.String("service", service), zap.Duration("lasted_ms", now.Sub(o.since)))
		}
	}
	f.outageLog.outages = current
}

// currentOutages returns the services that this instance can't reach; nil for none.
func (f *fleet) currentOutages(now monotime.Instant) map[string]serviceOutage {
	var out map[string]serviceOutage
	for _, service := range f.outages.services() {
		since, outage := f.outages.outageSince(service, len(f.serverList(service).accepting))
		if !outage {
			continue
		}
		if out == nil {
			out = make(map[string]serviceOutage)
		}
		out[service] = serviceOutage{since: since, peersServe: f.Serving(service, now)}
	}
	return out
}

// unreachableServices returns the logged outages for the metrics.
func (f *fleet) unreachableServices() []string {
	f.outageLog.mu.Lock()
	defer f.outageLog.mu.Unlock()
	return slices.Sorted(maps.Keys(f.outageLog.outages))
}
