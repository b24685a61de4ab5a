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
	// hubTries bounds the links that are tried at the same time for them.
	hubTries = 4
	// tryTime is how long a link is tried before others go first, and avoidTime for
	// how long they do: a handshake takes some milliseconds, and the hub may be dead.
	tryTime   = 400 * time.Millisecond
	avoidTime = 2 * time.Second
	// lostDialers is the number of hubs that try to reach a lost instance that was
	// none itself. A process that starts again may know nobody but seeds that are down.
	lostDialers = 2
	// surplusTime is how long a link is kept that is not needed. Instances that start
	// together take a moment to agree who is a hub.
	surplusTime = 2 * time.Second
)

// Target is an instance to keep a link to; ID is empty when only its address is known.
type Target struct {
	ID, Address string
}

// Wanted returns the links to keep or to open: those that are needed, and those that
// peers opened, which would count as unused otherwise.
func (n *Node) Wanted(now monotime.Instant) []Target {
	needed := n.needed(now)
	var out []Target
	taken := map[string]bool{n.self.PeerAddress: true}
	for _, m := range n.list {
		n.noteTries(m, needed[m], now)
		taken[m.PeerAddress] = true
		if needed[m] || m.linked {
			out = append(out, Target{ID: m.ID, Address: m.PeerAddress})
		}
	}
	if !n.mesh && !n.hub && n.detachedAt == 0 {
		return out
	}
	for _, seed := range n.seeds {
		if !taken[seed] {
			out = append(out, Target{Address: seed})
		}
	}
	return out
}

// Surplus returns the peers whose links have not been needed for a while, by this
// instance or, as far as it asked, by the peer.
func (n *Node) Surplus(now monotime.Instant) []string {
	needed := n.needed(now)
	var out []string
	for _, m := range n.list {
		switch {
		case !m.linked || needed[m] || m.wants > FeedNone || m.asked > FeedNone:
			m.surplusAt = 0
		case m.surplusAt == 0:
			m.surplusAt = now
		case now.Sub(m.surplusAt) >= surplusTime:
			out = append(out, m.ID)
		}
	}
	return out
}

// noteTries has others go first when a link is wanted in vain.
func (n *Node) noteTries(m *member, needed bool, now monotime.Instant) {
	switch {
	case !needed || m.linked:
		m.wantedAt = 0
	case m.wantedAt == 0:
		m.wantedAt = now
	case now.Sub(m.wantedAt) >= tryTime:
		m.wantedAt, m.avoidUntil = 0, now.Add(avoidTime)
	}
}

// needed returns the members that this instance needs links to.
func (n *Node) needed(now monotime.Instant) map[*member]bool {
	out := make(map[*member]bool)
	switch {
	case n.mesh:
		for _, m := range n.list {
			out[m] = true
		}
	case n.hub:
		for _, m := range n.list {
			if m.hub || m.wants == FeedAll || !m.alive && n.dialsLost(m) {
				out[m] = true
			}
		}
	default:
		linked := 0
		for _, m := range n.candidates(now) {
			if linked == hubLinks || len(out)-linked == hubTries {
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

// dialsLost reports whether this hub is one of those that try to reach a lost member.
func (n *Node) dialsLost(lost *member) bool {
	before := 0
	own := affinity(lost.ID, &member{RelayMember: n.self})
	for _, m := range n.list {
		if m.hub && m.alive && affinity(lost.ID, m) < own {
			before++
		}
	}
	return before < lostDialers
}

// candidates returns the members that this instance may subscribe to, in the order
// in which it prefers them: hubs of its data centre, other hubs, and where there are
// few of these other instances, in the hope that they know one.
func (n *Node) candidates(now monotime.Instant) []*member {
	var out, others []*member
	for _, m := range n.list {
		switch {
		case m.alive && m.hub && !m.leaving && now >= m.avoidUntil:
			out = append(out, m)
		case m.alive || n.detachedAt != 0:
			others = append(others, m)
		}
	}
	if len(out) < hubLinks+hubTries {
		out = append(out, others...)
	}
	class := func(m *member) int {
		switch {
		case m.leaving || now < m.avoidUntil:
			return 4
		case !m.alive:
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
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.affinity, b.affinity), cmp.Compare(a.ID, b.ID))
	})
	return out
}
