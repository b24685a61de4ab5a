package netconn

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
)

// failingListener fails with each of its errors once, then accepts a connection.
type failingListener struct {
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", err)}
}

func (l *failingListener) Close() error   { return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that ends because it has no descriptor left for a moment.
func TestAcceptOutlastsALackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := RetryAccept(&failingListener{[]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED}}, zap.NewNop())
		if _, err := l.Accept(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a loop of accepts on a listener that is closed.
func TestAcceptEndsWithItsListener(t *testing.T) {
	l := RetryAccept(&failingListener{[]error{syscall.EINVAL}}, zap.NewNop())
	if _, err := l.Accept(); err == nil {
		t.Error("no error")
	}
}
