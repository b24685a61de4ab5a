package servers

import (
	"time"

	"basilrudder/internal/monotime"
)

// warmAt returns the end of a time that a server still is cold; 0 for a warm one.
func warmAt(left time.Duration, now monotime.Instant) monotime.Instant {
	if left <= 0 {
		return 0
	}
	return now.Add(left)
}

// ColdUntil returns when a server becomes warm; 0 for one that is, or is not known.
func (r *Registry) ColdUntil(id string) monotime.Instant {
	rec := r.live[id]
	if rec == nil {
		return 0
	}
	return rec.coldUntil
}

// AssumeCold has the servers of a data centre count as cold from now on, each for as
// long as those of its service are after a start, unless an entry written after the
// revision says otherwise. It returns their ids.
//
// Servers of an evacuated data centre may have been started again before it is taken
// back, and write that into their entries a heartbeat later. The whole fleet turns to
// them at once, since they are idle, and those that are cold would crash.
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
