package gateway

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/standin/narrownet"
)

// brittleShape is the size of a service of brittle servers.
type brittleShape struct {
	// servers of the service, each with so many slots and places in its queue.
	servers, slots, queue int
	// refusals is the number of refusals a second that a server survives.
	refusals int
	// run is how long a request runs, and down how long a server that fell stays down.
	run, down time.Duration
}

// maxFalls is how often all servers together may fall in one brittle time.
func (s *brittleShape) maxFalls() int { return 2 + s.servers/10 }

// perSecond is the number of requests that all servers can serve in a second.
func (s *brittleShape) perSecond() float64 {
	return float64(s.servers*s.slots) / s.run.Seconds()
}

var smallBrittleShape = brittleShape{servers: 6, slots: 4, queue: 1, refusals: 6, run: 100 * time.Millisecond, down: 3 * time.Second}

// brittleServer refuses requests for want of room, and falls over after too many refusals
// within a second.
type brittleServer struct {
	cluster *cutCluster
	number  int
	shape   brittleShape

	mu sync.Mutex
	// starts counts the falls and crashes, after which the server has no requests.
	starts   int
	active   int
	refusals []time.Time
	falls    int
	refused  int
	served   int
	// announces is whether answers say that the server is brittle, and falling whether it
	// falls over.
	announces, falling bool
}

func (s *brittleServer) serve(conn net.Conn, in *bufio.Reader) bool {
	req, _, err := readRequest(in)
	if err != nil {
		return false
	}
	id := req.Header.Get("X-Id")
	room, start, notice := s.begin()
	if !room {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n", id, notice)
		return err == nil
	}
	time.Sleep(s.shape.run)
	if !s.end(start) {
		return false
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, notice, len(id), id)
	return err == nil
}

// begin takes a place, or records a refusal.
func (s *brittleServer) begin() (room bool, start int, notice string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announces {
		notice = fmt.Sprintf("X-Brittle: %d\r\n", s.shape.refusals)
	}
	if s.active < s.shape.slots+s.shape.queue {
		s.active++
		return true, s.starts, notice
	}
	s.refused++
	now := time.Now()
	for len(s.refusals) > 0 && now.Sub(s.refusals[0]) >= time.Second {
		s.refusals = s.refusals[1:]
	}
	s.refusals = append(s.refusals, now)
	if s.falling && len(s.refusals) > s.shape.refusals {
		s.falls++
		s.stop()
	}
	return false, s.starts, notice
}

// end releases a place. It reports whether the server has run all the while since start.
func (s *brittleServer) end(start int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts != start {
		return false
	}
	s.active--
	s.served++
	return true
}

// crash ends the server for another reason than refusals.
func (s *brittleServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// stop drops all requests and cuts the server off from all instances for a while; mu is
// held.
func (s *brittleServer) stop() {
	s.starts++
	s.active, s.refusals = 0, nil
	s.cluster.mu.Lock()
	hosts := slices.Clone(s.cluster.hosts)
	s.cluster.mu.Unlock()
	set := func(fault narrownet.Fault) {
		for _, host := range hosts {
			s.cluster.network.Cut(host, s.cluster.servers[s.number], fault)
		}
	}
	set(narrownet.Reset)
	time.AfterFunc(s.shape.down, func() { set(narrownet.None) })
}

// newBrittleCluster starts so many instances in front of brittle servers, whose service is
// one of engines if prompts is set.
func newBrittleCluster(t *testing.T, ctx context.Context, tasks *errgroup.Group, instances int, shape brittleShape, prompts bool) (*cutCluster, []*brittleServer) {
	passProcessStart()
	c := emptyCutCluster(t, ctx, tasks)
	c.config = cutConfig(1)
	c.config.Services = []routing.Service{{Name: "app"}, {Name: "llm"}}
	if prompts {
		c.config.Services[0].Engine = &routing.Engine{Slots: shape.slots, MemoryTokens: 100_000, EventTokens: 2}
	}
	var all []*brittleServer
	for n := range shape.servers {
		s := &brittleServer{cluster: c, number: n, shape: shape}
		all = append(all, s)
		c.startServer(n, s.serve)
	}
	c.putServers = func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for n := range shape.servers {
			r.Put(servers.Server{
				ID: serverAddress(n), Name: servers.Name(serverAddress(n)), Service: "app", Address: serverAddress(n),
				DataCentre: fmt.Sprint("dc-", n%2), Slots: shape.slots, Revision: servers.Revision(n + 1),
			}, now)
			ids = append(ids, serverAddress(n))
		}
		return ids
	}
	c.startInstances(0, instances)
	time.Sleep(2 * time.Second)
	return c, all
}

