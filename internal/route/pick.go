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
	groups map[viewKey]groupView
	places []prefixPlace
}

// viewKey names the wait of one tier in one group: where a lower tier waits long,
// the top tier may not wait at all.
type viewKey struct {
	group string
	tier  int
}

type groupView struct {
	backlog time.Duration
	at      monotime.Instant
}

type prefixPlace struct {
	prefix uint64
	group  *catalog.Group
	at     monotime.Instant
}

const (
	// backlogMemory is the time after which a told backlog counts half: by then
	// the group may have drained or filled, and it should be tried again.
	backlogMemory = time.Second
	// prefixMemory is the time after which a prefix is likely to be evicted.
	prefixMemory = 2 * time.Minute
	prefixPlaces = 1 << 12
	// prefixSaves is the part of the prefill that a cached prefix saves.
	prefixSaves = 0.8
	// prefillTokensPerS converts prompt tokens to time where a group's engines
	// do not say.
	prefillTokensPerS = 20000
)

// NewPicker returns a Picker that knows nothing yet.
func NewPicker() *Picker {
	return &Picker{groups: make(map[viewKey]groupView), places: make([]prefixPlace, prefixPlaces)}
}

// Ask describes the request that needs a group.
type Ask struct {
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
func (p *Picker) Pick(now monotime.Instant, cat *catalog.Catalog, ask Ask, rng *rand.Rand) *catalog.Group {
	groups := cat.GroupsFor[ask.Target]
	if len(groups) == 0 {
		return nil
	}
	best := draw(groups, &ask, nil, rng)
	if best == nil {
		return nil
	}
	second := draw(groups, &ask, best, rng)
	if second != nil && p.cost(now, cat, &ask, second) < p.cost(now, cat, &ask, best) {
		best = second
	}
	if known := p.prefixGroup(now, &ask, groups); known != nil && !skips(&ask, known) {
		if p.cost(now, cat, &ask, known)-prefillSaved(&ask, known) <= p.cost(now, cat, &ask, best) {
			best = known
		}
	}
	return best
}

// draw returns a random group that takes new work, is not skipped and is
// another than the one drawn before.
func draw(groups []*catalog.Group, ask *Ask, before *catalog.Group, rng *rand.Rand) *catalog.Group {
	start := rng.IntN(len(groups))
	for i := range groups {
		g := groups[(start+i)%len(groups)]
		if g != before && usable(g) && !skips(ask, g) {
			return g
		}
	}
	return nil
}

func usable(g *catalog.Group) bool {
	for _, s := range g.Servers {
		if !s.Spec.Withdrawn {
			return true
		}
	}
	return false
}

func skips(ask *Ask, g *catalog.Group) bool {
	for _, name := range ask.Skip {
		if name == g.Name {
			return true
		}
	}
	return false
}

// cost is the expected delay of asking a group.
func (p *Picker) cost(now monotime.Instant, cat *catalog.Catalog, ask *Ask, g *catalog.Group) time.Duration {
	delay := 2 * cat.OneWay(ask.DataCentre, g.DataCentre)
	v, known := p.groups[viewKey{g.Name, ask.Tier}]
	if !known {
		return delay
	}
	return delay + discounted(v.backlog, now.Sub(v.at))
}

// discounted lets a told backlog fade with its age.
func discounted(backlog, age time.Duration) time.Duration {
	if age <= 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * float64(backlogMemory) / float64(backlogMemory+age))
}

// Observe notes the wait that a group told for a tier.
func (p *Picker) Observe(group string, tier int, backlog time.Duration, now monotime.Instant) {
	p.groups[viewKey{group, tier}] = groupView{backlog: backlog, at: now}
}

// Told returns the wait that a group told for a tier last, and how long ago; false
// when it told none.
func (p *Picker) Told(now monotime.Instant, group string, tier int) (backlog, age time.Duration, ok bool) {
	view, ok := p.groups[viewKey{group, tier}]
	return view.backlog, now.Sub(view.at), ok
}

// Ran notes that a group ran a request with the prefix.
func (p *Picker) Ran(now monotime.Instant, prefix uint64, group *catalog.Group) {
	if prefix != 0 {
		*p.place(prefix) = prefixPlace{prefix: prefix, group: group, at: now}
	}
}

// Forget drops what is known of groups that the catalog no longer has.
func (p *Picker) Forget(cat *catalog.Catalog) {
	for key := range p.groups {
		if cat.Groups[key.group] == nil {
			delete(p.groups, key)
		}
	}
}

func (p *Picker) place(prefix uint64) *prefixPlace {
	const mix = 0x9e3779b97f4a7c15
	return &p.places[(prefix*mix)>>52]
}

// prefixGroup is the group that ran the prefix last, if the target still has it.
func (p *Picker) prefixGroup(now monotime.Instant, ask *Ask, groups []*catalog.Group) *catalog.Group {
	if ask.Prefix == 0 {
		return nil
	}
	place := p.place(ask.Prefix)
	if place.prefix != ask.Prefix || now.Sub(place.at) > prefixMemory {
		return nil
	}
	for _, g := range groups {
		if g.Name == place.group.Name && usable(g) {
			return g
		}
	}
	return nil
}

func prefillSaved(ask *Ask, g *catalog.Group) time.Duration {
	perSecond := g.Servers[0].Engines[0].Spec.PrefillTokensPerS
	if perSecond <= 0 {
		perSecond = prefillTokensPerS
	}
	saved := prefixSaves * float64(ask.PromptTokens) / float64(perSecond)
	return time.Duration(saved * float64(time.Second))
}
