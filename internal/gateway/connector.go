package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/paths"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/tunnel"
)

const (
	// tunnelTimeout bounds one attempt to open a tunnel, with the peer's own attempt to
	// connect in it.
	tunnelTimeout = relay.ConnectTimeout + 100*time.Millisecond
	// maxPeersAsked bounds the peers that are asked for one connection. Peers that can't
	// help answer within a few ms.
	maxPeersAsked = 6
	// maxPeersFailed is the number of peers that must fail to reach a server for it to
	// count as unreachable for all.
	maxPeersFailed = 2
	// maxSuspectDraws bounds the servers drawn in search of one without a failure.
	maxSuspectDraws = 8
	// maxOthersAsked is the number of other servers that are tried to tell a server that
	// ended from a path that is lost.
	maxOthersAsked = 2
	// minTunnels is the least number of tunnels that an instance keeps open for others. It
	// keeps one for each thousandth of a core: a tunnel takes two descriptors, of which
	// such a machine has over four times as many.
	minTunnels = 16
	// tunnelShare is the share of an instance's link, in both directions together, beyond
	// which it opens no further tunnel.
	tunnelShare = 0.5
	// quietService is how long no server of a service must have answered for a server
	// that does not answer to be probed.
	quietService = 400 * time.Millisecond
	// probeInterval is the least time between two probes while a service is lost, over all
	// services, and singleProbeInterval while single servers are not reached.
	probeInterval       = 250 * time.Millisecond
	singleProbeInterval = time.Second
)

// connector opens connections to servers, directly or through a peer. It implements
// relay.Connector.
type connector struct {
	fleet *fleet
	log   *zap.Logger
	paths *paths.Table
	peers *paths.Picker
	// tunnels opens tunnels through peers, and staying returns the peers that may be asked.
	tunnels *tunnel.Client
	staying func() []wire.RelayMember
	// stays reports whether a peer can be reached and is not leaving.
	stays func(id, incarnation string) bool
	dial  func(ctx context.Context, address string) (net.Conn, error)
	// answered is when a server of each service last answered, as an atomic.Int64 of a
	// monotime.Instant.
	answered sync.Map
	probing  atomic.Bool
	probedAt atomic.Int64

	opened, refused atomic.Int64 // tunnels, and attempts to open one that failed
}

var _ relay.Connector = (*connector)(nil)

func newConnector(f *fleet, p *peers, client *tunnel.Client, dial func(ctx context.Context, address string) (net.Conn, error)) *connector {
	return &connector{
		fleet: f, log: f.log, paths: paths.NewTable(), peers: paths.NewPicker(),
		tunnels: client, staying: p.staying, stays: p.stays, dial: dial,
	}
}

// newTunnelServer returns the server of tunnels for peers, on a machine with so many
// thousandths of a core and a link of so many bytes a second; 0 for unknown.
func (c *connector) newTunnelServer(capacity, linkRate int) *tunnel.Server {
	return &tunnel.Server{
		Self: c.tunnels.Self, Secret: c.tunnels.Secret, Connect: c.serveTunnel, Log: c.log,
		MaxOpen: max(minTunnels, capacity), MaxRate: int(tunnelShare * float64(linkRate)),
	}
}

// Connect implements relay.Connector.
func (c *connector) Connect(ctx context.Context, target relay.Target, work *placement.Work) (net.Conn, *relay.Via, error) {
	if !c.direct(target.Server) {
		conn, via, err := c.connectThroughPeer(ctx, target.Server, work.AllowedRegions)
		if !errors.Is(err, errNoPeer) {
			return conn, via, err
		}
	}
	conn, err := c.connectDirectly(ctx, target.Server)
	if err == nil {
		return conn, nil, nil
	}
	if !c.paths.Lost(target.Service) || ctx.Err() != nil {
		return nil, nil, err
	}
	return c.connectThroughPeer(ctx, target.Server, work.AllowedRegions)
}

// direct reports whether the next connection to a server should be direct.
func (c *connector) direct(s servers.Server) bool {
	return c.paths.Direct(s.Service, s.ID, monotime.Now()) || len(c.staying()) == 0
}

