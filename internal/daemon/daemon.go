// Package daemon connects an instance to its I/O: the listeners for callers, peers and
// operators, the links to peers, and the clients of upstreams and the platform.
package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/accounting"
	"basilrudder/internal/answers"
	"basilrudder/internal/callers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/confsync"
	"basilrudder/internal/descriptors"
	"basilrudder/internal/inbound"
	"basilrudder/internal/instance"
	"basilrudder/internal/membership"
	"basilrudder/internal/membudget"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/node"
	"basilrudder/internal/peer"
	"basilrudder/internal/platform"
	"basilrudder/internal/reqid"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/settings"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/timer"
	"basilrudder/internal/upstream"
)

const (
	// cancelTimeout bounds a request to an engine to cancel a run. If it is too short for
	// an engine, the run goes on until the time allowed for a resumption has passed; a
	// larger value delays the end of the attempt when the engine does not respond.
	cancelTimeout = 2 * time.Second
	// defaultKeyID and defaultKey authenticate links until the configuration has keys. The
	// key is public: it prevents accidental connections but not attacks.
	defaultKeyID = "bootstrap"
	defaultKey   = "basilrudder-bootstrap-key"
)

// Config configures a Daemon.
type Config struct {
	// Settings must be validated.
	Settings *settings.Settings
	// Listeners must be open.
	Listeners Listeners
	// Records receives the accounting lines.
	Records *accounting.Writer
	// Log receives all other log lines.
	Log *zap.Logger
}

// Daemon is one running instance.
type Daemon struct {
	*dispatcher
	cfg Config
	// ctx is valid from New to the end of Run; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// aborted is cancelled by Abort, or when a part of Run fails.
	aborted     context.Context
	abort       context.CancelFunc
	instance    *instance.Instance
	links       *peer.Links
	platform    *platform.Client
	callers     *callers.Server
	answerStore *answers.Store
	poller      *poller
	orders      *orderSender
	// control are the connections at the admin address, and those of peers until they are links.
	control *inbound.Conns
	// inbound are the connections of callers.
	inbound *inbound.Conns
	self    reqid.Incarnation
	tasks   sync.WaitGroup
}