// setBrittle sets whether servers say that they are brittle, and whether they fall.
func setBrittle(all []*brittleServer, announces, falling bool) {
	for _, s := range all {
		s.mu.Lock()
		s.announces, s.falling = announces, falling
		s.mu.Unlock()
	}
}

// Guards against brittle servers that fall because they get requests without room for them.
func TestBrittleServersAreNotOverrun(t *testing.T) {
	shape := smallBrittleShape
	for _, prompts := range []bool{false, true} {
		t.Run(fmt.Sprint("prompts ", prompts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var tasks errgroup.Group
				c, all := newBrittleCluster(t, ctx, &tasks, cutInstances, shape, prompts)
				path := "/once/"
				if prompts {
					path = "/prompt/"
				}
				tasks.Go(func() error {
					c.press(12*time.Second, 15*time.Millisecond, path)
					return nil
				})
				time.Sleep(time.Second)
				setBrittle(all, true, false)
				time.Sleep(contactTime)
				setBrittle(all, true, true)
				tasks.Go(func() error {
					// An instance that starts meanwhile has heard of nothing.
					c.startInstances(cutInstances, 1)
					c.pressOne(cutInstances, 5*time.Second, 15*time.Millisecond, path)
					return nil
				})
				time.Sleep(6 * time.Second)
				setBrittle(all, false, false)
				time.Sleep(3 * time.Second)
				falls, served := 0, 0
				for _, s := range all {
					s.mu.Lock()
					falls += s.falls
					served += s.served
					s.mu.Unlock()
				}
				t.Logf("%d falls, %d served", falls, served)
				if falls > shape.maxFalls() {
					t.Errorf("%d falls, at most %d wanted", falls, shape.maxFalls())
				}
				// Half of what the servers can serve in the time of the load: the servers are few,
				// so some instances own none of them.
				if least := int(12 * shape.perSecond() / 2); served < least {
					t.Errorf("%d requests served, at least %d wanted", served, least)
				}
				for _, i := range c.fleet {
					if n := i.fleet.rateLimitedServers(); len(n) > 0 {
						t.Errorf("%s still limits %v", i.fleet.self, n)
					}
				}
				c.stop(cancel)
			})
		})
	}
}

// largeBrittleShape is a service before which many instances each have few requests.
var largeBrittleShape = brittleShape{servers: 20, slots: 8, refusals: 3, run: 900 * time.Millisecond, down: 2500 * time.Millisecond}

// pressInWaves sends requests to random instances, by turns more and fewer than the
// servers can serve. Callers that are refused or fail come back once.
func (c *cutCluster) pressInWaves(lasts time.Duration, perSecond float64, path string) {
	const wave, over, under, returnAfter = 3 * time.Second, 1.2, 0.7, 400 * time.Millisecond
	begun := time.Now()
	var all sync.WaitGroup
	for n := 0; time.Since(begun) < lasts && c.ctx.Err() == nil; n++ {
		all.Go(func() {
			for try := range 2 {
				if ok, _ := c.call(c.anyRunning(), path, fmt.Sprint("wave-", n, "-", try)); ok {
					return
				}
				time.Sleep(returnAfter)
			}
		})
		factor := over
		if time.Since(begun)/wave%2 == 1 {
			factor = under
		}
		time.Sleep(time.Duration(float64(time.Second) / (factor * perSecond)))
	}
	all.Wait()
}

// anyRunning returns the number of a random instance that is not lost.
func (c *cutCluster) anyRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if n := rand.IntN(len(c.fleet)); !c.down[n] {
			return n
		}
	}
}

