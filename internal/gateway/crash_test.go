package gateway

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// minimalProtocol is a protocol with as few headers as possible.
type minimalProtocol struct{}

func (minimalProtocol) Request(h http.Header) (relay.Request, error) {
	prompt, _ := strconv.Atoi(h.Get("X-Prompt"))
	var parts []placement.Part
	for _, id := range strings.Fields(h.Get("X-Parts")) {
		parts = append(parts, placement.Part{ID: id, Tokens: 1})
	}
	return relay.Request{ID: h.Get("X-Id"), Key: h.Get("X-Key"), Prompt: prompt, Output: prompt / 10, Parts: parts}, nil
}

func (minimalProtocol) Forward(h http.Header, f relay.Forward) { h.Set("X-Server", string(f.Server)) }

func (minimalProtocol) Answer(_ int, h http.Header) relay.Answer {
	out := relay.Answer{ID: h.Get("X-Id"), Signed: true, NotRun: h.Get("X-Not-Run") != ""}
	refusals, err := strconv.ParseFloat(h.Get("X-Brittle"), 64)
	out.Notice.Brittle, out.Notice.MaxRefusals = err == nil, refusals
	return out
}

func (minimalProtocol) Identify(http.Header, servers.Name) (path string) { return "" }
func (minimalProtocol) Identity(http.Header, []byte) relay.Identity      { return relay.Identity{} }

func (minimalProtocol) LastEventID([]byte) string { return "" }

const (
	// serverQueueTime is how long a request waits at a server before it runs, and
	// serverRunTime how long it runs.
	serverQueueTime = 150 * time.Millisecond
	serverRunTime   = 250 * time.Millisecond
	// serverDownTime is how long a crashed server stays down.
	serverDownTime = 2 * time.Second
	// serverEntryLag is how long after its start the entry of a server is read.
	serverEntryLag = 300 * time.Millisecond
)

// crashLook is how the end of a server looks to the instances.
type crashLook struct {
	name string
	// refusals is what all answers say of the refusals that the server survives.
	refusals string
	// unmarked means that the server ends its answers, streams, by closing the connection.
	unmarked bool
	// kept means that the port accepts connections while the server is down and closes
	// them.
	kept bool
	// down is how long the server is down; 0 if a new incarnation is there at once.
	down time.Duration
}

// smallFleet is the largest fleet whose instances find each other at once.
const smallFleet = 16

var refusingLook = crashLook{name: "refuses connections", down: serverDownTime}

// crashingServer is a server that crashes when it runs a request whose body begins with
// crashBody.
type crashingServer struct {
	site    *crashCluster
	address string

	mu          sync.Mutex
	incarnation int
	up          bool
	conns       map[net.Conn]bool
}

// crashCluster is a fleet of instances in front of servers that may crash.
type crashCluster struct {
	t        *testing.T
	fleet    []*linkedInstance
	relays   []*relay.Relay
	servers  []*crashingServer
	look     crashLook
	revision servers.Revision

	mu sync.Mutex
	// crashes and arrivals are those of requests that crash servers, by the part or body
	// that does it.
	crashes, arrivals map[string][]time.Time
}

// crashingPart returns the part of a prompt that crashes servers, if any.
func crashingPart(parts string) string {
	for _, part := range strings.Fields(parts) {
		if strings.HasPrefix(part, "bad") {
			return part
		}
	}
	return ""
}

const crashBody = "crash"

