package throttle

import "github.com/cespare/xxhash/v2"

// owns reports whether the view's own instance is among the given number of owners of a
// server, by rendezvous hashing: instances with the same members agree, and when one
// leaves, only the servers that it owned get another owner.
func owns(v *view, id string, owners int) bool {
	mine := hashWeight(v.self, id)
	preceding := 0
	for _, member := range v.members {
		if member == v.self {
			continue
		}
		if a := hashWeight(member, id); a < mine || a == mine && member < v.self {
			preceding++
		}
	}
	return preceding < owners
}

func hashWeight(member, server string) uint64 {
	return xxhash.Sum64String(member + "\x00" + server)
}

// newView returns the view of an instance on its members, itself included.
func newView(self string, members []string) *view {
	v := &view{self: self, members: members, ownHash: xxhash.Sum64String(self)}
	for _, member := range members {
		if member != self {
			v.others = append(v.others, xxhash.Sum64String(member))
		}
	}
	return v
}

// place returns the place of the view's own instance among the members in an order that
// differs by server: when one leaves, those behind it move up by one. It combines hashes in
// place of owns's names, since it is computed for all servers and members.
func (v *view) place(server string) (preceding int) {
	hash := xxhash.Sum64String(server)
	mine := mix(v.ownHash ^ hash)
	for _, other := range v.others {
		if mix(other^hash) < mine {
			preceding++
		}
	}
	return preceding
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
