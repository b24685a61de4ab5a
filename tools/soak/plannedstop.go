package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"basilrudder/platform/wire"
)

const (
	// stopTimeout is that of the route of streams that may be resumed, longer than the grace.
	stopTimeout = 12 * time.Second
	stopCallers = 30
	// A stream has stopPieces events.
	stopPieces = 30
	// connectWait bounds the wait for a new connection.
	connectWait = 6 * time.Second
	// stopInstances and stopServers are the numbers of those.
	stopInstances, stopServers = 4, 4
	// stopTraffic is how long callers send before the signal.
	stopTraffic = 1500 * time.Millisecond
	// longestRun and longestBody are how long servers run a request, and how long its body takes.
	longestRun  = 3 * time.Second
	longestBody = 7 * time.Second
	// lateRun begins the last sixth of the grace, in which an answer to a request that was sent
	// within earlySend of the signal may be cut.
	lateRun   = grace * 5 / 6
	earlySend = 3 * time.Second
)

// plannedStop sends a SIGTERM to instances while callers go on sending on the connections that
// they have.
type plannedStop struct {
	name      string
	configure bool          // a configuration is published at the signal
	second    time.Duration // after which another instance gets a SIGTERM; 0 for none
}

var plannedStops = []scenario{
	plannedStop{name: "one stopped"}, plannedStop{name: "one stopped beside a configuration", configure: true},
	plannedStop{name: "two stopped", second: 700 * time.Millisecond},
}

// String implements fmt.Stringer.
func (s plannedStop) String() string { return s.name }

// stopAttempt is a request to an instance that is stopped.
type stopAttempt struct {
	id         string
	address    string    // of the instance
	begun, all time.Time // when its head and its last byte were sent
	ended      time.Time
	status     int
	whole      bool
}

// stopServer runs each request for as long as its path says. It records which ones it began.
type stopServer struct {
	mu    sync.Mutex
	begun map[string]bool
}

func (s *stopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.begun[id] = true
	s.mu.Unlock()
	ms, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderSeal, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range stopPieces {
		time.Sleep(time.Duration(ms) * time.Millisecond / stopPieces)
		if strings.HasPrefix(r.URL.Path, "/resumable/") || n == stopPieces-1 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id) // fails only if the instance is gone
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// stopCaller sends requests on one connection until it ends, and then on a new one, until its
// instance accepts none.
type stopCaller struct {
	address  string
	rand     *rand.Rand
	attempts []*stopAttempt
}

func (c *stopCaller) run(number int) {
	for {
		conn, err := net.DialTimeout("tcp", c.address, connectWait)
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		for goesOn := true; goesOn; {
			a := &stopAttempt{id: fmt.Sprintf("%d-%d", number, len(c.attempts)), address: c.address}
			c.attempts = append(c.attempts, a)
			goesOn = c.send(conn, in, a)
			a.ended = time.Now()
			time.Sleep(time.Duration(c.rand.Int64N(int64(thinking))))
		}
		_ = conn.Close()
	}
}

// send sends a request, some with bodies that take long, and reports whether another one may follow.
func (c *stopCaller) send(conn net.Conn, in *bufio.Reader, a *stopAttempt) bool {
	_ = conn.SetDeadline(time.Now().Add(stopTimeout))
	route := []string{"safe", "unsafe", "resumable"}[c.rand.IntN(3)]
	lasts := c.rand.Int64N(longestRun.Milliseconds())
	tokens := ""
	if route == "resumable" {
		tokens = wire.HeaderTokens + ": 1400,48\r\n"
	}
	a.begun = time.Now()
	_, err := fmt.Fprintf(conn, "POST /%s/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s%s\r\n%sContent-Length: 2\r\n\r\nx",
		route, lasts, host, wire.HeaderID, a.id, wire.HeaderKey, wire.KeyScheme, customerKey, tokens)
	if err == nil && route == "resumable" && c.rand.IntN(2) == 0 {
		time.Sleep(time.Duration(c.rand.Int64N(int64(longestBody))))
	}
	if err == nil {
		_, err = io.WriteString(conn, "x")
	}
	a.all = time.Now()
	if err != nil {
		return false
	}
	answer, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false
	}
	a.status = answer.StatusCode
	_, err = io.Copy(io.Discard, answer.Body)
	a.whole = err == nil
	return a.whole && !answer.Close
}

// run implements scenario.
func (s plannedStop) run(binary, dir string, seed uint64) (*scenarioReport, error) {
	f, err := newFleet(binary, dir, stopInstances, 0, noEnds, nil)
	if err != nil {
		return nil, err
	}
	defer f.close()
	f.streamTimeout = stopTimeout
	if err := f.publish(); err != nil {
		return nil, err
	}
	server := &stopServer{begun: make(map[string]bool)}
	for n := range stopServers {
		listening := httptest.NewServer(server)
		defer listening.Close()
		u := &upstream{service: []string{plain, model}[n%2], software: "v1", proxy: &proxy{ln: listening.Listener}}
		if err := f.store.PutServer(fmt.Sprint("s", n), u.entry(wire.StateReady)); err != nil {
			return nil, err
		}
	}
	for _, i := range f.instances {
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	if err := (&soak{fleet: f}).waitReady(); err != nil {
		return nil, err
	}
	attempts, stops, err := s.play(f, seed)
	if err != nil {
		return nil, err
	}
	return stops.report(attempts, server), nil
}

// stops holds when instances got their signals, by their address, and breaches of promises.
type stops struct {
	signalled map[string]time.Time
	broken    []string
}

// play returns the requests to the instances that were stopped.
func (s plannedStop) play(f *fleet, seed uint64) (attempts []*stopAttempt, out *stops, err error) {
	stopped := f.instances[:1]
	if s.second > 0 {
		stopped = f.instances[:2]
	}
	var calling sync.WaitGroup
	callers := make([]*stopCaller, stopCallers)
	for n := range callers {
		c := &stopCaller{address: stopped[n%len(stopped)].address["callers"], rand: rand.New(rand.NewPCG(seed, uint64(n)))}
		callers[n] = c
		calling.Go(func() { c.run(n) })
	}
	time.Sleep(stopTraffic)
	out = &stops{signalled: make(map[string]time.Time)}
	for _, i := range stopped {
		out.signalled[i.address["callers"]] = time.Now()
		i.signal(syscall.SIGTERM)
		if s.configure {
			err = f.publish()
		}
		time.Sleep(s.second)
	}
	for _, i := range stopped {
		if !i.process.ended(grace + endMargin) {
			out.broken = append(out.broken, i.name+" does not end")
			i.signal(syscall.SIGKILL)
		}
	}
	calling.Wait()
	for _, c := range callers {
		attempts = append(attempts, c.attempts...)
	}
	return attempts, out, err
}

// report judges the requests that were under way at the signal or came after it.
func (s *stops) report(attempts []*stopAttempt, server *stopServer) *scenarioReport {
	out := &scenarioReport{broken: s.broken}
	for _, a := range attempts {
		at := s.signalled[a.address]
		if a.ended.Before(at) {
			continue
		}
		out.requests++
		if !server.begun[a.id] {
			continue
		}
		out.concerned++
		allowed := a.all.Sub(at) <= earlySend && a.ended.Sub(at) >= lateRun
		if !a.whole && !allowed {
			out.broken = append(out.broken, fmt.Sprintf("cut %v after the signal: sent from %v to %v after it, status %d",
				a.ended.Sub(at), a.begun.Sub(at), a.all.Sub(at), a.status))
		}
	}
	return out
}
