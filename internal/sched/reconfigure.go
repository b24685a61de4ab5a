package sched

import (
	"slices"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Reconfigure applies a new revision of the configuration. Withdrawn and removed servers
// get no new work from then on; requests running on them continue. Requests whose target
// no server takes work for any more are refused at once.
func (g *Group) Reconfigure(now monotime.Instant, cat *catalog.Catalog, out []Decision) []Decision {
	g.cat = cat
	g.lease = time.Duration(cat.Rules.GrantLeaseMS) * time.Millisecond
	if g.lease <= 0 {
		g.lease = defaultLease
	}
	g.loadTiers(cat)
	g.loadEngines(cat.Groups[g.name])
	g.updatePools(now)
	g.relinkEntries(cat)
	out = g.refuseUnserved(now, out)
	return g.Tick(now, out)
}

func (g *Group) loadTiers(cat *catalog.Catalog) {
	g.floors = [maxTiers]float64{}
	g.headroom = [maxTiers]float64{}
	for _, tier := range cat.Tiers {
		if tier.Tier < 0 || tier.Tier >= maxTiers {
			continue
		}
		g.floors[tier.Tier] = tier.FloorShare
		g.headroom[tier.Tier] = tier.HeadroomShare
	}
}

func (g *Group) loadEngines(group *catalog.Group) {
	for _, e := range g.engines {
		e.removed = true
	}
	if group != nil {
		for _, server := range group.Servers {
			for _, spec := range server.Engines {
				g.loadEngine(spec)
			}
		}
	}
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		gone := e.removed && e.inflight == 0
		if gone {
			delete(g.byID, e.spec.ID)
		}
		return gone
	})
}

func (g *Group) loadEngine(spec *catalog.Engine) {
	e := g.byID[spec.ID]
	if e == nil {
		e = &engine{slowdown: 1, adaptiveLimit: float64(spec.Spec.Slots), cacheCapacity: defaultCacheCapacity}
		g.byID[spec.ID] = e
		g.engines = append(g.engines, e)
	}
	if e.spec != nil && e.spec.Spec.Slots != spec.Spec.Slots {
		e.adaptiveLimit = float64(spec.Spec.Slots)
	}
	e.spec = spec
	e.removed = false
}

// relinkEntries points the entries at the new revision's classes and customers. Entries
// of those that the revision lacks keep the old ones until they end.
func (g *Group) relinkEntries(cat *catalog.Catalog) {
	for _, e := range g.entries {
		if e.demand.Class != nil {
			if class := cat.Classes[e.demand.Class.Name]; class != nil {
				e.demand.Class = class
			}
		}
		if e.demand.Customer != nil {
			if customer := cat.Customers[e.demand.Customer.Name]; customer != nil {
				e.demand.Customer = customer
			}
		}
	}
}

func (g *Group) refuseUnserved(now monotime.Instant, out []Decision) []Decision {
	var unserved []*entry
	for _, e := range g.entries {
		if e.state == entryWaiting && e.pool.usable&e.target == 0 {
			unserved = append(unserved, e)
		}
	}
	sortBySeq(unserved)
	for _, e := range unserved {
		out = append(out, g.refusal(&e.demand, refuseNoServer, 0))
		g.dequeue(e)
		g.recycle(e)
	}
	return out
}
