package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/answerend"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
	"basilrudder/internal/standin/narrownet"
	"basilrudder/internal/tunnel"
)

const (
	// contactTime is how long after the begin of a cut first tries at the instances that
	// are cut off may fail.
	contactTime = 3 * time.Second
	// cutInstances and cutServers are the sizes of the fleet.
	cutInstances = 8
	cutServers   = 9
	// smallFleetStart is how long the instances of a small fleet take to find each other.
	smallFleetStart = 2 * time.Second
	// cutUserTimeout is the user timeout of the connections in the test's network.
	cutUserTimeout = 2 * time.Second
	// tryInterval is the time between two requests to one instance.
	tryInterval = 90 * time.Millisecond
	// streamEvents is the number of events of a stream, one each streamGap.
	streamEvents = 20
	streamGap    = 40 * time.Millisecond
)

// cutCluster is a fleet of instances in front of servers, whose connections can be cut.
type cutCluster struct {
	t       *testing.T
	ctx     context.Context
	tasks   *errgroup.Group
	network *narrownet.Network
	servers []*narrownet.Host
	// config and putServers are what an instance starts with.
	config     *routing.Config
	protocol   relay.Protocol
	putServers func(r *servers.Registry, now monotime.Instant) []string
	// confirms returns how an instance has the store confirm versions; nil for not at all.
	confirms func(n int, f *fleet) func(ctx context.Context, at monotime.Instant) bool

	mu     sync.Mutex
	hosts  []*narrownet.Host // of the instances
	fleet  []*linkedInstance
	relays []*relay.Relay
	runs   map[string]int // by request id
	// cutSince is when each instance lost its servers, by its number.
	cutSince map[int]time.Time
	tries    tally
	// down holds the instances that have lost more than their servers.
	down map[int]bool
	// slow is how much longer servers take to begin an answer.
	slow atomic.Int64
}

// tally counts first tries while some instances are cut off: those at instances that have
// been cut off for contactTime, and those at the others.
type tally struct {
	cut, cutServed, others, othersServed int
	failures                             map[string]int // of instances that are cut off
}

// fair reports whether the instances that are cut off served at least two thirds of the
// share that the others served, or nearly all.
func (c *tally) fair() bool {
	failed := c.cut - c.cutServed
	if failed <= 10+(c.cut+c.others)/50 {
		return true
	}
	return 3*c.cutServed*c.others >= 2*c.othersServed*c.cut
}

// emptyCutCluster returns a cluster without servers and instances.
func emptyCutCluster(t *testing.T, ctx context.Context, tasks *errgroup.Group) *cutCluster {
	c := &cutCluster{
		t: t, ctx: ctx, tasks: tasks, network: narrownet.New(), runs: make(map[string]int),
		cutSince: make(map[int]time.Time), down: make(map[int]bool), tries: tally{failures: make(map[string]int)},
		config: cutConfig(1), protocol: minimalProtocol{}, putServers: putCutServers,
	}
	c.network.SetUserTimeout(cutUserTimeout)
	return c
}

// newCutCluster starts a cluster of so many instances and waits while they find each other.
func newCutCluster(t *testing.T, ctx context.Context, tasks *errgroup.Group, size int, start time.Duration) *cutCluster {
	passProcessStart()
	c := emptyCutCluster(t, ctx, tasks)
	for n := range cutServers {
		c.startServer(n, c.serve)
	}
	c.startInstances(0, size)
	time.Sleep(start)
	return c
}

// playCuts plays a test on a small cluster in virtual time.
func playCuts(t *testing.T, play func(c *cutCluster)) {
	playFleetCuts(t, cutInstances, smallFleetStart, play)
}

// playFleetCuts plays a test on a cluster of so many instances in virtual time.
func playFleetCuts(t *testing.T, size int, start time.Duration, play func(c *cutCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		c := newCutCluster(t, ctx, &tasks, size, start)
		play(c)
		c.stop(cancel)
	})
}

// loadMeanwhile is load beside the rest of the test.
func (c *cutCluster) loadMeanwhile(lasts time.Duration, instances ...int) {
	c.tasks.Go(func() error {
		c.load(lasts, instances...)
		return nil
	})
}