// connectDirectly opens a direct connection and records whether that worked.
func (c *connector) connectDirectly(ctx context.Context, s servers.Server) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, relay.ConnectTimeout)
	defer cancel()
	conn, err := c.dial(limited, s.Address)
	switch {
	case err == nil:
		c.reached(s)
	case ctx.Err() == nil:
		c.failed(s, err)
	}
	return conn, err
}

// failed records a server that can't be reached directly. If the service may be lost,
// another of its servers is probed at once.
func (c *connector) failed(s servers.Server, cause error) {
	now := monotime.Now()
	if c.paths.Failed(s.Service, s.ID, c.serverCount(s.Service), now) {
		c.log.Warn("service_path_lost", zap.String("service", s.Service), zap.String("server", s.ID), eventlog.Cause(cause))
		return
	}
	if !c.paths.Lost(s.Service) {
		c.probe(now)
	}
}

// reached records a server that was reached directly.
func (c *connector) reached(s servers.Server) {
	now := monotime.Now()
	c.noteAnswer(s.Service, now)
	if c.paths.Reached(s.Service, s.ID, func() int { return c.serverCount(s.Service) }, now) {
		c.log.Info("service_path_back", zap.String("service", s.Service), zap.String("server", s.ID))
	}
}

func (c *connector) serverCount(service string) int {
	return len(c.fleet.serverList(service).accepting)
}

// connectThroughPeer opens a connection through one of the peers.
func (c *connector) connectThroughPeer(ctx context.Context, s servers.Server, allowedRegions []string) (net.Conn, *relay.Via, error) {
	members := c.allowedPeers(allowedRegions)
	excluded := make(map[string]bool)
	unreachable := 0
	err := errNoPeer
	for len(excluded) < maxPeersAsked && unreachable < maxPeersFailed && ctx.Err() == nil {
		peer, ok := c.peers.Pick(c.candidates(members), s.Service, excluded, monotime.Now())
		if !ok {
			break
		}
		excluded[peer.ID] = true
		conn, via, openErr := c.openTunnel(ctx, members[peer.ID], s)
		if openErr == nil {
			return conn, via, nil
		}
		err = openErr
		if errors.Is(err, tunnel.ErrUnreachable) {
			unreachable++
		}
	}
	return nil, nil, errors.Wrap(err, "through peers")
}

var errNoPeer = errors.New("no peer can be asked for a connection")

// allowedPeers returns the peers, by id, that may see requests which have to stay in some
// regions.
func (c *connector) allowedPeers(allowedRegions []string) map[string]wire.RelayMember {
	out := make(map[string]wire.RelayMember)
	for _, m := range c.staying() {
		if c.fleet.regions.allow(allowedRegions, m.DataCentre) {
			out[m.ID] = m
		}
	}
	return out
}

func (c *connector) candidates(members map[string]wire.RelayMember) []paths.Peer {
	out := make([]paths.Peer, 0, len(members))
	for _, m := range members {
		out = append(out, paths.Peer{ID: m.ID, Capacity: m.Capacity, Local: m.DataCentre == c.fleet.dataCentre})
	}
	return out
}

// openTunnel asks one peer for a connection and records how that went.
func (c *connector) openTunnel(ctx context.Context, m wire.RelayMember, s servers.Server) (net.Conn, *relay.Via, error) {
	id := tunnel.NewID()
	begun := monotime.Now()
	limited, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := c.tunnels.Open(limited, id, tunnel.Instance{ID: m.ID, Incarnation: m.Incarnation}, m.PeerAddress, s.ID)
	now := monotime.Now()
	fields := []zap.Field{
		zap.String("tunnel", id), zap.String("via", m.ID), zap.String("server", s.ID), zap.Duration("took_ms", now.Sub(begun)),
	}
	if err == nil {
		c.opened.Add(1)
		c.peers.Opened(m.ID)
		c.paths.PeerReached(s.Service)
		c.log.Info("connected_through_peer", fields...)
		return conn, &relay.Via{Peer: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Tunnel: id}, nil
	}
	c.refused.Add(1)
	c.log.Info("peer_did_not_connect", append(fields, eventlog.Cause(err))...)
	if ctx.Err() == nil {
		c.recordRefusal(m.ID, s.Service, err, now)
	}
	return nil, nil, err
}

