package streams

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// maxLifetime bounds how long versions that are gone are tracked. Nothing is concluded for
// streams that live for longer.
const maxLifetime = time.Hour

// History tracks which software versions the servers of each service have had. It is safe
// for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	// since is from when on no version can have come and gone unseen.
	since monotime.Instant
	// present are the versions of the servers listed now, and gone when others were last
	// listed.
	present map[string]bool
	gone    map[string]monotime.Instant
	// appeared is when each version that is present was first listed, here or, as far as they
	// told, at others.
	appeared map[string]monotime.Instant
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
			s = &service{since: now, gone: make(map[string]monotime.Instant), appeared: make(map[string]monotime.Instant)}
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
			delete(s.appeared, version)
		}
	}
	for version := range present {
		if _, known := s.appeared[version]; !known {
			s.appeared[version] = now
		}
	}
	for version, at := range s.gone {
		if present[version] || now.Sub(at) > maxLifetime {
			delete(s.gone, version)
		}
	}
	s.present = present
}

// Interrupt records that the versions may have changed unseen until now.
func (h *History) Interrupt(now monotime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		s.since = now
		for version := range s.appeared {
			s.appeared[version] = now
		}
	}
}

// Only returns the only version at which a stream of a service can have begun within a
// lifetime, and for how long it has been the only one. It is false if the servers had
// several versions within the lifetime, or were not tracked for so long.
func (h *History) Only(name string, lifetime time.Duration, now monotime.Instant) (version string, lasted time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil || lifetime > maxLifetime || now.Sub(s.since) < lifetime {
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

// New returns the versions of a service that were first listed less than a time ago.
func (h *History) New(name string, within time.Duration, now monotime.Instant) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return nil
	}
	var out map[string]bool
	for version, at := range s.appeared {
		if now.Sub(at) < within {
			if out == nil {
				out = make(map[string]bool)
			}
			out[version] = true
		}
	}
	return out
}

// VersionAge is how long ago a version of a service was first listed.
type VersionAge struct {
	Service, Version string
	Age              time.Duration
}

// Ages returns the ages of all versions that are present.
func (h *History) Ages(now monotime.Instant) (out []VersionAge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.services {
		for version, at := range s.appeared {
			out = append(out, VersionAge{Service: name, Version: version, Age: now.Sub(at)})
		}
	}
	return out
}

// Learn applies the age of a version as another instance tells it. A process that starts
// would take all versions for new.
func (h *History) Learn(a VersionAge, now monotime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[a.Service]
	if s == nil || !s.present[a.Version] {
		return
	}
	s.appeared[a.Version] = min(s.appeared[a.Version], now.Add(-a.Age))
}