func serverAddress(n int) string { return fmt.Sprintf("10.0.0.%d:80", n+1) }

// serviceOf returns the service of a server: two thirds serve "llm", the others "app".
func serviceOf(server int) string { return []string{"llm", "llm", "app"}[server%3] }

// startInstances starts instances, numbered from first on, with their configuration and
// list of servers.
func (c *cutCluster) startInstances(first, size int) {
	started := startLinkedFrom(c.t, c.ctx, c.tasks, first, size, func(n int) linkedHost {
		host := c.network.Host(fmt.Sprint("instance ", n), 0)
		c.mu.Lock()
		c.hosts = append(c.hosts, host)
		c.mu.Unlock()
		return linkedHost{listen: host.Listen, dial: host.Dial, capacity: 400}
	})
	for n, i := range started {
		if c.confirms != nil {
			i.fleet.streams.confirm = c.confirms(first+n, i.fleet)
		}
		i.fleet.installConfig(c.config, fromStore)
		i.fleet.changeServers(fromStore, c.putServers)
		c.mu.Lock()
		c.fleet = append(c.fleet, i)
		c.relays = append(c.relays, newCutRelay(i, c.protocol))
		c.mu.Unlock()
	}
}

func putCutServers(r *servers.Registry, now monotime.Instant) (ids []string) {
	for n := range cutServers {
		s := servers.Server{
			ID: serverAddress(n), Name: servers.Name(serverAddress(n)), Service: serviceOf(n), Address: serverAddress(n),
			DataCentre: fmt.Sprint("dc-", n%2), Slots: 64, Revision: servers.Revision(n + 1),
		}
		r.Put(s, now)
		ids = append(ids, s.ID)
	}
	return ids
}

func newCutRelay(i *linkedInstance, protocol relay.Protocol) *relay.Relay {
	return relay.New(relay.Config{
		Fleet: i.fleet, Protocol: protocol, Log: zap.NewNop(), Connector: i.connector, DrainTime: time.Minute,
	})
}

func cutConfig(version int64) *routing.Config {
	route := func(name, service string) routing.Route {
		return routing.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Timeout: 1500 * time.Millisecond, Goal: 100 * time.Millisecond,
			Attempts: 1, Shares: []routing.Share{{Service: service, Weight: 1}},
		}
	}
	again := route("again", "app")
	again.Repeat, again.Attempts = routing.Idempotent, 2
	prompt := route("prompt", "app")
	stream := route("stream", "llm")
	stream.Streaming, stream.Timeout, stream.Goal, stream.MaxGap = true, 5*time.Second, 500*time.Millisecond, 200*time.Millisecond
	return &routing.Config{
		Version: version, Services: []routing.Service{{Name: "llm"}, {Name: "app"}},
		Routes:       []routing.Route{route("once", "app"), again, prompt, stream},
		KeysRequired: true, Customers: []routing.Customer{{Name: "a", Keys: []string{"key-a"}}},
	}
}

// startServer starts a server on a host of its own, which answers each request of a
// connection by serve.
func (c *cutCluster) startServer(n int, serve func(conn net.Conn, in *bufio.Reader) bool) {
	host := c.network.Host(fmt.Sprint("server ", n), 0)
	c.servers = append(c.servers, host)
	listener := host.Listen(serverAddress(n))
	c.tasks.Go(func() error {
		<-c.ctx.Done()
		return listener.Close()
	})
	c.tasks.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			c.tasks.Go(func() error {
				defer conn.Close()
				defer context.AfterFunc(c.ctx, func() { conn.Close() })()
				in := bufio.NewReader(conn)
				for serve(conn, in) {
				}
				return nil
			})
		}
	})
}

// readRequest reads a request and its whole body.
func readRequest(in *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err
}

