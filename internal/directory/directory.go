// Package directory selects the instances that the callers of a customer should use. An
// answer depends on the customer, so that its limits, its places in queues and its
// request table involve few instances. It also depends on the data centre of the
// answering instance and on the load of the instances. The package does no I/O.
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
	// unconfirmedTTL bounds the TTL of answers from a view that no peer has confirmed
	// since the process started or resumed from a pause. Such a view may list instances
	// that are long gone, and callers use them for that long.
	unconfirmedTTL = 5 * time.Second
	// remoteInstances is the number of instances of other data centres in an answer. With
	// 0, callers have no address left when their data centre is lost with all its
	// instances; each further one takes the place of a local instance.
	remoteInstances = 1
	// minWeight is the smallest weight of a loaded instance. It keeps the instance in the
	// answers of some customers; with 0 it would get none. As the smallest load it also
	// bounds the weight, at 20.
	minWeight = 0.05
)

// Query holds the inputs of an answer.
type Query struct {
	// Catalog is the configuration in force.
	Catalog *catalog.Catalog
	// View is the membership view.
	View *membership.View
	// Customer is the one whose callers ask.
	Customer *catalog.Customer
	// DataCentre is where the answering instance is located. Callers ask an instance near
	// them.
	DataCentre string
	// Load returns the relative load of an instance: 1 is usual, and an instance with 2
	// gets half as many customers. Nil means 1 for all.
	Load func(id string) float64
	// Prefix returns the prefix of request ids bound to a member, for answers with the
	// TTL ttl. Nil means no prefixes.
	Prefix func(m membership.Member, ttl time.Duration) string
}

// Answer lists the instances to use, best first. Members that are leaving are listed only
// when no others are left, suspect members only when there are too few others.
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

// ranked is a member with its rank for the customer.
type ranked struct {
	*membership.Member
	suspect  bool
	distance time.Duration
	score    float64
}

// selectMembers returns the best members of this data centre, then the others, nearest
// first, then further ones of this data centre, up to the directory's size.
func (q Query) selectMembers() []membership.Member {
	size := q.Catalog.Rules.DirectorySize
	local, others := q.rank(q.View.Live, size)
	if len(local)+len(others) == 0 {
		// All members are leaving, and they still serve.
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

// rank returns the best members of this data centre and the best other ones, up to size
// of each. Suspect members count as others. Members are ordered by suspicion, then by
// distance, then by the customer's weighted rendezvous hash.
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

// insertBest inserts r into the sorted list, which is cut to the best size entries.
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

// distance returns the one-way latency to a data centre, by which they are ordered: 0 for
// this one, and at least 1 ns for any other.
func (q Query) distance(dataCentre string) time.Duration {
	if dataCentre == q.DataCentre {
		return 0
	}
	return max(1, q.Catalog.OneWay(q.DataCentre, dataCentre))
}

// score is the weighted rendezvous hash of the customer and a member. When a weight
// changes or a member joins or leaves, only the answers of customers that this member
// gains or loses change.
func (q Query) score(customer uint64, id string) float64 {
	weight := 1.0
	if q.Load != nil {
		weight = max(minWeight, 1/max(q.Load(id), minWeight))
	}
	return weight / -math.Log(uniform(customer, xxhash.Sum64String(id)))
}

// uniform maps two hashes to the open interval (0, 1), with the multipliers of
// MurmurHash3's finalizer. Hashing the joined names instead would need a buffer for each
// pair.
func uniform(a, b uint64) float64 {
	// The precision of a float64: with more bits a result may round to 1, whose logarithm
	// is 0.
	const bits = 53
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>(64-bits)) + 0.5) / (1 << bits)
}
