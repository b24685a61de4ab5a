// Package netconn provides checks on network connections and their errors.
package netconn

import (
	"context"
	"net"
	"os"
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

// IsWriteLoss reports whether the error of a write, on which a past deadline may have been set, shows
// that the connection was lost. EPIPE is no loss: the other side had ended its side in order before it
// reset the rest.
func IsWriteLoss(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}

// IsTimeout reports whether err is or wraps a timeout. Those of some libraries are no
// net.Error.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
