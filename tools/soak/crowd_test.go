package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"basilrudder/internal/peer"
	"basilrudder/platform/wire"
	"basilrudder/tools/abuse"
)

const (
	// crowdStays is how long a crowd stays before an ordinary request is sent beside it.
	crowdStays   = 2 * time.Second
	crowdServers = 4
	// ordinaryTries is how often an ordinary caller tries, and ordinaryWait its longest wait
	// before the next try.
	ordinaryTries = 5
	ordinaryWait  = time.Second
	ordinaryBody  = 1 << 10
	// legalBody is the largest body of the configuration, legalHead nearly the largest head,
	// and longHead the largest that is read at all.
	legalBody = 1 << 20
	legalHead = 15 << 10
	longHead  = 60 << 10
)

// crowdLimits are those of the instance before which crowds are played.
var crowdLimits = abuse.Limits{Descriptors: 1000, MemoryMB: 64}

// crowdDir is the directory of crowdBinary; empty before it is built.
var crowdDir string

// crowdBinary returns the path of basilrudderd, which it builds once.
var crowdBinary = sync.OnceValues(func() (_ string, err error) {
	if crowdDir, err = os.MkdirTemp("", "crowd-"); err != nil {
		return "", err
	}
	return build(crowdDir)
})

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(crowdDir) // what is left is in the system's directory for temporary files
	os.Exit(code)
}

// besieged is an instance with the limits of a small machine, beside which crowds are played.
type besieged struct {
	*testing.T
	*instance
	watch *abuse.Watch
	// body is the size of the body of an ordinary request.
	body int
}

// besiege starts an instance and waits until it serves.
func besiege(t *testing.T) *besieged {
	return besiegeWith(t, crowdServers, func(*fleet) error { return nil })
}

// besiegeWith is besiege with so many of the usual servers, and those that prepare publishes.
func besiegeWith(t *testing.T, servers int, prepare func(*fleet) error) *besieged {
	binary, err := crowdBinary()
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(binary, t.TempDir(), 1, servers, noEnds, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	if err := prepare(f); err != nil {
		t.Fatal(err)
	}
	b := &besieged{T: t, instance: f.instances[0], body: ordinaryBody}
	b.descriptors, b.memory = crowdLimits.Descriptors, int(crowdLimits.MemoryMB)
	if err := f.writeSettings(b.instance, "warn"); err != nil {
		t.Fatal(err)
	}
	if err := f.start(b.instance); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(startMost); !b.ready(); time.Sleep(pollEach) {
		if time.Now().After(end) {
			t.Fatalf("not ready after %v", startMost)
		}
	}
	b.watch = abuse.NewWatch(b.process.cmd.Process.Pid)
	return b
}

// endure plays a crowd at one of the instance's addresses: the process lives, stays within its
// limits, and an ordinary request is served beside the crowd and after it.
func (b *besieged) endure(address string, size int, client abuse.Client) {
	b.Helper()
	c := abuse.Start(b.address[address], size, client)
	time.Sleep(crowdStays)
	b.mustServe("beside the crowd")
	c.Leave()
	b.mustServe("after the crowd")
	b.mustBeWithinLimits(0)
}

// mustBeWithinLimits ends the watch of a process of which so many bytes were unread.
func (b *besieged) mustBeWithinLimits(unread int64) {
	b.Helper()
	if b.process.ended(0) {
		b.Fatal("the process has ended")
	}
	usage, err := b.watch.Stop()
	if err != nil {
		b.Fatal(err)
	}
	usage.Unread = unread
	if b.Log(usage); crowdLimits.Exceeded(usage) {
		b.Errorf("%v exceed %+v", usage, crowdLimits)
	}
}

// mustServe has an ordinary caller ask the directory and send a request.
func (b *besieged) mustServe(when string) {
	b.Helper()
	var last []string
	for range ordinaryTries {
		addresses, err := resolve(b.address["directory"])
		if err == nil && !b.ready() {
			err = fmt.Errorf("not ready")
		}
		wait := ordinaryWait
		if err == nil {
			wait, err = b.ask(addresses[0])
		}
		if err == nil {
			return
		}
		last = append(last, err.Error())
		time.Sleep(min(wait, ordinaryWait))
	}
	b.Errorf("%s an ordinary caller was not served: %q", when, last)
}

// ask sends an ordinary request, and returns after which time it may be repeated.
func (b *besieged) ask(address string) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/safe/x", bytes.NewReader(make([]byte, b.body)))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set(wire.HeaderID, fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
	request.Header.Set(wire.HeaderKey, wire.KeyScheme+customerKey)
	request.Header.Set(wire.HeaderDeadline, strconv.Itoa(int(deadline.Milliseconds())))
	client := http.Client{Timeout: patience + deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode == http.StatusOK {
		return 0, err
	}
	after, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	return time.Duration(after * float64(time.Second)), fmt.Errorf("status %d", answer.StatusCode)
}

// requestHead is the head of a sound request but for its last, empty line.
func requestHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s: %s%s\r\n", path, host, wire.HeaderID, wire.HeaderKey, wire.KeyScheme, customerKey)
}

