//go:build unix

package netconn

import (
	"net"
	"syscall"
)

// IsReusable asks the socket of an idle connection, without waiting, whether nothing
// has come on it: neither its end nor bytes that no request asked for, which
// would be taken for the next answer. A connection without a socket, as tests
// use, counts as quiet.
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
