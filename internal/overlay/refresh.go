package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// FeedRequest is a feed to request from a peer.
type FeedRequest struct {
	To   string
	Feed Feed
}

// Effects are the actions due after a change of the members or links.
type Effects struct {
	// MembersChanged is set if Sharers or MemberCount may have changed.
	MembersChanged bool
	// Lost are instances that are no longer reachable.
	Lost []string
	// FeedRequests are to be sent, each over its peer's link.
	FeedRequests []FeedRequest
	// RequestMembersFrom is a peer to request all members from, or empty.
	RequestMembersFrom string
}

// membersRequestInterval is the minimum time between requests for all members. Without it
// every message about an unknown member would trigger one; a longer time delays the
// discovery of members.
const membersRequestInterval = 400 * time.Millisecond

// Refresh computes who is reachable, who is a hub and which feeds are needed. It must be
// called after each change that LinkUp, LinkDown or Receive reports, and periodically.
func (n *Node) Refresh(now monotime.Instant) Effects {
	var out Effects
	n.removeExpired(now)
	if n.topologyChanged || n.detachedSince != 0 {
		n.topologyChanged = false
		out.MembersChanged = true
		out.Lost = n.updateReachable(now)
		n.updateHubs()
	}
	n.choosePrimary(now)
	out.FeedRequests = n.updateFeedRequests()
	out.RequestMembersFrom = n.membersSource(now)
	return out
}

// membersSource returns the peer to request all members from now, or the empty string.
func (n *Node) membersSource(now monotime.Instant) string {
	if now.Sub(n.membersRequestedAt) < membersRequestInterval {
		return ""
	}
	peer := ""
	if m := n.members[n.differingPeer]; m != nil && m.linked {
		peer = m.ID
	} else if n.unknownOrigin || n.unknownNeighbour {
		peer = n.anyLinkedPeer()
	}
	if peer != "" {
		n.unknownOrigin, n.differingPeer, n.membersRequestedAt = false, "", now
	}
	return peer
}

const (
	// minRefreshDelay and refreshDelayPerMember bound how long changes are collected
	// before a Refresh. While a fleet starts, each instance discovers the others one by
	// one, and a Refresh takes longer the more there are.
	minRefreshDelay       = 10 * time.Millisecond
	refreshDelayPerMember = 60 * time.Microsecond
)

// RefreshDelay returns how long changes are to be collected before the next Refresh.
func (n *Node) RefreshDelay() time.Duration {
	return max(minRefreshDelay, time.Duration(len(n.members))*refreshDelayPerMember)
}

// removeExpired removes the members that have been unreachable for MemberTTL.
func (n *Node) removeExpired(now monotime.Instant) {
	var expired []string
	for _, m := range n.list {
		if !m.reachable && !m.linked && now.Sub(m.lostAt) > MemberTTL {
			expired = append(expired, m.ID)
		}
	}
	for _, id := range expired {
		n.removeMember(id)
	}
}

// updateReachable marks the reachable members and returns those that no longer are. Paths
// run over this instance's own links and over those that reachable members report. A
// member is therefore lost only if all peers once linked to it report the link gone or
// are unreachable themselves.
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
	n.unknownNeighbour = false
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
				n.unknownNeighbour = n.unknownNeighbour || incarnation != n.self.Incarnation
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

// updateHubs computes the hubs among the members that are reachable and not leaving.
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

// primaryTimeout is how long a hub may send nothing before a subscriber moves to another
// linked hub. Hubs send every keepAlive, so three messages in a row are missing: the hub
// is frozen, cut off or without processor time, and its subscribers place requests on
// outdated state. A longer timeout extends that, a shorter one makes them leave hubs that
// are merely late.
const primaryTimeout = 300 * time.Millisecond

// choosePrimary subscribes to the best candidate that sends, or else to the best linked
// one.
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

// updateFeedRequests returns requests for the feeds that differ from those last
// requested.
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

// anyLinkedPeer returns a peer with a link, preferably the primary hub.
func (n *Node) anyLinkedPeer() string {
	if n.primary != "" {
		return n.primary
	}
	if linked := n.Linked(); len(linked) > 0 {
		return linked[0]
	}
	return ""
}
