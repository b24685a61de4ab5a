package confsync

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// platformSource stands for the platform among the sources of a candidate; no
// instance has an empty id.
const platformSource = ""

// candidate is a newer revision that somebody has told of.
type candidate struct {
	id revisionID
	// peers hold it in force, in the order in which they told.
	peers []string
	// platformAt is when the platform was asked for it; 0 when it was not.
	platformAt monotime.Instant
	// raw is the manifest where the platform gave it.
	raw []byte
	// failed holds the sources that failed in this attempt.
	failed   map[string]bool
	failures int
	retryAt  monotime.Instant
	// publishedAt is the earliest instant at which it was read at the platform, as far as
	// is known.
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

// addSource notes that an instance has the revision in force. It has only one
// in force, so that the candidates are never more than the instances.
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

// bestCandidate returns the highest candidate worth a try now, or nil. Between two of
// one number the lower hash goes first, the same at every instance.
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

// failAttempt ends an attempt in which every source failed. The platform has to
// tell of the revision anew: a value may have been replaced in the meantime.
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

// backoff returns the wait after a number of failures in a row, with jitter,
// so that instances that failed together do not come back together.
func (c *Core) backoff(failures int, limit time.Duration) time.Duration {
	const maxDoublings = 16
	wait := min(backoffMin<<min(failures, maxDoublings), limit)
	return wait/2 + c.jitter(wait/2)
}
