package sched

import (
	"strconv"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

// prefixTable records which engines ran a prefix most recently. It relies on the group's
// own assignments; cache events from the engines only correct it, because they arrive
// late and with gaps. The table has a fixed size: a newer prefix replaces an older one in
// the same bucket.
type prefixTable struct {
	buckets []prefixBucket
}

// prefixBucket holds a prefix and up to two engines that ran it.
type prefixBucket struct {
	prefix  uint64
	engines [2]prefixRun
}

type prefixRun struct {
	engine *engine
	// seq is the engine's prefixSeq when it ran this prefix.
	seq uint32
	at  monotime.Instant
}

const (
	// prefixTableSize is the number of buckets: 2^13 of 64 bytes are 512 KB. bucket
	// shifts a 64-bit hash by 51 to match it.
	prefixTableSize = 1 << 13
	// defaultCacheCapacity is the number of prefixes that an engine is assumed to hold
	// until evictions show less. minCacheCapacity bounds the estimate from below: no run
	// of evictions turns affinity off entirely.
	defaultCacheCapacity = 64
	minCacheCapacity     = 4
	// cachedPrefillShare is the part of the prefill that a cached prefix saves. Too high
	// a value draws requests to a busy engine for a prefix that saves less than the wait.
	cachedPrefillShare = 0.8
)

func (t *prefixTable) bucket(prefix uint64) *prefixBucket {
	const multiplier = 0x9e3779b97f4a7c15
	return &t.buckets[(prefix*multiplier)>>51]
}

// holds reports whether the engine is expected to hold the prefix.
func (t *prefixTable) holds(prefix uint64, e *engine) bool {
	if prefix == 0 {
		return false
	}
	p := t.bucket(prefix)
	if p.prefix != prefix {
		return false
	}
	for i := range p.engines {
		run := &p.engines[i]
		if run.engine == e {
			return e.prefixSeq-run.seq <= e.cacheCapacity
		}
	}
	return false
}

// recordRun records that the engine gets a request with the prefix.
func (t *prefixTable) recordRun(now monotime.Instant, prefix uint64, e *engine) {
	if prefix == 0 {
		return
	}
	p := t.bucket(prefix)
	if p.prefix != prefix {
		*p = prefixBucket{prefix: prefix}
	}
	run := &p.engines[0]
	if run.engine != e {
		p.engines[1] = *run
		e.prefixSeq++
	}
	*run = prefixRun{engine: e, seq: e.prefixSeq, at: now}
}

// removeRun records that the engine evicted the prefix.
func (t *prefixTable) removeRun(prefix uint64, e *engine) {
	p := t.bucket(prefix)
	if p.prefix != prefix {
		return
	}
	for i := range p.engines {
		if p.engines[i].engine == e {
			p.engines[i] = prefixRun{}
		}
	}
}

// cacheEventDelay is the age in nanoseconds up to which a recorded run outweighs an
// eviction event: the event may be older than the run. A shorter time lets a late event
// erase a prefix that the engine has just cached again; a longer one keeps evicted
// prefixes on record.
const cacheEventDelay = 2_000_000_000

// CacheEvents corrects the group's view of an engine's prefix cache. Events may arrive
// late and with gaps: an eviction takes effect only if the engine has not run the prefix
// within cacheEventDelay.
func (g *Group) CacheEvents(now monotime.Instant, engineID string, events engineapi.CacheEvents) {
	e := g.byID[engineID]
	if e == nil {
		return
	}
	for _, event := range events.Events {
		prefix, err := strconv.ParseUint(event.Prefix, 16, 64)
		if err != nil || prefix == 0 {
			continue
		}
		if event.Stored {
			g.recordStored(now, prefix, e)
			continue
		}
		g.recordEvicted(now, prefix, e)
	}
	e.cacheNext = events.Next
}

func (g *Group) recordStored(now monotime.Instant, prefix uint64, e *engine) {
	p := g.prefixes.bucket(prefix)
	if p.prefix != 0 && p.prefix != prefix {
		return
	}
	if p.engines[0].engine == nil || p.engines[1].engine == nil && p.engines[0].engine != e {
		g.prefixes.recordRun(now, prefix, e)
	}
}

func (g *Group) recordEvicted(now monotime.Instant, prefix uint64, e *engine) {
	p := g.prefixes.bucket(prefix)
	if p.prefix != prefix {
		return
	}
	for i := range p.engines {
		run := &p.engines[i]
		if run.engine != e || now.Sub(run.at) < cacheEventDelay {
			continue
		}
		// The prefix was evicted after this many others were placed, which is the cache's
		// capacity.
		capacity := max(minCacheCapacity, e.prefixSeq-run.seq)
		e.cacheCapacity = min(e.cacheCapacity, max(capacity, e.cacheCapacity*3/4))
		g.prefixes.removeRun(prefix, e)
	}
}
