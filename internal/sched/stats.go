package sched

import (
	"time"

	"basilrudder/internal/monotime"
)

// Counters only grow.
type Counters struct {
	// Submitted, Granted and Refused count requests and their decisions.
	Submitted uint64 `json:"submitted"`
	Granted   uint64 `json:"granted"`
	Refused   uint64 `json:"refused"`
	// Expired counts refusals of requests that had waited.
	Expired uint64 `json:"expired"`
	// LeasesExpired counts slots that nobody renewed.
	LeasesExpired uint64 `json:"leases_expired"`
	// Adopted counts slots taken over from an earlier owner.
	Adopted uint64 `json:"adopted"`
}

// EngineStats is what the group believes of an engine.
type EngineStats struct {
	ID       string `json:"id"`
	Inflight int    `json:"inflight"`
	Limit    int    `json:"limit"`
	// Slow is the pace against the median of its peers; 1 is as fast.
	Slow float64 `json:"slow"`
	// Ejected says that the engine gets no work because it failed.
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
	// Backlog is the longest wait over the lanes for the top tier.
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

// Backlog is the wait that a request for the target should expect.
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
