package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

const (
	// keepAlive is the longest time for which a hub sends nothing to a subscriber or
	// another hub. Keep-alives also carry the configuration version in force: an instance
	// that does not read the store receives over two hubs the confirmation that its
	// version is the newest, and would read the store itself if that took longer than a
	// few hundred milliseconds.
	keepAlive = 100 * time.Millisecond
	// statusInterval is the longest time between two reports to a peer of the
	// configuration in force here. They let a peer whose watch of the store stopped
	// responding detect it; with a longer interval it detects that later.
	statusInterval = 500 * time.Millisecond
	// linksInterval is how often a hub repeats its links although they have not changed,
	// for instances that missed a change. It bounds how long they use outdated links.
	linksInterval = 5 * time.Second
)

// Frame is a list of updates to send to some peers.
type Frame struct {
	To      []string
	Updates []wire.RelayNews
}

// pendingUpdate is an update to relay and the time at which it was received.
type pendingUpdate struct {
	update     wire.RelayNews
	receivedAt monotime.Instant
}

// outbox holds what this instance is going to send.
type outbox struct {
	lastNumber int // of its own updates
	// group holds updates from subscribers, others those received from elsewhere.
	group, others []pendingUpdate
	// newPeers are the peers whose links are new.
	newPeers []wire.RelayMember
	// sentLinks are the links last sent to the other instances, at linksSentAt.
	sentLinks   []string
	linksSentAt monotime.Instant
	// statusSentAt and feedsSentAt are when the configuration in force was last sent to
	// all peers, and to those that requested a feed.
	statusSentAt, feedsSentAt monotime.Instant
}

// Receipt describes an accepted update and what to do after it.
type Receipt struct {
	// Origin is the instance that the update is about.
	Origin string
	// Direct is set if the update came over a link to its origin.
	Direct bool
	// Age is the time from the event that the update reports to its arrival.
	Age time.Duration
	// Changed requests a call of Refresh.
	Changed bool
	// RequestedFeed is the feed whose state must be sent to the peer, which has just
	// requested it, or FeedUnchanged.
	RequestedFeed Feed
}

// Receive applies an update from a link. It reports false for an update to ignore,
// because it was received before or its origin is unknown.
func (n *Node) Receive(from string, update *wire.RelayNews, now monotime.Instant) (Receipt, bool) {
	m := n.members[from]
	if m == nil || !m.linked {
		return Receipt{}, false
	}
	m.receivedAt = now
	if update.SentMS > 0 {
		m.clock.observe(int64(update.SentMS), now)
	}
	out := Receipt{Origin: from, Direct: true, Age: m.clock.excessDelay + milliseconds(update.HeldMS)}
	if update.Origin == "" {
		out.Changed = n.mergeMembers(update.Members, now)
		out.Changed = n.compareMembers(from, update) || out.Changed
		out.Changed = n.mergeLeaving(m, update) || out.Changed
		out.Changed = n.mergeNeighbours(m, update) || out.Changed
		out.RequestedFeed = n.setOutFeed(m, Feed(update.Feed), &out.Changed)
		return out, true
	}
	origin := n.incarnations[update.Origin]
	if origin == nil {
		// The update is lost. Once the peer has sent its members, the next one counts.
		out.Changed = update.Origin != n.self.Incarnation
		n.unknownOrigin = n.unknownOrigin || out.Changed
		return out, false
	}
	if !n.advance(origin, update) {
		return out, false
	}
	out.Origin, out.Direct = origin.ID, origin == m
	out.Changed = n.mergeMembers(update.Members, now)
	out.Changed = n.mergeLeaving(origin, update) || out.Changed
	if update.FullMS > 0 {
		origin.fullUntil = now.Add(min(milliseconds(update.FullMS), maxFull))
	}
	if !origin.linked {
		// An origin with a link sends its neighbours over that link; relayed ones may be
		// older.
		out.Changed = n.mergeNeighbours(origin, update) || out.Changed
	}
	if len(update.Begun) > 0 && !update.Whole {
		n.staleness.observe(out.Age, now)
	}
	n.queueForRelay(m, update, out.Age, now)
	return out, true
}

// advance reports whether an update is newer than those accepted from its origin. A full
// state is accepted once for each number. It is relayed like any update: a lost hub loses
// the updates that it had not sent yet, and if ends of runs were among them, all other
// instances would keep recording those runs.
func (n *Node) advance(origin *member, update *wire.RelayNews) bool {
	if update.Whole {
		if update.Number < origin.lastNumber || update.Number < origin.nextStateNumber {
			return false
		}
		origin.lastNumber, origin.nextStateNumber = update.Number, update.Number+1
		return true
	}
	if update.Number <= origin.lastNumber {
		return false
	}
	if origin.lastNumber > 0 {
		n.missedUpdates += update.Number - origin.lastNumber - 1
	}
	origin.lastNumber = update.Number
	return true
}

