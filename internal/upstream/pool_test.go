package upstream

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

func pipeConn(t *testing.T, address string) *conn {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	t.Cleanup(func() { _ = serverEnd.Close() })
	return newConn(clientEnd, address)
}

// The read deadline of an unused connection has passed. The check of the socket must not
// fail for that reason, or no connection could be reused after a pause longer than the
// timeout.
func TestExpiredDeadlineDoesNotInvalidateIdleConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	cn := newConn(raw, "a")
	if err := cn.setFixedDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	p := newPool(1, time.Hour)
	p.put(cn)
	if got := p.get("a"); got != cn {
		t.Error("the usable connection was closed")
	}
}

func TestPoolDiscardsExpiredConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2, time.Minute)
		p.put(pipeConn(t, "a"))
		time.Sleep(time.Minute)
		if p.get("a") != nil {
			t.Error("got a connection unused for longer than the idle timeout")
		}
	})
}

func TestPoolKeepsTheLatestConnections(t *testing.T) {
	p := newPool(2, time.Hour)
	first, second, third := pipeConn(t, "a"), pipeConn(t, "a"), pipeConn(t, "a")
	for _, cn := range []*conn{first, second, third} {
		p.put(cn)
	}
	if p.get("a") != third || p.get("a") != second || p.get("a") != nil {
		t.Error("want the two most recently used, the last one first")
	}
	if _, err := first.Write([]byte{0}); err == nil {
		t.Error("the oldest connection is still open")
	}
	if p.get("b") != nil {
		t.Error("got a connection to another address")
	}
}

func TestPoolRejectsConnectionWithUnreadBytes(t *testing.T) {
	cn := newConn(&bytesConn{}, "a")
	cn.Conn.(*bytesConn).answer.Reset([]byte("unasked"))
	if _, err := cn.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	p := newPool(2, time.Hour)
	p.put(cn)
	if p.get("a") != nil {
		t.Error("unread bytes would be taken for the next answer")
	}
}