// unfinished is a client whose request stops short of the end of its body.
func unfinished(path string, size int, framing abuse.Framing) abuse.Client {
	return abuse.Client{Send: abuse.Unfinished(requestHead(path), size, framing)}
}

const bodyCrowd = 120

// Guards against bodies that each stop just short of their end, and fill the memory together.
func TestCrowdOfUnfinishedBodiesInOnePiece(t *testing.T) {
	b := besiege(t)
	b.body = 200 << 10
	b.endure("callers", bodyCrowd, unfinished("/safe/x", legalBody, abuse.Whole))
}

// Guards against the same in small pieces.
func TestCrowdOfUnfinishedBodiesInSmallPieces(t *testing.T) {
	b := besiege(t)
	b.body = 200 << 10
	b.endure("callers", bodyCrowd, unfinished("/safe/x", legalBody, abuse.Pieces))
}

// Guards against the same in chunks, of which the size is not known.
func TestCrowdOfUnfinishedBodiesInChunks(t *testing.T) {
	b := besiege(t)
	b.body = 200 << 10
	b.endure("callers", bodyCrowd, unfinished("/safe/x", legalBody, abuse.Chunked))
}

// Guards against small bodies that stop short and together take all memory for bodies.
func TestCrowdOfUnfinishedSmallBodies(t *testing.T) {
	b := besiege(t)
	b.body = 200 << 10
	b.endure("callers", 480, unfinished("/safe/x", 110<<10, abuse.Whole))
}

// Guards against bodies far over the limit that are read to be refused.
func TestCrowdOfBodiesOverTheLimit(t *testing.T) {
	for _, framing := range []abuse.Framing{abuse.Whole, abuse.Chunked} {
		t.Run(fmt.Sprint(framing), func(t *testing.T) {
			b := besiege(t)
			b.endure("callers", 60, unfinished("/safe/x", 24<<20, framing))
		})
	}
}

// Guards against bodies that are held for a path without a route.
func TestCrowdOfBodiesWithoutARoute(t *testing.T) {
	b := besiege(t)
	b.endure("callers", bodyCrowd, unfinished("/nowhere/x", legalBody, abuse.Whole))
}

// Guards against bodies that are held for callers whom nobody knows.
func TestCrowdOfBodiesWithUnknownKeys(t *testing.T) {
	b := besiege(t)
	head := strings.Replace(requestHead("/safe/x"), customerKey, "unknown", 1)
	b.endure("callers", bodyCrowd, abuse.Client{Send: abuse.Unfinished(head, legalBody, abuse.Chunked)})
}

// Guards against a body that is waited for without end.
func TestCrowdOfBodiesThatStopIsGivenUp(t *testing.T) {
	b := besiege(t)
	conn, err := net.Dial("tcp", b.address["callers"])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := unfinished("/safe/x", legalBody, abuse.Whole).Send(conn); err != nil {
		t.Fatal(err)
	}
	const far = 20 * time.Second // five times the timeout of the route
	if err := conn.SetReadDeadline(time.Now().Add(far)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 408 ") {
		t.Errorf("%q, %v", answer, err)
	}
	b.mustServe("afterwards")
	b.mustBeWithinLimits(0)
}

