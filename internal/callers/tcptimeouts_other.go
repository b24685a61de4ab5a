//go:build !linux

package callers

import (
	"net"
	"time"
)

// setTCPTimeouts does nothing: only write deadlines detect an unresponsive caller.
func setTCPTimeouts(net.Conn, time.Duration) {}
