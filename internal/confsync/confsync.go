// Package confsync decides which revision of the configuration is in force at
// one instance and how it learns of a newer one. A few readers in each data
// centre hold a waiting watch at the platform; everybody else learns from its
// neighbours. The highest revision wins, whoever tells of it; a revision takes
// effect whole or not at all, and none ever gives way to a lower one.
//
// The package is pure: it takes the instant as an argument, does its I/O
// through Effects and starts no goroutine.
package confsync

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// CallID is the number of one call to the platform. Answers carry it back, so
// that one which comes after its call was given up is told from a fresh one.
type CallID uint64

// Effects is what the core does to the world. Calls to the platform are
// answered through the On methods of Core, later and never from within.
type Effects interface {
	// SendPeer sends to an instance; a message may be lost.
	SendPeer(to string, envelope *wire.Envelope)
	// Watch waits up to wait for a revision or an instance list newer than
	// given; OnWatch answers.
	Watch(call CallID, revision uint64, instances int, wait time.Duration)
	// FetchManifest reads the manifest; OnManifest answers.
	FetchManifest(call CallID)
	// FetchChunk reads one value; OnChunk answers.
	FetchChunk(call CallID, key string)
	// FetchInstances reads the instance list; OnInstances answers.
	FetchInstances(call CallID)
	// Install checks a revision and puts it in force. An error refuses it as a
	// whole, for good.
	Install(revision uint64, files []inventory.File) error
	// Report tells operators.
	Report(Event)
}

// PeersOnly is what an owner need not do for a core with Config.PeersOnly.
type PeersOnly struct{}

// Watch implements Effects.
func (PeersOnly) Watch(CallID, uint64, int, time.Duration) {}

// FetchManifest implements Effects.
func (PeersOnly) FetchManifest(CallID) {}

// FetchChunk implements Effects.
func (PeersOnly) FetchChunk(CallID, string) {}

// FetchInstances implements Effects.
func (PeersOnly) FetchInstances(CallID) {}

// Member is an instance that is believed to live.
type Member struct {
	// ID of the instance.
	ID string
	// DataCentre it stands in.
	DataCentre string
}

// NeverConfirmed is the age of a revision that nobody has confirmed since the
// process started or woke.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Config of a Core. Zero durations and numbers take the defaults.
type Config struct {
	// Self is the id of the instance.
	Self string
	// DataCentre the instance stands in.
	DataCentre string
	// PeersOnly says that the owner follows the platform itself and calls Publish; the core
	// makes no calls.
	PeersOnly bool
	// ReadersPerDC is how many instances of a data centre watch the platform.
	ReadersPerDC int
	// Seed of the jitter.
	Seed uint64
	// QueryInterval is how often each neighbour is asked for its revision.
	QueryInterval time.Duration
	// WatchWait is how long a watch waits at the platform.
	WatchWait time.Duration
	// CallTimeout is how long a read of the platform may take; a watch may take
	// that much longer than its wait.
	CallTimeout time.Duration
	// PieceTimeout is how long a neighbour may take to send the next piece.
	PieceTimeout time.Duration
	// PeerTimeout is the silence of all neighbours that turns a learner into an
	// extra reader.
	PeerTimeout time.Duration
	// MaxPlatformAge is the age of the platform's last word, to anybody's
	// knowledge, that turns a learner into an extra reader.
	MaxPlatformAge time.Duration
	// PauseThreshold is the time between two ticks that counts as a pause.
	PauseThreshold time.Duration
}

// Defaults of Config.
const (
	DefaultReadersPerDC   = 2
	DefaultQueryInterval  = 2 * time.Second
	DefaultWatchWait      = 10 * time.Second
	DefaultCallTimeout    = 3 * time.Second
	DefaultPieceTimeout   = time.Second
	DefaultPeerTimeout    = 6 * time.Second
	DefaultMaxPlatformAge = 45 * time.Second
	DefaultPauseThreshold = 2 * time.Second
)

// Limits of what is accepted and remembered.
const (
	// PieceBytes is the size of a piece between instances.
	PieceBytes = 32 << 10
	// MaxValueBytes is the size of a value at the platform.
	MaxValueBytes = 1 << 20
	// MaxRevisionBytes is the size of all values of a revision.
	MaxRevisionBytes = 32 << 20
	// MaxChunks is the number of values of a revision.
	MaxChunks = 4096

	piecesPerRequest       = 4
	maxConcurrentItems     = 4
	maxRefused             = 64
	backoffMin             = 250 * time.Millisecond
	backoffMax             = 15 * time.Second
	extraReaderBackoffMax  = 60 * time.Second
	extraReaderMinFailures = 4
	bootstrapGrace         = 500 * time.Millisecond
	bootstrapGraceListed   = 3 * time.Second
	resumeQueryInterval    = 500 * time.Millisecond
	resumeTrustDelay       = 2 * time.Second
)