const headCrowd = 480

// controlHead is nearly the largest head at addresses other than that for callers.
const controlHead = 3 << 10

// manyFields returns fields for nearly the largest head, with one name for all and with a name for each.
func manyFields() map[string]string {
	return map[string]string{"same": abuse.Fields(legalHead), "distinct": abuse.DistinctFields(legalHead)}
}

// Guards against legal heads of very many short fields that stop before their end.
func TestCrowdOfUnfinishedHeadsOfManyFields(t *testing.T) {
	for name, fields := range manyFields() {
		t.Run(name, func(t *testing.T) {
			b := besiege(t)
			b.endure("callers", headCrowd, abuse.Client{Send: abuse.Text(requestHead("/safe/x") + fields)})
		})
	}
}

// Guards against legal heads of very many short fields that are held while the body stops short.
func TestCrowdOfHeadsOfManyFieldsWithoutTheirBody(t *testing.T) {
	for name, fields := range manyFields() {
		t.Run(name, func(t *testing.T) {
			b := besiege(t)
			b.endure("callers", headCrowd, abuse.Client{Send: abuse.Unfinished(requestHead("/safe/x")+fields, 2, abuse.Whole)})
		})
	}
}

// Guards against heads over the configured limit that are held all the same.
func TestCrowdOfLongHeadsOfManyFields(t *testing.T) {
	for name, end := range map[string]string{"unfinished": "", "without body": "Content-Length: 2\r\n\r\nx"} {
		t.Run(name, func(t *testing.T) {
			b := besiege(t)
			b.endure("callers", headCrowd/2, abuse.Client{Send: abuse.Text(requestHead("/safe/x") + abuse.Fields(longHead) + end)})
		})
	}
}

// Guards against a single legal head of very many fields that is refused in calm.
func TestCrowdOfOneHeadOfManyFieldsIsServed(t *testing.T) {
	b := besiege(t)
	conn, err := net.Dial("tcp", b.address["callers"])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := requestHead("/safe/x") + abuse.Fields(legalHead) + "Connection: close\r\nContent-Length: 1\r\n\r\nx"
	if err := abuse.Text(request)(conn); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
		t.Errorf("%q, %v", answer, err)
	}
	b.mustBeWithinLimits(0)
}

// slowCrowd is more than callers get of the descriptors.
const (
	slowCrowd    = 700
	slowInterval = 200 * time.Millisecond
)

// Guards against heads sent a line at a time, each of which looks like a request under way.
func TestCrowdOfSlowHeads(t *testing.T) {
	b := besiege(t)
	b.endure("callers", slowCrowd, abuse.Client{Send: abuse.Slowly(requestHead("/safe/x"), "abc: x\r\n", slowInterval)})
}

// Guards against heads that stop half-way.
func TestCrowdOfHeadsThatStop(t *testing.T) {
	b := besiege(t)
	b.endure("callers", slowCrowd, abuse.Client{Send: abuse.Text("POST /safe/x HT")})
}

// Guards against bodies sent a byte at a time.
func TestCrowdOfSlowBodies(t *testing.T) {
	b := besiege(t)
	head := requestHead("/safe/x") + "Content-Length: 100000\r\n\r\n"
	b.endure("callers", slowCrowd, abuse.Client{Send: abuse.Slowly(head, "x", slowInterval)})
}

// Guards against requests sent ahead, whose answers nobody reads, that keep all servers busy.
func TestCrowdOfRequestsSentAhead(t *testing.T) {
	b := besiege(t)
	const ahead = 1000
	request := requestHead("/safe/x") + "Content-Length: 1\r\n\r\nx"
	b.endure("callers", 100, abuse.Client{Send: abuse.Text(strings.Repeat(request, ahead)), Once: true})
}

