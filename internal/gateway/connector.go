package gateway

import (
	"context"
	"iter"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
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
	// leaving reports whether this instance is leaving, so that it opens no more tunnels for
	// peers.
	leaving func() bool
	dial    func(ctx context.Context, address string) (net.Conn, error)
	// answered is when a server of each service last answered, as an atomic.Int64 of a
	// monotime.Instant.
	answered sync.Map
	probing  atomic.Bool
	probedAt atomic.Int64

	opened, refused atomic.Int64 // tunnels, and attempts to open one that failed
}

var _ relay.Connector = (*connector)(nil)

func newConnector(f *fleet, p *peers, client *tunnel.Client, leaving func() bool, dial func(ctx context.Context, address string) (net.Conn, error)) *connector {
	return &connector{
		fleet: f, log: f.log, paths: paths.NewTable(), peers: paths.NewPicker(),
		tunnels: client, staying: p.staying, stays: p.stays, leaving: leaving, dial: dial,
	}
}

// Connect implements relay.Connector.
func (c *connector) Connect(ctx context.Context, target relay.Target, work *placement.Work) (net.Conn, *relay.Via, error) {
	if !c.paths.Direct(target.Service, target.ID, monotime.Now()) {
		conn, via, err := c.connectThroughPeer(ctx, target.Server, work.AllowedRegions)
		if !errors.Is(err, errNoPeer) {
			return conn, via, err
		}
	}
	conn, err := c.connectDirectly(ctx, target.Server)
	if err == nil {
		return conn, nil, nil
	}
	if ctx.Err() != nil || !c.paths.MayAskPeers(target.Service, monotime.Now()) {
		return nil, nil, err
	}
	return c.connectThroughPeer(ctx, target.Server, work.AllowedRegions)
}

// connectDirectly opens a direct connection and records whether that worked.
func (c *connector) connectDirectly(ctx context.Context, s servers.Server) (net.Conn, error) {
	conn, err := relay.Dial(ctx, c.dial, s.Address)
	if err == nil || ctx.Err() == nil {
		c.record(s, err)
	}
	return conn, err
}

// record records whether a direct connection to a server could be opened.
func (c *connector) record(s servers.Server, err error) {
	if err != nil {
		c.failed(s, err)
		return
	}
	c.reached(s)
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
	unreachable := 0
	err := errNoPeer
	for member := range c.peersToAsk(s.Service, allowedRegions) {
		conn, via, openErr := c.openTunnel(ctx, member, s)
		if openErr == nil {
			return conn, via, nil
		}
		err = openErr
		if errors.Is(err, tunnel.ErrUnreachable) {
			unreachable++
		}
		if unreachable >= maxPeersFailed || ctx.Err() != nil {
			break
		}
	}
	return nil, nil, errors.Wrap(err, "through peers")
}

var errNoPeer = errors.New("no peer can be asked for a connection")

// peersToAsk returns the peers to ask for a connection to a server of a service, one after
// the other.
func (c *connector) peersToAsk(service string, allowedRegions []string) iter.Seq[wire.RelayMember] {
	return func(yield func(wire.RelayMember) bool) {
		members := c.allowedPeers(allowedRegions)
		candidates := c.candidates(members)
		excluded := make(map[string]bool)
		for len(excluded) < maxPeersAsked {
			peer, ok := c.peers.Pick(candidates, service, excluded, monotime.Now())
			if !ok || !yield(members[peer.ID]) {
				return
			}
			excluded[peer.ID] = true
		}
	}
}

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