// replaceInstances ends a sixth of the running instances and starts as many others.
func (c *cutCluster) replaceInstances(size int) {
	for range size / 6 {
		c.lose(c.anyRunning(), narrownet.Reset)
	}
	c.mu.Lock()
	first := len(c.fleet)
	c.mu.Unlock()
	c.startInstances(first, size/6)
}

// brittleCase is a load on brittle servers.
type brittleCase struct {
	name      string
	instances int
	shape     brittleShape
	// prompts means that the servers are engines; crashing that some crash meanwhile, and
	// replacing that a sixth of the instances are killed and others started each 3 s.
	prompts, crashing, replacing bool
}

// playBrittle plays a case and returns how many requests were served.
func playBrittle(t *testing.T, c *brittleCase) (served int) {
	const lasts = 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		cluster, all := newBrittleCluster(t, ctx, &tasks, c.instances, c.shape, c.prompts)
		if c.instances > largeBrittleFleet {
			time.Sleep(largeFleetStart)
		}
		setBrittle(all, true, false)
		path := "/once/"
		if c.prompts {
			path = "/prompt/"
		}
		tasks.Go(func() error {
			cluster.pressInWaves(lasts, c.shape.perSecond(), path)
			return nil
		})
		time.Sleep(contactTime)
		setBrittle(all, true, true)
		for n := range 6 {
			if c.crashing {
				all[n*3].crash()
			}
			if c.replacing && n%2 == 0 {
				cluster.replaceInstances(c.instances)
			}
			time.Sleep(contactTime / 2)
		}
		time.Sleep(lasts - 4*contactTime)
		falls, refused := 0, 0
		for _, s := range all {
			s.mu.Lock()
			falls, served, refused = falls+s.falls, served+s.served, refused+s.refused
			s.mu.Unlock()
		}
		t.Logf("%d falls, %d refusals, %d served", falls, refused, served)
		if falls > c.shape.maxFalls() {
			t.Errorf("%d falls, at most %d wanted", falls, c.shape.maxFalls())
		}
		if least := int(lasts.Seconds() * c.shape.perSecond() / 2); served < least {
			t.Errorf("%d requests served, at least %d wanted", served, least)
		}
		cluster.stop(cancel)
	})
	return served
}

// largeBrittleFleet is the largest fleet whose instances find each other at once.
const largeBrittleFleet = 24

// Guards against brittle servers that fall because many instances send to the same slot.
func TestBrittleServersBeforeManyInstances(t *testing.T) {
	shape := largeBrittleShape
	// servedByFew is what few instances served, with prompts or without.
	servedByFew := make(map[bool]int)
	cases := []brittleCase{
		{name: "8 instances", instances: 8, shape: shape, prompts: true},
		{name: "8 instances, no prompts", instances: 8, shape: shape},
		{name: "24 instances", instances: 24, shape: shape, prompts: true},
		{name: "24 instances, no prompts", instances: 24, shape: shape},
		{name: "24 instances, servers crash", instances: 24, shape: shape, prompts: true, crashing: true},
		{name: "24 instances, instances are replaced", instances: 24, shape: shape, prompts: true, replacing: true},
		{name: "24 instances, both", instances: 24, shape: shape, prompts: true, crashing: true, replacing: true},
	}
	if *fleetSize > 0 {
		large := shape
		large.servers = max(shape.servers, *fleetSize*5/6)
		cases = append(cases, brittleCase{name: "one more size", instances: *fleetSize, shape: large, prompts: true, crashing: true, replacing: true})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served := playBrittle(t, &c)
			switch {
			case c.instances == 8:
				servedByFew[c.prompts] = served
			case !c.crashing && !c.replacing && 20*served < 17*servedByFew[c.prompts]:
				t.Errorf("%d requests served, %d before 8 instances", served, servedByFew[c.prompts])
			}
		})
	}
}

