package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/platform/standin"
	"basilrudder/platform/wire"
	"basilrudder/tools/child"
)

const (
	anyPort = "127.0.0.1:0"
	host    = "soak.example"
	model   = "model" // service of streams
	plain   = "plain" // service of short answers
	// slots of a server.
	slots = 16
	// routeTimeout is the timeout of a route.
	routeTimeout = 4 * time.Second
)

// upstream is a server of the fleet, with the proxy that instances reach it by.
type upstream struct {
	service string
	number  int
	// starts counts the incarnations; software is the version of the one that runs, and
	// wanted that of the next ones, or empty.
	starts   int
	software string
	wanted   string
	id       string
	// born is the start that the entry states, in Unix milliseconds; 0 if it states none.
	born  float64
	http  *http.Server
	proxy *proxy
	// ending is held by the fault that replaces the server.
	ending sync.Mutex

	mu sync.Mutex
	// running is the incarnation that runs.
	running *standin.Server
}

// server returns the incarnation that runs.
func (u *upstream) server() *standin.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

func (u *upstream) setServer(s *standin.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running = s
}

// fleet is everything that a soak runs.
type fleet struct {
	binary    string
	dir       string
	ledger    *standin.Ledger
	store     *standin.Store
	storeAt   string
	storeHTTP *http.Server

	mu      sync.Mutex // guards version and more
	version int64
	more    int // routes beside those that callers use
	// streamTimeout is the timeout of the route of streams that may be resumed.
	streamTimeout time.Duration

	// ends is what is ended without notice.
	ends ends
	// onCrash ends an incarnation under a request that crashes servers; nil for none.
	onCrash func(u *upstream, running *standin.Server)

	instances []*instance
	upstreams []*upstream
	starter   *child.Starter
	ports     *ports
}

// newFleet starts the stand-ins and prepares, but does not start, instances.
func newFleet(binary, dir string, instances, servers int, ends ends, onCrash func(*upstream, *standin.Server)) (*fleet, error) {
	ports, err := newPorts()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		binary: binary, dir: dir, ledger: standin.NewLedger(), store: standin.NewStore(),
		starter: child.NewStarter(), ports: ports, ends: ends, onCrash: onCrash, streamTimeout: routeTimeout,
	}
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	f.storeAt, f.storeHTTP = ln.Addr().String(), &http.Server{Handler: f.store}
	go serve(f.storeHTTP, ln)
	for n := range servers {
		service := model
		if n%2 == 1 {
			service = plain
		}
		u := &upstream{service: service, number: n}
		f.upstreams = append(f.upstreams, u)
		if err := f.startUpstream(u); err != nil {
			return nil, err
		}
	}
	if err := f.publish(); err != nil {
		return nil, err
	}
	for n := range instances {
		i, err := f.newInstance(n)
		if err != nil {
			return nil, err
		}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		if err := f.writeSettings(i, "info"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// serve serves until the server is closed.
func serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "a stand-in ended:", err)
	}
}

// versionStep is the distance of versions, which rise unevenly elsewhere too.
const versionStep = 3

// versionRoute is a route that only one version has.
func versionRoute(version int64) string { return fmt.Sprintf("v%d", version) }

// publish puts the configuration into the store as a new version.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += versionStep
	return f.putConfig()
}

// setMoreRoutes has the next versions hold that many routes that nobody uses.
func (f *fleet) setMoreRoutes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.more = n
}

// publishAgain puts the newest version into a store that may have lost it.
func (f *fleet) publishAgain() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.putConfig()
}

// putConfig puts the configuration of the newest version into the store; mu is held.
func (f *fleet) putConfig() error {
	customers := []wire.Customer{{Name: customerName, Keys: []string{customerKey}}}
	route := func(name, kind, service string, attempts int) wire.Route {
		timeout := routeTimeout
		if name == "resumable" {
			timeout = f.streamTimeout
		}
		return wire.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMS: float64(timeout.Milliseconds()), GoalMS: 500,
			Service: service, Attempts: attempts, MaxGapMS: 500, Resumable: name == "resumable",
		}
	}
	routes := []wire.Route{
		route("safe", wire.KindSafe, plain, 2),
		route("unsafe", "unsafe", plain, 1),
		route("stream", wire.KindStreaming, model, 1),
		route("resumable", wire.KindStreaming, model, 2),
		route(versionRoute(f.version), wire.KindSafe, plain, 1),
	}
	for n := range f.more {
		routes = append(routes, route(fmt.Sprint("more", n), wire.KindSafe, plain, 1))
	}
	return f.store.PutConfig(&wire.Config{
		Version: f.version,
		Routes:  routes,
		Services: []wire.Service{
			{Name: plain, MaxConns: 500},
			{Name: model, MaxConns: 500, Engine: &wire.Engine{Slots: slots, MemoryTokens: 500_000, EventTokens: 4}},
		},
		Limits:    wire.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30000},
		Customers: &customers,
	})
}

// startUpstream starts a new incarnation of a server and publishes it. Its
// address stays, so that a late request may meet another incarnation there.
func (f *fleet) startUpstream(u *upstream) error {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	u.id, u.born = fmt.Sprintf("s%d-%d", u.number, time.Now().UnixNano()), 0
	if rand.IntN(2) == 0 {
		u.born = float64(time.Now().UnixMilli())
	}
	// Each start brings another of two versions, and both serve at any time.
	u.starts++
	u.software = cmp.Or(u.wanted, fmt.Sprint("v", 1+(u.number/2+u.starts)%2))
	server := standin.NewServer(u.id, slots, f.ledger)
	server.Software, server.Born, server.WithoutLength = u.software, u.born, f.ends.withoutLength(u.number)
	if f.onCrash != nil {
		server.OnCrash = func() { f.onCrash(u, server) }
	}
	u.setServer(server)
	u.http = &http.Server{Handler: server}
	go serve(u.http, ln)
	if u.proxy == nil {
		if u.proxy, err = newProxy(ln.Addr().String()); err != nil {
			return err
		}
	} else {
		u.proxy.retarget(ln.Addr().String())
	}
	return f.store.PutServer(u.id, u.entry(wire.StateReady))
}

// serverIDs returns the incarnations that run.
func (f *fleet) serverIDs() map[string]bool {
	out := make(map[string]bool)
	for _, u := range f.upstreams {
		u.ending.Lock()
		out[u.id] = true
		u.ending.Unlock()
	}
	return out
}

func (u *upstream) entry(state string) wire.ServerEntry {
	return wire.ServerEntry{Service: u.service, Address: u.proxy.address(), Zone: "here", Software: u.software, Slots: float64(slots), State: state, Born: u.born}
}

func (f *fleet) close() {
	for _, i := range f.instances {
		if i.process != nil {
			i.signal(syscall.SIGKILL)
			<-i.process.done
		}
		i.callers.close()
		i.store.close()
		_ = i.log.Close() // its process is gone
	}
	for _, u := range f.upstreams {
		u.proxy.close()
		_ = u.http.Close() // nobody calls it any more
	}
	_ = f.storeHTTP.Close()
	f.starter.Stop()
	f.ports.close()
}
