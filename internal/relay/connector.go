package relay

import (
	"context"
	"net"

	"basilrudder/internal/answerend"
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
	// Probe reports what a new direct connection to a server shows. identify is called for
	// one that was accepted.
	Probe(ctx context.Context, target Target, identify Identify) answerend.Probe
	// Confirm reports what other instances find of a server that refuses this one.
	Confirm(ctx context.Context, target Target, identify Identify) answerend.Probe
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

func (d directConnector) Probe(ctx context.Context, target Target, identify Identify) answerend.Probe {
	return Probe(ctx, d.dial, target.Address, identify)
}

// Confirm implements Connector. There is no other instance.
func (directConnector) Confirm(context.Context, Target, Identify) answerend.Probe {
	return answerend.Refused
}

// Dial opens a direct connection to a server within ConnectTimeout.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	return dial(ctx, address)
}

// Identify finds out which server accepted a connection.
type Identify func(c net.Conn) answerend.Probe

// AnyServer is an Identify that does not find out.
func AnyServer(net.Conn) answerend.Probe { return answerend.Accepted }

// Probe reports what a new direct connection to a server shows.
func Probe(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string, identify Identify) answerend.Probe {
	c, err := Dial(ctx, dial, address)
	switch {
	case err == nil:
		defer c.Close()
		return identify(c)
	case netconn.IsRefusal(err):
		return answerend.Refused
	default:
		return answerend.Unanswered
	}
}
