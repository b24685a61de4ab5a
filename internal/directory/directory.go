// Package directory decides which instances the callers of a customer should
// use. An answer depends on the customer, so that its limits, its place in the
// queues and its request table touch few instances, and on where the answering
// instance stands and how loaded the instances are. The package is pure.
package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/schema/callerapi"
)

const (
	// unconfirmedTTL bounds answers from a view that no peer has confirmed
	// since the process started or woke: it may name instances long gone.
	unconfirmedTTL = 5 * time.Second
	// remoteInstances is the number of instances of other data centres in an answer,
	// for the callers to reach when theirs is lost with all its instances.
	remoteInstances = 1
	// minWeight keeps a loaded instance in the answers of some customers.
	minWeight = 0.05
)

// Query is what an answer depends on.
type Query struct {
	// Catalog in force.
	Catalog *catalog.Catalog
	// View of the fleet.
	View *membership.View
	// Customer whose callers ask.
	Customer *catalog.Customer
	// DataCentre the answering instance stands in: callers ask one that is near.
	DataCentre string
	// Load of an instance: 1 for a usual one, 2 for one that should get half as
	// many customers. Nil means 1 for all.
	Load func(id string) float64
	// Prefix returns the prefix of request ids bound to a member for answers
	// that live for ttl; nil for none.
	Prefix func(m membership.Member, ttl time.Duration) string
}

// Answer names the instances to use, best first. Leaving members are not named;
// members under suspicion only when there are too few others.
func Answer(q Query) callerapi.Directory {
	ttl := q.ttl()
	out := callerapi.Directory{
		TTLS:     int(ttl / time.Second),
		Revision: int(q.Catalog.Revision),
	}
	for _, m := range q.selectMembers() {
		instance := callerapi.DirectoryInstance{ID: m.ID, Address: m.CallerAddress, DataCentre: m.DataCentre}
		if q.Prefix != nil {
			instance.IDPrefix = q.Prefix(m, ttl)
		}
		out.Instances = append(out.Instances, instance)
	}
	return out
}

func (q Query) ttl() time.Duration {
	ttl := time.Duration(q.Catalog.Rules.DirectoryTTLS) * time.Second
	if !q.View.Confirmed {
		ttl = min(ttl, unconfirmedTTL)
	}
	return ttl
}

// ranked is a member with its place for the customer.
type ranked struct {
	*membership.Member
	suspect  bool
	distance time.Duration
	score    float64
}

// selectMembers picks the members: the best of this data centre, then the best of the
// nearest other one, then whoever is left.
func (q Query) selectMembers() []membership.Member {
	size := q.Catalog.Rules.DirectorySize
	local, others := q.rank(q.View.Live, size)
	if len(local)+len(others) == 0 {
		// Everybody leaves, and they all still serve.
		local, others = q.rank(q.View.Leaving, size)
	}
	localCount := min(len(local), max(1, size-remoteInstances))
	candidates := slices.Concat(local[:localCount], others, local[localCount:])
	out := make([]membership.Member, 0, size)
	for _, r := range candidates[:min(size, len(candidates))] {
		out = append(out, *r.Member)
	}
	return out
}

// rank returns the best members of this data centre and the best others, up to
// size of each: those under suspicion last, near ones first, then by the
// customer's weighted rendezvous hash.
func (q Query) rank(members []membership.Member, size int) (local, others []ranked) {
	customer := xxhash.Sum64String(q.Customer.Name)
	distances := make(map[string]time.Duration, len(q.Catalog.DataCentres))
	for i := range members {
		m := &members[i]
		d, cached := distances[m.DataCentre]
		if !cached {
			d = q.distance(m.DataCentre)
			distances[m.DataCentre] = d
		}
		r := ranked{
			Member:   m,
			suspect:  m.State == membership.Suspect,
			distance: d,
			score:    q.score(customer, m.ID),
		}
		if d == 0 && !r.suspect {
			local = insertBest(local, r, size)
		} else {
			others = insertBest(others, r, size)
		}
	}
	return local, others
}

// insertBest keeps list sorted and no longer than size.
func insertBest(list []ranked, r ranked, size int) []ranked {
	if len(list) == size && (size == 0 || compareRanked(list[size-1], r) < 0) {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, r, compareRanked)
	list = slices.Insert(list, i, r)
	return list[:min(len(list), size)]
}

func compareRanked(a, b ranked) int {
	if a.suspect != b.suspect {
		if a.suspect {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.distance, b.distance); c != 0 {
		return c
	}
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// distance orders data centres by latency; another one is never as near as this.
func (q Query) distance(dataCentre string) time.Duration {
	if dataCentre == q.DataCentre {
		return 0
	}
	return max(1, q.Catalog.OneWay(q.DataCentre, dataCentre))
}

// score is the weighted rendezvous hash of the customer with a member. When a
// weight changes or a member comes or goes, only customers that it gains or
// loses change their answers.
func (q Query) score(customer uint64, id string) float64 {
	weight := 1.0
	if q.Load != nil {
		weight = max(minWeight, 1/max(q.Load(id), minWeight))
	}
	return weight / -math.Log(uniform(customer, xxhash.Sum64String(id)))
}

// uniform mixes two hashes into the open interval from 0 to 1. Hashing the
// joined names would need a buffer for each pair.
func uniform(a, b uint64) float64 {
	const bits = 53
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>(64-bits)) + 0.5) / (1 << bits)
}
