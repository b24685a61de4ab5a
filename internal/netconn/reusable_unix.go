//go:build unix

package netconn

import (
	"net"
	"syscall"
)

// IsReusable checks the socket of an idle connection without blocking. It returns false if
// the other end has closed the connection or has sent bytes that no request asked for,
// which would be read as the next response. A connection without a socket, as used in
// tests, is reusable.
func IsReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
