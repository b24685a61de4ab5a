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
	To   []string
	News []wire.RelayNews
}

// held is news to be passed on, and since when it is held here.
type held struct {
	news wire.RelayNews
	at   monotime.Instant
}

// outbox is what this instance is going to tell.
type outbox struct {
	number int // of its own news
	// group is news of subscribers, others what came from elsewhere.
	group, others []held
	// announce are peers whose links are new.
	announce []wire.RelayMember
	// links is what the others were last told of the links, and when.
	links   []string
	linksAt monotime.Instant
	// statusAt and fedAt are when all peers, and those that want news, were last told
	// what is in force.
	statusAt, fedAt monotime.Instant
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
	// State is the feed whose state the peer is to be sent, since it has just asked for
	// it; or FeedUnchanged.
	State Feed
}

// Receive takes news from a link. It reports false for those that are to be ignored,
// because they came before or because their origin is not known.
func (n *Node) Receive(from string, news *wire.RelayNews, now monotime.Instant) (Receipt, bool) {
	m := n.members[from]
	if m == nil || !m.linked {
		return Receipt{}, false
	}
	m.heardAt = now
	if news.SentMS > 0 {
		m.clock.note(int64(news.SentMS), now)
	}
	out := Receipt{Origin: from, Direct: true, Age: m.clock.late + milliseconds(news.HeldMS)}
	if news.Origin == "" {
		out.Changed = n.learn(news.Members, now)
		out.Changed = n.takeLeaving(m, news) || out.Changed
		out.Changed = n.takeNeighbours(m, news) || out.Changed
		out.State = n.takeAsk(m, Feed(news.Feed), &out.Changed)
		return out, true
	}
	origin := n.incarnations[news.Origin]
	if origin == nil {
		// What came is lost; the members that the peer tells then make the next count.
		out.Changed = news.Origin != n.self.Incarnation
		n.unknown = n.unknown || out.Changed
		return out, false
	}
	if !n.advance(origin, news) {
		return out, false
	}
	out.Origin, out.Direct = origin.ID, origin == m
	out.Changed = n.learn(news.Members, now)
	out.Changed = n.takeLeaving(origin, news) || out.Changed
	if !origin.linked {
		// One with a link tells its neighbours over that, and what others passed on may
		// be older.
		out.Changed = n.takeNeighbours(origin, news) || out.Changed
	}
	if len(news.Begun) > 0 && !news.Whole {
		n.staleness.note(out.Age, now)
	}
	n.hold(m, news, out.Age, now)
	return out, true
}

// advance reports whether the news of an origin are newer than those taken. The state
// of an origin counts once for each number. It is passed on like news: when a hub is
// lost, so are news that it had not sent yet, and ends among them would leave runs
// in the minds of all others.
func (n *Node) advance(origin *member, news *wire.RelayNews) bool {
	if news.Whole {
		if news.Number < origin.last || news.Number < origin.whole {
			return false
		}
		origin.last, origin.whole = news.Number, news.Number+1
		return true
	}
	if news.Number <= origin.last {
		return false
	}
	if origin.last > 0 {
		n.missed += news.Number - origin.last - 1
	}
	origin.last = news.Number
	return true
}

func (n *Node) takeLeaving(m *member, news *wire.RelayNews) (changed bool) {
	changed = news.Leaving && !m.leaving
	m.leaving = m.leaving || news.Leaving
	return changed
}

func (n *Node) takeNeighbours(m *member, news *wire.RelayNews) (changed bool) {
	if len(news.Neighbours) == 0 || slices.Equal(m.neighbours, news.Neighbours) {
		return false
	}
	m.neighbours = news.Neighbours
	return true
}

// Greeting is what a peer is told first over a new link.
func (n *Node) Greeting() wire.RelayNews {
	return wire.RelayNews{Members: n.Alive(), Neighbours: n.out.links, Leaving: n.leaving}
}

// takeAsk notes what a peer wants, and returns the feed whose state it lacks.
func (n *Node) takeAsk(m *member, feed Feed, changed *bool) Feed {
	if feed == FeedUnchanged || feed == m.wants {
		return FeedUnchanged
	}
	more := feed > m.wants && feed > FeedNone
	m.wants = feed
	*changed = true
	if more {
		return feed
	}
	return FeedUnchanged
}

// hold keeps news to be passed on, if there is anybody to pass them on to.
func (n *Node) hold(from *member, news *wire.RelayNews, age time.Duration, now monotime.Instant) {
	passed := *news
	passed.HeldMS = int(age / time.Millisecond)
	passed.SentMS, passed.ConfigVersion, passed.Confirmed, passed.Digest = 0, 0, 0, 0
	switch {
	case from.wants == FeedAll:
		n.out.group = append(n.out.group, held{passed, now})
	case n.feeds(FeedAll):
		n.out.others = append(n.out.others, held{passed, now})
	}
}

// feeds reports whether a peer wants that feed.
func (n *Node) feeds(feed Feed) bool {
	for _, m := range n.list {
		if m.linked && m.wants == feed {
			return true
		}
	}
	return false
}

// State returns what a peer that has just asked for a feed lacks of the instances in
// it: each one's links, and room for the runs of it that are known, which the caller
// fills in as of now.
func (n *Node) State(to string, feed Feed) []wire.RelayNews {
	own := wire.RelayNews{Origin: n.self.Incarnation, Number: n.out.number, Whole: true, Neighbours: n.out.links, Leaving: n.leaving}
	out := []wire.RelayNews{own}
	for _, m := range n.list {
		inGroup := m.linked && m.wants == FeedAll
		if !m.alive || m.ID == to || feed == FeedGroup && !inGroup {
			continue
		}
		out = append(out, wire.RelayNews{Origin: m.Incarnation, Number: m.last, Whole: true, Neighbours: m.neighbours, Leaving: m.leaving})
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
