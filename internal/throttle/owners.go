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
