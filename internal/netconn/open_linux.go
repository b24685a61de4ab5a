package netconn

import (
	"net"
	"syscall"
)

// tcpEstablished is the state of a connection that neither end has closed (tcp(7), TCP_INFO).
const tcpEstablished = 1

// IsOpen reports whether neither end has closed a TCP connection; known is false if that can't
// be told. It does not wait for readers, and bytes that were not read don't hide an end.
func IsOpen(c net.Conn) (open, known bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	var state [4]byte
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		// The structure is cut to the four bytes of the buffer; its first one is the state.
		state, infoErr = syscall.GetsockoptInet4Addr(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	return state[0] == tcpEstablished, err == nil && infoErr == nil
}
