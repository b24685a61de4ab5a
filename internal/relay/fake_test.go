package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// plainProtocol is a Protocol with headers of its own, so that the tests depend on no
// outside system.
type plainProtocol struct{}

func (plainProtocol) Request(h http.Header) (Request, error) {
	if h.Get("X-Id") == "" {
		return Request{}, errors.New("no id")
	}
	ms, _ := strconv.Atoi(h.Get("X-Deadline"))
	return Request{ID: h.Get("X-Id"), Key: h.Get("X-Key"), Deadline: time.Duration(ms) * time.Millisecond, ResumeAfter: h.Get("X-Resume"), FirstTry: h.Get("X-First-Try")}, nil
}

func (plainProtocol) Forward(h http.Header, f Forward) {
	h.Set("X-Server", string(f.Server))
	h.Set("X-Customer", f.Customer)
	if f.HideKey {
		h.Del("X-Key")
	}
	if f.ResumeAfter != "" {
		h.Set("X-Resume", f.ResumeAfter)
	}
}

func (plainProtocol) Answer(_ int, h http.Header) Answer {
	return Answer{
		ID: h.Get("X-Id"), Signed: h.Get("X-Seal") != "", NotRun: h.Get("X-Not-Run") != "",
		Notice: servers.Notice{Leaving: h.Get("X-Leaving") != ""},
	}
}

func (plainProtocol) Identify(http.Header, servers.Name) (path string) { return "" }
func (plainProtocol) Identity(http.Header, []byte) Identity            { return Identity{} }

func (plainProtocol) LastEventID(events []byte) (last string) {
	for line := range strings.FieldsFuncSeq(string(events), func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			last = strings.TrimSpace(id)
		}
	}
	return last
}

// fakeFleet places requests on its servers in their order and records what the relay
// reports.
type fakeFleet struct {
	table     *routing.Table
	confirmed bool
	servers   []string
	noBudget  bool
	full      bool
	// cold servers refuse requests in Begin, once a connection to them is open.
	cold map[string]bool
	// coldPlaces is how many calls of Place find all servers rate limited.
	coldPlaces int
	// queued is how many calls of QueueStatus report that the run still waits behind
	// other prompts.
	queued int
	// otherIsSooner means that another server would start a waiting request sooner.
	otherIsSooner bool
	// software is the version of servers, by id, and origins what is known of streams.
	software map[string]string
	origins  map[string]StreamOrigin
	// leaving servers have announced that they stop.
	leaving map[string]bool
	// outage means that no instance reaches a server.
	outage bool

	// poison means that every request is confirmed to crash servers, but only after the
	// first poisonAfter calls of Decide.
	decision    crashes.Decision
	poison      bool
	poisonAfter int

	mu        sync.Mutex
	crashed   []crashes.Crash
	brokeOff  []crashes.Crash
	survived  []crashes.Content
	begun     []string
	ended     int
	completed int
	outcomes  []string
	notices   []string
	streams   []string // that began
	origin    string   // service whose stream was asked for last
}

func (f *fakeFleet) Table() *routing.Table        { return f.table }
func (f *fakeFleet) Confirm(context.Context) bool { return f.confirmed }
func (f *fakeFleet) Place(_ string, work placement.Work, excluded map[string]bool, _ monotime.Instant) (Target, placement.Refusal) {
	if f.full {
		return Target{}, placement.AllFull
	}
	if work.Waited > 0 && !f.otherIsSooner {
		return Target{}, placement.NotWorthwhile
	}
	if f.coldPlaces > 0 {
		f.coldPlaces--
		return Target{}, placement.AllLimited
	}
	for _, id := range f.servers {
		if !excluded[id] && work.Software.Allows(f.software[id]) {
			return Target{Server: servers.Server{ID: id, Name: nameOf(id), Born: 7, Address: id, Software: f.software[id]}, Choice: placement.Choice{First: 100 * time.Millisecond}}, placement.Chosen
		}
	}
	return Target{}, placement.NoneReachable
}

// nameOf returns the name of a server, which is not the id of its incarnation.
func nameOf(id string) servers.Name { return servers.Name("name-of-" + id) }

func (f *fakeFleet) Begin(target Target, _ placement.Work, _ monotime.Instant) (run int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cold[target.ID] {
		return 0, false
	}
	f.begun = append(f.begun, target.ID)
	return len(f.begun), true
}
func (f *fakeFleet) FirstEvent(int, monotime.Instant) {}

