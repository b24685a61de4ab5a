package servers

// versionCounts counts servers by service and software version.
type versionCounts struct {
	live map[string]map[string]int
	// passed are the versions whose last server has gone since the last call of Versions.
	passed map[string]map[string]bool
}

func newVersionCounts() versionCounts {
	return versionCounts{live: make(map[string]map[string]int), passed: make(map[string]map[string]bool)}
}

func (c *versionCounts) add(s *Server, n int) {
	counts := c.live[s.Service]
	if counts == nil {
		counts = make(map[string]int)
		c.live[s.Service] = counts
	}
	counts[s.Software] += n
	if counts[s.Software] > 0 {
		return
	}
	delete(counts, s.Software)
	if c.passed[s.Service] == nil {
		c.passed[s.Service] = make(map[string]bool)
	}
	c.passed[s.Service][s.Software] = true
}

// Versions returns the software versions of the live servers of each service, also of those
// that accept no requests, and those that the service has had since the last call: one call
// of the store may report a server that has come and gone.
func (r *Registry) Versions() (live, since map[string]map[string]bool) {
	live, since = make(map[string]map[string]bool), make(map[string]map[string]bool)
	for service, counts := range r.versions.live {
		live[service], since[service] = make(map[string]bool), make(map[string]bool)
		for version := range counts {
			live[service][version], since[service][version] = true, true
		}
		for version := range r.versions.passed[service] {
			since[service][version] = true
		}
	}
	clear(r.versions.passed)
	return live, since
}