// New returns a daemon that serves nothing until Run is called.
func New(cfg Config) (*Daemon, error) {
	s := cfg.Settings
	seed := rand.Uint64()
	d := &Daemon{
		cfg:         cfg,
		self:        reqid.NewIncarnation(s.Instance.ID, time.Now(), rand.Uint32()),
		platform:    platform.New(platform.Config{Address: s.Platform.Address, Timeout: time.Duration(s.Platform.TimeoutMS) * time.Millisecond}),
		answerStore: answers.NewStore(answerStoreConfig(s, nil)),
	}
	budget := descriptors.New(cmp.Or(s.Limits.Descriptors, descriptors.OfProcess()))
	memory := membudget.ForMachine(s.Limits.MemoryMb)
	d.control = inbound.New(descriptors.Control, budget, memory, cfg.Log)
	d.inbound = inbound.New(descriptors.Callers, budget, memory, cfg.Log, d.control)
	for _, listener := range []*net.Listener{&d.cfg.Listeners.Callers, &d.cfg.Listeners.Peers, &d.cfg.Listeners.Admin} {
		*listener = netconn.RetryAccept(*listener, cfg.Log)
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.aborted, d.abort = context.WithCancel(d.ctx)
	d.dispatcher = &dispatcher{
		ctx:         d.ctx,
		clients:     upstream.New(upstream.Config{}),
		answerStore: d.answerStore,
		records:     cfg.Records,
		send:        d.send,
		active:      make(map[string]*activeRequest),
	}
	d.instance = instance.New(monotime.Now(), d.instanceConfig(seed), d)
	d.node = d.instance.Node()
	d.poller = newPoller(d.node, d.clients, &d.tasks, seed)
	d.orders = newOrderSender(d.self.Instance, d.node, d.clients, &d.tasks, cfg.Log)
	d.orders.send = d.send
	var err error
	if d.links, err = peer.New(d.peerConfig()); err != nil {
		return nil, err
	}
	d.callers = callers.NewServer(d.callerConfig(), &backend{
		self: d.self, dataCentre: s.Instance.DataCentre, node: d.node, dispatcher: d.dispatcher, answerStore: d.answerStore,
	})
	return d, nil
}

func (d *Daemon) instanceConfig(seed uint64) instance.Config {
	s := d.cfg.Settings
	return instance.Config{
		Node: node.Config{
			Self:       d.self,
			DataCentre: s.Instance.DataCentre,
			Capacity:   s.Limits.Requests,
			Policy:     sched.Default(),
			Seed:       seed,
		},
		Self: membership.Member{
			ID:            d.self.Instance,
			Incarnation:   d.self.Token,
			DataCentre:    s.Instance.DataCentre,
			CallerAddress: cmp.Or(s.Advertise.Callers, d.cfg.Listeners.Callers.Addr().String()),
			PeerAddress:   cmp.Or(s.Advertise.Peers, d.cfg.Listeners.Peers.Addr().String()),
			Epoch:         uint64(time.Now().Unix()),
		},
		Seeds: s.Peers.Seeds,
	}
}

func (d *Daemon) callerConfig() callers.Config {
	limits := d.cfg.Settings.Limits
	return callers.Config{
		HeaderBytes: limits.HeaderBytes,
		BodyBytes:   limits.BodyBytes,
		Connections: limits.Connections,
		Inbound:     d.inbound,
		ReadTimeout: time.Duration(limits.ReadTimeoutMS) * time.Millisecond,
		WriteStall:  time.Duration(limits.WriteStallMS) * time.Millisecond,
		Log:         d.cfg.Log,
	}
}

func (d *Daemon) peerConfig() peer.Config {
	self := d.instanceConfig(0).Self
	return peer.Config{
		Self: peer.Identity{
			ID:            self.ID,
			Incarnation:   self.Incarnation,
			DataCentre:    self.DataCentre,
			CallerAddress: self.CallerAddress,
			PeerAddress:   self.PeerAddress,
		},
		Keys:     d.keys(nil),
		Listener: d.control.Listener(d.cfg.Listeners.Peers),
		Accepted: inbound.Detach,
		Resolve:  d.resolve,
		Handler:  d,
		Log:      d.cfg.Log,
	}
}

// keys returns the published keys and the key from the settings. The latter stays valid so
// that a new process can connect to its peers before it has a configuration. The public
// default key is not accepted once keys are published: anyone could pose as an instance
// with it.
func (d *Daemon) keys(cat *catalog.Catalog) []peer.Key {
	var keys []peer.Key
	if cat != nil {
		for _, key := range cat.Inventory.PeerKeys {
			keys = append(keys, peer.Key{ID: key.ID, Secret: key.Secret})
		}
	}
	s := d.cfg.Settings.Peers
	if s.Key != "" {
		return append(keys, peer.Key{ID: cmp.Or(s.KeyID, defaultKeyID), Secret: s.Key})
	}
	if len(keys) > 0 {
		return keys
	}
	return []peer.Key{{ID: defaultKeyID, Secret: defaultKey}}
}

func (d *Daemon) resolve(id string) (string, bool) {
	view := d.node.View()
	if view == nil {
		return "", false
	}
	member, ok := view.Find(id)
	return member.PeerAddress, ok
}

func (d *Daemon) send(to string, env *wire.Envelope) {
	if !d.links.Send(to, env) {
		d.runAsync(func() { d.instance.OnLinkDown(monotime.Now(), to) })
	}
}

// runAsync runs task in a goroutine of its own, without the locks that the caller holds.
func (d *Daemon) runAsync(task func()) {
	d.tasks.Go(task)
}

// Run serves until ctx is cancelled and the drain has finished, or until Abort. It returns
// ErrCutOff if requests were still in flight, or connections of callers still open, at
// the end.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.publishVars()()
	group, groupCtx := errgroup.WithContext(d.ctx)
	group.Go(func() error { return d.links.Run(groupCtx) })
	group.Go(func() error { return d.callers.Serve(d.cfg.Listeners.Callers) })
	group.Go(func() error { return d.serveAdmin(groupCtx) })
	group.Go(func() error { return d.tick(groupCtx) })
	group.Go(func() error {
		defer d.cancel()
		defer context.AfterFunc(groupCtx, d.abort)()
		select {
		case <-ctx.Done():
			d.drain(d.aborted)
		case <-d.aborted.Done():
		}
		return d.terminateRemaining()
	})
	err := group.Wait()
	d.tasks.Wait()
	d.attempts.Wait()
	return err
}

