package gateway

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"

	"basilrudder/internal/answerend"
	"basilrudder/internal/descriptors"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/relay"
	"basilrudder/internal/servers"
	"basilrudder/internal/tunnel"
)

const (
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
)

// newTunnelServer returns the server of tunnels for peers, on a machine with so many
// thousandths of a core and a link of so many bytes a second; 0 for unknown.
func (c *connector) newTunnelServer(capacity, linkRate int, budget *descriptors.Budget) *tunnel.Server {
	return &tunnel.Server{
		Self: c.tunnels.Self, Secret: c.tunnels.Secret, Connect: c.serveTunnel, Descriptors: budget, Log: c.log,
		MaxOpen: max(minTunnels, capacity), MaxRate: int(tunnelShare * float64(linkRate)),
	}
}

// Probe implements relay.Connector.
func (c *connector) Probe(ctx context.Context, target relay.Target, identify relay.Identify) answerend.Probe {
	return relay.Probe(ctx, c.dial, target.Address, identify)
}

// Confirm implements relay.Connector. A server that refuses this instance only has not ended,
// so a peer has to confirm it if there is any.
func (c *connector) Confirm(ctx context.Context, target relay.Target, identify relay.Identify) answerend.Probe {
	if !c.reachesAnother(ctx, target.Server) {
		return answerend.Unconfirmed
	}
	if len(c.staying()) == 0 {
		return answerend.Refused
	}
	for member := range c.peersToAsk(target.Service, nil) {
		conn, via, err := c.openTunnel(ctx, member, target.Server)
		switch {
		case err == nil:
			defer c.Closed(via)
			defer conn.Close()
			return identify(conn)
		case errors.Is(err, tunnel.ErrRefused):
			return answerend.Refused
		}
	}
	return answerend.Unconfirmed
}

// serveTunnel connects a peer's tunnel to a server: directly, or not at all, so that no
// connection goes through a third instance.
func (c *connector) serveTunnel(ctx context.Context, server string) (net.Conn, error) {
	if c.leaving() {
		return nil, tunnel.ErrLeaving
	}
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
	case !netconn.IsRefusal(err):
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
