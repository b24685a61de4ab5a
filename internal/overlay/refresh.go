package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// FeedRequest is a feed that a peer is to be asked for.
type FeedRequest struct {
	To   string
	Feed Feed
}

// Effects are what is to be done after a change of what is known.
type Effects struct {
	// Lost are instances that can't be reached any more.
	Lost []string
	// FeedRequests are to be sent, each over its link.
	FeedRequests []FeedRequest
	// RequestMembersFrom is a peer to be asked for all members, or empty.
	RequestMembersFrom string
}

// membersRequestInterval is the least time between questions for all members.
const membersRequestInterval = 400 * time.Millisecond

// Refresh works out who can be reached, who is a hub and which feeds are wanted. It is
// due after each change that LinkUp, LinkDown or Receive report, and regularly.
func (n *Node) Refresh(now monotime.Instant) Effects {
	var out Effects
	out.Lost = n.updateReachable(now)
	for _, m := range slices.Clone(n.list) {
		if !m.reachable && !m.linked && now.Sub(m.lostAt) > MemberTTL {
			n.removeMember(m.ID)
		}
	}
	n.updateHubs()
	n.choosePrimary(now)
	out.FeedRequests = n.updateFeedRequests()
	if n.unknownOrigin && now.Sub(n.membersRequestedAt) >= membersRequestInterval {
		n.unknownOrigin, n.membersRequestedAt = false, now
		out.RequestMembersFrom = n.anyLinkedPeer()
	}
	return out
}

// updateReachable marks the members that can be reached and returns those that no longer
// can. A member is reached over links of this instance and over those that reached
// members say they have, so it is lost only when all who were linked to it say so,
// or can't be reached themselves.
func (n *Node) updateReachable(now monotime.Instant) (lost []string) {
	if n.detachedSince != 0 && now.Sub(n.detachedSince) < detachedGrace {
		return nil
	}
	reached := n.reachableMembers()
	for _, m := range n.list {
		reachable := reached[m]
		if m.reachable && !reachable {
			m.lostAt = now
			lost = append(lost, m.ID)
		}
		m.reachable = reachable
	}
	return lost
}

func (n *Node) reachableMembers() map[*member]bool {
	reached := make(map[*member]bool, len(n.members))
	var queue []*member
	for _, m := range n.list {
		if m.linked {
			reached[m] = true
			queue = append(queue, m)
		}
	}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		for _, incarnation := range m.neighbours {
			next := n.incarnations[incarnation]
			if next == nil {
				n.unknownOrigin = n.unknownOrigin || incarnation != n.self.Incarnation
				continue
			}
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return reached
}

// updateHubs works out the hubs among those that stay.
func (n *Node) updateHubs() {
	self := &member{RelayMember: n.self, hash: hash(n.self.ID)}
	var staying []*member
	if !n.leaving {
		staying = append(staying, self)
	}
	for _, m := range n.list {
		if m.reachable && !m.leaving {
			staying = append(staying, m)
		}
	}
	n.mesh = len(staying) <= maxMeshSize
	chosen := chooseHubs(staying)
	n.hub = chosen[self]
	for _, m := range n.list {
		if m.reachable {
			m.hub = chosen[m]
		}
	}
}

// primaryTimeout is how long a hub may send nothing to a subscriber that has another
// one to go to. Hubs send each keepAlive; three in a row do not come when a hub is
// frozen, cut off or has no processor time, and its subscribers choose blindly.
const primaryTimeout = 300 * time.Millisecond

// choosePrimary subscribes to the first hub in order that sends.
func (n *Node) choosePrimary(now monotime.Instant) {
	if n.mesh || n.hub {
		n.primary = ""
		return
	}
	responsive := func(m *member) bool { return m.linked && now.Sub(m.receivedAt) < primaryTimeout }
	if m := n.members[n.primary]; m != nil && m.linked && !responsive(m) {
		m.avoidUntil = now.Add(avoidDuration)
	}
	n.primary = ""
	candidates := n.primaryCandidates(now)
	for _, usable := range []func(*member) bool{responsive, func(m *member) bool { return m.linked }} {
		if i := slices.IndexFunc(candidates, usable); i >= 0 {
			n.primary = candidates[i].ID
			return
		}
	}
}

// updateFeedRequests returns the feeds that are to be asked for.
func (n *Node) updateFeedRequests() (requests []FeedRequest) {
	for _, m := range n.list {
		if !m.linked {
			continue
		}
		feed := FeedNone
		switch {
		case m.ID == n.primary:
			feed = FeedAll
		case n.mesh, n.hub && m.hub, m.outFeed == FeedAll:
			feed = FeedGroup
		}
		if m.inFeed != feed {
			m.inFeed = feed
			requests = append(requests, FeedRequest{To: m.ID, Feed: feed})
		}
	}
	return requests
}

// anyLinkedPeer returns a peer with a link, the primary if there is one.
func (n *Node) anyLinkedPeer() string {
	if n.primary != "" {
		return n.primary
	}
	if linked := n.Linked(); len(linked) > 0 {
		return linked[0]
	}
	return ""
}