func (c *connector) recordRefusal(peer, service string, err error, now monotime.Instant) {
	switch {
	case errors.Is(err, tunnel.ErrUnreachable):
		c.paths.PeerFailed(service, now)
	case errors.Is(err, tunnel.ErrCutOff):
		c.peers.Avoid(peer, service, now.Add(paths.AvoidCutOff), now)
	case errors.Is(err, tunnel.ErrBusy), errors.Is(err, tunnel.ErrUnknownServer):
		c.peers.Avoid(peer, service, now.Add(paths.AvoidBusy), now)
	default:
		c.peers.Avoid(peer, "", now.Add(paths.AvoidUnreachable), now)
	}
}

// Closed implements relay.Connector.
func (c *connector) Closed(via *relay.Via) { c.peers.Closed(via.Peer) }

// Usable implements relay.Connector. A peer that leaves is not used any more, so that it
// can end in time.
func (c *connector) Usable(target relay.Target, via *relay.Via, received monotime.Instant) bool {
	if via == nil {
		return c.paths.Usable(target.Service, target.ID, received)
	}
	return c.stays(via.Peer, via.Incarnation)
}

// Allowed implements relay.Connector.
func (c *connector) Allowed(via *relay.Via, work *placement.Work) bool {
	return c.fleet.regions.allow(work.AllowedRegions, via.DataCentre)
}

// Reached implements relay.Connector.
func (c *connector) Reached(target relay.Target) { c.reached(target.Server) }

// noteAnswer records that a server of a service answered.
func (c *connector) noteAnswer(service string, now monotime.Instant) {
	at, ok := c.answered.Load(service)
	if !ok {
		at, _ = c.answered.LoadOrStore(service, new(atomic.Int64))
	}
	at.(*atomic.Int64).Store(int64(now))
}

func (c *connector) lastAnswer(service string) monotime.Instant {
	at, ok := c.answered.Load(service)
	if !ok {
		return never
	}
	return monotime.Instant(at.(*atomic.Int64).Load())
}

// Unanswered implements relay.Connector. If no server of the service answers, the path may
// be lost, and kept connections would not show it for a long time.
func (c *connector) Unanswered(target relay.Target) {
	now := monotime.Now()
	quiet := now.Sub(c.lastAnswer(target.Service)) >= quietService
	if quiet && now.Sub(monotime.Instant(c.probedAt.Load())) >= probeInterval {
		c.startProbe(target.Server)
	}
}

// Probe implements relay.Connector. A server that refuses this instance only has not ended,
// so a peer has to confirm it if there is any.
func (c *connector) Probe(ctx context.Context, target relay.Target) (refuses, accepts bool) {
	refuses, accepts = relay.Probe(ctx, c.dial, target.Address)
	if !refuses || !c.reachesAnother(ctx, target.Server) {
		return false, accepts
	}
	members := c.allowedPeers(nil)
	if len(members) == 0 {
		return true, false
	}
	excluded := make(map[string]bool)
	for len(excluded) < maxPeersAsked {
		peer, ok := c.peers.Pick(c.candidates(members), target.Service, excluded, monotime.Now())
		if !ok {
			return false, false
		}
		excluded[peer.ID] = true
		conn, via, err := c.openTunnel(ctx, members[peer.ID], target.Server)
		switch {
		case err == nil:
			_ = conn.Close()
			c.Closed(via)
			return false, true
		case errors.Is(err, tunnel.ErrRefused):
			return true, false
		}
	}
	return false, false
}