func newCrashCluster(t *testing.T, ctx context.Context, tasks *errgroup.Group, instances, size int, look crashLook) *crashCluster {
	site := &crashCluster{t: t, look: look, crashes: make(map[string][]time.Time), arrivals: make(map[string][]time.Time)}
	site.fleet = startLinked(t, ctx, tasks, instances)
	if instances > smallFleet {
		time.Sleep(largeFleetStart)
	}
	config := &routing.Config{
		Version: 1, Services: []routing.Service{{Name: "svc"}},
		Routes: []routing.Route{
			{Name: "once", Host: "h.example", Prefix: "/once/", Timeout: 5 * time.Second, Attempts: 1, Shares: []routing.Share{{Service: "svc", Weight: 1}}},
			{Name: "stream", Host: "h.example", Prefix: "/stream/", Timeout: 5 * time.Second, Attempts: 1, Streaming: true, Shares: []routing.Share{{Service: "svc", Weight: 1}}},
			{Name: "again", Host: "h.example", Prefix: "/again/", Timeout: 5 * time.Second, Attempts: 2, Repeat: routing.Idempotent, Shares: []routing.Share{{Service: "svc", Weight: 1}}},
		},
		KeysRequired: true, Customers: []routing.Customer{{Name: "a", Keys: []string{"key-a"}}, {Name: "b", Keys: []string{"key-b"}}},
	}
	for _, i := range site.fleet {
		i.fleet.installConfig(config, fromStore)
		site.relays = append(site.relays, relay.New(relay.Config{Fleet: i.fleet, Protocol: minimalProtocol{}, Log: zap.NewNop(), Dial: site.dial, DrainTime: time.Minute}))
	}
	time.Sleep(2 * time.Second)
	for n := range size {
		s := &crashingServer{site: site, address: fmt.Sprintf("10.0.0.%d:80", n+1), conns: make(map[net.Conn]bool)}
		site.servers = append(site.servers, s)
		s.start()
	}
	time.Sleep(time.Second)
	return site
}

func (s *crashingServer) id() string { return fmt.Sprint(s.address, "/", s.incarnation) }

// start starts a new incarnation of the server.
func (s *crashingServer) start() {
	s.mu.Lock()
	before := s.begin()
	id, first := s.id(), s.incarnation == 1
	s.mu.Unlock()
	if !first {
		time.Sleep(serverEntryLag)
	}
	s.register(id, before)
}

// begin begins a new incarnation and returns the id of the former one; mu is held.
func (s *crashingServer) begin() (before string) {
	before = s.id()
	s.incarnation++
	s.up = true
	return before
}

// register lets the first instance read the entry of an incarnation, and the end of the one
// before.
func (s *crashingServer) register(id, before string) {
	entry := servers.Server{ID: id, Name: servers.Name(id), Service: "svc", Address: s.address, Slots: 16}
	s.site.fleet[0].fleet.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
		s.site.revision += 2
		entry.Revision = s.site.revision
		r.Put(entry, now)
		r.Remove(servers.Name(before), entry.Revision-1, now)
		return []string{entry.ID, before}
	})
}

func (s *crashingServer) crash(culprit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	for c := range s.conns {
		c.Close()
	}
	clear(s.conns)
	s.site.mu.Lock()
	s.site.crashes[culprit] = append(s.site.crashes[culprit], time.Now())
	s.site.mu.Unlock()
	if s.site.look.down > 0 {
		time.AfterFunc(s.site.look.down, s.start)
		return
	}
	before := s.begin()
	id := s.id()
	time.AfterFunc(serverEntryLag, func() { s.register(id, before) })
}

func (site *crashCluster) dial(_ context.Context, address string) (net.Conn, error) {
	for _, s := range site.servers {
		if s.address != address {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.up && !site.look.kept {
			break
		}
		near, far := net.Pipe()
		if !s.up {
			far.Close()
			return near, nil
		}
		s.conns[far] = true
		go s.serve(far)
		return near, nil
	}
	return nil, syscall.ECONNREFUSED
}

func (s *crashingServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, body, err := readRequest(in)
		if err != nil {
			return
		}
		culprit := crashingPart(req.Header.Get("X-Parts"))
		if strings.HasPrefix(string(body), crashBody) {
			culprit = string(body)
		}
		crashes := culprit != "" && s.is(req.Header.Get("X-Server"))
		if crashes {
			s.site.mu.Lock()
			s.site.arrivals[culprit] = append(s.site.arrivals[culprit], time.Now())
			s.site.mu.Unlock()
		}
		if name := req.Header.Get("X-Server"); !s.is(name) {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Other\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id")); err != nil {
				return
			}
			continue
		}
		time.Sleep(serverQueueTime)
		if !s.answer(c, req.Header.Get("X-Id"), culprit, crashes) {
			return
		}
	}
}

func (s *crashingServer) is(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id == s.id()
}

