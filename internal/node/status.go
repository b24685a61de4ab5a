package node

import (
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
)

// Status is a snapshot of a node's state.
type Status struct {
	// Revision of the configuration in force.
	Revision uint64 `json:"revision"`
	// Requests held, and those of them that wait for a slot.
	Requests int `json:"requests"`
	Waiting  int `json:"waiting"`
	// Undelivered answers wait for their callers.
	Undelivered int `json:"undelivered"`
	// IDs is the number of request ids that are tracked.
	IDs int `json:"ids"`
	// Draining is set if new requests are refused.
	Draining bool `json:"draining"`
	// Pauses of the process that were detected.
	Pauses int `json:"pauses"`
	// Isolated is set if the configuration was not confirmed after the last pause.
	Isolated bool `json:"isolated"`
	// Counts since the start.
	Counts Counts `json:"counts"`
	// Limits counts customers whose limits this node spends from and keeps.
	Limits LimitStatus `json:"limits"`
	// Owned groups.
	Owned []OwnedStatus `json:"owned"`
}

// LimitStatus is a node's state of customers' limits.
type LimitStatus struct {
	// Held counts customers whose permits it spends.
	Held int `json:"held"`
	// Home counts customers whose permits it issues.
	Home int `json:"home"`
	// Waiting counts requests that wait for a permit.
	Waiting int `json:"waiting"`
}

// OwnedStatus is one owned group.
type OwnedStatus struct {
	// Group name.
	Group string `json:"group"`
	// IdleS is the time since the group was last used, in seconds.
	IdleS float64 `json:"idle_s"`
	// Stats of the scheduler.
	Stats sched.Stats `json:"stats"`
}

// Occupancy returns the number of requests held as a fraction of the capacity.
func (n *Node) Occupancy() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(len(n.requests)) / float64(n.cfg.Capacity)
}

// Status returns a snapshot of the node's state.
func (n *Node) Status(now monotime.Instant) Status {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	s := Status{
		Requests:    len(n.requests),
		Undelivered: len(n.undelivered),
		IDs:         n.ids.Len(),
		Draining:    n.draining,
		Pauses:      n.gate.pauses,
		Isolated:    n.gate.isolated,
		Counts:      n.counts,
		Limits: LimitStatus{
			Held:    n.permits.local.Len(),
			Home:    n.permits.home.Len(),
			Waiting: len(n.permits.waiting),
		},
	}
	if cat := n.catalog.Load(); cat != nil {
		s.Revision = cat.Revision
	}
	for r := n.order.head; r != nil; r = r.next {
		if r.state == stateWaiting {
			s.Waiting++
		}
	}
	for _, name := range n.ownedNames() {
		g := n.owned[name]
		s.Owned = append(s.Owned, OwnedStatus{
			Group: name,
			IdleS: float64(now.Sub(g.lastUsed)) / float64(time.Second),
			Stats: g.sched.Stats(),
		})
	}
	return s
}
