package placement

import (
	"container/list"
	"slices"

	"basilrudder/internal/monotime"
)

// partCache is the estimated prefix cache of an engine: the parts of the prompts sent to
// it, with LRU eviction.
type partCache struct {
	tokens int
	order  *list.List // of *cachedPart, most recently used first
	byID   map[string]*list.Element
}

// cachedPart is a part of a prompt in the cache of an engine.
type cachedPart struct {
	Part
	// readyAt is when the part has been read and other engines may fetch it.
	readyAt monotime.Instant
}

func newPartCache() partCache {
	return partCache{order: list.New(), byID: make(map[string]*list.Element)}
}

// add records a use of parts that will have been read at readyAt, and evicts the least
// recently used parts beyond capacity tokens (0 for no limit). The last part belongs to
// one request or session and is cached too, as the session may send another request. It
// returns the ids of the evicted parts.
func (c *partCache) add(parts []Part, readyAt monotime.Instant, capacity int) (evicted []string) {
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if at := c.byID[part.ID]; at != nil {
			c.order.MoveToFront(at)
			continue
		}
		c.byID[part.ID] = c.order.PushFront(&cachedPart{Part: part, readyAt: readyAt})
		c.tokens += part.Tokens
	}
	for capacity > 0 && c.tokens > capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		part := c.order.Remove(oldest).(*cachedPart)
		delete(c.byID, part.ID)
		c.tokens -= part.Tokens
		evicted = append(evicted, part.ID)
	}
	return evicted
}

// ready records that parts have been read by now.
func (c *partCache) ready(parts []Part, now monotime.Instant) {
	for _, part := range parts {
		if at := c.byID[part.ID]; at != nil {
			if k := at.Value.(*cachedPart); now < k.readyAt {
				k.readyAt = now
			}
		}
	}
}

// fetchableTokens returns the length of the prompt's start that another engine could
// fetch now.
func (c *partCache) fetchableTokens(parts []Part, now monotime.Instant) int {
	tokens := 0
	for _, part := range parts {
		at := c.byID[part.ID]
		if at == nil || now < at.Value.(*cachedPart).readyAt {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// cachedTokens returns the number of tokens of a prompt that need not be read: those of
// the leading parts that are all cached.
func (c *partCache) cachedTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if !c.has(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

func (c *partCache) has(id string) bool {
	return c.byID[id] != nil
}

// newest returns at most limit of the most recently used parts, the newest last.
func (c *partCache) newest(limit int) []Part {
	out := make([]Part, 0, min(limit, c.order.Len()))
	for at := c.order.Front(); at != nil && len(out) < limit; at = at.Next() {
		out = append(out, at.Value.(*cachedPart).Part)
	}
	slices.Reverse(out)
	return out
}
