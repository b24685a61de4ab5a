package overlay

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// meshBatchDelay and gatherMeshPeer: where all are linked, every message goes to all,
	// and each receives from all. So the messages of an instance stay below some 400 a
	// second.
	meshBatchDelay        = 10 * time.Millisecond
	meshBatchDelayPerLink = 3 * time.Millisecond
	// subscriberBatchDelay is the time for which an instance that is no hub gathers: its messages
	// are few anyhow, and a run often ends when the next begins.
	subscriberBatchDelay = 5 * time.Millisecond
	// hubBatchDelay and gatherHubLink: a hub sends each message over all its links, so the
	// more it has the longer it gathers, for some 2,500 messages a second at most.
	hubBatchDelay        = 10 * time.Millisecond
	hubBatchDelayPerLink = 400 * time.Microsecond

	// offsetWindow is the time in which a link's least delay is looked for. Clocks of
	// two machines drift apart by less than a millisecond in it.
	offsetWindow = 5 * time.Second
	// stalenessTimeConstant is over how long the age of news is averaged.
	stalenessTimeConstant = time.Second
	// hopDelay is the usual time of a message between two machines with its handling.
	hopDelay = time.Millisecond
)

// BatchDelay is how long news are gathered before they are sent.
func (n *Node) BatchDelay() time.Duration {
	links := time.Duration(len(n.Linked()))
	switch {
	case n.mesh:
		return max(meshBatchDelay, links*meshBatchDelayPerLink-meshBatchDelay)
	case n.hub || n.hasPeerWithFeed(FeedAll):
		return max(hubBatchDelay, links*hubBatchDelayPerLink)
	default:
		return subscriberBatchDelay
	}
}

// Staleness is about how long after a choice of another instance this one hears of
// it, as measured lately. While a hub sends nothing it is at least as long as that.
func (n *Node) Staleness(now monotime.Instant) time.Duration {
	out := n.staleness.mean
	if out == 0 {
		out = n.BatchDelay()
		if !n.mesh {
			out = subscriberBatchDelay + 2*hubBatchDelay
		}
	}
	if m := n.members[n.primary]; m != nil {
		out = max(out, now.Sub(m.receivedAt)-keepAlive)
	}
	return out
}

// staleness is the mean age of news when they come.
type staleness struct {
	mean time.Duration
	at   monotime.Instant
}

func (s *staleness) observe(age time.Duration, now monotime.Instant) {
	age += hopDelay
	if s.at == 0 {
		s.mean, s.at = age, now
		return
	}
	// A message counts by the time since the one before it, but not for nothing.
	share := 1 - math.Exp(-max(now.Sub(s.at), time.Millisecond).Seconds()/stalenessTimeConstant.Seconds())
	s.mean += time.Duration(share * float64(age-s.mean))
	s.at = now
}

// linkClock finds out by how much longer than usual messages of a link take. The two
// clocks are not the same, but the difference of sending and receiving is least when
// nothing delays the message; what is more is delay. A slow link, a machine without
// processor time and a queue all show in it.
type linkClock struct {
	minOffset, prevMinOffset int64 // least differences in ms, in this window and the one before
	windowStart              monotime.Instant
	excessDelay              time.Duration // of the last message
}

func (c *linkClock) observe(sentMS int64, now monotime.Instant) {
	offset := int64(now)/int64(time.Millisecond) - sentMS
	switch {
	case c.windowStart == 0:
		c.minOffset, c.prevMinOffset, c.windowStart = offset, offset, now
	case now.Sub(c.windowStart) >= offsetWindow:
		c.minOffset, c.prevMinOffset, c.windowStart = offset, c.minOffset, now
	}
	c.minOffset = min(c.minOffset, offset)
	c.excessDelay = time.Duration(offset-min(c.minOffset, c.prevMinOffset)) * time.Millisecond
}