// serveTunnel connects a peer's tunnel to a server: directly, or not at all, so that no
// connection goes through a third instance.
func (c *connector) serveTunnel(ctx context.Context, server string) (net.Conn, error) {
	c.fleet.mu.Lock()
	s, ok := c.fleet.registry.Get(server)
	c.fleet.mu.Unlock()
	if !ok {
		return nil, tunnel.ErrUnknownServer
	}
	if c.paths.Lost(s.Service) && !c.paths.Direct(s.Service, s.ID, monotime.Now()) {
		return nil, tunnel.ErrCutOff
	}
	conn, err := c.connectDirectly(ctx, s)
	switch {
	case err == nil:
		return conn, nil
	case c.paths.Lost(s.Service):
		return nil, tunnel.ErrCutOff
	case netconn.IsTimeout(err):
		return nil, errors.Wrap(tunnel.ErrUnreachable, err.Error())
	case !c.reachesAnother(ctx, s):
		return nil, tunnel.ErrCutOff
	default:
		return nil, errors.Wrap(tunnel.ErrRefused, err.Error())
	}
}

// reachesAnother reports whether this instance reaches another server of the same service
// directly, or there is none. If it does not, a refused connection says nothing about the
// server: the network may refuse it.
func (c *connector) reachesAnother(ctx context.Context, s servers.Server) bool {
	list := c.fleet.serverList(s.Service).accepting
	asked := 0
	for _, n := range rand.Perm(len(list)) {
		if list[n].ID == s.ID {
			continue
		}
		if asked++; asked > maxOthersAsked {
			return false
		}
		if conn, err := c.connectDirectly(ctx, list[n]); err == nil {
			_ = conn.Close()
			return true
		}
	}
	return asked == 0
}

// probe tries a suspected server directly unless the last probe was too recent. It is
// called periodically, so that the end of a cut is found without callers' requests.
func (c *connector) probe(now monotime.Instant) {
	since := now.Sub(monotime.Instant(c.probedAt.Load()))
	if since < probeInterval {
		return
	}
	s, urgent, ok := c.suspect(now)
	if ok && (urgent || since >= singleProbeInterval) {
		c.startProbe(s)
	}
}

// suspect returns a server to probe. It is urgent if its service is lost, or would be
// after a further failure.
func (c *connector) suspect(now monotime.Instant) (s servers.Server, urgent, ok bool) {
	suspects := c.paths.Suspects(now)
	rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	for _, suspect := range suspects {
		if s, ok := c.urgentSuspect(&suspect, now); ok {
			return s, true, true
		}
	}
	for _, suspect := range suspects {
		if s, ok := find(c.fleet.serverList(suspect.Service).accepting, suspect.Failed); ok {
			return s, false, true
		}
	}
	return servers.Server{}, false, false
}

// urgentSuspect returns a random server of a lost service, or one without a failure of a
// service that may be lost.
func (c *connector) urgentSuspect(suspect *paths.Suspect, now monotime.Instant) (servers.Server, bool) {
	list := c.fleet.serverList(suspect.Service).accepting
	if len(list) == 0 || !suspect.Lost && !suspect.Unconfirmed {
		return servers.Server{}, false
	}
	for range maxSuspectDraws {
		s := list[rand.IntN(len(list))]
		if suspect.Lost || c.paths.Direct(s.Service, s.ID, now) {
			return s, true
		}
	}
	return servers.Server{}, false
}

// startProbe probes a server unless another probe runs.
func (c *connector) startProbe(s servers.Server) {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	c.probedAt.Store(int64(monotime.Now()))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relay.ConnectTimeout)
		defer cancel()
		conn, err := c.dial(ctx, s.Address)
		c.probing.Store(false)
		if err != nil {
			c.failed(s, err)
			return
		}
		_ = conn.Close()
		c.reached(s)
	}()
}

// pathMetrics is the state of paths in the metrics.
type pathMetrics struct {
	LostServices []string `json:"lost_services"`
	OpenThrough  int      `json:"open_through_peers"`
	Opened       int64    `json:"opened_through_peers"`
	Refused      int64    `json:"refused_by_peers"`
}

func (c *connector) metrics() pathMetrics {
	return pathMetrics{
		LostServices: c.paths.LostServices(), OpenThrough: c.peers.Open(),
		Opened: c.opened.Load(), Refused: c.refused.Load(),
	}
}
