// Package confsync decides which revision of the configuration is in force at one
// instance and how the instance obtains newer ones. In each data centre a few readers
// keep a long poll (watch) open at the platform; all other instances (learners) fetch
// from their neighbours. The highest revision wins, whatever its source. A revision takes
// effect completely or not at all, and is never replaced by a lower one.
//
// The package is deterministic: it takes the current time as an argument, does its I/O
// through Effects and starts no goroutines.
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

// CallID identifies one call to the platform. Answers carry it, which distinguishes a
// late answer to an abandoned call from an answer to an open one.
type CallID uint64

// Effects performs the I/O of a Core. Calls to the platform are answered through the On
// methods of Core, later and never from within the call.
type Effects interface {
	// SendPeer sends a message to an instance. The message may be lost.
	SendPeer(to string, envelope *wire.Envelope)
	// Watch waits up to wait for a revision or an instance list newer than the given
	// ones. OnWatch receives the answer.
	Watch(call CallID, revision uint64, instances int, wait time.Duration)
	// FetchManifest reads the manifest. OnManifest receives it.
	FetchManifest(call CallID)
	// FetchChunk reads one value. OnChunk receives it.
	FetchChunk(call CallID, key string)
	// FetchInstances reads the instance list. OnInstances receives its version.
	FetchInstances(call CallID)
	// Install checks a revision and puts it in force. An error refuses the whole revision;
	// it is not tried again.
	Install(revision uint64, files []inventory.File) error
	// Report reports an event to operators.
	Report(Event)
}

// PeersOnly implements the platform calls of Effects as no-ops, for owners of a core with
// Config.PeersOnly.
type PeersOnly struct{}

// Watch implements Effects.
func (PeersOnly) Watch(CallID, uint64, int, time.Duration) {}

// FetchManifest implements Effects.
func (PeersOnly) FetchManifest(CallID) {}

// FetchChunk implements Effects.
func (PeersOnly) FetchChunk(CallID, string) {}

// FetchInstances implements Effects.
func (PeersOnly) FetchInstances(CallID) {}

// Member is an instance that is considered live.
type Member struct {
	ID string
	// DataCentre is the data centre in which the instance is located.
	DataCentre string
}

// NeverConfirmed is the age of a revision that has not been confirmed since the process
// started or was last paused.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Config configures a Core. Zero durations and numbers select the defaults.
type Config struct {
	// Self is the ID of the instance.
	Self string
	// DataCentre is the data centre in which the instance is located.
	DataCentre string
	// PeersOnly disables all calls to the platform: the owner reads it and calls Publish.
	PeersOnly bool
	// ReadersPerDC is the number of instances per data centre that watch the platform.
	ReadersPerDC int
	// Seed seeds the jitter.
	Seed uint64
	// QueryInterval is the interval at which each neighbour is asked for its revision.
	QueryInterval time.Duration
	// WatchWait is the time that the platform holds a watch open when there is nothing
	// newer.
	WatchWait time.Duration
	// CallTimeout bounds a read of the platform. A watch is bounded by WatchWait +
	// CallTimeout.
	CallTimeout time.Duration
	// PieceTimeout bounds the time until a neighbour sends the next piece.
	PieceTimeout time.Duration
	// PeerTimeout is the time without an answer from any neighbour after which a learner
	// becomes an extra reader.
	PeerTimeout time.Duration
	// MaxPlatformAge is the age of the platform's last confirmation received by this
	// instance, directly or from a neighbour, after which a learner becomes an extra
	// reader.
	MaxPlatformAge time.Duration
	// PauseThreshold is the time between two ticks above which the process counts as
	// paused.
	PauseThreshold time.Duration
}

// Default values of Config.
const (
	// DefaultReadersPerDC: with 1, a data centre has no reader from the failure of that one
	// until another takes over. Each further reader costs a permanent watch and the reads
	// of each change.
	DefaultReadersPerDC = 2
	// DefaultQueryInterval bounds the delay of a change after a lost offer. A shorter one
	// costs idle traffic; a longer one must stay well below DefaultPeerTimeout.
	DefaultQueryInterval = 2 * time.Second
	// DefaultWatchWait sets the idle call rate at the platform. A reader's confirmation by
	// the platform counts from the start of its watch, so its age reaches twice this.
	DefaultWatchWait = 10 * time.Second
	// DefaultCallTimeout delays a retry after an unresponsive connection. A shorter one
	// abandons reads of a slow platform, which are then repeated.
	DefaultCallTimeout = 3 * time.Second
	// DefaultPieceTimeout is the delay per hop if a source stops sending. A shorter one
	// excludes sources that are only busy.
	DefaultPieceTimeout = time.Second
	// DefaultPeerTimeout allows three queries. A shorter one makes learners read the
	// platform after a few lost messages; a longer one delays changes at an isolated one.
	DefaultPeerTimeout = 6 * time.Second
	// DefaultMaxPlatformAge must exceed twice DefaultWatchWait plus DefaultCallTimeout and
	// the time to spread between neighbours, or learners read the platform while the
	// readers work. A longer one delays changes if the readers cannot reach the platform.
	DefaultMaxPlatformAge = 45 * time.Second
	// DefaultPauseThreshold separates scheduling delays from pauses. A shorter one drops
	// the confirmation after mere delays; a longer one misses pauses up to its length.
	DefaultPauseThreshold = 2 * time.Second
)

