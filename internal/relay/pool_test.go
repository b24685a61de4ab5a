package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/placement"
)

// pipePool returns a pool whose servers are far ends of pipes, and a function that closes
// the far ends of the connections to a server.
func pipePool(t testing.TB) (p *pool, closeServer func(id string)) {
	var mu sync.Mutex
	ends := make(map[string][]net.Conn)
	p = newPool(directConnector{func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		mu.Lock()
		defer mu.Unlock()
		ends[address] = append(ends[address], far)
		return near, nil
	}}, descriptors.Unlimited())
	closeServer = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range ends[id] {
			_ = c.Close()
		}
		delete(ends, id)
	}
	t.Cleanup(func() {
		p.sweep(func(string) bool { return false })
		for n := range 10 {
			closeServer(fmt.Sprint("s", n))
		}
	})
	return p, closeServer
}

func targetFor(id string) Target {
	var out Target
	out.ID, out.Address = id, id
	return out
}

func getConn(t *testing.T, p *pool, target Target) *conn {
	t.Helper()
	c, err := p.get(t.Context(), target, &placement.Work{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against an index that names servers whose only connection is in use, has reached
// its timeout or is closed, or that misses one with an idle connection.
func TestConnectedFollowsTheIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := pipePool(t)
		target := targetFor("s1")
		expect := func(when string, want bool) {
			t.Helper()
			if got := p.connected("s1"); got != want {
				t.Errorf("%s: connected is %v", when, got)
			}
		}
		expect("before the first request", false)
		first, second := getConn(t, p, target), getConn(t, p, target)
		expect("with both connections in use", false)
		p.putIdle(first, "")
		expect("with an idle one", true)
		if c := getConn(t, p, target); c != first || !c.reused {
			t.Error("the idle connection was not reused")
		}
		expect("with the idle one taken", false)
		p.putIdle(first, "timeout=3")
		p.putIdle(second, "")
		time.Sleep(9 * time.Second)
		expect("with one that expired and one that has not", true)
		time.Sleep(2 * time.Second)
		expect("after the timeout of both", false)
		p.sweep(func(string) bool { return true })
		third := getConn(t, p, target)
		p.putIdle(third, "")
		p.sweep(func(string) bool { return false })
		expect("after the server was removed", false)
		fourth := getConn(t, p, target)
		fourth.via = &Via{Peer: "peer"}
		p.putIdle(fourth, "")
		expect("with a connection through a peer", false)
	})
}

// Guards against requests that fail since idle connections to other servers take all
// descriptors, and against descriptors that are not returned.
func TestIdleConnectionsMakeRoomForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := pipePool(t)
		p.descriptors = descriptors.New(128)
		free := p.descriptors.Free(descriptors.Servers)
		var open []*conn
		for n := range free {
			open = append(open, getConn(t, p, targetFor(fmt.Sprint("s", n%8))))
			time.Sleep(time.Millisecond)
		}
		if _, err := p.get(t.Context(), targetFor("s8"), &placement.Work{}); !errors.Is(err, errPoolFull) {
			t.Errorf("one more than %d: %v", free, err)
		}
		for _, c := range open {
			p.putIdle(c, "")
			time.Sleep(time.Millisecond)
		}
		p.discard(getConn(t, p, targetFor("s8")))
		for n, c := range open {
			if closed := c.SetDeadline(time.Time{}) != nil; closed != (n == 0) {
				t.Errorf("connection %d of %d closed: %v", n, free, closed)
			}
		}
		p.sweep(func(string) bool { return false })
		if got := p.descriptors.Free(descriptors.Servers); got != free {
			t.Errorf("%d of %d are free again", got, free)
		}
	})
}