// serveLarge answers requests with bodies of as many bytes as the last part of their path says.
func serveLarge(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	if err != nil {
		size = 1
	}
	w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
	w.Header().Set(wire.HeaderSeal, "s")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size)) // fails only if the instance is gone
}

// besiegeWithLargeAnswers is besiege with servers whose answers are as large as is asked for.
func besiegeWithLargeAnswers(t *testing.T) *besieged { return besiegeWithServers(t, serveLarge) }

// besiegeWithServers is besiege with servers of another kind.
func besiegeWithServers(t *testing.T, serve http.HandlerFunc) *besieged {
	return besiegeWith(t, 0, func(f *fleet) error {
		for n := range crowdServers {
			server := httptest.NewServer(serve)
			t.Cleanup(server.Close)
			u := &upstream{service: plain, software: "v1", proxy: &proxy{ln: server.Listener}}
			if err := f.store.PutServer(fmt.Sprint("s", n), u.entry(wire.StateReady)); err != nil {
				return err
			}
		}
		return nil
	})
}

// unread is a client that asks for an answer of so many bytes and reads nothing of it.
func unread(size int) abuse.Client {
	request := fmt.Sprintf("%sContent-Length: 1\r\n\r\nx", requestHead(fmt.Sprint("/safe/", size)))
	return abuse.Client{Send: abuse.Text(request), ReceiveBuffer: 4 << 10}
}

// Guards against answers that are held whole for callers who don't read.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	b := besiegeWithLargeAnswers(t)
	b.endure("callers", headCrowd, unread(250<<10))
}

// Guards against long answers for callers who don't read.
func TestCrowdOfUnreadLongAnswers(t *testing.T) {
	b := besiegeWithLargeAnswers(t)
	b.endure("callers", headCrowd, unread(16<<20))
}

// Guards against requests that wait unread in the system's buffers, which count as the process's memory.
func TestCrowdOfUnreadRequests(t *testing.T) {
	over := make(chan struct{})
	b := besiegeWithServers(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			<-over
		}
		serveLarge(w, r)
	})
	t.Cleanup(func() { close(over) }) // before the servers are closed, which wait for their handlers
	request := requestHead("/safe/1") + "Slow: 1\r\nContent-Length: 1\r\n\r\nx"
	crowd := abuse.Start(b.address["callers"], headCrowd, abuse.Client{Send: abuse.Text(strings.Repeat(request, 4000))})
	time.Sleep(crowdStays)
	unread, err := abuse.Unread(b.address["callers"])
	if err != nil {
		t.Fatal(err)
	}
	crowd.Leave()
	b.mustServe("after the crowd")
	b.mustBeWithinLimits(unread)
}

// controlBodies plays unfinished bodies at an address at which no body is of use.
func controlBodies(t *testing.T, address, path string) {
	for _, framing := range []abuse.Framing{abuse.Whole, abuse.Chunked} {
		t.Run(fmt.Sprint(framing), func(t *testing.T) {
			b := besiege(t)
			b.endure(address, 30, unfinished(path, 4<<20-chunkOverhead, framing))
		})
	}
}

// chunkOverhead keeps a body below 4 MiB.
const chunkOverhead = 8 << 10

// Guards against bodies that are held where only readiness is asked for.
func TestCrowdOfBodiesAtTheReadyAddress(t *testing.T) { controlBodies(t, "ready", wire.ReadyPath) }

// Guards against bodies that are held where only addresses are asked for.
func TestCrowdOfBodiesAtTheDirectory(t *testing.T) { controlBodies(t, "directory", wire.ResolvePath) }

// Guards against bodies that are held where only metrics are asked for.
func TestCrowdOfBodiesAtTheMetrics(t *testing.T) { controlBodies(t, "metrics", "/metrics") }

// Guards against bodies that are held where only peers connect.
func TestCrowdOfBodiesAtThePeersAddress(t *testing.T) { controlBodies(t, "peers", "/") }

// idleCrowd is more than all descriptors of the instance.
const idleCrowd = 1200

func idleAt(t *testing.T, address string) {
	b := besiege(t)
	b.endure(address, idleCrowd, abuse.Client{})
}

