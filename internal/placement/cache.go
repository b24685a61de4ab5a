package placement

import (
	"container/list"
	"slices"

	"basilrudder/internal/monotime"
)

// partCache is what an engine is believed to keep of prompts: the parts of the
// requests sent to it, the least recently used of which yield first.
type partCache struct {
	tokens int
	order  *list.List // of kept, most recently used first
	byID   map[string]*list.Element
}

// cachedPart is a part that an engine keeps.
type cachedPart struct {
	Part
	// readyAt is when it has been read and others may fetch it.
	readyAt monotime.Instant
}

func newPartCache() partCache {
	return partCache{order: list.New(), byID: make(map[string]*list.Element)}
}

// add notes a use of parts, which are read by an instant, and makes room within
// capacity tokens. The last part belongs to one request or session and is kept
// too: a session may come back.
func (c *partCache) add(parts []Part, readyAt monotime.Instant, capacity int) {
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
	}
}

// ready notes that parts have been read by now.
func (c *partCache) ready(parts []Part, now monotime.Instant) {
	for _, part := range parts {
		if at := c.byID[part.ID]; at != nil {
			if k := at.Value.(*cachedPart); now < k.readyAt {
				k.readyAt = now
			}
		}
	}
}

// fetchableTokens returns how many tokens at the start of a prompt another engine
// could fetch now.
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

// cachedTokens returns how many tokens of a prompt need not be read: those of the
// parts at its start that are all kept.
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

// newest returns the parts used last, at most so many, the newest at the end.
func (c *partCache) newest(limit int) []Part {
	out := make([]Part, 0, min(limit, c.order.Len()))
	for at := c.order.Front(); at != nil && len(out) < limit; at = at.Next() {
		out = append(out, at.Value.(*cachedPart).Part)
	}
	slices.Reverse(out)
	return out
}
