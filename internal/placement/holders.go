package placement

import (
	"slices"

	"basilrudder/internal/monotime"
)

// cacheParts records that an engine caches parts which have been read at readyAt.
func (b *Board) cacheParts(s *server, parts []Part, readyAt monotime.Instant) {
	for _, evicted := range s.cache.add(parts, readyAt, int(cacheShare*float64(s.memory))) {
		b.removeHolder(evicted, s)
	}
}

// addHolder records an engine as caching parts that requests share.
func (b *Board) addHolder(parts []Part, s *server) {
	for _, part := range parts {
		held := b.holders[part.ID]
		if len(held) < maxKnownHolders && s.cache.has(part.ID) && !slices.Contains(held, s) {
			b.holders[part.ID] = append(held, s)
		}
	}
}

func (b *Board) removeHolder(part string, s *server) {
	held := b.holders[part]
	i := slices.Index(held, s)
	switch {
	case i < 0:
	case len(held) == 1:
		delete(b.holders, part)
	default:
		b.holders[part] = slices.Delete(held, i, i+1)
	}
}