func (f *fakeFleet) QueueStatus(int, monotime.Instant) placement.QueueStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queued == 0 {
		return placement.QueueStatus{SinceLastEvent: time.Minute}
	}
	f.queued--
	return placement.QueueStatus{Ahead: placement.Ahead{Prompts: [4]int{1}}}
}

func (f *fakeFleet) Events(int, int, monotime.Instant) {}
func (f *fakeFleet) Completed(int, monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed++
}

func (f *fakeFleet) End(int, monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended++
}

func (f *fakeFleet) Observe(server string, outcome placement.Outcome, _ monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, fmt.Sprint(server, " ", outcome))
}
func (f *fakeFleet) ApplyNotice(server string, notice servers.Notice, _, _ monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if notice != (servers.Notice{}) {
		f.notices = append(f.notices, fmt.Sprintf("%s %+v", server, notice))
	}
}

func (f *fakeFleet) AnySuspected() bool            { return true }
func (f *fakeFleet) ObserveExposure(time.Duration) {}
func (f *fakeFleet) Decide(string, crashes.Content, monotime.Instant) crashes.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poisonAfter--
	if f.poison && f.poisonAfter < 0 {
		return crashes.Reject
	}
	return f.decision
}
func (f *fakeFleet) Crashed(crash crashes.Crash, _ monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = append(f.crashed, crash)
}
func (f *fakeFleet) BrokeOff(_ Target, crash crashes.Crash, _ monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brokeOff = append(f.brokeOff, crash)
}
func (f *fakeFleet) Misdirected(string, monotime.Instant) {}
func (f *fakeFleet) Survived(content crashes.Content, _ monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.survived = append(f.survived, content)
}

func (f *fakeFleet) StreamBegan(service, try, version string, _ monotime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = append(f.streams, fmt.Sprint(service, " ", try, " ", version))
}

func (f *fakeFleet) StreamOrigin(_ context.Context, service, try string) StreamOrigin {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origin = service
	return f.origins[try]
}

func (f *fakeFleet) Serving(string, monotime.Instant) bool { return !f.outage }
func (f *fakeFleet) Leaving(server string) bool            { return f.leaving[server] }
func (f *fakeFleet) Spend(string, monotime.Instant) bool   { return !f.noBudget }
func (f *fakeFleet) Count(string, monotime.Instant)        {}

// script is the behaviour of a server on one connection.
type script func(t *testing.T, c net.Conn, in *bufio.Reader)

// rig is a Relay in front of scripted servers.
type rig struct {
	t     *testing.T
	fleet *fakeFleet
	relay *Relay
	// scripts by server; each new connection runs the server's next one.
	scripts map[string][]script
	dials   map[string]int
	// sockets means that connections to servers are TCP connections, which can be reset.
	sockets bool
	// writeBuffer is the size in bytes of their send buffers; 0 for that of the system.
	writeBuffer int

	mu      sync.Mutex
	running sync.WaitGroup
}

