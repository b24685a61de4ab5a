// Package netconn provides checks on network connections and their errors.
package netconn

import (
	"context"
	"net"

	"github.com/go-faster/errors"
)

// Dial opens a TCP connection. Only the context bounds the time that it takes.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// IsTimeout reports whether err is or wraps a timeout. Those of some libraries are no
// net.Error.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
