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

// configAskInterval is the least time between questions for a version that a peer has told of.
const configAskInterval = 150 * time.Millisecond

// configs spreads versions of the configuration between instances: those that read the
// store publish them, and the others fetch the parts that they lack from linked peers. It
// implements confsync.Effects.
type configs struct {
	confsync.PeersOnly
	fleet *fleet
	log   *zap.Logger
	send  func(to string, env *wire.Envelope) bool

	mu        sync.Mutex // taken before peers.mu
	core      *confsync.Core
	assembler routing.Assembler
	linked    []string
	askedAt   monotime.Instant
	// progress is that of the version which is being fetched.
	progress configProgress
	// lags are the times from the first reading of each version by an instance to its
	// being in force here.
	lags quantile.Histogram
}

// configProgress tells how a version came.
type configProgress struct {
	version         int
	told, firstPart monotime.Instant
	from            string // who sent the last part
	parts, bytes    int
}

func newConfigs(self string, f *fleet, log *zap.Logger) *configs {
	return &configs{
		fleet: f, log: log,
		core: confsync.New(monotime.Now(), confsync.Config{Self: self, PeersOnly: true}),
	}
}

var _ confsync.Effects = (*configs)(nil)

// publish has peers fetch a configuration that the store told and that is in force here.
func (c *configs) publish(config *routing.Config) {
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

// relink looks to which peers links are up. The lock is held meanwhile, so that an older
// look does not come after a newer one.
func (c *configs) relink(linked func() []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := linked()
	if slices.Equal(peers, c.linked) {
		return
	}
	c.linked = peers
	c.core.SetMembers(monotime.Now(), nil, peers, c)
}

// tick does what is due by time alone.
func (c *configs) tick(now monotime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Tick(now, c)
}

// take takes what a peer says of configurations.
func (c *configs) take(from string, env *wire.Envelope) {
	if env.ConfigOffer == nil && env.ConfigWant == nil && env.ConfigPart == nil {
		return
	}
	now := monotime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if env.ConfigOffer != nil {
		c.noteTold(env.ConfigOffer, now)
		c.core.OnOffer(now, from, *env.ConfigOffer, c)
	}
	if env.ConfigWant != nil {
		c.core.OnWant(now, from, *env.ConfigWant, c)
	}
	if env.ConfigPart != nil {
		c.notePart(from, env.ConfigPart, now)
		c.core.OnPart(now, from, *env.ConfigPart, c)
	}
}

// heard notes the version that a peer says it has. An offer of it may have been lost with
// a link.
func (c *configs) heard(from string, version int) {
	now := monotime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= 0 || c.core.Tracks(uint64(version)) || c.askedAt != 0 && now.Sub(c.askedAt) < configAskInterval {
		return
	}
	c.askedAt = now
	c.core.QueryPeer(now, from, c)
}

func (c *configs) noteTold(offer *wire.ConfigOffer, now monotime.Instant) {
	if uint64(offer.Revision) > c.core.Revision() && offer.Revision > c.progress.version {
		c.progress = configProgress{version: offer.Revision, told: now}
	}
}

func (c *configs) notePart(from string, part *wire.ConfigPart, now monotime.Instant) {
	if c.progress.firstPart == 0 {
		c.progress.firstPart = now
	}
	c.progress.from = from
	c.progress.parts++
	c.progress.bytes += len(part.Data)
}

// SendPeer implements confsync.Effects.
func (c *configs) SendPeer(to string, env *wire.Envelope) { c.send(to, env) }

// Install implements confsync.Effects. mu is held.
func (c *configs) Install(revision uint64, files []inventory.File) error {
	parts := make([]routing.Part, 0, len(files))
	for _, file := range files {
		parts = append(parts, routing.Part{Key: file.Name, Data: file.Data})
	}
	begun := monotime.Now()
	config, err := c.assembler.Assemble(int64(revision), parts)
	if err != nil {
		return err
	}
	if _, err := c.fleet.enforce(config, c.progress.from); err != nil {
		return err
	}
	c.logReceived(revision, len(files), begun)
	return nil
}

func (c *configs) logReceived(revision uint64, parts int, complete monotime.Instant) {
	now, p := monotime.Now(), c.progress
	c.log.Info("config_received", zap.Uint64("version", revision), zap.String("peer", p.from),
		zap.Duration("told_ms", now.Sub(p.told)), zap.Duration("first_part_ms", now.Sub(p.firstPart)),
		zap.Duration("installing_ms", now.Sub(complete)),
		zap.Int("pieces", p.parts), zap.Int("bytes", p.bytes), zap.Int("parts", parts))
	c.progress = configProgress{version: int(revision)}
}

// Report implements confsync.Effects. mu is held.
func (c *configs) Report(event confsync.Event) {
	fields := []zap.Field{zap.Uint64("version", event.Revision), zap.String("from", event.From)}
	switch event.Kind {
	case confsync.EventInstalled:
		c.noteLag()
	case confsync.EventRefused, confsync.EventConflict, confsync.EventCorrupted:
		c.log.Error("config_"+string(event.Kind), append(fields, eventlog.Cause(event.Err))...)
	default:
		c.log.Warn("config_"+string(event.Kind), append(fields, eventlog.Cause(event.Err))...)
	}
}

func (c *configs) noteLag() {
	if at := c.core.PublishedAt(); at != 0 {
		c.lags.Record(float64(monotime.Now().Sub(at).Milliseconds()))
	}
}

// configState is what the metrics tell of configurations.
type configState struct {
	// LagMS is the time from the first reading of a version by an instance to its being in
	// force here, without the time that news were on their way.
	LagMS quantile.Summary `json:"lag_ms"`
	Stats confsync.Stats   `json:"stats"`
}

func (c *configs) state() configState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return configState{LagMS: c.lags.Summary(), Stats: c.core.Stats()}
}
