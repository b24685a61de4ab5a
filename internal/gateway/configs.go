package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/confsync"
	"basilrudder/internal/eventlog"
	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/quantile"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
)

// configRequestInterval is the minimum time between requests for a version that a peer
// advertised.
const configRequestInterval = 150 * time.Millisecond

// configSync distributes versions of the configuration between instances: those that read
// the store publish them, and the others fetch the parts that they lack from linked
// peers. It implements confsync.Effects.
type configSync struct {
	confsync.PeersOnly
	fleet *fleet
	log   *zap.Logger
	send  func(to string, env *wire.Envelope) bool

	mu          sync.Mutex // acquired before peers.mu
	core        *confsync.Core
	assembler   routing.Assembler
	linked      []string
	requestedAt monotime.Instant
	// progress is the progress of the version that is being fetched.
	progress configProgress
	// lags holds, for each version, the time from when an instance first read it until it
	// is in force here.
	lags quantile.Histogram
}

// configProgress is the progress of fetching one version, for the log.
type configProgress struct {
	version            int
	offered, firstPart monotime.Instant
	from               string // peer that sent the last part
	parts, bytes       int
}

func newConfigSync(self string, f *fleet, log *zap.Logger) *configSync {
	return &configSync{
		fleet: f, log: log,
		core: confsync.New(monotime.Now(), confsync.Config{Self: self, PeersOnly: true}),
	}
}

var _ confsync.Effects = (*configSync)(nil)

// publish offers the peers a configuration that was read from the store and is in force
// here.
func (c *configSync) publish(config *routing.Config) {
	parts, err := config.Parts()
	if err != nil {
		c.log.Error("config_not_published", zap.Int64("version", config.Version), eventlog.Cause(err))
		return
	}
	files := make([]inventory.File, 0, len(parts))
	for _, part := range parts {
		files = append(files, inventory.File{Name: part.Key, Data: part.Data})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := monotime.Now()
	if err := c.core.Publish(now, uint64(config.Version), files, c); err != nil {
		c.log.Error("config_not_published", zap.Int64("version", config.Version), eventlog.Cause(err))
		return
	}
	c.lags.Record(0)
}

// updateLinked applies the current list of linked peers. It calls linked with the lock
// held, so that an older list is never applied after a newer one.
func (c *configSync) updateLinked(linked func() []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := linked()
	if slices.Equal(peers, c.linked) {
		return
	}
	c.linked = peers
	c.core.Members(monotime.Now(), nil, peers, c)
}

// tick runs the tasks that depend on time alone.
func (c *configSync) tick(now monotime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Tick(now, c)
}

// receive handles the configuration messages in an envelope of a peer.
func (c *configSync) receive(from string, env *wire.Envelope) {
	if env.ConfigOffer == nil && env.ConfigWant == nil && env.ConfigPart == nil {
		return
	}
	now := monotime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if env.ConfigOffer != nil {
		c.recordOffer(env.ConfigOffer, now)
		c.core.OnOffer(now, from, *env.ConfigOffer, c)
	}
	if env.ConfigWant != nil {
		c.core.OnWant(now, from, *env.ConfigWant, c)
	}
	if env.ConfigPart != nil {
		c.recordPart(from, env.ConfigPart, now)
		c.core.OnPart(now, from, *env.ConfigPart, c)
	}
}

// checkPeerVersion requests the version that a peer advertises if it is not known here:
// an offer of it may have been lost with a link.
func (c *configSync) checkPeerVersion(from string, version int) {
	now := monotime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= 0 || c.core.Knows(uint64(version)) || c.requestedAt != 0 && now.Sub(c.requestedAt) < configRequestInterval {
		return
	}
	c.requestedAt = now
	c.core.Ask(now, from, c)
}

func (c *configSync) recordOffer(offer *wire.ConfigOffer, now monotime.Instant) {
	if uint64(offer.Revision) > c.core.Revision() && offer.Revision > c.progress.version {
		c.progress = configProgress{version: offer.Revision, offered: now}
	}
}

func (c *configSync) recordPart(from string, part *wire.ConfigPart, now monotime.Instant) {
	if c.progress.firstPart == 0 {
		c.progress.firstPart = now
	}
	c.progress.from = from
	c.progress.parts++
	c.progress.bytes += len(part.Data)
}

// SendPeer implements confsync.Effects.
func (c *configSync) SendPeer(to string, env *wire.Envelope) { c.send(to, env) }

// Install implements confsync.Effects. mu is held.
func (c *configSync) Install(revision uint64, files []inventory.File) error {
	parts := make([]routing.Part, 0, len(files))
	for _, file := range files {
		parts = append(parts, routing.Part{Key: file.Name, Data: file.Data})
	}
	begun := monotime.Now()
	config, err := c.assembler.Assemble(int64(revision), parts)
	if err != nil {
		return err
	}
	if _, err := c.fleet.tryInstallConfig(config, c.progress.from); err != nil {
		return err
	}
	c.logReceived(revision, len(files), begun)
	return nil
}

func (c *configSync) logReceived(revision uint64, parts int, begun monotime.Instant) {
	now, p := monotime.Now(), c.progress
	c.log.Info("config_received", zap.Uint64("version", revision), zap.String("peer", p.from),
		zap.Duration("told_ms", now.Sub(p.offered)), zap.Duration("first_part_ms", now.Sub(p.firstPart)),
		zap.Duration("installing_ms", now.Sub(begun)),
		zap.Int("pieces", p.parts), zap.Int("bytes", p.bytes), zap.Int("parts", parts))
	c.progress = configProgress{version: int(revision)}
}

// Report implements confsync.Effects. mu is held.
func (c *configSync) Report(event confsync.Event) {
	fields := []zap.Field{zap.Uint64("version", event.Revision), zap.String("from", event.From)}
	switch event.Kind {
	case confsync.EventInstalled:
		c.recordLag()
	case confsync.EventRefused, confsync.EventConflict, confsync.EventCorrupted:
		c.log.Error("config_"+string(event.Kind), append(fields, eventlog.Cause(event.Err))...)
	default:
		c.log.Warn("config_"+string(event.Kind), append(fields, eventlog.Cause(event.Err))...)
	}
}

func (c *configSync) recordLag() {
	if at := c.core.PublishedAt(); at != 0 {
		c.lags.Record(float64(monotime.Now().Sub(at).Milliseconds()))
	}
}

// configMetrics is the state of configuration distribution in the metrics.
type configMetrics struct {
	// LagMS is the time from when an instance first read a version until it is in force
	// here, in milliseconds, without the travel time of updates.
	LagMS quantile.Summary `json:"lag_ms"`
	Stats confsync.Stats   `json:"stats"`
}

func (c *configSync) metrics() configMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return configMetrics{LagMS: c.lags.Summary(), Stats: c.core.Stats()}
}
