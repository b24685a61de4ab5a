package node

import (
	"fmt"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// waitEstimate is this node's estimate of a group's wait when it requested a slot.
type waitEstimate struct {
	// backlog is the wait that the group reported last; reported is false if there was
	// none.
	backlog  time.Duration
	reported bool
	// age of that report.
	age time.Duration
}

func (n *Node) waitEstimateOf(now monotime.Instant, r *request) waitEstimate {
	backlog, age, reported := n.picker.LastBacklog(now, r.group.Name, r.tier)
	if !reported {
		return waitEstimate{}
	}
	return waitEstimate{backlog: backlog, reported: true, age: age}
}

// String describes the estimate for an operator.
func (e waitEstimate) String() string {
	if !e.reported {
		return "no wait was known of the group"
	}
	return fmt.Sprintf("the group was believed to have a wait of %v, as told %v before", roundMS(e.backlog), roundMS(e.age))
}

func (n *Node) grantExplanation(now monotime.Instant, r *request) string {
	return fmt.Sprintf("%s; its owner %s granted a slot after %v", r.estimate, r.owner, roundMS(now.Sub(r.requestedAt)))
}

func (n *Node) refusalExplanation(now monotime.Instant, r *request, from string, f wire.Refuse) string {
	return fmt.Sprintf("%s; its owner %s refused after %v and told a wait of %v",
		r.estimate, from, roundMS(now.Sub(r.requestedAt)), msToDuration(f.BacklogMS))
}

// roundMS rounds to milliseconds for display.
func roundMS(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
