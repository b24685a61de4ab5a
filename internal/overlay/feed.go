package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

const (
	// keepAlive is the longest time in which a hub sends nothing to a subscriber or to
	// another hub. It also tells what is in force each time: an instance that does not
	// read the store hears over two hubs that its version is the newest, and would read
	// the store itself if that took longer than some hundred milliseconds.
	keepAlive = 100 * time.Millisecond
	// statusInterval is the longest time in which a peer is not told what this
	// instance has in force, so that one whose watch of the store went silent notices.
	statusInterval = 500 * time.Millisecond
	// linksInterval is how often a hub repeats whom it is linked to although nothing
	// changed, for instances that missed a change.
	linksInterval = 5 * time.Second
)

// Frame is what is to be sent to some peers.
type Frame struct {
	To      []string
	Updates []wire.RelayNews
}

// pendingUpdate is news to be passed on, and since when it is pendingUpdate here.
type pendingUpdate struct {
	update     wire.RelayNews
	receivedAt monotime.Instant
}

// outbox is what this instance is going to tell.
type outbox struct {
	lastNumber int // of its own news
	// group is news of subscribers, others what came from elsewhere.
	group, others []pendingUpdate
	// newPeers are peers whose links are new.
	newPeers []wire.RelayMember
	// sentLinks is what the others were last told of the sentLinks, and when.
	sentLinks   []string
	linksSentAt monotime.Instant
	// statusSentAt and feedsSentAt are when all peers, and those that want news, were last told
	// what is in force.
	statusSentAt, feedsSentAt monotime.Instant
}

// Receipt tells what to do with news that were taken.
type Receipt struct {
	// Origin is the instance that the news are of.
	Origin string
	// Direct says that they came over a link to it.
	Direct bool
	// Age is how long before they came what they tell of happened.
	Age time.Duration
	// Changed asks for a Refresh.
	Changed bool
	// RequestedFeed is the feed whose state the peer is to be sent, since it has just asked for
	// it; or FeedUnchanged.
	RequestedFeed Feed
}

// Receive takes news from a link. It reports false for those that are to be ignored,
// because they came before or because their origin is not known.
func (n *Node) Receive(from string, news *wire.RelayNews, now monotime.Instant) (Receipt, bool) {
	m := n.members[from]
	if m == nil || !m.linked {
		return Receipt{}, false
	}
	m.receivedAt = now
	if news.SentMS > 0 {
		m.clock.observe(int64(news.SentMS), now)
	}
	out := Receipt{Origin: from, Direct: true, Age: m.clock.excessDelay + milliseconds(news.HeldMS)}
	if news.Origin == "" {
		out.Changed = n.mergeMembers(news.Members, now)
		out.Changed = n.mergeLeaving(m, news) || out.Changed
		out.Changed = n.mergeNeighbours(m, news) || out.Changed
		out.RequestedFeed = n.setOutFeed(m, Feed(news.Feed), &out.Changed)
		return out, true
	}
	origin := n.incarnations[news.Origin]
	if origin == nil {
		// What came is lost; the members that the peer tells then make the next count.
		out.Changed = news.Origin != n.self.Incarnation
		n.unknownOrigin = n.unknownOrigin || out.Changed
		return out, false
	}
	if !n.advance(origin, news) {
		return out, false
	}
	out.Origin, out.Direct = origin.ID, origin == m
	out.Changed = n.mergeMembers(news.Members, now)
	out.Changed = n.mergeLeaving(origin, news) || out.Changed
	if !origin.linked {
		// One with a link tells its neighbours over that, and what others passed on may
		// be older.
		out.Changed = n.mergeNeighbours(origin, news) || out.Changed
	}
	if len(news.Begun) > 0 && !news.Whole {
		n.staleness.observe(out.Age, now)
	}
	n.queueForRelay(m, news, out.Age, now)
	return out, true
}

// advance reports whether the news of an origin are newer than those taken. The state
// of an origin counts once for each number. It is passed on like news: when a hub is
// lost, so are news that it had not sent yet, and ends among them would leave runs
// in the minds of all others.
func (n *Node) advance(origin *member, news *wire.RelayNews) bool {
	if news.Whole {
		if news.Number < origin.lastNumber || news.Number < origin.nextStateNumber {
			return false
		}
		origin.lastNumber, origin.nextStateNumber = news.Number, news.Number+1
		return true
	}
	if news.Number <= origin.lastNumber {
		return false
	}
	if origin.lastNumber > 0 {
		n.missedUpdates += news.Number - origin.lastNumber - 1
	}
	origin.lastNumber = news.Number
	return true
}

func (n *Node) mergeLeaving(m *member, news *wire.RelayNews) (changed bool) {
	changed = news.Leaving && !m.leaving
	m.leaving = m.leaving || news.Leaving
	return changed
}

func (n *Node) mergeNeighbours(m *member, news *wire.RelayNews) (changed bool) {
	if len(news.Neighbours) == 0 || slices.Equal(m.neighbours, news.Neighbours) {
		return false
	}
	m.neighbours = news.Neighbours
	return true
}

// Greeting is what a peer is told first over a new link.
func (n *Node) Greeting() wire.RelayNews {
	return wire.RelayNews{Members: n.Reachable(), Neighbours: n.out.sentLinks, Leaving: n.leaving}
}

// setOutFeed notes what a peer wants, and returns the feed whose state it lacks.
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

// queueForRelay keeps news to be passed on, if there is anybody to pass them on to.
func (n *Node) queueForRelay(from *member, news *wire.RelayNews, age time.Duration, now monotime.Instant) {
	relayed := *news
	relayed.HeldMS = int(age / time.Millisecond)
	relayed.SentMS, relayed.ConfigVersion, relayed.Confirmed, relayed.Digest = 0, 0, 0, 0
	switch {
	case from.outFeed == FeedAll:
		n.out.group = append(n.out.group, pendingUpdate{relayed, now})
	case n.hasPeerWithFeed(FeedAll):
		n.out.others = append(n.out.others, pendingUpdate{relayed, now})
	}
}

// hasPeerWithFeed reports whether a peer wants that feed.
func (n *Node) hasPeerWithFeed(feed Feed) bool {
	for _, m := range n.list {
		if m.linked && m.outFeed == feed {
			return true
		}
	}
	return false
}

// FeedState returns what a peer that has just asked for a feed lacks of the instances in
// it: each one's links, and room for the runs of it that are known, which the caller
// fills in as of now.
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

// Instance returns the id of the instance of an incarnation; false when it is not
// known.
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
