package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// Ask is a feed that a peer is to be asked for.
type Ask struct {
	To   string
	Feed Feed
}

// Effects are what is to be done after a change of what is known.
type Effects struct {
	// Lost are instances that can't be reached any more.
	Lost []string
	// Asks are to be sent, each over its link.
	Asks []Ask
	// MembersFrom is a peer to be asked for all members, or empty.
	MembersFrom string
}

// membersInterval is the least time between questions for all members.
const membersInterval = 400 * time.Millisecond

// Refresh works out who can be reached, who is a hub and which feeds are wanted. It is
// due after each change that LinkUp, LinkDown or Receive report, and regularly.
func (n *Node) Refresh(now monotime.Instant) Effects {
	var out Effects
	out.Lost = n.updateAlive(now)
	for _, m := range slices.Clone(n.list) {
		if !m.alive && !m.linked && now.Sub(m.lostAt) > MemberLife {
			n.remove(m.ID)
		}
	}
	n.updateHubs()
	n.choosePrimary(now)
	out.Asks = n.updateAsks()
	if n.unknown && now.Sub(n.askedAt) >= membersInterval {
		n.unknown, n.askedAt = false, now
		out.MembersFrom = n.anyLink()
	}
	return out
}

// updateAlive marks the members that can be reached and returns those that no longer
// can. A member is reached over links of this instance and over those that reached
// members say they have, so it is lost only when all who were linked to it say so,
// or can't be reached themselves.
func (n *Node) updateAlive(now monotime.Instant) (lost []string) {
	if n.detachedAt != 0 && now.Sub(n.detachedAt) < detachedAfter {
		return nil
	}
	reached := n.reached()
	for _, m := range n.list {
		alive := reached[m]
		if m.alive && !alive {
			m.lostAt = now
			lost = append(lost, m.ID)
		}
		m.alive = alive
	}
	return lost
}

func (n *Node) reached() map[*member]bool {
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
				n.unknown = n.unknown || incarnation != n.self.Incarnation
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
		if m.alive && !m.leaving {
			staying = append(staying, m)
		}
	}
	n.mesh = len(staying) <= meshMost
	chosen := hubs(staying)
	n.hub = chosen[self]
	for _, m := range n.list {
		if m.alive {
			m.hub = chosen[m]
		}
	}
}

// primarySilence is how long a hub may send nothing to a subscriber that has another
// one to go to. Hubs send each keepAlive; three in a row do not come when a hub is
// frozen, cut off or has no processor time, and its subscribers choose blindly.
const primarySilence = 300 * time.Millisecond

// choosePrimary subscribes to the first hub in order that sends.
func (n *Node) choosePrimary(now monotime.Instant) {
	if n.mesh || n.hub {
		n.primary = ""
		return
	}
	sends := func(m *member) bool { return m.linked && now.Sub(m.heardAt) < primarySilence }
	if m := n.members[n.primary]; m != nil && m.linked && !sends(m) {
		m.avoidUntil = now.Add(avoidTime)
	}
	n.primary = ""
	candidates := n.candidates(now)
	for _, usable := range []func(*member) bool{sends, func(m *member) bool { return m.linked }} {
		if i := slices.IndexFunc(candidates, usable); i >= 0 {
			n.primary = candidates[i].ID
			return
		}
	}
}

// updateAsks returns the feeds that are to be asked for.
func (n *Node) updateAsks() (asks []Ask) {
	for _, m := range n.list {
		if !m.linked {
			continue
		}
		feed := FeedNone
		switch {
		case m.ID == n.primary:
			feed = FeedAll
		case n.mesh, n.hub && m.hub, m.wants == FeedAll:
			feed = FeedGroup
		}
		if m.asked != feed {
			m.asked = feed
			asks = append(asks, Ask{To: m.ID, Feed: feed})
		}
	}
	return asks
}

// anyLink returns a peer with a link, the primary if there is one.
func (n *Node) anyLink() string {
	if n.primary != "" {
		return n.primary
	}
	if linked := n.Linked(); len(linked) > 0 {
		return linked[0]
	}
	return ""
}