// Guards against idle connections that take the descriptors that all others need.
func TestCrowdOfIdleConnectionsAtTheCallersAddress(t *testing.T) { idleAt(t, "callers") }

// Guards against the same at the address for readiness.
func TestCrowdOfIdleConnectionsAtTheReadyAddress(t *testing.T) { idleAt(t, "ready") }

// Guards against the same at the directory.
func TestCrowdOfIdleConnectionsAtTheDirectory(t *testing.T) { idleAt(t, "directory") }

// Guards against the same at the address for metrics.
func TestCrowdOfIdleConnectionsAtTheMetrics(t *testing.T) { idleAt(t, "metrics") }

// Guards against the same at the address for peers.
func TestCrowdOfIdleConnectionsAtThePeersAddress(t *testing.T) { idleAt(t, "peers") }

// Guards against heads that are sent slowly to addresses other than that for callers.
func TestCrowdOfSlowHeadsAtOtherAddresses(t *testing.T) {
	for _, address := range []string{"ready", "directory", "metrics", "peers"} {
		t.Run(address, func(t *testing.T) {
			b := besiege(t)
			b.endure(address, idleCrowd, abuse.Client{Send: abuse.Slowly("GET / HTTP/1.1\r\nHost: x\r\n", "abc: x\r\n", slowInterval)})
		})
	}
}

// Guards against heads of very many fields at addresses other than that for callers.
func TestCrowdOfHeadsOfManyFieldsAtOtherAddresses(t *testing.T) {
	for _, address := range []string{"ready", "directory", "metrics", "peers"} {
		t.Run(address, func(t *testing.T) {
			b := besiege(t)
			b.endure(address, headCrowd, abuse.Client{Send: abuse.Text("GET / HTTP/1.1\r\nHost: x\r\n" + abuse.Fields(legalHead))})
		})
	}
}

// Guards against idle connections that keep what the head of an earlier request took.
func TestCrowdOfIdleConnectionsAfterHeadsOfManyFields(t *testing.T) {
	heads := map[string]string{"callers": abuse.Fields(legalHead)}
	for _, address := range []string{"ready", "directory", "metrics", "peers"} {
		heads[address] = abuse.Fields(controlHead)
	}
	for address, fields := range heads {
		t.Run(address, func(t *testing.T) {
			b := besiege(t)
			b.endure(address, headCrowd, abuse.Client{Send: abuse.Text("GET / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n"), Reads: true})
		})
	}
}

// Guards against idle connections that keep what the arguments of an earlier request took.
func TestCrowdOfIdleConnectionsAfterManyArguments(t *testing.T) {
	b := besiege(t)
	request := "GET " + wire.ResolvePath + "?" + strings.Repeat("a&", controlHead/2) + " HTTP/1.1\r\nHost: x\r\n\r\n"
	b.endure("directory", idleCrowd, abuse.Client{Send: abuse.Text(request), Reads: true})
}

// Guards against peers that open a link and stop before they prove who they are.
func TestCrowdOfHalfOpenLinks(t *testing.T) {
	b := besiege(t)
	const upgrade = "GET " + peer.Path + " HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	b.endure("peers", idleCrowd, abuse.Client{Send: abuse.Text(upgrade)})
}

// Guards against answers sent ahead of reading at addresses other than that for callers.
func TestCrowdOfRequestsSentAheadAtOtherAddresses(t *testing.T) {
	for address, path := range map[string]string{"ready": wire.ReadyPath, "directory": wire.ResolvePath + "?name=" + host, "metrics": "/metrics"} {
		t.Run(address, func(t *testing.T) {
			b := besiege(t)
			request := "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
			b.endure(address, 100, abuse.Client{Send: abuse.Text(strings.Repeat(request, 1000)), ReceiveBuffer: 4 << 10, Once: true})
		})
	}
}

// Guards against limits that are lower in the settings than what the tests assume of the process.
func TestCrowdIsLargerThanTheLimits(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*idleCrowd {
		t.Errorf("%d descriptors for a crowd of %d, %v", limit.Cur, idleCrowd, err)
	}
}
