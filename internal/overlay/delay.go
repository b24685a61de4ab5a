package overlay

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// meshBatchDelay and meshBatchDelayPerLink: in a mesh every update goes to all peers
	// and arrives from all of them. The delay therefore grows with the number of links,
	// which keeps an instance below about 400 messages per second; shorter delays exceed
	// that.
	meshBatchDelay        = 10 * time.Millisecond
	meshBatchDelayPerLink = 3 * time.Millisecond
	// subscriberBatchDelay is the batch delay of an instance that is not a hub. It can be
	// short because such an instance sends few messages, and a run often ends when the
	// next one begins.
	subscriberBatchDelay = 5 * time.Millisecond
	// hubBatchDelay and hubBatchDelayPerLink: a hub sends each message over all its
	// links. The delay grows with their number, which limits a hub to about 2,500
	// messages per second; shorter delays exceed that.
	hubBatchDelay        = 10 * time.Millisecond
	hubBatchDelayPerLink = 400 * time.Microsecond

	// offsetWindow is the time over which a link's minimum clock offset is taken. The
	// clocks of two machines drift apart by less than a millisecond in it; in a longer
	// window drift would be taken for delay, in a shorter one a lasting delay for the
	// usual offset.
	offsetWindow = 5 * time.Second
	// stalenessTimeConstant is the time constant of the moving average of the age of
	// updates. A smaller one lets single late updates dominate, a larger one reports a
	// slow link later.
	stalenessTimeConstant = time.Second
	// hopDelay is the usual transfer and processing time of a message between two
	// machines. linkClock measures only the delay beyond the minimum, so this is added to
	// each age; without it staleness is underestimated by a hop.
	hopDelay = time.Millisecond
)

// BatchDelay returns how long updates are collected before they are sent.
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

// Staleness estimates how long after a placement by another instance this one receives
// it, from recent measurements. While the primary hub sends nothing, the result is at
// least the time since its last message, less the keep-alive interval.
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

// staleness is the moving average of the age of updates on arrival.
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
	// A message is weighted by the time since the previous one, at least 1 ms, so that
	// messages in the same instant still count.
	share := 1 - math.Exp(-max(now.Sub(s.at), time.Millisecond).Seconds()/stalenessTimeConstant.Seconds())
	s.mean += time.Duration(share * float64(age-s.mean))
	s.at = now
}

// linkClock estimates how much longer than usual messages on a link take. The clocks of
// the two machines differ by an unknown offset, but receive time minus send time is at
// its minimum when nothing delays a message, and anything above the minimum is delay. A
// slow link, a machine short of processor time and a queue all show up in it.
type linkClock struct {
	minOffset, prevMinOffset int64 // in ms, of this window and the previous one
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