// serve answers one request on a connection. It reports whether another one may follow.
func (c *cutCluster) serve(conn net.Conn, in *bufio.Reader) bool {
	req, _, err := readRequest(in)
	if err != nil {
		return false
	}
	id := req.Header.Get("X-Id")
	c.mu.Lock()
	c.runs[id]++
	c.mu.Unlock()
	time.Sleep(10*time.Millisecond + time.Duration(c.slow.Load()))
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		return err == nil
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id); err != nil {
		return false
	}
	for n := range streamEvents {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(streamGap)
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// cut sets a fault between an instance and some servers.
func (c *cutCluster) cut(instance int, fault narrownet.Fault, from ...int) {
	for _, n := range from {
		c.network.Cut(c.hosts[instance], c.servers[n], fault)
	}
	c.noteCut(instance, fault)
}

// lose sets a fault between an instance and everything else.
func (c *cutCluster) lose(instance int, fault narrownet.Fault) {
	c.mu.Lock()
	c.down[instance] = true
	c.mu.Unlock()
	for n, other := range append(slices.Clone(c.hosts), c.servers...) {
		if n != instance {
			c.network.Cut(c.hosts[instance], other, fault)
		}
	}
}

// noteCut notes that an instance has lost its servers, or has them back.
func (c *cutCluster) noteCut(instance int, fault narrownet.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fault == narrownet.None {
		delete(c.cutSince, instance)
	} else if _, ok := c.cutSince[instance]; !ok {
		c.cutSince[instance] = time.Now()
	}
}

func allServers() (out []int) {
	for n := range cutServers {
		out = append(out, n)
	}
	return out
}

// call sends a request to an instance and reports whether the whole answer came.
func (c *cutCluster) call(instance int, path, id string) (ok bool, status int) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "http://h.example"+path+"x", strings.NewReader("body"))
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "key-a")
	if path == "/prompt/" {
		req.Header.Set("X-Prompt", "200")
	}
	status = -1
	c.mu.Lock()
	handler := c.relays[instance]
	c.mu.Unlock()
	handler.ServeHTTP(rec, req)
	body := rec.Body.String()
	if path == "/stream/" {
		return rec.Code == http.StatusOK && strings.Count(body, "data: "+id) == streamEvents, rec.Code
	}
	return rec.Code == http.StatusOK && body == id, rec.Code
}

// load sends requests to each of the instances for a while and counts them.
func (c *cutCluster) load(lasts time.Duration, instances ...int) {
	paths := []string{"/once/", "/again/", "/stream/"}
	begun := time.Now()
	var all sync.WaitGroup
	for n := 0; time.Since(begun) < lasts && c.ctx.Err() == nil; n++ {
		for _, i := range instances {
			path := paths[(n+i)%len(paths)]
			all.Go(func() { c.try(i, path) })
		}
		time.Sleep(tryInterval)
	}
	all.Wait()
}

// press sends requests to all instances at an interval for a while.
func (c *cutCluster) press(lasts, interval time.Duration, path string) {
	var all sync.WaitGroup
	for i := range cutInstances {
		all.Go(func() { c.pressOne(i, lasts, interval, path) })
	}
	all.Wait()
}

func (c *cutCluster) pressOne(instance int, lasts, interval time.Duration, path string) {
	begun := time.Now()
	var all sync.WaitGroup
	for time.Since(begun) < lasts && c.ctx.Err() == nil {
		all.Go(func() { c.call(instance, path, fmt.Sprint(rand.Uint64())) })
		time.Sleep(interval)
	}
	all.Wait()
}

// try sends a request and counts it by whether its instance was cut off when it was sent.
func (c *cutCluster) try(instance int, path string) {
	c.mu.Lock()
	since, isCut := c.cutSince[instance]
	counts := !c.down[instance] && isCut && time.Since(since) >= contactTime || !c.down[instance] && !isCut && len(c.cutSince) > 0
	c.mu.Unlock()
	id := fmt.Sprint(rand.Uint64())
	served, status := c.call(instance, path, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id] > 1 && path != "/again/" {
		c.t.Errorf("%s ran %d times", path, c.runs[id])
	}
	switch {
	case counts && isCut:
		c.tries.cut++
		if served {
			c.tries.cutServed++
		} else {
			c.tries.failures[fmt.Sprint(path, " ", status)]++
		}
	case counts:
		c.tries.others++
		if served {
			c.tries.othersServed++
		}
	}
}

// counted returns the counts so far.
func (c *cutCluster) counted() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.tries
	out.failures = maps.Clone(out.failures)
	return out
}

