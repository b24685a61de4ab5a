package callers

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 18

// Keep-alive probes of an idle connection. Larger values detect a lost connection later,
// much smaller ones close connections that lose a few packets.
const (
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

// setTCPTimeouts makes the kernel close an unresponsive connection: one with
// unacknowledged data after stallTimeout, an idle one after its keep-alive probes.
// Writes into the socket buffer still succeed long after the path is lost, so a write
// deadline alone would detect it late.
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
