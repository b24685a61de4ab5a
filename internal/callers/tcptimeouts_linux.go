package callers

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 18

// Keep-alive probes of a connection on which nothing is sent.
const (
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

// setTCPTimeouts makes the kernel give up a connection that went silent: one with
// unacknowledged data after stall, an idle one after its keep-alive probes. A
// write into the socket buffer succeeds for long after the path is dead, so a
// write deadline alone would notice late.
func setTCPTimeouts(c net.Conn, stallTimeout time.Duration) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(stallTimeout.Milliseconds()))
	})
}