// ran returns how often a request ran.
func (c *cutCluster) ran(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

func (c *cutCluster) stop(cancel func()) {
	for _, r := range c.relays {
		r.Sweep(func(string) bool { return false })
	}
	stopLinked(c.t, cancel, c.tasks)
}

func instanceNumbers(size int) (out []int) {
	for n := range size {
		out = append(out, n)
	}
	return out
}

// cutCase is a way in which instances lose their servers.
type cutCase struct {
	name string
	play func(c *cutCluster)
}

const cutLasts = 10 * time.Second

// during cuts instances off from all servers for cutLasts.
func during(fault narrownet.Fault, instances ...int) func(*cutCluster) {
	return func(c *cutCluster) {
		for _, i := range instances {
			c.cut(i, fault, allServers()...)
		}
		time.Sleep(cutLasts)
		for _, i := range instances {
			c.cut(i, narrownet.None, allServers()...)
		}
	}
}

// oneWay cuts one direction between instances and all servers.
func oneWay(toServers bool, instances ...int) func(*cutCluster) {
	return func(c *cutCluster) {
		set := func(fault narrownet.Fault) {
			for _, i := range instances {
				for _, s := range c.servers {
					if toServers {
						c.network.SetFault(c.hosts[i], s, fault)
					} else {
						c.network.SetFault(s, c.hosts[i], fault)
					}
				}
				c.noteCut(i, fault)
			}
		}
		set(narrownet.Silent)
		time.Sleep(cutLasts)
		set(narrownet.None)
	}
}

var cutCases = []cutCase{
	{"connections hang", during(narrownet.Silent, 0, 1, 3, 4, 6)},
	{"connections are reset", during(narrownet.Reset, 0, 1, 3, 4, 6)},
	{"connections live on, new ones are refused", during(narrownet.Refuse, 0, 1, 3, 4, 6)},
	{"a whole data centre", during(narrownet.Silent, 0, 2, 4, 6)},
	{"all but one", during(narrownet.Reset, 0, 1, 2, 3, 4, 5, 6)},
	{"nothing reaches the servers", oneWay(true, 1, 2, 5)},
	{"nothing comes back", oneWay(false, 1, 2, 5)},
	{"one service", func(c *cutCluster) {
		var some []int
		for n := range cutServers {
			if serviceOf(n) == "app" {
				some = append(some, n)
			}
		}
		for _, i := range []int{0, 1, 3, 4, 6} {
			c.cut(i, narrownet.Silent, some...)
		}
		time.Sleep(cutLasts)
		for _, i := range []int{0, 1, 3, 4, 6} {
			c.cut(i, narrownet.None, some...)
		}
	}},
	{"some servers of each service", func(c *cutCluster) {
		some := []int{0, 1, 2, 3, 5, 6}
		for _, i := range []int{0, 1, 3, 4, 6} {
			c.cut(i, narrownet.Silent, some...)
		}
		time.Sleep(cutLasts)
		for _, i := range []int{0, 1, 3, 4, 6} {
			c.cut(i, narrownet.None, some...)
		}
	}},
	{"a second cut while the first lasts", func(c *cutCluster) {
		var both sync.WaitGroup
		both.Go(func() { during(narrownet.Reset, 0, 1, 3)(c) })
		time.Sleep(4 * time.Second)
		both.Go(func() { during(narrownet.Silent, 2, 4)(c) })
		both.Wait()
	}},
	{"beside restarts and configurations", func(c *cutCluster) {
		var both sync.WaitGroup
		both.Go(func() { during(narrownet.Silent, 0, 1, 3, 4)(c) })
		for version := range int64(4) {
			time.Sleep(2 * time.Second)
			for _, i := range c.fleet {
				i.fleet.installConfig(cutConfig(version+2), fromStore)
			}
			c.fleet[5+version%2].peers.leave()
		}
		both.Wait()
	}},
	{"peers are lost on the way", func(c *cutCluster) {
		var both sync.WaitGroup
		both.Go(func() { during(narrownet.Silent, 0, 1, 3)(c) })
		for n, fault := range []narrownet.Fault{narrownet.Reset, narrownet.Silent} {
			time.Sleep(4 * time.Second)
			c.lose(5+n, fault)
		}
		both.Wait()
	}},
	{"an instance starts while it is cut off", func(c *cutCluster) {
		host := len(c.hosts)
		c.startInstances(host, 1)
		c.cut(host, narrownet.Silent, allServers()...)
		c.load(cutLasts, host)
		c.cut(host, narrownet.None, allServers()...)
	}},
}

// Guards against refusals of an instance cut off from servers that others reach.
func TestInstancesCutOffFromServersServeTheirCallers(t *testing.T) {
	for _, test := range cutCases {
		t.Run(test.name, func(t *testing.T) {
			playCuts(t, func(c *cutCluster) {
				c.loadMeanwhile(cutLasts+7*time.Second, instanceNumbers(cutInstances)...)
				time.Sleep(2 * time.Second)
				test.play(c)
				time.Sleep(5 * time.Second)
				got := c.counted()
				t.Logf("cut off: %d of %d served, others: %d of %d; failed: %v", got.cutServed, got.cut, got.othersServed, got.others, got.failures)
				if got.cut == 0 {
					t.Error("no request was counted")
				}
				if !got.fair() {
					t.Errorf("instances cut off served %d of %d first tries, the others %d of %d", got.cutServed, got.cut, got.othersServed, got.others)
				}
			})
		})
	}
}

// Guards against servers that are found late after a crash of all of them.
func TestACrashOfAllServersIsNoCut(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		c.loadMeanwhile(9*time.Second, instanceNumbers(cutInstances)...)
		time.Sleep(2 * time.Second)
		for i := range cutInstances {
			c.cut(i, narrownet.Reset, allServers()...)
		}
		time.Sleep(2 * time.Second)
		for i := range cutInstances {
			c.cut(i, narrownet.None, allServers()...)
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range cutInstances {
			if ok, status := c.call(i, "/once/", fmt.Sprint("after-", i)); !ok {
				t.Errorf("instance %d: status %d 2.5 s after the servers are back", i, status)
			}
		}
	})
}

