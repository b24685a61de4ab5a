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
	// tick is the interval of what is done regularly.
	tick = 100 * time.Millisecond
	// sweepTicks is the number of ticks between sweeps of idle connections.
	sweepTicks = 10
	// headerTimeout and idleTimeout bound a caller's connection. Configured
	// limits are tighter on the header and may change; a connection that is kept
	// longer than they say harms nobody, one that closes early loses a request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// headerBytes bounds a request's header in bytes.
	headerBytes = 64 << 10
	// endReserve is kept between the end of the drain and the kill.
	endReserve = 700 * time.Millisecond
	// drainLeast is how long a leaving instance stays although it has nothing to
	// do: callers use a directory answer up to three times as long as they may.
	drainLeast = 4 * time.Second
	// isolatedAfter is how long an instance that hears neither the store nor a
	// peer still counts as able to serve.
	isolatedAfter = 1500 * time.Millisecond
	// noKey stands for the secret of links where none is set.
	noKey = "no-secret-is-set"
	// linkKeyID names the key of the links.
	linkKeyID = "relay"
)

// linkTiming finds a lost machine within 0.7 s: callers are sent to it, and its
// runs are believed in, until then. A handshake takes some ms; a machine without
// power answers nothing, and after a loss of all of them each second until the
// next try is one in which no instance knows the others.
var linkTiming = peer.Timing{
	KeepAliveInterval: 200 * time.Millisecond,
	PeerTimeout:       700 * time.Millisecond,
	HandshakeTimeout:  300 * time.Millisecond,
	BackoffMin:        100 * time.Millisecond,
	BackoffMax:        500 * time.Millisecond,
}

// bulkShare is the share of an instance's link that configurations may take.
const bulkShare = 0.5

// timingOf returns the times and bounds of links between instances for a machine whose link
// has so many Mbit/s; 0 for unknown.
func timingOf(linkMbps float64) peer.Timing {
	const bytesPerMegabit = 1e6 / 8
	out := linkTiming
	out.BulkRate = int(bulkShare * linkMbps * bytesPerMegabit)
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
	// begun is when the process began.
	begun monotime.Instant
	// reload asks for the settings to be read at once.
	reload chan struct{}
	// Of the regular task alone: the seeds in use, what was last logged of how fast
	// engines are, by service, and when the others were told what was seen of them.
	seeds        []string
	loggedPaces  map[string]pace.Pace
	toldEvidence monotime.Instant
}

// New returns a Gateway that does nothing until Run.
func New(cfg Config) (*Gateway, error) {
	s := cfg.Settings
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, begun: monotime.Now(), stats: relay.NewMetrics(), reload: make(chan struct{}, 1), seeds: s.Peers.Seeds, loggedPaces: make(map[string]pace.Pace)}
	g.fleet = &fleet{
		self:     s.Instance.ID,
		log:      cfg.Log,
		board:    placement.NewBoard(pace.DefaultPrior, s.Instance.DataCentre),
		budget:   newBudget(s.Retries.Ratio, s.Retries.Burst, seconds(s.Retries.WindowS)),
		registry: servers.New(),
		news:     newNewsroom(),
		regions:  newRegions(s.Places),
		throttle: throttle.New(s.Instance.ID, monotime.Now()),
		outages:  newOutages(),
	}
	g.fleet.crashes = newCrashBook(g.fleet.news, cfg.Log)
	g.fleet.neverHeard()
	g.fleet.board.SetCostJitter(choiceNoise(0, 1))
	g.feed = &feed{
		source: cfg.Source, fleet: g.fleet, log: cfg.Log,
		wait: milliseconds(s.Store.WatchMS), slack: milliseconds(s.Store.TimeoutMS),
		confirming: make(chan struct{}, 1),
	}
	g.peers = newPeers(wire.RelayMember{
		ID: s.Instance.ID, Incarnation: incarnation, DataCentre: s.Instance.DataCentre,
		CallerAddress: s.Listen.Callers, PeerAddress: s.Listen.Peers,
		Capacity: int(s.Instance.Processor * capacityOfCore),
	}, s.Peers.Seeds, g.fleet, cfg.Log)
	g.fleet.members = g.peers.count
	g.fleet.confirm = g.feed.confirm
	g.fleet.publish = g.peers.configs.publish
	g.feed.rank, g.feed.hears = g.peers.rank, g.peers.hears
	g.wireNews()
	g.relay = relay.New(relay.Config{
		Fleet: g.fleet, Protocol: cfg.Protocol, Log: cfg.Log, Metrics: g.stats,
		DrainTime: seconds(s.Drain.GraceS) - endReserve,
	})
	return g, nil
}

// capacityOfCore is the capacity told of an instance with a whole core.
const capacityOfCore = 1000

// wireNews connects what happens here to the peers that are told of it.
func (g *Gateway) wireNews() {
	news := g.fleet.news
	news.gather, news.due, news.send = g.peers.gather, g.peers.due, g.peers.broadcast
	news.status = g.fleet.status
}

// Run serves until the context ends and the drain after it.
func (g *Gateway) Run(ctx context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	if err := g.makeLinks(listeners.peers); err != nil {
		return err
	}
	g.cfg.Log.Info("started", zap.String("incarnation", g.peers.node.Self().Incarnation), zap.Strings("seeds", g.seeds))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, work := errgroup.WithContext(work)
	server := g.callersServer()
	tasks.Go(func() error { return serveUntilClosed(server, listeners.callers) })
	tasks.Go(func() error { return serveSmall(work, listeners.ready, g.cfg.Ready(g)) })
	tasks.Go(func() error { return serveSmall(work, listeners.directory, g.cfg.Directory(g)) })
	tasks.Go(func() error { return serveSmall(work, listeners.metrics, g.metrics) })
	tasks.Go(func() error { return g.peers.links.Run(work) })
	tasks.Go(func() error { return g.feed.run(work) })
	tasks.Go(func() error { return g.fleet.news.run(work) })
	tasks.Go(func() error { return g.regularly(work) })
	tasks.Go(func() error { return g.learnCaches(work) })
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

func (g *Gateway) makeLinks(listener net.Listener) error {
	secret := g.cfg.Settings.Peers.Key
	if secret == "" {
		secret = noKey
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
		Timing:   timingOf(g.cfg.Settings.Instance.LinkMbps),
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
	known := g.peers.staying()
	if g.Ready() {
		known = append(known, g.peers.node.Self())
	}
	var elsewhere []string
	for _, m := range known {
		if region == "" || g.fleet.regions[m.DataCentre] == region {
			addresses = append(addresses, m.CallerAddress)
		} else {
			elsewhere = append(elsewhere, m.CallerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = elsewhere
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
