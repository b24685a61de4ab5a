package sched

import (
	"slices"

	"basilrudder/internal/monotime"
)

// updatePools assigns the engines to pools. Queues are kept unless the sets of targets
// that share engines have changed; then waiting requests move to the new pools.
func (g *Group) updatePools(now monotime.Instant) {
	targetSets := connectedTargets(g.engines)
	if !g.samePools(targetSets) {
		g.rebuildPools(targetSets, now)
	}
	for _, p := range g.pools {
		p.engines = p.engines[:0]
		p.free, p.extra, p.limit, p.usable, p.mixed = 0, 0, 0, 0, false
	}
	for _, e := range g.engines {
		g.joinPool(e)
	}
	for _, e := range g.engines {
		g.refreshEngine(e, now)
	}
}

// connectedTargets returns the sets of targets that are connected by engines which serve
// several of them. Each set is sorted; the sets are in the order of their first engine.
func connectedTargets(engines []*engine) [][]string {
	var sets [][]string
	for _, e := range engines {
		merged := slices.Clone(e.spec.Serves)
		disjoint := sets[:0:0]
		for _, set := range sets {
			if overlaps(set, merged) {
				merged = append(merged, set...)
				continue
			}
			disjoint = append(disjoint, set)
		}
		if len(merged) == 0 {
			continue
		}
		slices.Sort(merged)
		sets = append(disjoint, slices.Compact(merged))
	}
	return sets
}

func overlaps(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

func (g *Group) samePools(targetSets [][]string) bool {
	if len(targetSets) != len(g.pools) {
		return false
	}
	for _, targets := range targetSets {
		p := g.poolByTarget[targets[0]]
		if p == nil || !slices.Equal(p.targets, targets) {
			return false
		}
	}
	return true
}

// rebuildPools creates new pools and moves the waiting requests into them. Customers'
// earlier usage is lost; this is rare and costs only some fairness. Held slots keep their
// old pool, in which nothing waits, until they are released.
func (g *Group) rebuildPools(targetSets [][]string, now monotime.Instant) {
	var waiting []*entry
	for _, e := range g.entries {
		if e.state == entryWaiting {
			waiting = append(waiting, e)
		}
	}
	sortBySeq(waiting)
	for _, e := range waiting {
		g.dequeue(e)
	}
	g.pools = nil
	g.poolByTarget = make(map[string]*pool, len(targetSets))
	for _, targets := range targetSets {
		g.addPool(newPool(targets))
	}
	for _, e := range waiting {
		g.requeue(e, now)
	}
}

// requeue moves an entry to the pool that has its target now. A target that no engine
// serves any more gets an empty pool, in which the entry is refused.
func (g *Group) requeue(e *entry, now monotime.Instant) {
	target := e.demand.Target
	if g.poolByTarget[target] == nil {
		g.addPool(newPool([]string{target}))
	}
	e.pool = g.poolByTarget[target]
	e.target = e.pool.targetSetOf(target)
	g.enqueue(e, now)
}

func (g *Group) addPool(p *pool) {
	g.pools = append(g.pools, p)
	for _, target := range p.targets {
		g.poolByTarget[target] = p
	}
}

// joinPool adds the engine to its pool.
func (g *Group) joinPool(e *engine) {
	e.limit, e.free, e.extra, e.pool = 0, 0, 0, nil
	if len(e.spec.Serves) == 0 {
		return
	}
	p := g.poolByTarget[e.spec.Serves[0]]
	e.pool = p
	e.serves = p.targetSetOf(e.spec.Serves...)
	if len(p.engines) > 0 && p.engines[0].serves != e.serves {
		p.mixed = true
	}
	p.engines = append(p.engines, e)
	if e.takesWork() {
		p.usable |= e.serves
	}
}
