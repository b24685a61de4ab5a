package gateway

import (
	"cmp"
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

	"basilrudder/internal/descriptors"
	"basilrudder/internal/eventlog"
	"basilrudder/internal/gcpace"
	"basilrudder/internal/inbound"
	"basilrudder/internal/membudget"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/pace"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/relaysettings"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/throttle"
	"basilrudder/internal/tunnel"
)

const (
	// tickInterval is the interval of periodic tasks, and of status updates to peers:
	// takeOverAfter relies on hubs passing on confirmations ten times a second.
	tickInterval = 100 * time.Millisecond
	// ticksPerSweep is the number of ticks between runs of the slower tasks, such as
	// closing idle connections and reading the settings.
	ticksPerSweep = 10
	// ticksPerStoreCalls is the number of ticks between lines about calls to the store and
	// about the calibration of pauses.
	ticksPerStoreCalls = 100
	// headerTimeout and idleTimeout bound a caller's connection. The configured limits
	// are lower for the header and may change. Keeping a connection longer than they
	// allow is harmless, but closing it earlier loses a request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request in bytes.
	maxHeaderBytes = 64 << 10
	// drainReserve is the time left between the end of the drain and the kill of the
	// process, in which its tasks stop.
	drainReserve = 700 * time.Millisecond
	// maxCompletion is the part of drainReserve in which answers that are ending are completed.
	maxCompletion = 300 * time.Millisecond
	// minDrain is the minimum time that a leaving instance stays, even without requests
	// in flight: callers use a directory answer for up to three times its TTL.
	minDrain = 4 * time.Second
	// isolatedAfter is how long an instance without an answer of the store and without a
	// linked peer still counts as able to serve.
	isolatedAfter = 1500 * time.Millisecond
	// defaultLinkSecret is the secret of links if none is set.
	defaultLinkSecret = "no-secret-is-set"
	// linkKeyID is the id of the key of the links.
	linkKeyID = "relay"
)

// linkTiming detects a lost machine within 0.7 s. Until then callers are sent to it, and
// its runs count as load. A handshake takes a few ms, and a machine without power never
// answers one. The backoff is short because after a loss of all links an instance has no
// view of the others until the next attempt.
var linkTiming = peer.Timing{
	KeepAliveInterval: 200 * time.Millisecond,
	PeerTimeout:       700 * time.Millisecond,
	HandshakeTimeout:  300 * time.Millisecond,
	BackoffMin:        100 * time.Millisecond,
	BackoffMax:        500 * time.Millisecond,
}

// bytesPerMegabit is the number of bytes in a megabit.
const bytesPerMegabit = 1e6 / 8

// bulkShare is the share of an instance's link that configurations may use.
const bulkShare = 0.5

// linkTimingFor returns the timing and limits of links between instances for a machine
// whose link has linkMbps Mbit/s; 0 means unknown.
func linkTimingFor(linkMbps float64) peer.Timing {
	out := linkTiming
	out.BulkRate = int(bulkShare * linkMbps * bytesPerMegabit)
	return out
}

// Config configures a Gateway.
type Config struct {
	// Settings holds the settings of the instance.
	Settings *relaysettings.RelaySettings
	// Reload reads the settings again; nil disables reloading.
	Reload func() (*relaysettings.RelaySettings, error)
	// Source reads the store.
	Source Source
	// Caches asks engines which parts of prompts they keep; nil disables asking.
	Caches CacheReader
	// Protocol is the protocol of callers and servers.
	Protocol relay.Protocol
	// Directory handles requests for the addresses that callers should connect to, and
	// Ready the readiness checks.
	Directory, Ready func(*Gateway) fasthttp.RequestHandler
	// Log receives a line for each decision.
	Log *zap.Logger
}

// Gateway is one instance that relays requests.
type Gateway struct {
	cfg       Config
	fleet     *fleet
	storeSync *storeSync
	peers     *peers
	connector *connector
	tunnels   *tunnel.Server
	relay     *relay.Relay
	stats     *relay.Metrics
	collector *gcpace.Pacer
	// descriptors are shared by callers, by control connections and all others; memory by
	// the requests of the first two.
	descriptors      *descriptors.Budget
	memory           *membudget.Budget
	callers, control *inbound.Conns

	leaving  atomic.Bool
	isolated atomic.Bool
	// started is when the process started.
	started monotime.Instant
	// reload requests an immediate reload of the settings.
	reload chan struct{}
	// Used by the periodic task only: the seeds in use, the paces and splits of engines last logged,
	// by service, the calls to the store last logged, and when pace statistics were last
	// sent to peers.
	seeds           []string
	loggedPaces     map[string]pace.Pace
	loggedSplits    map[string]int
	loggedCalls     StoreCalls
	paceStatsSentAt monotime.Instant
}