// newRig returns a rig in which each server runs the given scripts, one per connection. A
// server without any left refuses connections.
func newRig(t *testing.T, routes []routing.Route, scripts map[string][]script, order ...string) *rig {
	t.Helper()
	table, err := routing.NewTable(&routing.Config{
		Version: 1, Routes: routes, Services: []routing.Service{{Name: "svc"}, {Name: "other"}},
		Limits:       routing.Limits{BodyBytes: 1 << 20},
		KeysRequired: true, Customers: []routing.Customer{{Name: "acme", Keys: []string{"key"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	b := &rig{
		t: t, fleet: &fakeFleet{table: table, servers: order, confirmed: true},
		scripts: scripts, dials: make(map[string]int),
	}
	b.relay = New(Config{
		Fleet: b.fleet, Protocol: plainProtocol{}, Dial: b.dial, DrainTime: 7 * time.Second, ResetOnClose: resetOnClose,
	})
	return b
}

// callerKey is the key of a caller's connection in the context of its requests.
type callerKey struct{}

func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func resetOnClose(ctx context.Context, reset bool) error {
	seconds := -1
	if reset {
		seconds = 0
	}
	if socket, ok := ctx.Value(callerKey{}).(interface{ SetLinger(int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

func (b *rig) dial(_ context.Context, address string) (net.Conn, error) {
	b.mu.Lock()
	n := b.dials[address]
	b.dials[address]++
	b.mu.Unlock()
	if n >= len(b.scripts[address]) {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	if b.sockets {
		near, far = tcpPair(b.t)
		if b.writeBuffer > 0 {
			if err := near.(*net.TCPConn).SetWriteBuffer(b.writeBuffer); err != nil {
				b.t.Error(err)
			}
			if err := far.(*net.TCPConn).SetReadBuffer(b.writeBuffer); err != nil {
				b.t.Error(err)
			}
		}
	}
	b.running.Go(func() {
		defer far.Close()
		b.scripts[address][n](b.t, far, bufio.NewReader(far))
	})
	return near, nil
}

// loopback is shared by all pairs: a listener each would use up the ports.
var loopback = sync.OnceValues(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })

var pairing sync.Mutex

// tcpPair returns both ends of a connection on loopback.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	pairing.Lock()
	defer pairing.Unlock()
	listener, err := loopback()
	if err != nil {
		t.Fatal(err)
	}
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}

// oneConn is a listener of a single connection.
type oneConn struct {
	net.Conn
	conns chan net.Conn
}

func newOneConn(c net.Conn) *oneConn {
	out := &oneConn{Conn: c, conns: make(chan net.Conn, 1)}
	out.conns <- c
	return out
}

func (l *oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *oneConn) Close() error {
	close(l.conns)
	return nil
}

func (l *oneConn) Addr() net.Addr { return l.LocalAddr() }

// serve handles a request and returns the answer; aborted reports that the relay aborted
// the connection.
func (b *rig) serve(req *http.Request) (rec *httptest.ResponseRecorder, aborted bool) {
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			aborted = true
		}
	}()
	b.relay.ServeHTTP(rec, req)
	return rec, false
}

// close closes the idle connections, so that the scripts end.
func (b *rig) close() {
	b.relay.Sweep(func(string) bool { return false })
	b.running.Wait()
}

func request(method, path, id string, body string) *http.Request {
	req := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "key")
	return req
}

// readRequest reads one request and returns its headers and body.
func readRequest(t *testing.T, in *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(in)
	if err != nil {
		t.Errorf("server: %v", err)
		return &http.Request{Header: http.Header{}}, ""
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Errorf("server: body: %v", err)
	}
	return req, string(body)
}

// answer returns an answer with a Content-Length to the request id.
func answer(id string, status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Any\r\nX-Id: %s\r\nX-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
}

// replying answers each request of a connection with the next text; "" closes the
// connection.
func replying(texts ...string) script {
	return func(t *testing.T, c net.Conn, in *bufio.Reader) {
		for _, text := range texts {
			readRequest(t, in)
			if text == "" {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
		// Wait until the relay closes the connection.
		_, _ = in.ReadByte()
	}
}

// unresponsive reads a request and never answers.
func unresponsive(t *testing.T, _ net.Conn, in *bufio.Reader) {
	readRequest(t, in)
	_, _ = in.ReadByte()
}

var (
	once = routing.Route{
		Name: "once", Host: "h.example", Prefix: "/once/", Timeout: 800 * time.Millisecond, Attempts: 2,
		Shares: []routing.Share{{Service: "svc", Weight: 1}},
	}
	again = routing.Route{
		Name: "again", Host: "h.example", Prefix: "/again/", Timeout: 2 * time.Second, Attempts: 2, Repeat: routing.Idempotent,
		Shares: []routing.Share{{Service: "svc", Weight: 1}},
	}
	stream = routing.Route{
		Name: "stream", Host: "h.example", Prefix: "/stream/", Timeout: 15 * time.Second, Attempts: 1, Streaming: true,
		MaxGap: 120 * time.Millisecond, Shares: []routing.Share{{Service: "svc", Weight: 1}},
	}
	resumable = routing.Route{
		Name: "resumable", Host: "h.example", Prefix: "/resumable/", Timeout: 8 * time.Second, Attempts: 2,
		Goal: 800 * time.Millisecond, Streaming: true, Resumable: true, MaxGap: 200 * time.Millisecond, Shares: []routing.Share{{Service: "svc", Weight: 1}},
	}
	allRoutes = []routing.Route{once, again, stream, resumable}
)
