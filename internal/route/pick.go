package route

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Picker selects groups for the requests of an entry instance. It records the wait that each
// group reported and the group that ran a prefix last. It is not safe for concurrent use.
type Picker struct {
	backlogs map[groupTier]backlogReport
	prefixes []prefixEntry
}

// groupTier is the key of a reported wait. The tiers of a group are separate, as the top tier
// may not wait at all while a lower one waits long.
type groupTier struct {
	group string
	tier  int
}

// backlogReport is the expected wait that a group reported, and the time of its arrival.
type backlogReport struct {
	backlog time.Duration
	at      monotime.Instant
}

// prefixEntry records the group that ran a prefix last, and when.
type prefixEntry struct {
	prefix uint64
	group  *catalog.Group
	at     monotime.Instant
}

const (
	// backlogHalvedAfter is the age at which a reported backlog counts half. By then the group
	// may have drained or filled and should be tried again. A longer time keeps requests away
	// from a group that has drained; a shorter one sends them to a group that is still busy.
	backlogHalvedAfter = time.Second
	// prefixTTL is the age at which a prefix has probably been evicted. With a longer one,
	// requests accept a wait for a cache that is gone; a shorter one misses cached prefixes.
	prefixTTL = 2 * time.Minute
	// prefixTableSize is the number of recorded prefixes. It depends on the shift in
	// prefixEntryFor: a smaller table alone is indexed out of range, a larger one stays unused.
	prefixTableSize = 1 << 12
	// prefixSavedShare is the share of the prefill that a cached prefix saves. With a larger
	// one, requests accept a longer wait than the cache saves; a smaller one wastes caches.
	prefixSavedShare = 0.8
	// defaultPrefillTokensPerS is the prefill speed of engines without a published one. Above
	// their real speed the saved time is too short and caches go unused; below, too long.
	defaultPrefillTokensPerS = 20000
)

// NewPicker returns a Picker without reports.
func NewPicker() *Picker {
	return &Picker{backlogs: make(map[groupTier]backlogReport), prefixes: make([]prefixEntry, prefixTableSize)}
}

// Request describes a request that needs a group.
type Request struct {
	// Target is the model or the service.
	Target string
	// DataCentre that the entry instance runs in.
	DataCentre string
	// Tier of the request.
	Tier int
	// Prefix is the hash of the prompt's cacheable prefix; 0 for none.
	Prefix uint64
	// PromptTokens of the request.
	PromptTokens int
	// Skip lists the names of the groups that refused this request.
	Skip []string
}

// Pick returns the group to request a slot from, or nil if no group serves the target. It
// compares two random groups and the one that ran the prefix last, by their reported wait,
// the network latency and the prefill time that the cache saves. If it compared all groups,
// every instance would pick the same one until the next report.
func (p *Picker) Pick(now monotime.Instant, cat *catalog.Catalog, req Request, rng *rand.Rand) *catalog.Group {
	groups := cat.GroupsFor[req.Target]
	if len(groups) == 0 {
		return nil
	}
	best := randomGroup(groups, &req, nil, rng)
	if best == nil {
		return nil
	}
	second := randomGroup(groups, &req, best, rng)
	if second != nil && p.cost(now, cat, &req, second) < p.cost(now, cat, &req, best) {
		best = second
	}
	if cached := p.prefixGroup(now, &req, groups); cached != nil && !isSkipped(&req, cached) {
		if p.cost(now, cat, &req, cached)-prefillSaved(&req, cached) <= p.cost(now, cat, &req, best) {
			best = cached
		}
	}
	return best
}

// randomGroup returns a random group that accepts new work, is not skipped and is not the
// excluded one; nil if there is none.
func randomGroup(groups []*catalog.Group, req *Request, exclude *catalog.Group, rng *rand.Rand) *catalog.Group {
	start := rng.IntN(len(groups))
	for i := range groups {
		g := groups[(start+i)%len(groups)]
		if g != exclude && acceptsWork(g) && !isSkipped(req, g) {
			return g
		}
	}
	return nil
}

