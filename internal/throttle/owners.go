package throttle

import (
	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

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
// differs by server, by rendezvous hashing: instances with the same members agree, and when
// one leaves, those behind it move up by one.
//
// The first ones in this order own a limited server. A brittle server is shared in the same
// order, as otherwise none of its owners might have a share of its slots.
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

// Place returns the place of this instance among the members that share a server, from 0,
// and their number. It returns false for a process that has just started, which has few
// members yet.
func (l *Limiter) Place(id string, now monotime.Instant) (place, members int, ok bool) {
	if now.Sub(l.startedAt) < startupDelay {
		return 0, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(id)
	if s.placedView != l.view {
		s.placedView, s.place = l.view, l.view.place(id)
	}
	return s.place, len(l.view.members), true
}

// PlaceFor is Place for a key that is no server.
func (l *Limiter) PlaceFor(key string, now monotime.Instant) (place int, ok bool) {
	l.mu.Lock()
	v := l.view
	l.mu.Unlock()
	return v.place(key), now.Sub(l.startedAt) >= startupDelay
}
