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
	// answerWithin is how long an owner may take to answer an acquire. It answers
	// at once, if only to say that the request waits; the time covers the way
	// between regions and back and a garbage collection. A top-tier request has
	// 400 ms, so a longer wait leaves no time to ask the next owner.
	answerWithin = 100 * time.Millisecond
	// askAgainAfter is how long an owner that keeps requests waiting may be
	// silent before it is asked again.
	askAgainAfter = 500 * time.Millisecond
	// heardLately is the age up to which an answer of an owner shows that it is
	// there.
	heardLately = time.Second
)

// ownerTalk is when an owner was last asked and heard. A process that is stopped
// and one behind a partition accept messages and say nothing; the heartbeat
// takes seconds to tell, which is longer than a top-tier request can wait. The
// acquires themselves show it sooner: each is answered at once, so an owner that
// leaves one unanswered is passed over. Being wrong costs a second owner for a
// few seconds, which is quality and never safety.
type ownerTalk struct {
	// asked is when the oldest acquire without an answer was sent; 0 for none.
	asked monotime.Instant
	// heard is when the owner last answered.
	heard monotime.Instant
}

func (n *Node) sendAcquire(now monotime.Instant, owner string, msg wire.Acquire) {
	talk := n.owners[owner]
	if talk == nil {
		talk = &ownerTalk{}
		n.owners[owner] = talk
	}
	if talk.asked == 0 {
		talk.asked = now
	}
	n.eff.Send(owner, &wire.Envelope{Acquires: []wire.Acquire{msg}})
}

// heard notes that an owner answered.
func (n *Node) heard(now monotime.Instant, from string, env *wire.Envelope) {
	if len(env.Grants)+len(env.Refuses)+len(env.Queued) == 0 {
		return
	}
	if talk := n.owners[from]; talk != nil {
		talk.asked = 0
		talk.heard = now
	}
}

// tellQueued answers an acquire of a peer that waits.
func (n *Node) tellQueued(now monotime.Instant, from string, g *ownedGroup, d sched.Demand) {
	if from == n.self() || !g.sched.Waits(d.Ticket) {
		return
	}
	backlog := g.sched.Backlog(now, d.Target, d.Tier)
	msg := wire.Queued{Group: g.name, Tier: d.Tier, BacklogMS: int(backlog / time.Millisecond)}
	n.eff.Send(from, &wire.Envelope{Queued: []wire.Queued{msg}})
}

// checkOwners passes over owners that fell silent, and asks those again that
// keep requests waiting and said nothing for a while.
func (n *Node) checkOwners(now monotime.Instant) {
	var silent []string
	for id, talk := range n.owners {
		if talk.asked != 0 && now.Sub(talk.asked) > answerWithin {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		delete(n.owners, id)
		n.ownerLost(now, id)
	}
	for r := n.order.head; r != nil; r = r.next {
		n.askSilent(now, r)
	}
}

// askSilent repeats the acquire of a waiting request; an owner that knows it
// already only answers.
func (n *Node) askSilent(now monotime.Instant, r *request) {
	if r.state != stateWaiting || r.held || r.group == nil {
		return
	}
	talk := n.owners[r.owner]
	if talk == nil || talk.asked != 0 || now.Sub(talk.heard) < askAgainAfter {
		return
	}
	n.sendAcquire(now, r.owner, n.acquireMessage(now, r))
}

// ownerLost passes over an owner for a while: what waits there is asked for
// elsewhere at once, and the new owner learns what runs.
func (n *Node) ownerLost(now monotime.Instant, id string) {
	n.down[id] = now.Add(unreachableFor)
	n.noteLost()
	n.renewMoved(now)
	n.reroute(now, func(r *request) bool {
		lost := r.owner == id
		r.lostOwner = r.lostOwner || lost
		return lost
	})
}

// ownerFor returns the owner to ask for a waiting request. One that lost an
// owner trusts only those heard lately, or this instance itself: in a partition
// several owners are silent, and finding them one after another would take
// longer than the request can wait.
func (n *Node) ownerFor(now monotime.Instant, r *request) string {
	if !r.lostOwner {
		return n.ownerOf(r.group)
	}
	var heard []route.Member
	for _, member := range n.reachable() {
		talk := n.owners[member.ID]
		if member.ID == n.self() || talk != nil && talk.heard != 0 && now.Sub(talk.heard) < heardLately {
			heard = append(heard, member)
		}
	}
	if owner := route.Owner(r.group, heard); owner != "" {
		return owner
	}
	return n.self()
}
