package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// ends is what is ended without notice while answers are under way that may have neither a
// length nor chunks.
type ends string

const (
	noEnds       ends = ""
	instanceEnds ends = "instances"
	serverEnds   ends = "servers"
	allEnds      ends = "all"
)

const (
	// endPauseMost is pauseMost of these ends, and downMost how long what ended is down.
	endPauseMost = 900 * time.Millisecond
	downMost     = 500 * time.Millisecond
	// toldMost is the longest time between a SIGTERM and the SIGKILL that follows, below
	// the time that answers under way take.
	toldMost = 300 * time.Millisecond
	// A slow reader takes at most slowPiece bytes after each slowPause.
	slowPiece = 64
	slowPause = 5 * time.Millisecond
)

var faultsOfInstanceEnds = []fault{
	{"instance killed", func(s *soak, r *rand.Rand, _ time.Duration) { s.end(s.anyInstance(r), r, 0) }},
	{"instance killed in series", func(s *soak, r *rand.Rand, _ time.Duration) {
		i := s.anyInstance(r)
		for range series {
			s.end(i, r, 0)
			s.note(s.waitReady())
		}
	}},
	{"instance told to end and killed", func(s *soak, r *rand.Rand, _ time.Duration) {
		s.end(s.anyInstance(r), r, time.Duration(r.Int64N(int64(toldMost))))
	}},
	{"all instances killed", func(s *soak, r *rand.Rand, _ time.Duration) {
		var all sync.WaitGroup
		for _, i := range s.fleet.instances {
			own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
			all.Go(func() { s.end(i, own, 0) })
		}
		all.Wait()
	}},
}

var faultsOfServerEnds = []fault{
	{"server ended", func(s *soak, r *rand.Rand, _ time.Duration) { s.endServer(s.anyUpstream(r), r) }},
	{"server ended in series", func(s *soak, r *rand.Rand, _ time.Duration) {
		u := s.anyUpstream(r)
		for range series {
			s.endServer(u, r)
		}
	}},
}

// faults returns the faults that end what is named.
func (e ends) faults() []fault {
	switch e {
	case noEnds:
		return nil
	case instanceEnds:
		return faultsOfInstanceEnds
	case serverEnds:
		return faultsOfServerEnds
	default:
		return append(append([]fault(nil), faultsOfInstanceEnds...), faultsOfServerEnds...)
	}
}

// alone reports whether no other faults come, so that what is broken is due to these ends.
func (e ends) alone() bool { return e == instanceEnds || e == serverEnds }

// end kills an instance, told before that it is to end if told is not 0, and starts it again.
func (s *soak) end(i *instance, r *rand.Rand, told time.Duration) {
	defer i.disturb()()
	i.ending.Lock()
	defer i.ending.Unlock()
	if told > 0 {
		i.signal(syscall.SIGTERM)
		time.Sleep(told)
	}
	i.signal(syscall.SIGKILL)
	<-i.process.done
	time.Sleep(time.Duration(r.Int64N(int64(downMost))))
	s.note(s.fleet.start(i))
}

// endServer closes all connections of a server at once, as the end of its process does.
func (s *soak) endServer(u *upstream, r *rand.Rand) {
	down := time.Duration(r.Int64N(int64(downMost)))
	s.replace(u, down, func(u *upstream) { _ = u.http.Close() })
}

// withoutLength reports whether a server sends its answers with neither a length nor chunks:
// every other server of each service.
func (e ends) withoutLength(server int) bool { return e != noEnds && server/2%2 == 0 }

// transport returns that of a caller: by turns of HTTP/1.1 and HTTP/1.0, and of a quick and
// a slow reader.
func (e ends) transport(caller int) *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 4}
	if e == noEnds {
		return t
	}
	old, slow := caller%2 == 1, caller/2%2 == 1
	t.DisableKeepAlives = old
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil && slow {
			conn = slowConn{conn}
		}
		if err == nil && old {
			conn = &oldConn{Conn: conn}
		}
		return conn, err
	}
	return t
}

// oldConn sends its only request as one of HTTP/1.0.
type oldConn struct {
	net.Conn
	begun bool
}

// Write implements net.Conn. The first piece holds the request line.
func (c *oldConn) Write(p []byte) (int, error) {
	if c.begun {
		return c.Conn.Write(p)
	}
	c.begun = true
	_, err := c.Conn.Write(bytes.Replace(p, []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1))
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// slowConn is the connection of a slow reader.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return c.Conn.Read(p[:min(len(p), slowPiece)])
}