// Guards against idle connections that are kept for longer than the server announces or, if
// there are several, for longer than the usual time.
func TestOneIdleConnectionIsKeptAsAnnounced(t *testing.T) {
	for _, c := range []struct {
		keepIdle  bool
		announced string
		wantAfter map[time.Duration]int
	}{
		{false, "timeout=60", map[time.Duration]int{9 * time.Second: 2, 11 * time.Second: 0}},
		{true, "", map[time.Duration]int{9 * time.Second: 2, 11 * time.Second: 0}},
		{true, "timeout=60", map[time.Duration]int{9 * time.Second: 2, 11 * time.Second: 1, 29 * time.Second: 1, 31 * time.Second: 0}},
		{true, "timeout=20", map[time.Duration]int{11 * time.Second: 1, 19 * time.Second: 1, 20 * time.Second: 0}},
		{true, "timeout=5", map[time.Duration]int{4 * time.Second: 2, 5 * time.Second: 0}},
	} {
		for after, want := range c.wantAfter {
			synctest.Test(t, func(t *testing.T) {
				p, _ := pipePool(t)
				target := targetFor("s1")
				target.KeepIdle = c.keepIdle
				first, second := getConn(t, p, target), getConn(t, p, target)
				p.putIdle(first, c.announced)
				p.putIdle(second, c.announced)
				time.Sleep(after)
				p.sweep(func(string) bool { return true })
				if got := len(p.idle["s1"]); got != want || p.connected("s1") != (want > 0) || p.count["s1"] != want {
					t.Errorf("keepIdle %v, %q: after %v %d idle of %d, want %d, connected %v",
						c.keepIdle, c.announced, after, got, p.count["s1"], want, p.connected("s1"))
				}
			})
		}
	}
}

// Guards against idle connections without a bound in a fleet of thousands of servers.
func TestFewConnectionsAreKeptLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := pipePool(t)
		for n := range maxKept + 50 {
			target := targetFor(fmt.Sprint("server-", n))
			target.KeepIdle = true
			p.putIdle(getConn(t, p, target), "timeout=60")
		}
		time.Sleep(maxIdle)
		p.sweep(func(string) bool { return true })
		if got := len(p.idle); got != maxKept {
			t.Errorf("%d connections kept, bound %d", got, maxKept)
		}
	})
}

// acceptOnLoopback accepts connections until the test ends. It returns the address and the
// servers' ends.
func acceptOnLoopback(t testing.TB) (address string, accepted <-chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ends := make(chan net.Conn, 1024)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			ends <- c
		}
	}()
	return listener.Addr().String(), ends
}

// dialTo returns a function that connects to one address for every server.
func dialTo(address string) dialFunc {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
}

// Guards against a request that fails because the index names a server which has closed the
// connection.
func TestAClosedIdleConnectionCostsANewOne(t *testing.T) {
	address, accepted := acceptOnLoopback(t)
	p := newPool(directConnector{dialTo(address)}, descriptors.Unlimited())
	target := targetFor("s1")
	first := getConn(t, p, target)
	p.putIdle(first, "")
	(<-accepted).Close()
	for first.reusable() {
		time.Sleep(time.Millisecond)
	}
	if !p.connected(target.ID) {
		t.Error("the index has noticed the closed connection: the test misses its case")
	}
	second := getConn(t, p, target)
	if second == first || second.reused {
		t.Error("the closed connection was used")
	}
	if p.connected(target.ID) {
		t.Error("connected without an idle connection")
	}
	p.discard(second)
	(<-accepted).Close()
}

// Guards against an index that differs from the idle connections after concurrent use, and
// against counts that leak.
func TestIndexIsRightAfterConcurrentUse(t *testing.T) {
	p, closeServer := pipePool(t)
	const servers, workers, rounds = 6, 8, 300
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for range rounds {
				id := fmt.Sprint("s", random.IntN(servers))
				target := targetFor(id)
				target.MaxConns, target.KeepIdle = 4, random.IntN(2) == 0
				_ = p.connected(id)
				c, err := p.get(context.Background(), target, &placement.Work{})
				if err != nil {
					if !errors.Is(err, errPoolFull) {
						t.Error(err)
					}
					continue
				}
				switch random.IntN(8) {
				case 0:
					p.discard(c)
				case 1:
					p.putIdle(c, "timeout=0")
				case 2:
					p.putIdle(c, "timeout=60")
					closeServer(id)
				case 3:
					p.putIdle(c, "")
					p.sweep(func(server string) bool { return server != id })
				default:
					p.putIdle(c, "timeout=60")
				}
			}
		})
	}
	group.Wait()
	for n := range servers {
		id := fmt.Sprint("s", n)
		if got, want := p.connected(id), len(p.idle[id]) > 0; got != want {
			t.Errorf("%s: connected is %v with %d idle connections", id, got, len(p.idle[id]))
		}
		if p.count[id] != len(p.idle[id]) {
			t.Errorf("%s: %d counted, %d idle", id, p.count[id], len(p.idle[id]))
		}
	}
}
