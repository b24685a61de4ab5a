package sched

import (
	"time"

	"basilrudder/internal/monotime"
)

// Counters are monotonic counters of a group.
type Counters struct {
	// Submitted counts requests, Granted and Refused the decisions about them.
	Submitted uint64 `json:"submitted"`
	Granted   uint64 `json:"granted"`
	Refused   uint64 `json:"refused"`
	// Expired counts requests that were refused after they had waited.
	Expired uint64 `json:"expired"`
	// LeasesExpired counts slots freed because their holder did not renew them.
	LeasesExpired uint64 `json:"leases_expired"`
	// Adopted counts slots that an earlier owner had granted.
	Adopted uint64 `json:"adopted"`
}

// EngineStats is the group's view of an engine.
type EngineStats struct {
	ID       string `json:"id"`
	Inflight int    `json:"inflight"`
	Limit    int    `json:"limit"`
	// Slow is the engine's slowdown relative to the median of its peers; 1 is as fast.
	Slow float64 `json:"slow"`
	// Ejected reports that the engine gets no work because it failed.
	Ejected   bool `json:"ejected"`
	Withdrawn bool `json:"withdrawn"`
}

// Stats is a copy of a group's state for operators.
type Stats struct {
	Counters
	Name    string        `json:"name"`
	Waiting int           `json:"waiting"`
	Held    int           `json:"held"`
	Tiers   []int         `json:"waiting_by_tier"`
	Engines []EngineStats `json:"engines"`
	// Backlog is the longest wait of the top tier over all pools.
	Backlog time.Duration `json:"backlog_ns"`
}

// Stats returns a copy of the group's state as of its last upkeep.
func (g *Group) Stats() Stats {
	s := Stats{Counters: g.counters, Name: g.name, Waiting: g.waiting, Held: g.held.count}
	for _, p := range g.pools {
		s.addPool(p)
		s.Backlog = max(s.Backlog, g.backlog(p, 0, g.upkeepAt))
	}
	for _, e := range g.engines {
		s.Engines = append(s.Engines, e.stats(g.upkeepAt))
	}
	return s
}

func (s *Stats) addPool(p *pool) {
	for t := range p.tiers {
		n := p.tiers[t].waiting
		if n == 0 {
			continue
		}
		for len(s.Tiers) <= t {
			s.Tiers = append(s.Tiers, 0)
		}
		s.Tiers[t] += n
	}
}

func (e *engine) stats(now monotime.Instant) EngineStats {
	return EngineStats{
		ID:        e.spec.ID,
		Inflight:  e.inflight,
		Limit:     e.limit,
		Slow:      e.slowdown,
		Ejected:   now < e.health.ejectedUntil,
		Withdrawn: !e.takesWork(),
	}
}

// Backlog returns the wait that a new request for the target should expect.
func (g *Group) Backlog(now monotime.Instant, target string, tier int) time.Duration {
	p := g.poolByTarget[target]
	if p == nil {
		return noServerRetryAfter
	}
	return g.backlog(p, g.tierOf(tier), now)
}

// Idle reports whether nothing waits and no slot is held.
func (g *Group) Idle() bool {
	return g.waiting == 0 && g.held.count == 0
}
