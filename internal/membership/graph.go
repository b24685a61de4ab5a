package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

func hash64(s string) uint64 {
	return xxhash.Sum64String(s)
}

// ringHashes places an ID on each ring.
func ringHashes(id string) [Rings]uint64 {
	var out [Rings]uint64
	for r := range out {
		out[r] = hash64(string(rune('0'+r)) + "/" + id)
	}
	return out
}

// node is a place on the rings.
type node struct {
	id    string
	rings [Rings]uint64
}

// refreshGraph computes the neighbours after a change of the table.
func (c *Core) refreshGraph() {
	if !c.graphDirty {
		return
	}
	c.graphDirty = false
	c.neighbours = neighboursOf(node{c.self.ID, c.rings}, c.ringNodes())
}

// ringNodes lists the others on the rings: members that are present, suspects
// included, and listed instances that are not known to be out of reach.
func (c *Core) ringNodes() []node {
	nodes := make([]node, 0, len(c.entries)+len(c.candidates))
	for _, e := range c.entries {
		if e.State.present() && e.PeerAddress != "" {
			nodes = append(nodes, node{e.ID, e.rings})
		}
	}
	for _, cand := range c.candidates {
		if cand.retry <= c.lastTick {
			nodes = append(nodes, node{cand.id, cand.rings})
		}
	}
	return nodes
}

// neighboursOf returns the successor and the predecessor of self on each ring,
// without repeats, sorted.
func neighboursOf(self node, others []node) []string {
	if len(others) == 0 {
		return nil
	}
	picked := make([]string, 0, 2*Rings)
	for r := range Rings {
		next, prev := others[0], others[0]
		for _, n := range others[1:] {
			if clockwise(self.rings[r], n.rings[r]) < clockwise(self.rings[r], next.rings[r]) {
				next = n
			}
			if clockwise(n.rings[r], self.rings[r]) < clockwise(prev.rings[r], self.rings[r]) {
				prev = n
			}
		}
		picked = append(picked, next.id, prev.id)
	}
	slices.Sort(picked)
	return slices.Compact(picked)
}

// clockwise is the distance from a to b around a ring.
func clockwise(a, b uint64) uint64 {
	return b - a
}

// refreshContacts makes the contacts follow the neighbours.
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
			ct.wanted = now
		}
	}
}

// retryCandidates puts listed instances back on the rings when their wait is
// over.
func (c *Core) retryCandidates(now monotime.Instant) {
	for _, cand := range c.candidates {
		if cand.retry != 0 && now >= cand.retry {
			cand.retry = 0
			c.graphDirty = true
		}
	}
}
