package placement

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Pool is an immutable set of servers of one service. It takes any number of servers: a
// choice looks up those that it considers.
type Pool struct {
	candidates []Candidate
	index      map[string]int // of each id in candidates
	all        ring
	// byDataCentre holds the ring of each data centre's servers.
	byDataCentre map[string]ring
}

// NewPool returns a Pool of the given servers, which must not be changed later.
func NewPool(candidates []Candidate) *Pool {
	p := &Pool{candidates: candidates, index: make(map[string]int, len(candidates)), byDataCentre: make(map[string]ring)}
	p.all = make(ring, 0, len(candidates))
	for i, c := range candidates {
		p.index[c.ID] = i
		p.all = append(p.all, ringPoint{hash: xxhash.Sum64String(c.ID), index: i})
	}
	slices.SortFunc(p.all, func(a, b ringPoint) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.index, b.index)) })
	for _, point := range p.all {
		dataCentre := candidates[point.index].DataCentre
		p.byDataCentre[dataCentre] = append(p.byDataCentre[dataCentre], point)
	}
	return p
}

// Len returns the number of servers; 0 for a nil Pool.
func (p *Pool) Len() int {
	if p == nil {
		return 0
	}
	return len(p.candidates)
}

// filter returns the servers for which allowed holds; none for a nil Pool.
func (p *Pool) filter(allowed func(*Candidate) bool) []Candidate {
	out := make([]Candidate, 0, p.Len())
	for i := range p.Len() {
		if c := &p.candidates[i]; allowed(c) {
			out = append(out, *c)
		}
	}
	return out
}

// find returns a server by id.
func (p *Pool) find(id string) (*Candidate, bool) {
	if p == nil {
		return nil, false
	}
	i, ok := p.index[id]
	if !ok {
		return nil, false
	}
	return &p.candidates[i], true
}

// ring holds servers in the order of the hashes of their ids. A key belongs to the servers
// that follow its hash: a server that joins or leaves moves only the keys before it.
type ring []ringPoint

type ringPoint struct {
	hash  uint64
	index int
}

// from returns the position of the first server at or after a hash.
func (r ring) from(hash uint64) int {
	at := sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
	if at == len(r) {
		return 0
	}
	return at
}

// at returns the index of the server n places after a position.
func (r ring) at(position, n int) int { return r[(position+n)%len(r)].index }
