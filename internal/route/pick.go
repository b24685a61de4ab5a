package route

import (
	"math/rand/v2"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
)

// Picker remembers what an entry instance was told of the groups: the wait
// expected in each, and which group ran a prefix last. It is not safe for
// concurrent use.
type Picker struct {
	backlogs map[groupTier]backlogReport
	prefixes []prefixEntry
}

// groupTier names the wait of one tier in one group: where a lower tier waits long,
// the top tier may not wait at all.
type groupTier struct {
	group string
	tier  int
}

type backlogReport struct {
	backlog time.Duration
	at      monotime.Instant
}

type prefixEntry struct {
	prefix uint64
	group  *catalog.Group
	at     monotime.Instant
}

const (
	// backlogHalvedAfter is the time after which a told backlog counts half: by then
	// the group may have drained or filled, and it should be tried again.
	backlogHalvedAfter = time.Second
	// prefixTTL is the time after which a prefix is likely to be evicted.
	prefixTTL       = 2 * time.Minute
	prefixTableSize = 1 << 12
	// prefixSavedShare is the part of the prefill that a cached prefix saves.
	prefixSavedShare = 0.8
	// defaultPrefillTokensPerS converts prompt tokens to time where a group's engines
	// do not say.
	defaultPrefillTokensPerS = 20000
)

// NewPicker returns a Picker that knows nothing yet.
func NewPicker() *Picker {
	return &Picker{backlogs: make(map[groupTier]backlogReport), prefixes: make([]prefixEntry, prefixTableSize)}
}

// Request describes the request that needs a group.
type Request struct {
	// Target is the model or the service.
	Target string
	// DataCentre the entry instance runs in.
	DataCentre string
	// Tier of the request.
	Tier int
	// Prefix is the hash of the prompt's cacheable prefix; 0 for none.
	Prefix uint64
	// PromptTokens of the request.
	PromptTokens int
	// Skip names groups that refused this request already.
	Skip []string
}

// Pick returns the group to ask, or nil when no group serves the target. It
// compares two random groups, and the one that ran the prefix last, by the wait
// they told, the distance, and the prefill that the cache saves. Comparing all
// would send every instance to the same group until the next news.
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

// randomGroup returns a random group that takes new work, is not skipped and is
// another than the one drawn before.
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

// cost is the expected delay of asking a group.
func (p *Picker) cost(now monotime.Instant, cat *catalog.Catalog, req *Request, g *catalog.Group) time.Duration {
	delay := 2 * cat.OneWay(req.DataCentre, g.DataCentre)
	v, known := p.backlogs[groupTier{g.Name, req.Tier}]
	if !known {
		return delay
	}
	return delay + decayed(v.backlog, now.Sub(v.at))
}

// decayed lets a told backlog fade with its age.
func decayed(backlog, age time.Duration) time.Duration {
	if age <= 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * float64(backlogHalvedAfter) / float64(backlogHalvedAfter+age))
}

// ObserveBacklog notes the wait that a group told for a tier.
func (p *Picker) ObserveBacklog(group string, tier int, backlog time.Duration, now monotime.Instant) {
	p.backlogs[groupTier{group, tier}] = backlogReport{backlog: backlog, at: now}
}

// LastBacklog returns the wait that a group told for a tier last, and how long ago; false
// when it told none.
func (p *Picker) LastBacklog(now monotime.Instant, group string, tier int) (backlog, age time.Duration, ok bool) {
	view, ok := p.backlogs[groupTier{group, tier}]
	return view.backlog, now.Sub(view.at), ok
}

// RecordPrefix notes that a group ran a request with the prefix.
func (p *Picker) RecordPrefix(now monotime.Instant, prefix uint64, group *catalog.Group) {
	if prefix != 0 {
		*p.prefixEntryFor(prefix) = prefixEntry{prefix: prefix, group: group, at: now}
	}
}

// Prune drops what is known of groups that the catalog no longer has.
func (p *Picker) Prune(cat *catalog.Catalog) {
	for key := range p.backlogs {
		if cat.Groups[key.group] == nil {
			delete(p.backlogs, key)
		}
	}
}

func (p *Picker) prefixEntryFor(prefix uint64) *prefixEntry {
	const mix = 0x9e3779b97f4a7c15
	return &p.prefixes[(prefix*mix)>>52]
}

// prefixGroup is the group that ran the prefix last, if the target still has it.
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

func prefillSaved(req *Request, g *catalog.Group) time.Duration {
	perSecond := g.Servers[0].Engines[0].Spec.PrefillTokensPerS
	if perSecond <= 0 {
		perSecond = defaultPrefillTokensPerS
	}
	saved := prefixSavedShare * float64(req.PromptTokens) / float64(perSecond)
	return time.Duration(saved * float64(time.Second))
}
