package sched

import (
	"slices"

	"basilrudder/internal/monotime"
)

// readLanes sorts the engines into lanes. Queues stay, unless the targets that
// share engines changed; then what waits moves to the new lanes.
func (g *Group) readLanes(now monotime.Instant) {
	wanted := shareEngines(g.engines)
	if !g.sameLanes(wanted) {
		g.rebuildLanes(wanted, now)
	}
	for _, l := range g.laneList {
		l.engines = l.engines[:0]
		l.free, l.extra, l.limit, l.usable, l.mixed = 0, 0, 0, 0, false
	}
	for _, e := range g.engines {
		g.joinLane(e)
	}
	for _, e := range g.engines {
		g.refreshEngine(e, now)
	}
}

// shareEngines returns the sets of targets that are connected by engines which
// serve several of them, each sorted, in order of the first engine.
func shareEngines(engines []*engine) [][]string {
	var sets [][]string
	for _, e := range engines {
		joined := slices.Clone(e.spec.Serves)
		kept := sets[:0:0]
		for _, set := range sets {
			if overlaps(set, joined) {
				joined = append(joined, set...)
				continue
			}
			kept = append(kept, set)
		}
		if len(joined) == 0 {
			continue
		}
		slices.Sort(joined)
		sets = append(kept, slices.Compact(joined))
	}
	return sets
}

func overlaps(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

func (g *Group) sameLanes(wanted [][]string) bool {
	if len(wanted) != len(g.laneList) {
		return false
	}
	for _, targets := range wanted {
		l := g.lanes[targets[0]]
		if l == nil || !slices.Equal(l.targets, targets) {
			return false
		}
	}
	return true
}

// rebuildLanes makes new lanes and queues again what waited. What customers
// used before is forgotten; that is rare and only costs some fairness. Held
// slots keep their old lane, which nothing waits in, until they end.
func (g *Group) rebuildLanes(wanted [][]string, now monotime.Instant) {
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
	g.laneList = nil
	g.lanes = make(map[string]*lane, len(wanted))
	for _, targets := range wanted {
		g.addLane(newLane(targets))
	}
	for _, e := range waiting {
		g.queueAgain(e, now)
	}
}

// queueAgain puts an entry in the lane that has its target now. A target that
// nothing serves any more gets an empty lane, where the entry is refused.
func (g *Group) queueAgain(e *entry, now monotime.Instant) {
	target := e.demand.Target
	if g.lanes[target] == nil {
		g.addLane(newLane([]string{target}))
	}
	e.lane = g.lanes[target]
	e.target = e.lane.setOf(target)
	g.enqueue(e, now)
}

func (g *Group) addLane(l *lane) {
	g.laneList = append(g.laneList, l)
	for _, target := range l.targets {
		g.lanes[target] = l
	}
}

// joinLane adds the engine to its lane.
func (g *Group) joinLane(e *engine) {
	e.limit, e.free, e.extra, e.lane = 0, 0, 0, nil
	if len(e.spec.Serves) == 0 {
		return
	}
	l := g.lanes[e.spec.Serves[0]]
	e.lane = l
	e.serves = l.setOf(e.spec.Serves...)
	if len(l.engines) > 0 && l.engines[0].serves != e.serves {
		l.mixed = true
	}
	l.engines = append(l.engines, e)
	if e.takesWork() {
		l.usable |= e.serves
	}
}
