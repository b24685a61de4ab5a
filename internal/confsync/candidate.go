package confsync

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// platformSource represents the platform among the sources of a candidate. No instance
// has an empty ID.
const platformSource = ""

// candidate is a newer revision that a neighbour or the platform has announced.
type candidate struct {
	id revisionID
	// peers are the neighbours that have it in force, in the order of their
	// announcements.
	peers []string
	// platformAt is the time of the platform call that returned it; 0 if there was none.
	platformAt monotime.Instant
	// raw is the manifest as read from the platform, if it was.
	raw []byte
	// failed holds the sources that failed during this attempt.
	failed   map[string]bool
	failures int
	retryAt  monotime.Instant
	// publishedAt is the earliest recorded time at which an instance read it at the
	// platform.
	publishedAt monotime.Instant
}

func (c *Core) ensureCandidate(now monotime.Instant, id revisionID) *candidate {
	found := c.candidates[id]
	if found == nil {
		found = &candidate{id: id, failed: make(map[string]bool), retryAt: now}
		c.candidates[id] = found
	}
	return found
}

// addSource records that an instance has the revision in force. An instance has only one
// in force, so there are never more candidates than instances.
func (c *Core) addSource(now monotime.Instant, id revisionID, from string) {
	for _, other := range c.candidates {
		if other.id != id {
			c.removePeer(other, from)
		}
	}
	cand := c.ensureCandidate(now, id)
	if slices.Contains(cand.peers, from) {
		return
	}
	cand.peers = append(cand.peers, from)
	cand.retryAt = now
	delete(cand.failed, from)
}

func (c *Core) dropSource(from string) {
	for _, cand := range c.candidates {
		c.removePeer(cand, from)
	}
	if c.fetch != nil {
		c.fetch.failSource(from)
	}
}

func (c *Core) removePeer(cand *candidate, from string) {
	i := slices.Index(cand.peers, from)
	if i < 0 {
		return
	}
	cand.peers = slices.Delete(cand.peers, i, i+1)
	if len(cand.peers) == 0 && cand.platformAt == 0 {
		delete(c.candidates, cand.id)
	}
}

func (c *Core) dropOldCandidates() {
	for id := range c.candidates {
		if id.number <= c.current.id.number {
			delete(c.candidates, id)
		}
	}
}

// bestCandidate returns the highest candidate that has a source and is due for an
// attempt, or nil. Among candidates of one revision number the lowest hash comes first,
// at every instance alike.
func (c *Core) bestCandidate(now monotime.Instant) *candidate {
	var best *candidate
	for _, cand := range c.candidates {
		if now.Before(cand.retryAt) || !cand.hasSource() {
			continue
		}
		if best == nil || cand.outranks(best) {
			best = cand
		}
	}
	return best
}

func (cand *candidate) outranks(other *candidate) bool {
	if cand.id.number != other.id.number {
		return cand.id.number > other.id.number
	}
	return cand.id.hash < other.id.hash
}

func (cand *candidate) hasSource() bool {
	return cand.platformUntried() || len(cand.untriedPeers()) > 0
}

func (cand *candidate) platformUntried() bool {
	return cand.platformAt != 0 && !cand.failed[platformSource]
}

func (cand *candidate) untriedPeers() []string {
	out := make([]string, 0, len(cand.peers))
	for _, id := range cand.peers {
		if !cand.failed[id] {
			out = append(out, id)
		}
	}
	return out
}

// failAttempt ends an attempt in which every source failed. The platform must announce
// the revision again, because a value may have been replaced in the meantime.
func (c *Core) failAttempt(now monotime.Instant, cand *candidate) {
	cand.failures++
	cand.retryAt = now.Add(c.backoff(cand.failures, backoffMax))
	clear(cand.failed)
	if cand.platformAt != 0 {
		c.platform.dropWatch()
	}
	cand.platformAt = 0
	cand.raw = nil
	if len(cand.peers) == 0 {
		delete(c.candidates, cand.id)
	}
}

// backoff returns the delay after a number of consecutive failures. It has jitter, so
// that instances that failed together do not retry together.
func (c *Core) backoff(failures int, limit time.Duration) time.Duration {
	const maxDoublings = 16
	wait := min(backoffMin<<min(failures, maxDoublings), limit)
	return wait/2 + c.jitter(wait/2)
}
