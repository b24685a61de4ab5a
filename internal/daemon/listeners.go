package daemon

import (
	"net"

	"github.com/go-faster/errors"

	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/settings"
)

// Listeners are the open sockets of a daemon.
type Listeners struct {
	// Callers, Peers and Admin accept the connections of callers, peers and operators.
	Callers, Peers, Admin net.Listener
}

// Listen opens the sockets given in the settings. If one fails, it closes the others.
func Listen(s *settings.Settings) (Listeners, error) {
	var out Listeners
	var err error
	for _, entry := range []struct {
		address  string
		listen   func(network, address string) (net.Listener, error)
		listener *net.Listener
	}{
		{s.Listen.Callers, netconn.ListenClients, &out.Callers}, {s.Listen.Peers, net.Listen, &out.Peers},
		{s.Listen.Admin, netconn.ListenClients, &out.Admin},
	} {
		if *entry.listener, err = entry.listen("tcp", entry.address); err != nil {
			out.Close()
			return Listeners{}, errors.Wrap(err, "listen")
		}
	}
	return out, nil
}

// Close closes the sockets.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
