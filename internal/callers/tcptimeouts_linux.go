package callers

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 18

const (
	// keepAliveCount is the number of probes of an idle connection that may be lost before
	// it is closed. With one, a single lost packet would close connections that work.
	keepAliveCount = 3
	// keepAliveSteps divides the stall timeout into the time before the first probe, two
	// steps, and the intervals between probes, one step each. The user timeout closes an
	// idle connection too, whatever keepAliveCount is, so all probes have to fit in it.
	keepAliveSteps = 2 + keepAliveCount
	// minKeepAliveStep is the shortest interval that the kernel accepts.
	minKeepAliveStep = time.Second
)

// keepAlive returns the probes of an idle connection beside a user timeout.
func keepAlive(userTimeout time.Duration) net.KeepAliveConfig {
	step := max(minKeepAliveStep, userTimeout/keepAliveSteps)
	return net.KeepAliveConfig{Enable: true, Idle: 2 * step, Interval: step, Count: keepAliveCount}
}

// setTCPTimeouts makes the kernel close an unresponsive connection: one with
// unacknowledged data after stallTimeout, an idle one after its keep-alive probes.
// Writes into the socket buffer still succeed long after the path is lost, so a write
// deadline alone would detect it late.
func setTCPTimeouts(c net.Conn, stallTimeout time.Duration) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(keepAlive(stallTimeout))
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(stallTimeout.Milliseconds()))
	})
}
