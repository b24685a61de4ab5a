package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/inbound"
	"basilrudder/internal/netconn"
	"basilrudder/internal/relay"
)

// listeners holds the listening sockets of an instance.
type listeners struct {
	callers, ready, directory, peers, metrics net.Listener
}

func (g *Gateway) listen() (*listeners, error) {
	s := g.cfg.Settings.Listen
	out := &listeners{}
	for _, l := range []struct {
		to      *net.Listener
		listen  func(network, address string) (net.Listener, error)
		address string
	}{
		{&out.callers, netconn.ListenClients, s.Callers}, {&out.ready, netconn.ListenClients, s.Ready},
		{&out.directory, netconn.ListenClients, s.Directory}, {&out.metrics, netconn.ListenClients, s.Metrics},
		// Links carry configurations of up to a megabyte, and are read at once.
		{&out.peers, net.Listen, s.Peers},
	} {
		listener, err := l.listen("tcp4", l.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*l.to = netconn.RetryAccept(listener, g.cfg.Log)
	}
	return out, nil
}

func (g *Gateway) callerServer() *http.Server {
	return &http.Server{
		Handler:           g.relay,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.cfg.Log),
		ConnState:         g.callers.StateChanged,
		ConnContext:       inbound.WithConn,
	}
}

// intake counts what a request of a caller holds.
func (g *Gateway) intake(ctx context.Context) relay.Intake {
	conn := inbound.FromContext(ctx)
	conn.Handle()
	return conn
}

func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// serveUntilCancelled serves requests with short answers until the context ends.
func (g *Gateway) serveUntilCancelled(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := inbound.ControlServer(handler, g.control, g.cfg.Log)
	defer context.AfterFunc(ctx, func() { _ = server.Shutdown() })()
	if err := server.Serve(g.control.Listener(listener)); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve")
	}
	return nil
}
