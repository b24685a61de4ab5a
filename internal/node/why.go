package node

import (
	"fmt"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// belief is what this node knew of a group when it asked it for a slot.
type belief struct {
	// backlog is the wait that the group told last; known says whether it did.
	backlog time.Duration
	known   bool
	// age of that knowledge.
	age time.Duration
}

func (n *Node) beliefOf(now monotime.Instant, r *request) belief {
	backlog, age, known := n.picker.LastBacklog(now, r.group.Name, r.tier)
	if !known {
		return belief{}
	}
	return belief{backlog: backlog, known: true, age: age}
}

// String tells the belief to an operator.
func (b belief) String() string {
	if !b.known {
		return "no wait was known of the group"
	}
	return fmt.Sprintf("the group was believed to have a wait of %v, as told %v before", roundMS(b.backlog), roundMS(b.age))
}

func (n *Node) whyGranted(now monotime.Instant, r *request) string {
	return fmt.Sprintf("%s; its owner %s granted a slot after %v", r.believed, r.owner, roundMS(now.Sub(r.askedAt)))
}

func (n *Node) whyRefused(now monotime.Instant, r *request, from string, f wire.Refuse) string {
	return fmt.Sprintf("%s; its owner %s refused after %v and told a wait of %v",
		r.believed, from, roundMS(now.Sub(r.askedAt)), milliseconds(f.BacklogMS))
}

// roundMS rounds for reading.
func roundMS(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
