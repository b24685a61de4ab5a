package membership

import (
	"slices"
	"strings"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
)

// OnInstanceList applies the platform's list. It determines which members to contact and
// which are still meant to run. It never decides that a member is alive or dead, because
// the list lags.
func (c *Core) OnInstanceList(now monotime.Instant, list platformapi.InstanceList) {
	if c.listed && list.Version < c.listVersion {
		return
	}
	c.listVersion = list.Version
	c.listed = true
	c.candidates = c.mergeCandidates(list.Instances)
	// An empty list is a fault of the platform; no member is dropped because of it.
	if len(list.Instances) > 0 {
		c.markListed(now, list.Instances)
	}
	if len(c.candidates) == 0 && c.alone() {
		c.setConfirmed(true)
	}
	c.graphDirty = true
	c.viewDirty = true
}

// alone reports whether no other member is recorded.
func (c *Core) alone() bool {
	return !slices.ContainsFunc(c.entries, func(e *entry) bool { return e.State != Gone && !e.unlisted })
}

func (c *Core) mergeCandidates(instances []platformapi.Instance) []*candidate {
	old := make(map[string]*candidate, len(c.candidates))
	for _, cand := range c.candidates {
		old[cand.id] = cand
	}
	out := make([]*candidate, 0, len(instances))
	for _, in := range instances {
		if in.ID == c.self.ID || c.find(in.ID) != nil || len(out) >= MaxMembers {
			continue
		}
		cand := &candidate{id: in.ID, address: in.PeerAddress, rings: ringHashes(in.ID), listing: listingOf(in)}
		if prev := old[in.ID]; prev != nil {
			cand.retry, cand.backoff = prev.retry, prev.backoff
		}
		out = append(out, cand)
	}
	slices.SortFunc(out, func(a, b *candidate) int { return strings.Compare(a.id, b.id) })
	return out
}

func (c *Core) markListed(now monotime.Instant, instances []platformapi.Instance) {
	listings := make(map[string]listing, len(instances))
	for _, in := range instances {
		listings[in.ID] = listingOf(in)
	}
	for _, e := range c.entries {
		e.listing = listings[e.ID]
		switch e.listing {
		case notListed:
			e.unlisted = e.unlisted || !e.State.present() && now.Sub(e.since) >= unlistedGrace
		case listedAsLive:
			e.listedLive, e.listedLeaving, e.unlisted = true, false, false
		case listedAsLeaving:
			// Only a change during this incarnation counts: an ID that was listed as
			// leaving from the start may refer to the previous process.
			e.listedLeaving = e.listedLive
		}
	}
}

func listingOf(in platformapi.Instance) listing {
	if in.State == platformapi.InstanceStateLive {
		return listedAsLive
	}
	return listedAsLeaving
}

// removeCandidate removes a listed instance that a peer has reported and returns how it
// was listed.
func (c *Core) removeCandidate(id string) listing {
	i := slices.IndexFunc(c.candidates, func(cand *candidate) bool { return cand.id == id })
	if i < 0 {
		return notListed
	}
	listing := c.candidates[i].listing
	c.candidates = slices.Delete(c.candidates, i, i+1)
	return listing
}

// countLiveCandidates counts listed live instances that no peer has reported.
func (c *Core) countLiveCandidates() int {
	n := 0
	for _, cand := range c.candidates {
		if cand.listing == listedAsLive {
			n++
		}
	}
	return n
}