// answer runs a request. It reports whether another one may follow on the connection.
func (s *crashingServer) answer(c net.Conn, id, culprit string, crashes bool) bool {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n"
	if s.site.look.refusals != "" {
		head += "X-Brittle: " + s.site.look.refusals + "\r\n"
	}
	body := "Content-Length: 2\r\n\r\nok"
	if s.site.look.unmarked {
		if _, err := fmt.Fprint(c, head, "\r\nid: 1\ndata: x\n\n"); err != nil {
			return false
		}
		head, body = "", "id: 2\ndata: x\n\n"
	}
	if crashes {
		time.Sleep(serverRunTime / 5)
		s.crash(culprit)
		return false
	}
	time.Sleep(serverRunTime)
	_, err := fmt.Fprint(c, head, body)
	return err == nil && !s.site.look.unmarked
}

// request sends a request to an instance and returns the status of its answer, or 0 if
// the instance aborted the connection.
func (site *crashCluster) request(instance int, path, key, body string, parts ...string) (status int) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader(body))
	req.Header.Set("X-Id", fmt.Sprint(rand.Uint64()))
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Parts", strings.Join(parts, " "))
	site.relays[instance].ServeHTTP(rec, req)
	if path == "/stream/x" && strings.Count(rec.Body.String(), "data: ") != 2 {
		return 0
	}
	return rec.Code
}

// sendOthers sends so many harmless requests a second until the context ends or the time
// is over. Of the requests in the last part of that time it returns how many were served
// and how many were sent.
func (site *crashCluster) sendOthers(ctx context.Context, path string, perSecond int, lasts, measured time.Duration) (served, asked int) {
	begun := time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := 0; time.Since(begun) < lasts && ctx.Err() == nil; n++ {
		counts := time.Since(begun) >= lasts-measured
		all.Go(func() {
			status := site.request(n%len(site.relays), path, "key-b", fmt.Sprint("note ", n))
			mu.Lock()
			defer mu.Unlock()
			if counts {
				asked++
			}
			if counts && status == http.StatusOK {
				served++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
	return served, asked
}

func (site *crashCluster) stop(cancel func(), tasks *errgroup.Group) {
	for _, r := range site.relays {
		r.Sweep(func(string) bool { return false })
	}
	stopLinked(site.t, cancel, tasks)
}

// lateArrivals returns how many requests with a culprit arrived later than a given time
// after a crash by it, counted from one, and how many arrived in all.
func (site *crashCluster) lateArrivals(culprit string, crash int, after time.Duration) (late, all int) {
	site.mu.Lock()
	defer site.mu.Unlock()
	if len(site.crashes[culprit]) < crash {
		return 0, len(site.arrivals[culprit])
	}
	limit := site.crashes[culprit][crash-1].Add(after)
	for _, at := range site.arrivals[culprit] {
		if at.After(limit) {
			late++
		}
	}
	return late, len(site.arrivals[culprit])
}

// playPoison lets a caller repeat a poison request, and checks how often it reaches servers
// and that others are served.
func playPoison(t *testing.T, look crashLook, path string, every time.Duration, perSecond int) {
	const (
		lasts, counted = 20 * time.Second, 8 * time.Second
		contact        = 3 * time.Second
		maxLate        = 3
		minServed      = 0.95
	)
	othersPath := "/once/x"
	if look.unmarked {
		othersPath = path
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		site := newCrashCluster(t, ctx, &tasks, 3, 8, look)
		var statuses []int
		var mu sync.Mutex
		tasks.Go(func() error {
			begun := time.Now()
			for n := 0; time.Since(begun) < lasts-time.Second; n++ {
				tasks.Go(func() error {
					status := site.request(n%3, path, "key-a", crashBody)
					mu.Lock()
					defer mu.Unlock()
					statuses = append(statuses, status)
					return nil
				})
				time.Sleep(every)
			}
			return nil
		})
		served, asked := site.sendOthers(ctx, othersPath, perSecond, lasts, counted)
		late, all := site.lateArrivals(crashBody, 3, contact)
		if late > maxLate {
			t.Errorf("%s: reached servers %d times, %d of them over %v after the third crash", path, all, late, contact)
		}
		if share := float64(served) / float64(asked); share < minServed {
			t.Errorf("%s: %d of %d requests of other callers served in the last %v", path, served, asked, counted)
		}
		mu.Lock()
		slices.Sort(statuses)
		t.Logf("%s: %d arrivals, %d late, %d crashes, answers %v; %d of %d others served", path, all, late, len(site.crashes[crashBody]), countByStatus(statuses), served, asked)
		mu.Unlock()
		site.stop(cancel, &tasks)
	})
}

// Guards against a poison request that its caller repeats until no server is left.
func TestARequestThatCrashesServersIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		path  string
		every time.Duration
	}{{"/once/x", 300 * time.Millisecond}, {"/again/x", 300 * time.Millisecond}, {"/once/x", 60 * time.Millisecond}} {
		playPoison(t, refusingLook, c.path, c.every, 30)
	}
}

// Guards against a poison request whose crashes do not count since the servers are brittle.
func TestACrashOfABrittleServerCounts(t *testing.T) {
	playPoison(t, crashLook{refusals: "8", down: serverDownTime}, "/once/x", 600*time.Millisecond, 60)
}

// Guards against a poison request whose crashes look like the ends of whole answers.
func TestACrashAfterAnUnmarkedAnswerCounts(t *testing.T) {
	playPoison(t, crashLook{unmarked: true, down: serverDownTime}, "/stream/x", 160*time.Millisecond, 60)
}

// Guards against a poison request whose servers seem to accept connections after a crash.
func TestACrashCountsThoughThePortAnswers(t *testing.T) {
	for _, look := range []crashLook{
		{name: "back at once"},
		{name: "port kept", kept: true, down: serverDownTime},
	} {
		t.Run(look.name, func(t *testing.T) { playPoison(t, look, "/once/x", 160*time.Millisecond, 60) })
	}
}

// Guards against an instance that starts later and forwards a request that all others
// refuse as poison.
func TestCrashesReachInstancesThatStartLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		poison := crashes.Fingerprint{1}
		passProcessStart()
		host := fastHosts()
		early := startLinkedOver(t, ctx, &tasks, 2, host)
		time.Sleep(time.Second)
		for n := range 3 {
			// Each of the two instances observes a part of the crashes.
			early[n%2].fleet.Crashed(crashes.Crash{Request: poison, Customer: "a", Server: fmt.Sprint("s", n), At: monotime.Now()}, monotime.Now())
		}
		time.Sleep(100 * time.Millisecond)
		for _, i := range early {
			if i.fleet.Decide("", crashes.Content{Request: poison}, monotime.Now()) != crashes.Reject {
				t.Errorf("%s does not treat the request as poison", i.fleet.self)
			}
		}
		late := startLinkedFrom(t, ctx, &tasks, 2, 1, host)[0]
		time.Sleep(time.Second)
		if late.fleet.Decide("", crashes.Content{Request: poison}, monotime.Now()) != crashes.Reject {
			t.Error("an instance that starts later does not treat the request as poison")
		}
		stopLinked(t, cancel, &tasks)
	})
}

