package servers

import (
	"time"

	"basilrudder/internal/monotime"
)

// warmAt returns the instant at which a server that stays cold for the given time becomes
// warm; 0 for a warm one.
func warmAt(left time.Duration, now monotime.Instant) monotime.Instant {
	if left <= 0 {
		return 0
	}
	return now.Add(left)
}

// ColdUntil returns the instant at which a server becomes warm; 0 for a warm or unknown
// one.
func (r *Registry) ColdUntil(id string) monotime.Instant {
	rec := r.live[id]
	if rec == nil {
		return 0
	}
	return rec.coldUntil
}

// AssumeCold marks the servers of a data centre as cold from now on, each for the time
// that lasts returns for its service. It skips servers whose entry is later than the
// revision or that already are cold for longer, and returns the ids that it changed.
//
// It is used when an evacuation ends. Servers may have been restarted during it and
// publish that only with their next heartbeat. As they are idle, the whole fleet sends to
// them at once, and cold ones would crash.
func (r *Registry) AssumeCold(dataCentre string, lasts func(service string) time.Duration, revision Revision, now monotime.Instant) (ids []string) {
	for _, id := range r.ids() {
		rec := r.live[id]
		if rec.server.DataCentre != dataCentre || rec.server.Revision > revision {
			continue
		}
		until := warmAt(lasts(rec.server.Service), now)
		if until > rec.coldUntil {
			rec.coldUntil = until
			ids = append(ids, id)
		}
	}
	return ids
}
