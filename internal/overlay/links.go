package overlay

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// hubLinks is the number of hubs to which an instance keeps links: one to subscribe
	// to and one to fail over to. With one, a lost hub leaves no link.
	hubLinks = 2
	// maxHubDials bounds the hub links that are dialled at the same time. A smaller bound
	// delays failover while the preferred hubs are dead, a larger one opens more links
	// than are needed.
	maxHubDials = 4
	// dialWindow is how long a hub is dialled before others are preferred, and
	// avoidDuration for how long they are. A handshake takes some milliseconds and the
	// hub may be dead: a longer window delays failover, a shorter one may skip a hub that
	// is merely slow.
	dialWindow    = 400 * time.Millisecond
	avoidDuration = 2 * time.Second
	// dialersPerLostMember is the number of hubs that dial a lost instance which was not
	// a hub. A process that restarts may have only seeds that are down; without these
	// hubs no link to it would be opened.
	dialersPerLostMember = 2
	// surplusGrace is how long a link that is not needed is kept. Instances that start
	// together take a moment to agree on the hubs; a shorter time closes links that are
	// needed again.
	surplusGrace = 2 * time.Second
)

// Target is an instance to keep a link to; ID is empty if only its address is known.
type Target struct {
	ID, Address string
}

// LinkTargets returns the links to keep or to open: the needed ones, and those that peers
// opened, which would count as unused otherwise.
func (n *Node) LinkTargets(now monotime.Instant) []Target {
	needed := n.neededLinks(now)
	var out []Target
	for _, m := range n.list {
		n.trackDialing(m, needed[m], now)
		if needed[m] || m.linked {
			out = append(out, Target{ID: m.ID, Address: m.PeerAddress})
		}
	}
	if !n.mesh && !n.hub && n.detachedSince == 0 {
		return out
	}
	for _, seed := range n.seeds {
		if seed != n.self.PeerAddress && !n.knowsAddress(seed) {
			out = append(out, Target{Address: seed})
		}
	}
	return out
}

// knowsAddress reports whether a member has an address.
func (n *Node) knowsAddress(address string) bool {
	return slices.ContainsFunc(n.list, func(m *member) bool { return m.PeerAddress == address })
}

// SurplusLinks returns the peers whose links have not been needed for a while, neither by
// this instance nor by the peer, as far as feeds were requested.
func (n *Node) SurplusLinks(now monotime.Instant) []string {
	needed := n.neededLinks(now)
	var out []string
	for _, m := range n.list {
		switch {
		case !m.linked || needed[m] || m.outFeed > FeedNone || m.inFeed > FeedNone:
			m.surplusSince = 0
		case m.surplusSince == 0:
			m.surplusSince = now
		case now.Sub(m.surplusSince) >= surplusGrace:
			out = append(out, m.ID)
		}
	}
	return out
}

// trackDialing gives other instances precedence when a needed link could not be opened.
func (n *Node) trackDialing(m *member, needed bool, now monotime.Instant) {
	switch {
	case !needed || m.linked:
		m.dialingSince = 0
	case m.dialingSince == 0:
		m.dialingSince = now
	case now.Sub(m.dialingSince) >= dialWindow:
		m.dialingSince, m.avoidUntil = 0, now.Add(avoidDuration)
	}
}

// neededLinks returns the members to which this instance needs links.
func (n *Node) neededLinks(now monotime.Instant) map[*member]bool {
	out := make(map[*member]bool)
	switch {
	case n.mesh:
		for _, m := range n.list {
			out[m] = true
		}
	case n.hub:
		for _, m := range n.list {
			if m.hub || m.outFeed == FeedAll || !m.reachable && n.dialsLostMember(m) {
				out[m] = true
			}
		}
	default:
		linked := 0
		for _, m := range n.primaryCandidates(now) {
			if linked == hubLinks || len(out)-linked == maxHubDials {
				break
			}
			out[m] = true
			if m.linked {
				linked++
			}
		}
	}
	return out
}

// dialsLostMember reports whether this hub is one of those that dial a lost member.
func (n *Node) dialsLostMember(lost *member) bool {
	closer := 0
	own := hubScore(lost.ID, &member{RelayMember: n.self})
	for _, m := range n.list {
		if m.hub && m.reachable && hubScore(lost.ID, m) < own {
			closer++
		}
	}
	return closer < dialersPerLostMember
}

// primaryCandidates returns the members that this instance may subscribe to, in order of
// preference: hubs of its data centre, other hubs, and, if hubs are few, other instances,
// which may report more hubs.
func (n *Node) primaryCandidates(now monotime.Instant) []*member {
	usableHub := func(m *member) bool { return m.reachable && m.hub && !m.leaving && now >= m.avoidUntil }
	var out []*member
	for _, m := range n.list {
		if usableHub(m) {
			out = append(out, m)
		}
	}
	if len(out) < hubLinks+maxHubDials {
		for _, m := range n.list {
			if !usableHub(m) && (m.reachable || n.detachedSince != 0) {
				out = append(out, m)
			}
		}
	}
	preference := func(m *member) int {
		switch {
		case m.leaving || now < m.avoidUntil:
			return 4
		case !m.reachable:
			return 3
		case !m.hub:
			return 2
		case m.DataCentre != n.self.DataCentre:
			return 1
		default:
			return 0
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		return cmp.Or(cmp.Compare(preference(a), preference(b)), cmp.Compare(a.hubScore, b.hubScore), cmp.Compare(a.ID, b.ID))
	})
	return out
}