// maxFull bounds for how long an instance counts as full without a further sign of it.
const maxFull = 10 * time.Second

func (n *Node) mergeLeaving(m *member, update *wire.RelayNews) (changed bool) {
	changed = update.Leaving && !m.leaving
	m.leaving = m.leaving || update.Leaving
	n.topologyChanged = n.topologyChanged || changed
	return changed
}

func (n *Node) mergeNeighbours(m *member, update *wire.RelayNews) (changed bool) {
	if len(update.Neighbours) == 0 || slices.Equal(m.neighbours, update.Neighbours) {
		return false
	}
	m.neighbours = update.Neighbours
	n.topologyChanged = true
	return true
}

// Greeting returns the first message to a peer over a new link. In a large fleet it has a
// digest in place of the members: an instance that starts opens some tens of links, and
// most of its peers have recorded the same members.
func (n *Node) Greeting() wire.RelayNews {
	out := wire.RelayNews{Neighbours: n.out.sentLinks, Leaving: n.leaving}
	members := n.Reachable()
	if len(members) <= maxMeshSize {
		out.Members = members
		return out
	}
	out.MembersKnown, out.MembersDigest = len(members), membersDigest(members)
	return out
}

// membersDigest returns a non-negative digest of processes, whatever their order.
func membersDigest(members []wire.RelayMember) int {
	var digest uint64
	for _, m := range members {
		digest ^= hash(m.Incarnation)
	}
	return int(digest >> 1)
}

// compareMembers records a peer whose members differ from those recorded here. It reports
// whether they do.
func (n *Node) compareMembers(from string, update *wire.RelayNews) (differ bool) {
	if update.MembersKnown == 0 || update.MembersDigest == membersDigest(n.Reachable()) {
		return false
	}
	n.differingPeer = from
	return true
}

// setOutFeed records the feed that a peer requests, and returns the feed whose state the
// peer lacks.
func (n *Node) setOutFeed(m *member, feed Feed, changed *bool) Feed {
	if feed == FeedUnchanged || feed == m.outFeed {
		return FeedUnchanged
	}
	more := feed > m.outFeed && feed > FeedNone
	m.outFeed = feed
	*changed = true
	if more {
		return feed
	}
	return FeedUnchanged
}

// queueForRelay keeps an update for relaying if any peer is to receive it.
func (n *Node) queueForRelay(from *member, update *wire.RelayNews, age time.Duration, now monotime.Instant) {
	relayed := *update
	relayed.HeldMS = int(age / time.Millisecond)
	relayed.SentMS, relayed.ConfigVersion, relayed.Confirmed, relayed.Digest = 0, 0, 0, 0
	switch {
	case from.outFeed == FeedAll:
		n.out.group = append(n.out.group, pendingUpdate{relayed, now})
	case n.hasPeerWithFeed(FeedAll):
		n.out.others = append(n.out.others, pendingUpdate{relayed, now})
	}
}

// hasPeerWithFeed reports whether a linked peer requested that feed.
func (n *Node) hasPeerWithFeed(feed Feed) bool {
	for _, m := range n.list {
		if m.linked && m.outFeed == feed {
			return true
		}
	}
	return false
}

// FeedState returns the state of the instances in a feed, for a peer that has just
// requested it: the links of each instance, and an entry into which the caller fills the
// instance's recorded runs as of now.
func (n *Node) FeedState(to string, feed Feed) []wire.RelayNews {
	own := wire.RelayNews{Origin: n.self.Incarnation, Number: n.out.lastNumber, Whole: true, Neighbours: n.out.sentLinks, Leaving: n.leaving}
	out := []wire.RelayNews{own}
	for _, m := range n.list {
		inGroup := m.linked && m.outFeed == FeedAll
		if !m.reachable || m.ID == to || feed == FeedGroup && !inGroup {
			continue
		}
		out = append(out, wire.RelayNews{Origin: m.Incarnation, Number: m.lastNumber, Whole: true, Neighbours: m.neighbours, Leaving: m.leaving})
	}
	return out
}

// Instance returns the id of the instance of an incarnation, and false if there is no
// such member.
func (n *Node) Instance(incarnation string) (id string, ok bool) {
	if incarnation == n.self.Incarnation {
		return n.self.ID, true
	}
	m := n.incarnations[incarnation]
	if m == nil {
		return "", false
	}
	return m.ID, true
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
