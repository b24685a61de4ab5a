package enginemodel

import (
	"cmp"
	"time"
)

// Defaults of Config for fields left zero. With a shorter linger, a run ends before a
// slow caller resumes it; once an ended run is no longer kept, its id is executed again.
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

// cacheEventLogSize bounds the log of cache events. A full log drops its older half; a
// smaller log loses more events for readers that poll rarely, a larger one costs memory.
const cacheEventLogSize = 1024

// Config describes one engine. Zero fields take the defaults above.
type Config struct {
	// Name is the engine's name in load reports.
	Name string
	// Slots is the maximum number of requests in a batch.
	Slots int
	// MaxWaiting is the maximum number of requests waiting for a slot; 0 means Slots, a
	// negative value none.
	MaxWaiting int
	// StepMS is the time of a step that decodes one request, in milliseconds.
	StepMS float64
	// BatchSlowdown is the share of StepMS that each further request adds.
	BatchSlowdown float64
	// PrefillTokensPerS is the number of prompt tokens processed per second.
	PrefillTokensPerS int
	// PrefillChunk is the maximum number of prompt tokens per step; 0 means as many as
	// take one StepMS.
	PrefillChunk int
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// PrefixShare is the share of the prompt that belongs to the prefix, for jobs without
	// PrefixTokens.
	PrefixShare float64
	// Preempt lets a waiting job pause a running one of lower priority. The paused job
	// keeps its generated tokens, but prompt and tokens are prefilled again.
	Preempt bool
	// Slowdown multiplies the time of every step; 0 or 1 for none. A straggler's is
	// greater than 1.
	Slowdown float64
	// Linger is how long a run continues without a connection.
	Linger time.Duration
	// KeepEnded is how long an ended run is kept for resumption and the detection of
	// duplicates.
	KeepEnded time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the minimum delay of a cache event; up to half of it is added as
	// random jitter.
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
