package enginemodel

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

// prefixCache is an LRU cache of prompt prefixes, bounded by its total tokens.
type prefixCache struct {
	capacity int
	used     int
	byKey    map[uint64]*list.Element
	recent   *list.List
	log      eventLog
}

type cachedPrefix struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int, log eventLog) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		byKey:    make(map[uint64]*list.Element),
		recent:   list.New(),
		log:      log,
	}
}

// hit returns the number of tokens cached under the key and marks the entry as used.
func (c *prefixCache) hit(key uint64) int {
	element, ok := c.byKey[key]
	if !ok {
		return 0
	}
	c.recent.MoveToFront(element)
	return element.Value.(*cachedPrefix).tokens
}

func (c *prefixCache) store(now monotime.Instant, key uint64, tokens int) {
	if tokens > c.capacity {
		return
	}
	if element, ok := c.byKey[key]; ok {
		entry := element.Value.(*cachedPrefix)
		c.used += max(tokens-entry.tokens, 0)
		entry.tokens = max(tokens, entry.tokens)
		c.recent.MoveToFront(element)
	} else {
		c.byKey[key] = c.recent.PushFront(&cachedPrefix{key: key, tokens: tokens})
		c.used += tokens
		c.log.add(now, key, true)
	}
	for c.used > c.capacity {
		c.evict(now)
	}
}

func (c *prefixCache) evict(now monotime.Instant) {
	oldest := c.recent.Back()
	entry := c.recent.Remove(oldest).(*cachedPrefix)
	delete(c.byKey, entry.key)
	c.used -= entry.tokens
	c.log.add(now, entry.key, false)
}

func (c *prefixCache) clear() {
	c.used = 0
	clear(c.byKey)
	c.recent.Init()
}

// eventLog publishes cache events with a delay and drops a share of them, which leaves
// gaps in the sequence numbers.
type eventLog struct {
	lag    time.Duration
	loss   float64
	random *rand.Rand
	next   int
	events []publishedEvent
}

type publishedEvent struct {
	at    monotime.Instant
	event engineapi.CacheEvent
}

func (l *eventLog) add(now monotime.Instant, key uint64, stored bool) {
	l.next++
	jitter := time.Duration(l.random.Int64N(int64(l.lag)/2 + 1))
	if l.random.Float64() < l.loss {
		return
	}
	if len(l.events) == cacheEventLogSize {
		l.events = append(l.events[:0], l.events[cacheEventLogSize/2:]...)
	}
	l.events = append(l.events, publishedEvent{
		at:    now.Add(l.lag + jitter),
		event: engineapi.CacheEvent{Seq: l.next, Prefix: strconv.FormatUint(key, 16), Stored: stored},
	})
}

// after returns the published events with sequence numbers from seq on. It stops at the
// first unpublished event, which keeps the events in order.
func (l *eventLog) after(now monotime.Instant, seq int) engineapi.CacheEvents {
	page := engineapi.CacheEvents{Next: seq, Events: []engineapi.CacheEvent{}}
	for _, published := range l.events {
		if published.event.Seq < seq {
			continue
		}
		if now.Before(published.at) {
			break
		}
		page.Events = append(page.Events, published.event)
		page.Next = published.event.Seq + 1
	}
	return page
}
