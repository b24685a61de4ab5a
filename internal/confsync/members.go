package confsync

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// readerSalt separates the choice of readers from other uses of the hash.
const readerSalt = "configuration reader "

// SetMembers sets the live members and the neighbours with an open link.
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

// electReader decides whether this instance is a reader, by rendezvous hashing over the
// live members of the data centre. Instances with different views may choose too many
// readers, which only costs platform calls.
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

// readerCandidates returns the live members. A process without a configuration has seen
// only some of them and would consider itself a reader, so the listed instances are added
// for it.
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

// updateExtraReader makes a learner an extra reader while its neighbours are no
// sufficient source:
//   - none of them answers;
//   - the revision still awaits its confirmation resumeQueryInterval after a pause;
//   - no platform confirmation has arrived for long: perhaps the readers cannot reach the
//     platform but this instance can.
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

// bootstrapTimeout is how long a process without a configuration waits for a peer. It is
// longer if the platform lists other instances: when the whole fleet starts, the readers
// first read and check the configuration and do not answer meanwhile.
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