func (d *Daemon) tick(ctx context.Context) error {
	ticker := timer.NewTicker(instance.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := monotime.Now()
			d.instance.Tick(now)
			d.answerStore.Expire(now)
			d.poller.tick(ctx, now)
			d.orders.tick(ctx, now)
		}
	}
}

// Envelope implements peer.Handler.
func (d *Daemon) Envelope(from string, env *wire.Envelope) {
	now := monotime.Now()
	d.instance.OnEnvelope(now, from, env)
	d.orders.onEnvelope(now, from, env)
}

// LinkUp implements peer.Handler.
func (d *Daemon) LinkUp(id peer.Identity) {
	d.instance.OnLinkUp(monotime.Now(), id.ID)
}

// LinkDown implements peer.Handler.
func (d *Daemon) LinkDown(id string, err error) {
	d.cfg.Log.Debug("link down", zap.String("peer", id), zap.Error(err))
	d.instance.OnLinkDown(monotime.Now(), id)
}

// SetLinkTargets implements instance.Effects.
func (d *Daemon) SetLinkTargets(targets []membership.Target) {
	out := make([]peer.Target, 0, len(targets))
	for _, t := range targets {
		out = append(out, peer.Target{ID: t.ID, Address: t.Address})
	}
	d.links.SetTargets(out)
}

// Installed implements instance.Effects.
func (d *Daemon) Installed(cat *catalog.Catalog) {
	d.cfg.Log.Info("configuration in force", zap.Uint64("revision", cat.Revision),
		zap.Int("servers", len(cat.Servers)), zap.Int("customers", len(cat.Customers)))
	d.answerStore.Configure(monotime.Now(), answerStoreConfig(d.cfg.Settings, cat))
	d.runAsync(func() { d.links.SetKeys(d.keys(cat)) })
}

// Report implements instance.Effects. All events other than an installed revision need an
// operator's attention. A revision that was refused, or that exists with different contents,
// is not installed until a revision is published again.
func (d *Daemon) Report(event confsync.Event) {
	level := zapcore.WarnLevel
	switch event.Kind {
	case confsync.EventInstalled:
		level = zapcore.InfoLevel
	case confsync.EventRefused, confsync.EventConflict, confsync.EventCorrupted:
		level = zapcore.ErrorLevel
	}
	fields := []zap.Field{zap.String("kind", string(event.Kind)), zap.Uint64("revision", event.Revision),
		zap.String("hash", event.Hash), zap.String("from", event.From)}
	if event.Err != nil {
		// Only the text is logged: the JSON encoding of an error loses the wrapped errors.
		fields = append(fields, zap.String("error", event.Err.Error()))
	}
	d.cfg.Log.Log(level, "configuration event", fields...)
}

func answerStoreConfig(s *settings.Settings, cat *catalog.Catalog) answers.StoreConfig {
	const defaultKeep = time.Minute
	cfg := answers.StoreConfig{
		Retention: defaultKeep,
		KeptBytes: s.Limits.KeptAnswerBytes,
	}
	if cat != nil {
		cfg.Retention = time.Duration(cat.Rules.AnswerKeepS) * time.Second
	}
	return cfg
}