func (cfg Config) withDefaults() Config {
	cfg.QueryInterval = cmp.Or(cfg.QueryInterval, DefaultQueryInterval)
	cfg.WatchWait = cmp.Or(cfg.WatchWait, DefaultWatchWait)
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, DefaultCallTimeout)
	cfg.PieceTimeout = cmp.Or(cfg.PieceTimeout, DefaultPieceTimeout)
	cfg.PeerTimeout = cmp.Or(cfg.PeerTimeout, DefaultPeerTimeout)
	cfg.MaxPlatformAge = cmp.Or(cfg.MaxPlatformAge, DefaultMaxPlatformAge)
	cfg.PauseThreshold = cmp.Or(cfg.PauseThreshold, DefaultPauseThreshold)
	if cfg.ReadersPerDC == 0 {
		cfg.ReadersPerDC = DefaultReadersPerDC
	}
	return cfg
}

// Stats counts what the core did. Bytes are those of pieces and values.
type Stats struct {
	Installed, Refused, Conflicts, Corrupted  uint64
	StaleAnswers, PlatformErrors              uint64
	Watches, Reads                            uint64
	Offers, Answers, Wants, PartsSent         uint64
	BytesFromPeers, BytesToPeers, BytesOfRead uint64
}

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand

	startedAt monotime.Instant
	lastTick  monotime.Instant

	live        []Member
	listed      []Member
	neighbours  []string
	reader      bool
	extraReader bool

	current    revision
	refused    []revisionID
	candidates map[revisionID]*candidate
	fetch      *fetch
	conflicts  map[conflictKey]bool
	// retained holds values of a fetch that failed, by hash.
	retained map[string][]byte
	// staggerFraction places the instance among those that act for one cause.
	staggerFraction float64

	platform platformState
	gossip   gossipState

	confirmedAt         monotime.Instant
	confirmed           bool
	resumedAt           monotime.Instant
	resuming            bool
	platformConfirmedAt monotime.Instant
	platformConfirmed   bool

	stats Stats
}

// New returns a core without a configuration.
func New(now monotime.Instant, cfg Config) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Self))),
		startedAt:  now,
		lastTick:   now,
		candidates: make(map[revisionID]*candidate),
		conflicts:  make(map[conflictKey]bool),
		retained:   make(map[string][]byte),
	}
	c.staggerFraction = c.rng.Float64()
	c.platform = newPlatformState(now)
	c.gossip = newGossipState(now.Add(c.jitter(cfg.QueryInterval)))
	c.electReader()
	return c
}

// jitter returns a random share of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// Revision returns the revision in force; 0 for none.
func (c *Core) Revision() uint64 {
	return c.current.id.number
}

// Confirmed returns the revision in force and the time since a neighbour or
// the platform was asked and knew of nothing newer. The age is NeverConfirmed
// from the start, and from a pause, until the first such answer.
func (c *Core) Confirmed(now monotime.Instant) (uint64, time.Duration) {
	if !c.confirmed {
		return c.Revision(), NeverConfirmed
	}
	return c.Revision(), now.Sub(c.confirmedAt)
}

// PlatformAge returns the time since the platform confirmed the revision to
// this instance or to one it heard of; NeverConfirmed for unknown.
func (c *Core) PlatformAge(now monotime.Instant) time.Duration {
	if !c.platformConfirmed {
		return NeverConfirmed
	}
	return now.Sub(c.platformConfirmedAt)
}

// Reader reports whether the instance watches the platform now.
func (c *Core) Reader() bool {
	return c.reader || c.extraReader
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	return c.stats
}

// confirm takes note of an answer to a question asked at the instant.
func (c *Core) confirm(asked monotime.Instant) {
	if c.current.id.number == 0 {
		return
	}
	if !c.confirmed || c.confirmedAt.Before(asked) {
		c.confirmedAt = asked
	}
	c.confirmed = true
	c.resuming = false
}

func (c *Core) confirmPlatform(at monotime.Instant) {
	if !c.platformConfirmed || c.platformConfirmedAt.Before(at) {
		c.platformConfirmedAt = at
	}
	c.platformConfirmed = true
}

// Tick drives timeouts; call it several times a second.
func (c *Core) Tick(now monotime.Instant, eff Effects) {
	if gap := now.Sub(c.lastTick); gap > c.cfg.PauseThreshold {
		c.OnPaused(now, gap, eff)
	}
	c.lastTick = now
	c.expireCalls(now, eff)
	c.expirePieces(now)
	c.updateExtraReader(now)
	c.queryIfDue(now, eff)
	c.advance(now, eff)
}

// advance does what the state now allows; every event ends with it.
func (c *Core) advance(now monotime.Instant, eff Effects) {
	c.watchIfDue(now, eff)
	c.driveFetch(now, eff)
}

// OnPaused tells that the process did not run for gap. What it knew may be
// long out of date: messages in its buffers were sent before or during the
// pause, and nothing in them proves that they are new. So every open question
// and call is forgotten, and only the answer to one asked from now on confirms
// the revision.
func (c *Core) OnPaused(now monotime.Instant, _ time.Duration, eff Effects) {
	c.lastTick = now
	c.confirmed = false
	c.resuming = true
	c.resumedAt = now
	c.platform.reset(now)
	c.gossip.reset(now)
	c.fetch.restart(now)
	c.announce(now, eff)
	c.advance(now, eff)
}
