package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

func hash64(s string) uint64 {
	return xxhash.Sum64String(s)
}

// ringHashes returns the position of an ID on each ring.
func ringHashes(id string) [Rings]uint64 {
	var out [Rings]uint64
	for r := range out {
		out[r] = hash64(string(rune('0'+r)) + "/" + id)
	}
	return out
}

// node is an ID with its positions on the rings.
type node struct {
	id    string
	rings [Rings]uint64
}

// graph holds the successor and the predecessor of self on each ring.
type graph struct {
	self       node
	next, prev [Rings]node // empty ids while no other node is there
}

// add puts a node on the rings and reports whether it became a neighbour.
func (g *graph) add(n node) bool {
	changed := false
	for r := range Rings {
		self, position := g.self.rings[r], n.rings[r]
		if g.next[r].id == "" || clockwise(self, position) < clockwise(self, g.next[r].rings[r]) {
			g.next[r] = n
			changed = true
		}
		if g.prev[r].id == "" || clockwise(position, self) < clockwise(g.prev[r].rings[r], self) {
			g.prev[r] = n
			changed = true
		}
	}
	return changed
}

// neighbours returns the successors and predecessors, sorted and without duplicates.
func (g *graph) neighbours() []string {
	out := make([]string, 0, 2*Rings)
	for r := range Rings {
		if g.next[r].id != "" {
			out = append(out, g.next[r].id, g.prev[r].id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// refreshGraph recomputes the neighbours after a node has left the rings.
func (c *Core) refreshGraph() {
	if !c.graphDirty {
		return
	}
	c.graphDirty = false
	c.graph = graph{self: c.graph.self}
	for _, e := range c.entries {
		if e.onRings() {
			c.graph.add(node{e.ID, e.rings})
		}
	}
	for _, cand := range c.candidates {
		if cand.retry <= c.lastTick {
			c.graph.add(node{cand.id, cand.rings})
		}
	}
	c.neighbours = c.graph.neighbours()
}

// onRings reports whether the member takes part in the graph. Suspects do, so a refuted
// suspicion changes no links.
func (e *entry) onRings() bool {
	return e.ID != "" && e.State.present() && e.PeerAddress != ""
}

// updateGraph updates the graph for a row that is about to become m.
func (c *Core) updateGraph(e *entry, m Member) {
	was := e.onRings()
	is := m.State.present() && m.PeerAddress != ""
	switch {
	case was && !is:
		if _, near := slices.BinarySearch(c.neighbours, m.ID); near {
			c.graphDirty = true
		}
	case !was && is && !c.graphDirty:
		if c.graph.add(node{m.ID, e.rings}) {
			c.neighbours = c.graph.neighbours()
		}
	}
}

// clockwise returns the distance from a to b around a ring.
func clockwise(a, b uint64) uint64 {
	return b - a
}

// refreshContacts updates the contacts to match the neighbours.
func (c *Core) refreshContacts(now monotime.Instant) {
	c.retryCandidates(now)
	c.refreshGraph()
	for id, ct := range c.contacts {
		_, found := slices.BinarySearch(c.neighbours, id)
		ct.neighbour = ct.neighbour && found
		if !found && !ct.up {
			delete(c.contacts, id)
		}
	}
	for _, id := range c.neighbours {
		ct := c.contact(id)
		if !ct.neighbour {
			ct.neighbour = true
			ct.requiredSince = now
		}
	}
}

// retryCandidates puts listed instances back on the rings when their backoff has ended.
func (c *Core) retryCandidates(now monotime.Instant) {
	for _, cand := range c.candidates {
		if cand.retry != 0 && now >= cand.retry {
			cand.retry = 0
			c.graphDirty = true
		}
	}
}
