// Package netconn holds what every user of network connections asks of them and
// of their errors.
package netconn

import (
	"net"

	"github.com/go-faster/errors"
)

// IsTimeout reports whether err says that a deadline passed.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
