// Package route decides which instance owns a group of servers and which group
// an entry instance asks for a slot. It does no I/O and reads no clock.
package route

import (
	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/catalog"
)

// Member is a live instance that may own groups.
type Member struct {
	// ID of the instance.
	ID string
	// DataCentre it runs in.
	DataCentre string
}

// Owner returns the id of the member that owns the group, or "" when there is
// none. It is the highest of the members' hashes with the group's name, among
// the members of the group's data centre where any lives: the next hop to its
// servers is short, and the data centre schedules itself when it is cut off.
// When a member joins or leaves, only the groups that it gains or had move.
// Instances whose views differ for a moment may name different owners; both
// then grant slots, which costs quality and never safety.
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

// Home returns the id of the member that keeps the limits of a customer, named
// by its hash, or "" when there is none.
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

// pairHash hashes a pair. The two hashes are mixed, since hashing the joined
// strings would need a buffer for each pair.
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
