package crashes

import (
	"maps"

	"basilrudder/internal/monotime"
)

// Crashes returns all recorded crashes, for an instance that may have missed some.
func (t *Tracker) Crashes() (out []Crash) {
	type key struct {
		server  string
		request Fingerprint
	}
	byRun := make(map[key]*Crash)
	for f, s := range t.suspects {
		for server, e := range s.ends {
			for _, r := range e.runs {
				c := byRun[key{server, r.request}]
				if c == nil {
					c = &Crash{Request: r.request, Customer: r.customer, Server: server, At: e.at, From: e.from}
					byRun[key{server, r.request}] = c
				}
				if !s.whole {
					c.Parts = append(c.Parts, f)
				}
			}
		}
	}
	for _, c := range byRun {
		out = append(out, *c)
	}
	return out
}

// SurvivedAt returns the tracked contents that ran without a crash, and when the answers to
// the last such runs began.
func (t *Tracker) SurvivedAt() map[Fingerprint]monotime.Instant {
	out := make(map[Fingerprint]monotime.Instant)
	for f, s := range t.suspects {
		if s.survivedAt != 0 {
			out[f] = s.survivedAt
		}
	}
	return out
}

// Fallen returns the servers whose ends have another cause, and when they ended.
func (t *Tracker) Fallen() map[string]monotime.Instant { return maps.Clone(t.fallen) }
