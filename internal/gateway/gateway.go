package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/relaysettings"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/throttle"
)

const (
	// tickInterval is the interval of what is done regularly.
	tickInterval = 100 * time.Millisecond
	// ticksPerSweep is the number of ticks between sweeps of idle connections.
	ticksPerSweep = 10
	// headerTimeout and idleTimeout bound a caller's connection. Configured
	// limits are tighter on the header and may change; a connection that is kept
	// longer than they say harms nobody, one that closes early loses a request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's header in bytes.
	maxHeaderBytes = 64 << 10
	// drainReserve is kept between the end of the drain and the kill.
	drainReserve = 700 * time.Millisecond
	// minDrain is how long a leaving instance stays although it has nothing to
	// do: callers use a directory answer up to three times as long as they may.
	minDrain = 4 * time.Second
	// isolatedAfter is how long an instance that hears neither the store nor a
	// peer still counts as able to serve.
	isolatedAfter = 1500 * time.Millisecond
	// defaultLinkSecret stands for the secret of links where none is set.
	defaultLinkSecret = "no-secret-is-set"
	// linkKeyID names the key of the links.
	linkKeyID = "relay"
)

// linkTiming finds a lost machine within 0.7 s: callers are sent to it, and its
// runs are believed in, until then. A handshake takes some ms; a machine without
// power answers nothing, and after a loss of all of them each second until the
// next try is one in which no instance knows the others.
var linkTiming = peer.Timing{
	SignOfLife: 200 * time.Millisecond,
	Silence:    700 * time.Millisecond,
	Handshake:  300 * time.Millisecond,
	BackoffMin: 100 * time.Millisecond,
	BackoffMax: 500 * time.Millisecond,
}

// bulkShare is the share of an instance's link that configurations may take.
const bulkShare = 0.5

// linkTimingFor returns the times and bounds of links between instances for a machine whose link
// has so many Mbit/s; 0 for unknown.
func linkTimingFor(linkMbps float64) peer.Timing {
	const bytesPerMegabit = 1e6 / 8
	out := linkTiming
	out.BulkBytes = int(bulkShare * linkMbps * bytesPerMegabit)
	return out
}

// Config of a Gateway.
type Config struct {
	// Settings of the instance.
	Settings *relaysettings.RelaySettings
	// Reload reads the settings again; nil for never.
	Reload func() (*relaysettings.RelaySettings, error)
	// Source reads the store.
	Source Source
	// Caches asks engines what they keep; nil for never.
	Caches CacheReader
	// Protocol of callers and servers.
	Protocol relay.Protocol
	// Directory handles callers' questions where to connect, and Ready those
	// whether the instance is ready.
	Directory, Ready func(*Gateway) fasthttp.RequestHandler
	// Log takes a line per decision.
	Log *zap.Logger
}

// Gateway is one instance that relays.
type Gateway struct {
	cfg   Config
	fleet *fleet
	feed  *feed
	peers *peers
	relay *relay.Relay
	stats *relay.Metrics

	leaving  atomic.Bool
	isolated atomic.Bool
	// started is when the process began.
	started monotime.Instant
	// reload asks for the settings to be read at once.
	reload chan struct{}
	// Of the regular task alone: the seeds in use, what was last logged of how fast
	// engines are, by service, and when the others were told what was seen of them.
	seeds           []string
	loggedPaces     map[string]pace.Pace
	paceStatsSentAt monotime.Instant
}

// New returns a Gateway that does nothing until Run.
func New(cfg Config) (*Gateway, error) {
	s := cfg.Settings
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, started: monotime.Now(), stats: relay.NewMetrics(), reload: make(chan struct{}, 1), seeds: s.Peers.Seeds, loggedPaces: make(map[string]pace.Pace)}
	g.fleet = &fleet{
		self:     s.Instance.ID,
		log:      cfg.Log,
		board:    placement.NewBoard(pace.Neutral, s.Instance.DataCentre),
		budget:   newRetryBudget(s.Retries.Ratio, s.Retries.Burst, seconds(s.Retries.WindowS)),
		registry: servers.New(),
		updates:  newUpdateBatcher(),
		regions:  newRegions(s.Places),
		throttle: throttle.New(s.Instance.ID, monotime.Now()),
		outages:  newOutageDetector(),
	}
	g.fleet.crashes = newCrashTracker(g.fleet.updates, cfg.Log)
	g.fleet.resetConfirmations()
	g.fleet.board.SetNoise(placementJitter(0, 1))
	g.feed = &feed{
		source: cfg.Source, fleet: g.fleet, log: cfg.Log,
		minWatch: milliseconds(s.Store.WatchMS), answerTimeout: milliseconds(s.Store.TimeoutMS),
		confirming: make(chan struct{}, 1),
	}
	g.peers = newPeers(wire.RelayMember{
		ID: s.Instance.ID, Incarnation: incarnation, DataCentre: s.Instance.DataCentre,
		CallerAddress: s.Listen.Callers, PeerAddress: s.Listen.Peers,
		Capacity: int(s.Instance.Processor * capacityPerCore),
	}, s.Peers.Seeds, g.fleet, cfg.Log)
	g.fleet.members = g.peers.count
	g.fleet.confirm = g.feed.confirm
	g.fleet.publish = g.peers.configs.publish
	g.feed.rank, g.feed.hasHub = g.peers.rank, g.peers.hasHub
	g.connectUpdates()
	g.relay = relay.New(relay.Config{
		Fleet: g.fleet, Protocol: cfg.Protocol, Log: cfg.Log, Metrics: g.stats,
		DrainTime: seconds(s.Drain.GraceS) - drainReserve,
	})
	return g, nil
}