// Limits on received and stored data, and intervals.
const (
	// PieceBytes is the maximum size of a piece sent between instances. Larger pieces
	// delay other messages on the link for longer.
	PieceBytes = 32 << 10
	// MaxValueBytes is the maximum size of a value or manifest. A lower limit refuses
	// revisions that contain larger ones.
	MaxValueBytes = 1 << 20
	// MaxRevisionBytes is the maximum total size of a revision's values. It bounds the
	// memory for an untrusted manifest; a larger revision is refused.
	MaxRevisionBytes = 32 << 20
	// MaxChunks is the maximum number of values in a revision. A manifest with more is
	// refused.
	MaxChunks = 4096

	// piecesPerRequest bounds what one request returns, here to 128 KiB. Fewer cost more
	// round trips per value; more send further data after the requester has given up.
	piecesPerRequest = 4
	// maxConcurrentItems bounds the open transfers of a fetch. Fewer slow it down by
	// round trips; more raise the peak of calls to the platform.
	maxConcurrentItems = 4
	// maxRefused bounds the refused revisions that are recorded. One that is no longer
	// recorded is fetched and checked again if it is announced.
	maxRefused = 64
	// backoffMin and backoffMax bound the delay between attempts. Lower ones load a
	// failing platform; a higher maximum delays changes after it has recovered.
	backoffMin = 250 * time.Millisecond
	backoffMax = 15 * time.Second
	// extraReaderBackoffMax and extraReaderMinFailures make extra readers retry more
	// slowly than readers, because the whole fleet may be retrying.
	extraReaderBackoffMax  = 60 * time.Second
	extraReaderMinFailures = 4
	// bootstrapGrace is the time for a peer to answer a process without a configuration.
	// A lower one makes more of them read the platform, a higher one delays the start.
	bootstrapGrace = 500 * time.Millisecond
	// bootstrapGraceListed applies instead if the platform lists other instances. It must
	// cover the time in which the readers read and check the configuration.
	bootstrapGraceListed = 3 * time.Second
	// resumeQueryInterval replaces QueryInterval after a pause, while dispatch waits for a
	// confirmation.
	resumeQueryInterval = 500 * time.Millisecond
	// resumeTrustDelay is the time for an instance that was not paused, or the platform,
	// to answer first. Below a round trip, instances that were paused together could
	// confirm an outdated revision to each other.
	resumeTrustDelay = 2 * time.Second
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

// Stats counts the operations of a Core. Byte counts cover pieces and values only.
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
	// retained holds values of a failed fetch by their hash.
	retained map[string][]byte
	// staggerFraction is this instance's fixed random position in [0,1) for stagger.
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

// New returns a core that has no configuration.
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

// jitter returns a random duration between 0 and d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// Revision returns the revision in force; 0 for none.
func (c *Core) Revision() uint64 {
	return c.current.id.number
}

// Confirmed returns the revision in force and the time since the query or call to a
// neighbour or the platform that reported nothing newer. The age is NeverConfirmed after
// the start and after each pause, until the first such answer.
func (c *Core) Confirmed(now monotime.Instant) (uint64, time.Duration) {
	if !c.confirmed {
		return c.Revision(), NeverConfirmed
	}
	return c.Revision(), now.Sub(c.confirmedAt)
}

// PlatformAge returns the time since the platform last confirmed the revision, to this
// instance or to one whose confirmation was received. It is NeverConfirmed when unknown.
func (c *Core) PlatformAge(now monotime.Instant) time.Duration {
	if !c.platformConfirmed {
		return NeverConfirmed
	}
	return now.Sub(c.platformConfirmedAt)
}

// Reader reports whether the instance currently watches the platform.
func (c *Core) Reader() bool {
	return c.reader || c.extraReader
}

func (c *Core) Stats() Stats {
	return c.stats
}

// confirm records a confirmation by an answer to a query sent at asked.
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

// confirmPlatform records a confirmation by the platform at the given time.
func (c *Core) confirmPlatform(at monotime.Instant) {
	if !c.platformConfirmed || c.platformConfirmedAt.Before(at) {
		c.platformConfirmedAt = at
	}
	c.platformConfirmed = true
}

// Tick runs due timeouts and periodic work. Call it several times a second.
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

// advance starts the calls and fetches that the current state allows. Every event ends
// with it.
func (c *Core) advance(now monotime.Instant, eff Effects) {
	c.watchIfDue(now, eff)
	c.driveFetch(now, eff)
}

// OnPaused resets the state after the process did not run for gap. The recorded state may
// be long out of date: buffered messages were sent before or during the pause, and
// nothing in them proves that they are recent. All open queries and calls are therefore
// dropped, and only an answer to a later one confirms the revision.
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
