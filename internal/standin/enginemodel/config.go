package enginemodel

import (
	"cmp"
	"time"
)

// Defaults of Config, used for fields left zero.
const (
	DefaultSlots             = 16
	DefaultStepMS            = 7.0
	DefaultPrefillTokensPerS = 20_000
	DefaultCacheTokens       = 200_000
	DefaultPrefixShare       = 0.8
	DefaultBatchSlowdown     = 0.01
	DefaultLinger            = 10 * time.Second
	DefaultKeepEnded         = 30 * time.Second
	DefaultLoadLag           = time.Second
	DefaultCacheEventLag     = time.Second
)

// cacheEventLogSize bounds the log of cache events; older ones are lost.
const cacheEventLogSize = 1024

// Config describes one engine. Zero fields take the defaults above.
type Config struct {
	// Name in load reports.
	Name string
	// Slots is the most requests that one step decodes.
	Slots int
	// MaxWaiting is the most requests that wait for a slot; 0 for as many as
	// Slots, negative for none.
	MaxWaiting int
	// StepMS is the time of a step that decodes one request, in milliseconds.
	StepMS float64
	// BatchSlowdown is the share of StepMS that each further request adds.
	BatchSlowdown float64
	// PrefillTokensPerS is the number of prompt tokens processed per second.
	PrefillTokensPerS int
	// PrefillChunk is the most prompt tokens that one step processes; 0 for as
	// many as take one StepMS.
	PrefillChunk int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// PrefixShare is the share of a prompt under its prefix key for jobs that
	// do not say.
	PrefixShare float64
	// Preempt lets a waiting job of a higher priority pause a running one. The
	// paused job keeps its tokens and pays for its prompt again.
	Preempt bool
	// Slowdown multiplies every step; 0 or 1 for none. A straggler has more.
	Slowdown float64
	// Linger is how long a run goes on without a connection.
	Linger time.Duration
	// KeepEnded is how long an ended run is known, for resume and duplicates.
	KeepEnded time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the least age of a cache event when it is published;
	// half as much again is added at random.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never published.
	CacheEventLoss float64
}

func (c Config) withDefaults() Config {
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, c.Slots)
	c.StepMS = cmp.Or(c.StepMS, DefaultStepMS)
	c.BatchSlowdown = cmp.Or(c.BatchSlowdown, DefaultBatchSlowdown)
	c.PrefillTokensPerS = cmp.Or(c.PrefillTokensPerS, DefaultPrefillTokensPerS)
	c.CacheTokens = cmp.Or(c.CacheTokens, DefaultCacheTokens)
	c.PrefixShare = cmp.Or(c.PrefixShare, DefaultPrefixShare)
	c.Slowdown = cmp.Or(c.Slowdown, 1)
	c.Linger = cmp.Or(c.Linger, DefaultLinger)
	c.KeepEnded = cmp.Or(c.KeepEnded, DefaultKeepEnded)
	c.LoadLag = cmp.Or(c.LoadLag, DefaultLoadLag)
	c.CacheEventLag = cmp.Or(c.CacheEventLag, DefaultCacheEventLag)
	perStep := int(float64(c.PrefillTokensPerS) * c.StepMS / 1000)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, max(perStep, 1))
	return c
}
