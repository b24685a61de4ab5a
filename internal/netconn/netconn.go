// Package netconn provides checks on network connections and their errors.
package netconn

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// Dial opens a TCP connection. Only the context bounds the time that it takes.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// IsRefusal reports whether the other side refused a connection, or reset it. Dialing also fails
// for want of a descriptor or port here, or of a route.
func IsRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// IsTimeout reports whether err is or wraps a timeout. Those of some libraries are no
// net.Error.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
