package streams

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// maxLifetime bounds how long versions that are gone are tracked.
const maxLifetime = 5 * time.Minute

// History tracks which software versions the servers of each service have had. It is safe
// for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	since monotime.Instant
	// present are the versions of the servers listed now, and gone when others were last
	// listed.
	present map[string]bool
	gone    map[string]monotime.Instant
}

// NewHistory returns a History without services.
func NewHistory() *History { return &History{services: make(map[string]*service)} }

// Observe records the versions of all listed servers of each service.
func (h *History) Observe(versions map[string]map[string]bool, now monotime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, present := range versions {
		s := h.services[name]
		if s == nil {
			s = &service{since: now, gone: make(map[string]monotime.Instant)}
			h.services[name] = s
		}
		s.observe(present, now)
	}
	for name, s := range h.services {
		if versions[name] == nil {
			s.observe(nil, now)
		}
	}
}

func (s *service) observe(present map[string]bool, now monotime.Instant) {
	for version := range s.present {
		if !present[version] {
			s.gone[version] = now
		}
	}
	for version, at := range s.gone {
		if present[version] || now.Sub(at) > maxLifetime {
			delete(s.gone, version)
		}
	}
	s.present = present
}

// Only returns the only version at which a stream of a service can have begun within a
// lifetime, and for how long it has been the only one. It is false if the servers had
// several versions within the lifetime, or were not tracked for so long.
func (h *History) Only(name string, lifetime time.Duration, now monotime.Instant) (version string, lasted time.Duration, ok bool) {
	lifetime = min(lifetime, maxLifetime)
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil || now.Sub(s.since) < lifetime {
		return "", 0, false
	}
	lasted = now.Sub(s.since)
	versions := make(map[string]bool)
	for v := range s.present {
		versions[v], version = true, v
	}
	for v, at := range s.gone {
		if now.Sub(at) <= lifetime {
			versions[v], version = true, v
		} else {
			lasted = min(lasted, now.Sub(at))
		}
	}
	return version, lasted, len(versions) == 1
}
