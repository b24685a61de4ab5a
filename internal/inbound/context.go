package inbound

import (
	"context"
	"net"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn returns a context that holds the connection. It is the ConnContext of an http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request; nil if it is not counted.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// ResetOnClose sets whether the connection of a request is reset when it is closed.
func ResetOnClose(ctx context.Context, reset bool) error {
	conn := FromContext(ctx)
	if conn == nil {
		return errNoSocket
	}
	if reset {
		return conn.SetLinger(0)
	}
	conn.lingers.Store(true)
	return conn.SetLinger(-1)
}

// Refuses reports whether a request came over a connection beyond the budget, or one that was
// closed for another while the request was buffered.
func Refuses(ctx context.Context) bool {
	conn := FromContext(ctx)
	return conn != nil && (conn.refusable || conn.current() == evicted)
}

// Refusable reports whether the connection is beyond the budget, so that its requests are refused.
func (c *Conn) Refusable() bool { return c.refusable }
