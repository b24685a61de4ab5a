package node

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/route"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
)

const (
	// ownerAnswerTimeout is how long an owner may take to answer an acquire. It answers at
	// once, even if the request must wait, so the time covers a round trip between regions
	// and a garbage collection. A top-tier request has 400 ms: a longer timeout leaves no
	// time to ask the next owner.
	ownerAnswerTimeout = 100 * time.Millisecond
	// acquireRepeatInterval is how long an owner with waiting requests may send no answer
	// before the acquire is repeated.
	acquireRepeatInterval = 500 * time.Millisecond
	// recentAnswerAge is the age up to which an answer shows that its owner is reachable.
	// It exceeds acquireRepeatInterval: below that, an owner with waiting requests would
	// count as unreachable between two answers.
	recentAnswerAge = time.Second
)

// ownerContact records when an owner was last asked and last answered. A stopped process
// and one behind a partition accept messages and send nothing. The heartbeat takes seconds
// to detect that, longer than a top-tier request can wait. Every acquire is answered at
// once, so an owner that leaves one unanswered is skipped. A false detection costs a
// second owner for a few seconds, which is quality and never safety.
type ownerContact struct {
	// unansweredSince is when the oldest unanswered acquire was sent; 0 for none.
	unansweredSince monotime.Instant
	// answeredAt is when the owner last answered.
	answeredAt monotime.Instant
}

func (n *Node) sendAcquire(now monotime.Instant, owner string, msg wire.Acquire) {
	contact := n.ownerContacts[owner]
	if contact == nil {
		contact = &ownerContact{}
		n.ownerContacts[owner] = contact
	}
	if contact.unansweredSince == 0 {
		contact.unansweredSince = now
	}
	n.eff.Send(owner, &wire.Envelope{Acquires: []wire.Acquire{msg}})
}

// recordOwnerAnswer records that an owner answered.
func (n *Node) recordOwnerAnswer(now monotime.Instant, from string, env *wire.Envelope) {
	if len(env.Grants)+len(env.Refuses)+len(env.Queued) == 0 {
		return
	}
	if contact := n.ownerContacts[from]; contact != nil {
		contact.unansweredSince = 0
		contact.answeredAt = now
	}
}

// sendQueued answers a peer's acquire that must wait.
func (n *Node) sendQueued(now monotime.Instant, from string, g *ownedGroup, d sched.Demand) {
	if from == n.self() || !g.sched.Waits(d.Ticket) {
		return
	}
	backlog := g.sched.Backlog(now, d.Target, d.Tier)
	msg := wire.Queued{Group: g.name, Tier: d.Tier, BacklogMS: int(backlog / time.Millisecond)}
	n.eff.Send(from, &wire.Envelope{Queued: []wire.Queued{msg}})
}

// checkOwners skips unresponsive owners, and repeats acquires to those that keep requests
// waiting without an answer for acquireRepeatInterval.
func (n *Node) checkOwners(now monotime.Instant) {
	var unresponsive []string
	for id, contact := range n.ownerContacts {
		if contact.unansweredSince != 0 && now.Sub(contact.unansweredSince) > ownerAnswerTimeout {
			unresponsive = append(unresponsive, id)
		}
	}
	slices.Sort(unresponsive)
	for _, id := range unresponsive {
		delete(n.ownerContacts, id)
		n.markOwnerUnreachable(now, id)
	}
	for r := n.order.head; r != nil; r = r.next {
		n.repeatAcquire(now, r)
	}
}

// repeatAcquire repeats the acquire of a waiting request. An owner that already has it
// only answers.
func (n *Node) repeatAcquire(now monotime.Instant, r *request) {
	if r.state != stateWaiting || r.grantDeferred || r.group == nil {
		return
	}
	contact := n.ownerContacts[r.owner]
	if contact == nil || contact.unansweredSince != 0 || now.Sub(contact.answeredAt) < acquireRepeatInterval {
		return
	}
	n.sendAcquire(now, r.owner, n.acquireMessage(now, r))
}

// markOwnerUnreachable skips an owner for unreachableFor. Requests waiting there are sent
// elsewhere at once, and the new owner receives the running ones.
func (n *Node) markOwnerUnreachable(now monotime.Instant, id string) {
	n.unreachable[id] = now.Add(unreachableFor)
	n.markOwnedElsewhere()
	n.renewAtNewOwners(now)
	n.reroute(now, func(r *request) bool {
		lost := r.owner == id
		r.lostOwner = r.lostOwner || lost
		return lost
	})
}

// ownerForRequest returns the owner to ask for a waiting request. A request that lost an
// owner is sent only to members that answered recently, or to this instance itself: in a
// partition several owners are unresponsive, and detecting them one after another would
// take longer than the request can wait.
func (n *Node) ownerForRequest(now monotime.Instant, r *request) string {
	if !r.lostOwner {
		return n.ownerOf(r.group)
	}
	var responsive []route.Member
	for _, member := range n.reachable() {
		contact := n.ownerContacts[member.ID]
		if member.ID == n.self() || contact != nil && contact.answeredAt != 0 && now.Sub(contact.answeredAt) < recentAnswerAge {
			responsive = append(responsive, member)
		}
	}
	if owner := route.Owner(r.group, responsive); owner != "" {
		return owner
	}
	return n.self()
}
