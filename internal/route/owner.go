// Package route selects the instance that owns a group of servers, and the group that an
// entry instance requests a slot from. It does no I/O and reads no clock.
package route

import (
	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/catalog"
)

// Member is a live instance that may own groups.
type Member struct {
	// ID of the instance.
	ID string
	// DataCentre that the instance runs in.
	DataCentre string
}

// Owner returns the id of the member that owns the group, or "" without members. It uses
// rendezvous hashing: the owner is the member whose hash with the group's name is highest.
// Members in the group's data centre, if any are live, take precedence: they are close to
// its servers, and the data centre can schedule its groups when it is partitioned. When a
// member joins or leaves, only the groups that it gains or had change owners. Instances
// whose views differ for a time may determine different owners. Both then grant slots, which
// lowers the quality of scheduling but violates no safety property.
func Owner(group *catalog.Group, members []Member) string {
	var best Member
	var bestScore uint64
	bestLocal := false
	for _, m := range members {
		local := m.DataCentre == group.DataCentre
		score := pairHash(group.Name, m.ID)
		if best.ID != "" && !ranksHigher(local, bestLocal, score, bestScore, m.ID, best.ID) {
			continue
		}
		best, bestScore, bestLocal = m, score, local
	}
	return best.ID
}

func ranksHigher(local, bestLocal bool, score, bestScore uint64, id, bestID string) bool {
	if local != bestLocal {
		return local
	}
	if score != bestScore {
		return score > bestScore
	}
	return id < bestID
}

// Home returns the id of the member that keeps the limits of a customer, or "" without
// members. The customer is given by its hash. Like Owner, it uses rendezvous hashing.
func Home(customer uint64, members []Member) string {
	var best string
	var bestScore uint64
	for _, m := range members {
		score := mixHashes(customer, xxhash.Sum64String(m.ID))
		if best == "" || score > bestScore || score == bestScore && m.ID < best {
			best, bestScore = m.ID, score
		}
	}
	return best
}

// pairHash returns the hash of a group and a member. It mixes their two hashes, since hashing
// the joined strings would need a buffer for each pair.
func pairHash(group, member string) uint64 {
	return mixHashes(xxhash.Sum64String(group), xxhash.Sum64String(member))
}

func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