// Guards against a run of long ago that is passed on as a recent one.
func TestARunThatIsPassedOnKeepsItsAge(t *testing.T) {
	f, _, _ := newFleet()
	now := monotime.Instant(time.Hour)
	request := crashes.Fingerprint{1}
	f.Crashed(crashes.Crash{Request: request, Server: "s", At: now}, now)
	const age = 20_000
	fresh, _ := f.crashes.receive("peer", []wire.RelayCrash{{Request: request[:], AgeMS: age}}, now)
	if len(fresh) != 1 || fresh[0].AgeMS != age {
		t.Errorf("passed on as %+v", fresh)
	}
}

// Guards against damaged crash reports of a peer that are applied.
func TestDamagedCrashesAreRefused(t *testing.T) {
	f, _, _ := newFleet()
	now := monotime.Instant(time.Hour)
	for _, crash := range []wire.RelayCrash{
		{Request: []byte("short"), Server: "s"}, {Server: "s"},
		{Request: make([]byte, 16), Server: "s", AgeMS: -1}, {Request: make([]byte, 16), Server: "s", AgeMS: 1 << 62},
	} {
		if fresh, _ := f.crashes.receive("peer", []wire.RelayCrash{crash}, now); len(fresh) > 0 || f.AnySuspected() {
			t.Errorf("%+v was applied", crash)
		}
	}
}

