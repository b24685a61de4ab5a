package relay

import (
	"context"
	"net"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
)

// Via identifies the instance through which a connection to a server goes.
type Via struct {
	// Peer is the id of the instance, Incarnation that of its process.
	Peer, Incarnation string
	// DataCentre in which it is located.
	DataCentre string
	// Tunnel is the id by which the logs of both instances name the connection.
	Tunnel string
}

// Connector opens connections to servers, directly or through other instances.
type Connector interface {
	// Connect opens a connection for a request. via is nil for a direct one. After an
	// error the server has got no bytes.
	Connect(ctx context.Context, target Target, work *placement.Work) (c net.Conn, via *Via, err error)
	// Closed reports that a connection through another instance ended.
	Closed(via *Via)
	// Usable reports whether an idle connection, over which the last answer was received
	// at an instant, can be expected to work, and Allowed whether a request may use it.
	Usable(target Target, via *Via, received monotime.Instant) bool
	Allowed(via *Via, work *placement.Work) bool
	// Reached reports that a server answered over a direct connection.
	Reached(target Target)
	// Unanswered reports that a server has not answered over a direct connection, within
	// the usual time or before the connection broke.
	Unanswered(target Target)
	// Probe reports whether a server refuses connections, as one that has just ended does,
	// and whether it accepts them. Neither holds if that can't be told.
	Probe(ctx context.Context, target Target) (refuses, accepts bool)
}

// directConnector connects directly only.
type directConnector struct{ dial dialFunc }

var _ Connector = directConnector{}

func (d directConnector) Connect(ctx context.Context, target Target, _ *placement.Work) (net.Conn, *Via, error) {
	c, err := Dial(ctx, d.dial, target.Address)
	return c, nil, err
}

func (directConnector) Closed(*Via)                                {}
func (directConnector) Usable(Target, *Via, monotime.Instant) bool { return true }
func (directConnector) Allowed(*Via, *placement.Work) bool         { return true }
func (directConnector) Reached(Target)                             {}
func (directConnector) Unanswered(Target)                          {}

func (d directConnector) Probe(ctx context.Context, target Target) (refuses, accepts bool) {
	return Probe(ctx, d.dial, target.Address)
}

// Dial opens a direct connection to a server within ConnectTimeout.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	return dial(ctx, address)
}

// Probe reports whether a server refuses direct connections, and whether it accepts them.
// Neither holds if it does not answer.
func Probe(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string) (refuses, accepts bool) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err == nil {
		_ = c.Close()
		return false, true
	}
	return !netconn.IsTimeout(err) && ctx.Err() == nil, false
}
