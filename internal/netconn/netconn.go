// Package netconn provides checks on network connections and their errors.
package netconn

import (
	"net"

	"github.com/go-faster/errors"
)

// IsTimeout reports whether err is or wraps a network timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
