package confsync

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// readerSalt keeps the choice of readers apart from other uses of the hash.
const readerSalt = "configuration reader "

// SetMembers tells who lives and to whom links are up.
func (c *Core) SetMembers(now monotime.Instant, live []Member, neighbours []string, eff Effects) {
	c.live = slices.Clone(live)
	before := c.neighbours
	c.neighbours = slices.Clone(neighbours)
	sort.Strings(c.neighbours)
	c.electReader()
	for _, id := range before {
		if !slices.Contains(c.neighbours, id) {
			c.dropSource(id)
			c.gossip.drop(id)
		}
	}
	for _, id := range c.neighbours {
		if !slices.Contains(before, id) {
			c.sendOffer(id, c.newQuery(now, id), eff)
		}
	}
	c.advance(now, eff)
}

// electReader chooses the readers of the data centre by rendezvous hashing over its
// live members. Two instances with different views choose readers too many,
// which costs calls and nothing else.
func (c *Core) electReader() {
	if c.cfg.PeersOnly {
		return
	}
	above := 0
	own := readerScore(c.cfg.Self)
	for _, member := range c.readerCandidates() {
		if member.DataCentre != c.cfg.DataCentre || member.ID == c.cfg.Self {
			continue
		}
		score := readerScore(member.ID)
		if score > own || score == own && member.ID > c.cfg.Self {
			above++
		}
	}
	c.reader = above < c.cfg.ReadersPerDC
}

// readerCandidates are the live members. A process without a configuration knows
// only some of them yet and would take itself for a reader; to it the instance
// list counts too.
func (c *Core) readerCandidates() []Member {
	if c.current.id.number != 0 {
		return c.live
	}
	out := slices.Clone(c.live)
	for _, listed := range c.listed {
		if !slices.Contains(out, listed) {
			out = append(out, listed)
		}
	}
	return out
}

func readerScore(id string) uint64 {
	return xxhash.Sum64String(readerSalt + id)
}

// updateExtraReader makes a learner an extra reader for as long as its
// neighbours cannot be what it learns from:
//   - none of them answers;
//   - the revision waits for its confirmation after a pause;
//   - nobody around has heard the platform for long, so that perhaps the readers
//     cannot reach it though this instance could.
func (c *Core) updateExtraReader(now monotime.Instant) {
	if c.cfg.PeersOnly {
		return
	}
	c.extraReader = c.neighboursUnresponsive(now) ||
		c.resuming && now.Sub(c.resumedAt) > resumeQueryInterval ||
		c.platformAgeExceeded(now)
}

func (c *Core) neighboursUnresponsive(now monotime.Instant) bool {
	timeout := c.cfg.PeerTimeout
	if c.current.id.number == 0 {
		timeout = c.bootstrapTimeout()
	}
	last := c.startedAt
	for _, id := range c.neighbours {
		if answered, ok := c.gossip.answeredAt[id]; ok && last.Before(answered) {
			last = answered
		}
	}
	if last.Before(c.resumedAt) {
		last = c.resumedAt
	}
	return now.Sub(last) > timeout
}

// bootstrapTimeout is how long a process without a configuration waits for a peer.
// Where the list names other readers they are worth waiting for: at a start of
// the whole fleet they read and check the configuration first, and do not answer
// while they do.
func (c *Core) bootstrapTimeout() time.Duration {
	grace := bootstrapGrace
	if len(c.listed) > 1 {
		grace = bootstrapGraceListed
	}
	return grace + c.stagger(grace*4)
}

func (c *Core) platformAgeExceeded(now monotime.Instant) bool {
	since := c.startedAt
	if c.platformConfirmed {
		since = c.platformConfirmedAt
	}
	limit := c.cfg.MaxPlatformAge + c.stagger(c.cfg.MaxPlatformAge)
	return now.Sub(since) > limit
}