func countByStatus(statuses []int) map[int]int {
	out := make(map[int]int)
	for _, status := range statuses {
		out[status]++
	}
	return out
}

// Guards against broken answers that count although their servers go on, or never count.
func TestABrokenAnswerCountsOnceItsServerHasEnded(t *testing.T) {
	replacement := servers.Server{ID: "b", Name: "b", Service: "svc", Address: "a:1", Slots: 1, Revision: 5}
	for _, c := range []struct {
		name    string
		then    func(f *fleet, now monotime.Instant)
		counted bool
	}{
		{"goes on", func(*fleet, monotime.Instant) {}, false},
		{"its entry goes", func(f *fleet, _ monotime.Instant) { end(f, "a", 6) }, true},
		{"its entry goes, it does not reply", func(f *fleet, _ monotime.Instant) {
			f.suspicions.replies = func(relay.Target) bool { return false }
			end(f, "a", 6)
		}, true},
		{"its entry goes, it replies", func(f *fleet, _ monotime.Instant) {
			f.suspicions.replies = func(target relay.Target) bool { return target.ID == "a" }
			end(f, "a", 6)
		}, false},
		{"another one at its address", func(f *fleet, _ monotime.Instant) { put(f, fromStore, replacement) }, true},
		{"another one answers", func(f *fleet, now monotime.Instant) { f.Misdirected("a", now) }, true},
		{"another one answers elsewhere", func(f *fleet, now monotime.Instant) { f.Misdirected("b", now) }, false},
		{"leaves", func(f *fleet, now monotime.Instant) {
			f.ApplyNotice("a", servers.Notice{Leaving: true}, now, now)
			end(f, "a", 6)
		}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f, _, _ := newFleet()
			server := servers.Server{ID: "a", Name: "a", Service: "svc", Address: "a:1", Slots: 1, Revision: 1}
			put(f, fromStore, server)
			now := monotime.Now()
			f.BrokeOff(relay.Target{Server: server}, crashes.Crash{Request: crashes.Fingerprint{1}, Server: "a", At: now}, now)
			if f.AnySuspected() {
				t.Errorf("%s: counts at once", c.name)
			}
			c.then(f, now)
			synctest.Wait()
			if got := f.AnySuspected(); got != c.counted {
				t.Errorf("%s: suspected %v, want %v", c.name, got, c.counted)
			}
		})
	}
}

// Guards against requests that count as crashing servers which ended as they had announced.
func TestAnAnnouncedEndAccusesNoRequest(t *testing.T) {
	for name, announce := range map[string]func(f *fleet, now monotime.Instant){
		"said so":       func(f *fleet, now monotime.Instant) { f.ApplyNotice("a", servers.Notice{Leaving: true}, now, now) },
		"entry removed": func(f *fleet, _ monotime.Instant) { end(f, "a", 6) },
	} {
		f, _, _ := newFleet()
		put(f, fromStore, entry("a", 1))
		now := monotime.Now()
		announce(f, now)
		f.Crashed(crashes.Crash{Request: crashes.Fingerprint{1}, Server: "a", At: now}, now)
		if f.AnySuspected() {
			t.Errorf("%s: a request is suspected", name)
		}
	}
}

// end lets the store tell an instance that the entry of a server is gone.
func end(f *fleet, id string, revision servers.Revision) {
	f.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
		r.MarkGone(id, revision, now)
		return []string{id}
	})
}

// Guards against ends that count as proof since it is not known how many servers end anyway.
func TestAnInstanceKnowsAmongHowManyServersOneEnded(t *testing.T) {
	f, _, _ := newFleet()
	for n := range 4 {
		f.registry.Put(entry(fmt.Sprint("s", n), servers.Revision(n+1)), monotime.Now())
	}
	now := monotime.Now()
	f.Crashed(crashes.Crash{Request: crashes.Fingerprint{1}, Server: "s0", At: now}, now)
	f.crashes.mu.Lock()
	defer f.crashes.mu.Unlock()
	if got, want := f.crashes.poolOf("s1"), (crashes.Pool{Service: "svc", Servers: 3}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := f.crashes.poolOf("unknown"); got != (crashes.Pool{}) {
		t.Errorf("%+v of an unknown server", got)
	}
}
