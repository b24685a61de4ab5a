package confsync

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// readerSalt keeps the choice of readers apart from other uses of the hash.
const readerSalt = "configuration reader "

// Members tells who lives and to whom links are up.
func (c *Core) Members(now monotime.Instant, live []Member, neighbours []string, eff Effects) {
	c.live = slices.Clone(live)
	before := c.neighbours
	c.neighbours = slices.Clone(neighbours)
	sort.Strings(c.neighbours)
	c.elect()
	for _, id := range before {
		if !slices.Contains(c.neighbours, id) {
			c.dropSource(id)
			c.gossip.drop(id)
		}
	}
	for _, id := range c.neighbours {
		if !slices.Contains(before, id) {
			c.sendOffer(id, c.question(now, id), eff)
		}
	}
	c.advance(now, eff)
}

// elect chooses the readers of the data centre by rendezvous hashing over its
// live members. Two instances with different views choose readers too many,
// which costs calls and nothing else.
func (c *Core) elect() {
	above := 0
	mine := readerScore(c.cfg.Self)
	members := c.live
	if len(members) <= 1 {
		members = c.listed
	}
	for _, member := range members {
		if member.DataCentre != c.cfg.DataCentre || member.ID == c.cfg.Self {
			continue
		}
		score := readerScore(member.ID)
		if score > mine || score == mine && member.ID > c.cfg.Self {
			above++
		}
	}
	c.reader = above < c.cfg.ReadersPerDC
}

func readerScore(id string) uint64 {
	return xxhash.Sum64String(readerSalt + id)
}

// choosePlatformRole makes a learner an extra reader for as long as its
// neighbours cannot be what it learns from:
//   - none of them answers;
//   - the revision waits for its confirmation after a pause;
//   - nobody around has heard the platform for long, so that perhaps the readers
//     cannot reach it though this instance could.
func (c *Core) choosePlatformRole(now monotime.Instant) {
	c.extra = c.neighboursQuiet(now) ||
		c.woken && now.Sub(c.wokeAt) > wakeAskEvery ||
		c.unrooted(now)
}

func (c *Core) neighboursQuiet(now monotime.Instant) bool {
	patience := c.cfg.QuietAfter
	if c.current.id.number == 0 {
		patience = coldGrace + c.stagger(coldGrace*4)
	}
	last := c.startedAt
	for _, id := range c.neighbours {
		if heard, ok := c.gossip.heard[id]; ok && last.Before(heard) {
			last = heard
		}
	}
	if last.Before(c.wokeAt) {
		last = c.wokeAt
	}
	return now.Sub(last) > patience
}

func (c *Core) unrooted(now monotime.Instant) bool {
	since := c.startedAt
	if c.rooted {
		since = c.rootedAt
	}
	patience := c.cfg.UnrootedAfter + c.stagger(c.cfg.UnrootedAfter)
	return now.Sub(since) > patience
}