// Guards against peers that are asked for each request while they do not reach the servers either.
func TestPeersThatDoNotReachTheServersAreLeftAlone(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		for _, i := range c.fleet[1:] {
			i.tunnels.Connect = func(context.Context, string) (net.Conn, error) { return nil, tunnel.ErrUnreachable }
		}
		c.cut(0, narrownet.Silent, allServers()...)
		c.load(3*time.Second, 0) // until the waits have their full length
		me := c.fleet[0].connector
		before := me.refused.Load()
		c.load(cutLasts, 0)
		const services, longestWait = 2, time.Second
		asked := me.refused.Load() - before
		if most := int64(services * maxPeersFailed * (cutLasts/longestWait + 1)); asked > most {
			t.Errorf("asked peers %d times in %v, at most %d wanted", asked, cutLasts, most)
		}
	})
}

// Guards against requests that count as crashing servers because connections were cut.
func TestACutIsNoCrashOfServers(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		c.loadMeanwhile(3*time.Second, 0, 1, 3)
		time.Sleep(2 * time.Second)
		during(narrownet.Reset, 0, 1, 3)(c)
		for _, i := range c.fleet {
			if i.fleet.AnySuspected() {
				t.Errorf("%s suspects a request", i.fleet.self)
			}
		}
	})
}

// Guards against a request that leaves its regions on its way through a peer.
func TestConnectionsThroughPeersStayInTheirRegions(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		me := c.fleet[0]
		me.fleet.regions = regions{"dc-0": "north", "dc-1": "south"}
		c.cut(0, narrownet.Reset, allServers()...)
		s, _ := find(me.fleet.serverList("app").accepting, serverAddress(2))
		open := func(allowed ...string) *relay.Via {
			for range 4 { // the first attempts find that the path is lost
				conn, via, err := me.connector.Connect(c.ctx, relay.Target{Server: s}, &placement.Work{AllowedRegions: allowed})
				if err == nil {
					conn.Close()
					me.connector.Closed(via)
					return via
				}
				time.Sleep(time.Second)
			}
			return nil
		}
		for range 20 {
			if via := open("north"); via == nil || via.DataCentre != "dc-0" {
				t.Fatalf("a request that must stay in the north went by %+v", via)
			}
		}
		if via := open("west"); via != nil {
			t.Errorf("a request that must stay in the west went by %+v", via)
		}
		if me.connector.Allowed(&relay.Via{DataCentre: "dc-1"}, &placement.Work{AllowedRegions: []string{"north"}}) {
			t.Error("an idle connection through the south may be used by a request of the north")
		}
	})
}