// acceptsWork reports whether at least one server of the group is not withdrawn.
func acceptsWork(g *catalog.Group) bool {
	for _, s := range g.Servers {
		if !s.Spec.Withdrawn {
			return true
		}
	}
	return false
}

func isSkipped(req *Request, g *catalog.Group) bool {
	for _, name := range req.Skip {
		if name == g.Name {
			return true
		}
	}
	return false
}

// cost returns the expected delay of a request at the group: the round trip and the reported
// wait, discounted by its age.
func (p *Picker) cost(now monotime.Instant, cat *catalog.Catalog, req *Request, g *catalog.Group) time.Duration {
	delay := 2 * cat.OneWay(req.DataCentre, g.DataCentre)
	report, reported := p.backlogs[groupTier{g.Name, req.Tier}]
	if !reported {
		return delay
	}
	return delay + decayed(report.backlog, now.Sub(report.at))
}

// decayed returns the backlog discounted by its age: half of it after backlogHalvedAfter, a
// third after twice that.
func decayed(backlog, age time.Duration) time.Duration {
	if age <= 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * float64(backlogHalvedAfter) / float64(backlogHalvedAfter+age))
}

// ObserveBacklog records the wait that a group reported for a tier.
func (p *Picker) ObserveBacklog(group string, tier int, backlog time.Duration, now monotime.Instant) {
	p.backlogs[groupTier{group, tier}] = backlogReport{backlog: backlog, at: now}
}

// LastBacklog returns the wait that a group last reported for a tier, and the age of the
// report; false without a report.
func (p *Picker) LastBacklog(now monotime.Instant, group string, tier int) (backlog, age time.Duration, ok bool) {
	report, ok := p.backlogs[groupTier{group, tier}]
	return report.backlog, now.Sub(report.at), ok
}

// RecordPrefix records that a group ran a request with the prefix.
func (p *Picker) RecordPrefix(now monotime.Instant, prefix uint64, group *catalog.Group) {
	if prefix != 0 {
		*p.prefixEntryFor(prefix) = prefixEntry{prefix: prefix, group: group, at: now}
	}
}

// Prune removes the reported waits of groups that the catalog no longer has.
func (p *Picker) Prune(cat *catalog.Catalog) {
	for key := range p.backlogs {
		if cat.Groups[key.group] == nil {
			delete(p.backlogs, key)
		}
	}
}

// prefixEntryFor returns the entry of the prefix, which prefixes with the same hash share.
// The shift leaves the 12 bits of prefixTableSize.
func (p *Picker) prefixEntryFor(prefix uint64) *prefixEntry {
	const mix = 0x9e3779b97f4a7c15
	return &p.prefixes[(prefix*mix)>>52]
}

// prefixGroup returns the group that ran the prefix last, if it still serves the target and
// accepts work; otherwise nil.
func (p *Picker) prefixGroup(now monotime.Instant, req *Request, groups []*catalog.Group) *catalog.Group {
	if req.Prefix == 0 {
		return nil
	}
	entry := p.prefixEntryFor(req.Prefix)
	if entry.prefix != req.Prefix || now.Sub(entry.at) > prefixTTL {
		return nil
	}
	for _, g := range groups {
		if g.Name == entry.group.Name && acceptsWork(g) {
			return g
		}
	}
	return nil
}

// prefillSaved returns the prefill time that a cached prefix saves at the group.
func prefillSaved(req *Request, g *catalog.Group) time.Duration {
	perSecond := g.Servers[0].Engines[0].Spec.PrefillTokensPerS
	if perSecond <= 0 {
		perSecond = defaultPrefillTokensPerS
	}
	saved := prefixSavedShare * float64(req.PromptTokens) / float64(perSecond)
	return time.Duration(saved * float64(time.Second))
}
