package overlay

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// gatherMesh and gatherMeshPeer: where all are linked, every message goes to all,
	// and each receives from all. So the messages of an instance stay below some 400 a
	// second.
	gatherMesh     = 10 * time.Millisecond
	gatherMeshPeer = 3 * time.Millisecond
	// gatherOwn is the time for which an instance that is no hub gathers: its messages
	// are few anyhow, and a run often ends when the next begins.
	gatherOwn = 5 * time.Millisecond
	// gatherHub and gatherHubLink: a hub sends each message over all its links, so the
	// more it has the longer it gathers, for some 2,500 messages a second at most.
	gatherHub     = 10 * time.Millisecond
	gatherHubLink = 400 * time.Microsecond

	// clockWindow is the time in which a link's least delay is looked for. Clocks of
	// two machines drift apart by less than a millisecond in it.
	clockWindow = 5 * time.Second
	// stalenessTime is over how long the age of news is averaged.
	stalenessTime = time.Second
	// travel is the usual time of a message between two machines with its handling.
	travel = time.Millisecond
)

// Gather is how long news are gathered before they are sent.
func (n *Node) Gather() time.Duration {
	links := time.Duration(len(n.Linked()))
	switch {
	case n.mesh:
		return max(gatherMesh, links*gatherMeshPeer-gatherMesh)
	case n.hub || n.feeds(FeedAll):
		return max(gatherHub, links*gatherHubLink)
	default:
		return gatherOwn
	}
}

// Staleness is about how long after a choice of another instance this one hears of
// it, as measured lately. While a hub sends nothing it is at least as long as that.
func (n *Node) Staleness(now monotime.Instant) time.Duration {
	out := n.staleness.mean
	if out == 0 {
		out = n.Gather()
		if !n.mesh {
			out = gatherOwn + 2*gatherHub
		}
	}
	if m := n.members[n.primary]; m != nil {
		out = max(out, now.Sub(m.heardAt)-keepAlive)
	}
	return out
}

// staleness is the mean age of news when they come.
type staleness struct {
	mean time.Duration
	at   monotime.Instant
}

func (s *staleness) note(age time.Duration, now monotime.Instant) {
	age += travel
	if s.at == 0 {
		s.mean, s.at = age, now
		return
	}
	// A message counts by the time since the one before it, but not for nothing.
	share := 1 - math.Exp(-max(now.Sub(s.at), time.Millisecond).Seconds()/stalenessTime.Seconds())
	s.mean += time.Duration(share * float64(age-s.mean))
	s.at = now
}

// linkClock finds out by how much longer than usual messages of a link take. The two
// clocks are not the same, but the difference of sending and receiving is least when
// nothing delays the message; what is more is delay. A slow link, a machine without
// processor time and a queue all show in it.
type linkClock struct {
	least, before int64 // least differences in ms, in this window and the one before
	since         monotime.Instant
	late          time.Duration // of the last message
}

func (c *linkClock) note(sentMS int64, now monotime.Instant) {
	difference := int64(now)/int64(time.Millisecond) - sentMS
	switch {
	case c.since == 0:
		c.least, c.before, c.since = difference, difference, now
	case now.Sub(c.since) >= clockWindow:
		c.least, c.before, c.since = difference, c.least, now
	}
	c.least = min(c.least, difference)
	c.late = time.Duration(difference-min(c.least, c.before)) * time.Millisecond
}