// capacityPerCore is the capacity told of an instance with a whole core.
const capacityPerCore = 1000

// connectUpdates connects what happens here to the peers that are told of it.
func (g *Gateway) connectUpdates() {
	batcher := g.fleet.updates
	batcher.batchDelay, batcher.due, batcher.send = g.peers.batchDelay, g.peers.due, g.peers.broadcast
	batcher.fillStatus = g.fleet.fillStatus
}

// Run serves until the context ends and the drain after it.
func (g *Gateway) Run(ctx context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	if err := g.createLinks(listeners.peers); err != nil {
		return err
	}
	g.cfg.Log.Info("started", zap.String("incarnation", g.peers.node.Self().Incarnation), zap.Strings("seeds", g.seeds))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, work := errgroup.WithContext(work)
	server := g.callerServer()
	tasks.Go(func() error { return serveUntilClosed(server, listeners.callers) })
	tasks.Go(func() error { return serveUntilDone(work, listeners.ready, g.cfg.Ready(g)) })
	tasks.Go(func() error { return serveUntilDone(work, listeners.directory, g.cfg.Directory(g)) })
	tasks.Go(func() error { return serveUntilDone(work, listeners.metrics, g.metrics) })
	tasks.Go(func() error { return g.peers.links.Run(work) })
	tasks.Go(func() error { return g.feed.run(work) })
	tasks.Go(func() error { return g.fleet.updates.run(work) })
	tasks.Go(func() error { return g.runPeriodic(work) })
	tasks.Go(func() error { return g.discoverCaches(work) })
	tasks.Go(func() error {
		select {
		case <-ctx.Done():
			g.drain()
		case <-work.Done():
		}
		stop()
		return server.Close()
	})
	g.peers.tick(monotime.Now())
	err = tasks.Wait()
	g.cfg.Log.Info("stopped", eventlog.Cause(err))
	return err
}

func (g *Gateway) createLinks(listener net.Listener) error {
	secret := g.cfg.Settings.Peers.Key
	if secret == "" {
		secret = defaultLinkSecret
		g.cfg.Log.Warn("links_unauthenticated", zap.String("reason", "no key is set for the links between instances"))
	}
	self := g.peers.node.Self()
	links, err := peer.New(peer.Config{
		Self: peer.Identity{
			ID: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
			CallerAddress: self.CallerAddress, PeerAddress: self.PeerAddress, Capacity: self.Capacity,
		},
		Keys:     []peer.Key{{ID: linkKeyID, Secret: secret}},
		Listener: listener,
		Resolve:  func(string) (string, bool) { return "", false },
		Handler:  g.peers,
		Timing:   linkTimingFor(g.cfg.Settings.Instance.LinkMbps),
		Log:      g.cfg.Log,
	})
	if err != nil {
		return err
	}
	g.peers.links = links
	return nil
}

// Ready reports whether the instance takes requests.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && !g.isolated.Load() && g.fleet.Table() != nil && g.fleet.serverCount() > 0
}

// Callers returns the addresses that callers in a region should connect to and how long
// they may use them; false when this instance can't tell. Instances of another region are
// named only where the caller's has none: what callers send stays in their region then.
func (g *Gateway) Callers(region string) (addresses []string, ttl time.Duration, ok bool) {
	reachable := g.peers.staying()
	if g.Ready() {
		reachable = append(reachable, g.peers.node.Self())
	}
	var otherRegions []string
	for _, m := range reachable {
		if region == "" || g.fleet.regions[m.DataCentre] == region {
			addresses = append(addresses, m.CallerAddress)
		} else {
			otherRegions = append(otherRegions, m.CallerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = otherRegions
	}
	ttl = milliseconds(g.cfg.Settings.Directory.TTLMS)
	return addresses, ttl, len(addresses) > 0 && !g.isolated.Load()
}

func newIncarnation() (string, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", errors.Wrap(err, "incarnation")
	}
	return hex.EncodeToString(raw[:]), nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
