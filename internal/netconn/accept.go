package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// minAcceptWait and maxAcceptWait bound the wait after a failed accept.
	minAcceptWait = 5 * time.Millisecond
	maxAcceptWait = time.Second
)

// retryListener is a listener whose Accept outlasts errors that pass.
type retryListener struct {
	net.Listener
	log *zap.Logger
}

// RetryAccept returns a listener whose Accept waits and tries again while the process or the
// system lacks descriptors or memory. Servers that take such an error for the end of their
// listener would stop with it.
func RetryAccept(l net.Listener, log *zap.Logger) net.Listener { return &retryListener{l, log} }

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for wait := minAcceptWait; ; wait = min(2*wait, maxAcceptWait) {
		c, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return c, err
		}
		if wait == minAcceptWait {
			l.log.Warn("accept_failed", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
		time.Sleep(wait)
	}
}

// isTransient reports whether an accept may succeed later.
func isTransient(err error) bool {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}