// Guards against connections through a peer that keep it from ending.
func TestPeersThatLeaveAreNotUsed(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		c.loadMeanwhile(6*time.Second, 0, 1, 2)
		for i := range 3 {
			c.cut(i, narrownet.Reset, allServers()...)
		}
		time.Sleep(4 * time.Second)
		for _, i := range c.fleet[3:7] {
			i.peers.leave()
			i.fleet.updates.announceLeaving()
		}
		time.Sleep(time.Second)
		for _, r := range c.relays {
			r.Sweep(func(string) bool { return true })
		}
		time.Sleep(4 * time.Second)
		for _, i := range c.fleet[3:7] {
			if n := i.tunnels.Open(); n > 0 {
				t.Errorf("%s has %d connections open for others after it announced that it leaves", i.fleet.self, n)
			}
		}
		if got := c.counted(); !got.fair() {
			t.Errorf("served %d of %d", got.cutServed, got.cut)
		}
	})
}

// Guards against sound servers that are given up because they are silent for a second.
func TestServersThatAreSilentForASecondAreWaitedFor(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		c.slow.Store(int64(time.Second))
		for n := range 20 {
			id := fmt.Sprint("r", n)
			if ok, status := c.call(n%cutInstances, "/once/", id); !ok || c.ran(id) != 1 {
				t.Errorf("request %d: status %d, %d runs", n, status, c.ran(id))
			}
		}
		for _, i := range c.fleet {
			if lost := i.connector.paths.LostServices(); len(lost) > 0 {
				t.Errorf("%s takes %v as lost", i.fleet.self, lost)
			}
		}
	})
}

// Guards against kept connections that hide the loss of a service with few requests.
func TestServicesAreVerifiedWhenAnotherIsLost(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		for n := range 12 { // kept connections of both services
			c.call(0, []string{"/once/", "/stream/"}[n%2], fmt.Sprint("before-", n))
		}
		c.cut(0, narrownet.Silent, allServers()...)
		c.call(0, "/stream/", "first")
		time.Sleep(2 * time.Second)
		if ok, status := c.call(0, "/once/", "rare"); !ok {
			t.Errorf("status %d", status)
		}
	})
}

// Guards against rare requests that wait while probes go to a service known to be lost.
func TestUnverifiedServicesAreProbedFirst(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		me := c.fleet[0].connector
		now := monotime.Now()
		for n := range cutServers {
			if serviceOf(n) == "llm" {
				me.paths.Failed("llm", serverAddress(n), cutServers, now)
			}
		}
		for range 50 {
			if s, urgent, ok := me.suspect(now); !ok || !urgent || s.Service != "app" {
				t.Errorf("probes %q of service %q, urgent %v", s.ID, s.Service, urgent)
				return
			}
		}
	})
}

// Guards against trust in the life of a server that refuses connections since no peer knows it any more or all servers refuse.
func TestARefusalThatNobodyConfirmsIsNoSignOfLife(t *testing.T) {
	playCuts(t, func(c *cutCluster) {
		probe := func(id, address string) answerend.Probe {
			target := relay.Target{Server: servers.Server{ID: id, Service: "llm", Address: address}}
			connector := c.fleet[0].connector
			found := connector.Probe(c.ctx, target, relay.AnyServer)
			if found == answerend.Refused {
				found = connector.Confirm(c.ctx, target, relay.AnyServer)
			}
			return found
		}
		if got := probe("replaced", "10.0.9.9:80"); got != answerend.Unconfirmed {
			t.Errorf("unknown to peers: %s", got)
		}
		c.cut(0, narrownet.Reset, 0)
		if got := probe(serverAddress(0), serverAddress(0)); got != answerend.Accepted {
			t.Errorf("reached by peers: %s", got)
		}
		c.cut(0, narrownet.Reset, allServers()...)
		if got := probe(serverAddress(0), serverAddress(0)); got != answerend.Unconfirmed {
			t.Errorf("no other server is reached: %s", got)
		}
	})
}