// New returns a Gateway. It is idle until Run is called.
func New(cfg Config) (*Gateway, error) {
	s := cfg.Settings
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, started: monotime.Now(), stats: relay.NewMetrics(), collector: gcpace.New(monotime.Now()), reload: make(chan struct{}, 1), seeds: s.Peers.Seeds, loggedPaces: make(map[string]pace.Pace), loggedSplits: make(map[string]int)}
	g.fleet = &fleet{
		self:       s.Instance.ID,
		dataCentre: s.Instance.DataCentre,
		log:        cfg.Log,
		board:      placement.NewBoard(pace.DefaultPrior, s.Instance.DataCentre),
		budget:     newRetryBudget(s.Retries.Ratio, s.Retries.Burst, seconds(s.Retries.WindowS)),
		registry:   servers.New(),
		updates:    newUpdateBatcher(),
		regions:    newRegions(s.Places),
		throttle:   throttle.New(s.Instance.ID, monotime.Now()),
		outages:    newOutageDetector(),
	}
	g.descriptors = descriptors.New(cmp.Or(s.Instance.Descriptors, descriptors.OfProcess()))
	g.memory = membudget.ForMachine(s.Instance.MemoryMb)
	g.control = inbound.New(descriptors.Control, g.descriptors, g.memory, cfg.Log)
	g.callers = inbound.New(descriptors.Callers, g.descriptors, g.memory, cfg.Log, g.control)
	g.fleet.crashes = newCrashTracker(g.fleet.updates, cfg.Log)
	g.fleet.crashes.trialPlace = g.fleet.trialPlace
	g.fleet.crashes.serversLike = g.fleet.serversLike
	g.fleet.streams = newStreamVersions()
	g.fleet.resetConfirmations()
	g.fleet.board.SetFeatures(placementFeatures(&s.Placement))
	g.fleet.board.SetCostJitter(jitterOf(0, 1))
	g.fleet.board.SetSharing(g.fleet.self, g.fleet.serverPlace)
	g.storeSync = &storeSync{
		source: cfg.Source, fleet: g.fleet, log: cfg.Log,
		minWatch: milliseconds(s.Store.WatchMS), answerTimeout: milliseconds(s.Store.TimeoutMS),
		confirming: make(chan struct{}, 1),
	}
	g.peers = newPeers(wire.RelayMember{
		ID: s.Instance.ID, Incarnation: incarnation, DataCentre: s.Instance.DataCentre,
		CallerAddress: s.Listen.Callers, PeerAddress: s.Listen.Peers,
		Capacity: int(s.Instance.Processor * capacityPerCore),
	}, s.Peers.Seeds, g.fleet, cfg.Log)
	g.fleet.memberCount = g.peers.memberCount
	g.fleet.confirm = g.storeSync.confirm
	g.fleet.streams.confirm = newVersionReads(g.storeSync).confirm
	g.fleet.publish = g.peers.configs.publish
	g.storeSync.rank, g.storeSync.hasHub, g.storeSync.hasPeer = g.peers.rank, g.peers.hasHub, g.peers.hasPeer
	g.connectUpdates()
	g.connectTunnels(incarnation)
	g.relay = relay.New(relay.Config{
		Fleet: g.fleet, Connector: g.connector, Protocol: cfg.Protocol, Log: cfg.Log, Metrics: g.stats,
		DrainTime: seconds(s.Drain.GraceS) - drainReserve, Descriptors: g.descriptors, Refuses: inbound.Refuses, Intake: g.intake,
		MakeRoom:     g.callers.MakeRoom,
		ResetOnClose: inbound.ResetOnClose,
	})
	g.fleet.suspicions.replies = g.relay.Replies
	g.fleet.board.SetConnected(g.relay.Connected)
	return g, nil
}

