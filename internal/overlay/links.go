package overlay

import (
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// hubLinks is the number of hubs that an instance keeps links to: one to
	// subscribe to and one to change to.
	hubLinks = 2
	// maxHubDials bounds the links that are tried at the same time for them.
	maxHubDials = 4
	// dialWindow is how long a link is tried before others go first, and avoidTime for
	// how long they do: a handshake takes some milliseconds, and the hub may be dead.
	dialWindow    = 400 * time.Millisecond
	avoidDuration = 2 * time.Second
	// dialersPerLostMember is the number of hubs that try to reach a lost instance that was
	// none itself. A process that starts again may know nobody but seeds that are down.
	dialersPerLostMember = 2
	// surplusGrace is how long a link is kept that is not needed. Instances that start
	// together take a moment to agree who is a hub.
	surplusGrace = 2 * time.Second
)

// Target is an instance to keep a link to; ID is empty when only its address is known.
type Target struct {
	ID, Address string
}

// LinkTargets returns the links to keep or to open: those that are needed, and those that
// peers opened, which would count as unused otherwise.
func (n *Node) LinkTargets(now monotime.Instant) []Target {
	needed := n.neededLinks(now)
	var out []Target
	taken := map[string]bool{n.self.PeerAddress: true}
	for _, m := range n.list {
		n.trackDialing(m, needed[m], now)
		taken[m.PeerAddress] = true
		if needed[m] || m.linked {
			out = append(out, Target{ID: m.ID, Address: m.PeerAddress})
		}
	}
	if !n.mesh && !n.hub && n.detachedSince == 0 {
		return out
	}
	for _, seed := range n.seeds {
		if !taken[seed] {
			out = append(out, Target{Address: seed})
		}
	}
	return out
}

// SurplusLinks returns the peers whose links have not been needed for a while, by this
// instance or, as far as it asked, by the peer.
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

// trackDialing has others go first when a link is wanted in vain.
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

// neededLinks returns the members that this instance needs links to.
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

// dialsLostMember reports whether this hub is one of those that try to reach a lost member.
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

// primaryCandidates returns the members that this instance may subscribe to, in the order
// in which it prefers them: hubs of its data centre, other hubs, and where there are
// few of these other instances, in the hope that they know one.
func (n *Node) primaryCandidates(now monotime.Instant) []*member {
	var out, others []*member
	for _, m := range n.list {
		switch {
		case m.reachable && m.hub && !m.leaving && now >= m.avoidUntil:
			out = append(out, m)
		case m.reachable || n.detachedSince != 0:
			others = append(others, m)
		}
	}
	if len(out) < hubLinks+maxHubDials {
		out = append(out, others...)
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
