//go:build unix

package upstream

import "syscall"

// stillOpen asks the socket, without waiting, whether the other end has closed
// the connection or sent something unasked; neither can be used again.
func stillOpen(cn *conn) bool {
	sc, ok := cn.Conn.(syscall.Conn)
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