// connectTunnels sets up connections to servers, and those for peers.
func (g *Gateway) connectTunnels(incarnation string) {
	s := g.cfg.Settings
	client := &tunnel.Client{
		Self: tunnel.Instance{ID: s.Instance.ID, Incarnation: incarnation}, Secret: g.linkSecret(), Dial: netconn.Dial,
	}
	g.connector = newConnector(g.fleet, g.peers, client, g.leaving.Load, netconn.Dial)
	g.tunnels = g.connector.newTunnelServer(int(s.Instance.Processor*capacityPerCore), int(s.Instance.LinkMbps*bytesPerMegabit), g.descriptors)
}

// linkSecret returns the secret of the links between instances.
func (g *Gateway) linkSecret() string { return cmp.Or(g.cfg.Settings.Peers.Key, defaultLinkSecret) }

// capacityPerCore is the capacity that an instance with one whole core advertises. The
// overlay counts what a hub needs for each subscriber in the same unit, thousandths of a
// core.
const capacityPerCore = 1000

// connectUpdates connects the batcher of updates to the links with peers.
func (g *Gateway) connectUpdates() {
	batcher := g.fleet.updates
	batcher.batchDelay, batcher.due, batcher.send = g.peers.batchDelay, g.peers.due, g.peers.broadcast
	batcher.fillStatus = g.fleet.fillStatus
}

// Run serves until the context ends and the drain after it is over.
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
	tasks.Go(func() error { return serveUntilClosed(server, g.callers.Listener(listeners.callers)) })
	tasks.Go(func() error { return g.serveUntilCancelled(work, listeners.ready, g.cfg.Ready(g)) })
	tasks.Go(func() error { return g.serveUntilCancelled(work, listeners.directory, g.cfg.Directory(g)) })
	tasks.Go(func() error { return g.serveUntilCancelled(work, listeners.metrics, g.metrics) })
	tasks.Go(func() error { return g.peers.links.Run(work) })
	tasks.Go(func() error { return g.storeSync.run(work) })
	tasks.Go(func() error { return g.fleet.updates.run(work) })
	tasks.Go(func() error { return g.runPeriodic(work) })
	tasks.Go(func() error { return g.discoverCaches(work) })
	tasks.Go(func() error {
		select {
		case <-ctx.Done():
			g.drain(server)
		case <-work.Done():
		}
		stop()
		return server.Close()
	})
	g.peers.tick(monotime.Now())
	err = tasks.Wait()
	g.logStoreCalls()
	g.cfg.Log.Info("stopped", eventlog.Cause(err))
	return err
}

func (g *Gateway) createLinks(listener net.Listener) error {
	if g.cfg.Settings.Peers.Key == "" {
		g.cfg.Log.Warn("links_unauthenticated", zap.String("reason", "no key is set for the links between instances"))
	}
	self := g.peers.node.Self()
	links, err := peer.New(peer.Config{
		Self: peer.Identity{
			ID: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
			CallerAddress: self.CallerAddress, PeerAddress: self.PeerAddress, Capacity: self.Capacity,
		},
		Keys:     []peer.Key{{ID: linkKeyID, Secret: g.linkSecret()}},
		Listener: g.control.Listener(listener),
		Accepted: inbound.Detach,
		Resolve:  func(string) (string, bool) { return "", false },
		Other:    g.serveTunnel,
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

// serveTunnel answers a peer's request for a connection to a server.
func (g *Gateway) serveTunnel(ctx context.Context, request *fasthttp.RequestCtx) {
	if string(request.Path()) != tunnel.Path {
		request.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	g.tunnels.Handle(ctx, request)
	if request.Response.StatusCode() == fasthttp.StatusSwitchingProtocols {
		inbound.Detach(request.Conn()) // one that was closed meanwhile ends the tunnel
	}
}

// Ready reports whether callers should connect to the instance.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && !g.isolated.Load() && g.fleet.Table() != nil && g.fleet.serverCount() > 0
}

// Callers returns the addresses that callers in a region should connect to and how long
// they may use them; false if there are none or this instance is isolated. Instances of
// other regions are returned only if the caller's region has none, so that callers' data
// stays in their region where possible.
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
		return "", errors.Wrap(err, "generate incarnation")
	}
	return hex.EncodeToString(raw[:]), nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
