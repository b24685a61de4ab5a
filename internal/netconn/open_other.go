//go:build !linux

package netconn

import "net"

// IsOpen reports whether neither end has closed a TCP connection; known is false if that can't
// be told.
func IsOpen(net.Conn) (open, known bool) { return false, false }