// Guards against requests that count as crashing servers because a brittle server fell.
func TestTheFallOfABrittleServerAccusesNoRequest(t *testing.T) {
	const survives = 5
	request := crashes.Fingerprint{1}
	for _, c := range []struct {
		name string
		// own are the refusals of this instance, reported those of a peer, and before how
		// long before the end they were.
		own, reported int
		before        time.Duration
		accused       bool
	}{
		{"refused more than it survives", survives + 1, 0, 500 * time.Millisecond, false},
		{"refused both instances", 1, survives, 500 * time.Millisecond, false},
		{"refused the peer", 0, survives + 1, 500 * time.Millisecond, false},
		{"refused only a few", 1, 1, 500 * time.Millisecond, true},
		{"refused long before", survives + 1, 0, 3 * time.Second, true},
		{"refused nothing", 0, 0, 0, true},
	} {
		f, _, _ := newFleet()
		put(f, fromStore, entry("a", 1))
		now := monotime.Instant(time.Hour)
		refused := servers.Notice{Brittle: true, MaxRefusals: survives, Refused: true}
		f.ApplyNotice("a", servers.Notice{Brittle: true, MaxRefusals: survives}, now, now)
		for range c.own {
			f.ApplyNotice("a", refused, now, now)
		}
		endedAt := now.Add(c.before)
		f.Crashed(crashes.Crash{Request: request, Customer: "c", Server: "a", At: endedAt}, endedAt)
		if c.reported > 0 {
			f.applyRefusals("peer", &wire.RelayFall{Server: "a", Refusals: c.reported}, endedAt, endedAt)
		}
		if got := f.AnySuspected(); got != c.accused {
			t.Errorf("%s: suspected %v, want %v", c.name, got, c.accused)
		}
		f.crashes.receive("late", []wire.RelayCrash{{Request: request[:], Customer: "c", Server: "a"}}, endedAt)
		if got := f.AnySuspected(); got != c.accused {
			t.Errorf("%s, reported again: suspected %v, want %v", c.name, got, c.accused)
		}
	}
}

// Guards against instances that attribute the end of a brittle server to different causes.
func TestAFallIsKnownToAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		passProcessStart()
		host := fastHosts()
		fleet := startLinkedOver(t, ctx, &tasks, 4, host)
		time.Sleep(time.Second)
		put(fleet[0].fleet, fromStore, entry("a", 1))
		time.Sleep(time.Second)
		now := monotime.Now()
		for _, i := range fleet {
			i.fleet.ApplyNotice("a", servers.Notice{Brittle: true, MaxRefusals: 3, Refused: true}, now, now)
		}
		time.Sleep(100 * time.Millisecond)
		now = monotime.Now()
		fleet[1].fleet.Crashed(crashes.Crash{Request: crashes.Fingerprint{1}, Server: "a", At: now}, now)
		time.Sleep(time.Second)
		fleet = append(fleet, startLinkedFrom(t, ctx, &tasks, 4, 1, host)...)
		time.Sleep(time.Second)
		for _, i := range fleet {
			if i.fleet.AnySuspected() {
				t.Errorf("%s suspects a request", i.fleet.self)
			}
		}
		now = monotime.Now()
		fleet[4].fleet.Crashed(crashes.Crash{Request: crashes.Fingerprint{1}, Server: "a", At: now}, now)
		if fleet[4].fleet.AnySuspected() {
			t.Error("an instance that started later suspects a request")
		}
		stopLinked(t, cancel, &tasks)
	})
}

// Guards against a refusal of a brittle server of which the other instances do not hear.
func TestARefusalOfABrittleServerLimitsItForAll(t *testing.T) {
	f, _, _ := newFleet()
	put(f, fromStore, entry("a", 1))
	now := monotime.Instant(time.Hour)
	f.ApplyNotice("a", servers.Notice{Brittle: true, MaxRefusals: 5, Refused: true}, now, now)
	f.mu.Lock()
	state, _ := f.serverState("a")
	f.mu.Unlock()
	if !state.Limited || state.Rate > 5 || state.MaxRefusals != 5 {
		t.Errorf("told to peers: %+v", state)
	}
	other, _, _ := newFleet()
	linkedPeers(other, "other").applyServers("me", []wire.RelayServer{state}, nil, 0)
	if got := other.rateLimitedServers(); len(got) != 1 || other.brittleCount.Load() != 1 {
		t.Errorf("peer limits %v, %d brittle", got, other.brittleCount.Load())
	}
	later := now.Add(time.Second)
	f.ApplyNotice("a", servers.Notice{}, later, later)
	if f.brittleCount.Load() != 0 || f.rateLimitedCount.Load() != 0 {
		t.Error("an answer without a notice does not end it")
	}
}
