package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/monotime"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
	"basilrudder/internal/standin/narrownet"
)

const (
	// versionServers is the number of servers before which versions are mixed.
	versionServers = 8
	// maxMixedStreams is the number of streams that may hold events of two versions.
	maxMixedStreams = 2
	// minResumed is the number of streams that are resumed, from which the share that goes
	// on is compared with that of new ones.
	minResumed = 12
	// streamDeadline is how long a caller waits for a stream, over all its tries.
	streamDeadline = 8 * time.Second
	// maxStreamTries is how often a caller sends a request for one stream.
	maxStreamTries = 4
	// entryLag is how much later than another an instance may hear of an entry.
	entryLag = 800 * time.Millisecond
)

// resumingProtocol is minimalProtocol with streams that may be resumed.
type resumingProtocol struct{ minimalProtocol }

func (p resumingProtocol) Request(h http.Header) (relay.Request, error) {
	out, err := p.minimalProtocol.Request(h)
	out.ResumeAfter, out.FirstTry = h.Get("X-Resume"), h.Get("X-First-Try")
	return out, err
}

func (resumingProtocol) Forward(h http.Header, f relay.Forward) {
	h.Set("X-Server", string(f.Server))
	if f.ResumeAfter != "" {
		h.Set("X-Resume", f.ResumeAfter)
	}
}

func (resumingProtocol) LastEventID(events []byte) (last string) {
	for line := range strings.SplitSeq(string(events), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = id
		}
	}
	return last
}

// versionCluster is a fleet before servers of several software versions.
type versionCluster struct {
	*cutCluster
	random *rand.Rand

	// The following are guarded by cutCluster.mu.
	running []servers.Server // by number; the zero value while one is down
	// changes are all that the store has told of servers.
	changes  []func(r *servers.Registry, now monotime.Instant) []string
	revision servers.Revision
	// offStore holds the instances that are cut off from the store, and killed those whose
	// process has ended, with what ends their callers' requests.
	offStore map[int]bool
	killed   map[int]bool
	// cutOff holds the instances that are cut off from the others.
	cutOff map[int]bool
	ends   []context.CancelFunc
	alive  []context.Context
	count  streamCount
}

// streamCount counts streams as the rules do.
type streamCount struct {
	begun, tried           int // new streams
	goneOn, resumed        int // streams that are resumed, at instances in touch
	elsewhere              int // streams that are resumed at other instances
	mixedAnswer, mixedOver int // with events of two versions: in one answer, over tries
	refused                int
}

func playVersions(t *testing.T, seed uint64, play func(v *versionCluster)) {
	playFleetVersions(t, seed, cutInstances, smallFleetStart, play)
}

// playFleetVersions plays a test on so many instances in virtual time.
func playFleetVersions(t *testing.T, seed uint64, size int, start time.Duration, play func(v *versionCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		passProcessStart()
		v := &versionCluster{
			cutCluster: emptyCutCluster(t, ctx, &tasks), random: rand.New(rand.NewPCG(seed, seed)),
			running: make([]servers.Server, versionServers), offStore: make(map[int]bool), killed: make(map[int]bool),
			cutOff: make(map[int]bool),
		}
		v.config = versionConfig()
		v.protocol = resumingProtocol{}
		v.putServers, v.confirms = v.putRunning, v.confirmVersions
		for n := range versionServers {
			v.newIncarnation(n, "v1")
			v.startServer(n, func(conn net.Conn, in *bufio.Reader) bool { return v.serveStream(n, conn, in) })
		}
		v.start(0, size)
		v.tasks.Go(func() error {
			v.confirmByStore()
			return nil
		})
		time.Sleep(start)
		play(v)
		v.stop(cancel)
	})
}

func versionConfig() *routing.Config {
	return &routing.Config{
		Version: 1, Services: []routing.Service{{Name: "llm"}},
		Routes: []routing.Route{{
			Name: "stream", Host: "h.example", Prefix: "/stream/", Timeout: streamDeadline, Goal: 500 * time.Millisecond,
			MaxGap: 200 * time.Millisecond, Attempts: 2, Streaming: true, Resumable: true,
			Shares: []routing.Share{{Service: "llm", Weight: 1}},
		}},
		KeysRequired: true, Customers: []routing.Customer{{Name: "a", Keys: []string{"key-a"}}},
	}
}

// start starts instances; requests at one end when it is killed.
func (v *versionCluster) start(first, size int) {
	v.startInstances(first, size)
	v.mu.Lock()
	defer v.mu.Unlock()
	for range size {
		ctx, end := context.WithCancel(v.ctx)
		v.alive, v.ends = append(v.alive, ctx), append(v.ends, end)
	}
}

// newIncarnation returns a server of a version in the place of a former one.
func (v *versionCluster) newIncarnation(n int, software string) servers.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision++
	id := fmt.Sprintf("s%d-%d", n, v.revision)
	v.running[n] = servers.Server{
		ID: id, Name: servers.Name(id), Service: "llm", Address: serverAddress(n), DataCentre: fmt.Sprint("dc-", n%2),
		Slots: 64, Software: software, Revision: v.revision,
	}
	return v.running[n]
}

func (v *versionCluster) putRunning(r *servers.Registry, now monotime.Instant) (ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.running {
		if s.ID != "" {
			r.Put(s, now)
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// confirmByStore lets the store confirm to instances that they hold the newest entries.
func (v *versionCluster) confirmByStore() {
	for v.ctx.Err() == nil {
		for n, i := range v.instances() {
			if !v.isOffStore(n) {
				advance(&i.fleet.confirmedByStore, monotime.Now())
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// confirmVersions lets the store tell an instance at once what it has told others so far.
func (v *versionCluster) confirmVersions(n int, f *fleet) func(context.Context, monotime.Instant) bool {
	return func(context.Context, monotime.Instant) bool {
		if v.isOffStore(n) {
			return false
		}
		v.mu.Lock()
		changes := slices.Clone(v.changes)
		v.mu.Unlock()
		for _, change := range changes {
			f.changeServers(fromStore, change)
		}
		return true
	}
}

func (v *versionCluster) instances() []*linkedInstance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.fleet)
}

func (v *versionCluster) isOffStore(n int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.offStore[n] || v.killed[n]
}

// tell lets the store tell each instance a change, some later than others.
func (v *versionCluster) tell(change func(r *servers.Registry, now monotime.Instant) []string) {
	v.mu.Lock()
	v.changes = append(v.changes, change)
	v.mu.Unlock()
	for n, i := range v.instances() {
		lag := v.chance(entryLag)
		v.tasks.Go(func() error {
			time.Sleep(lag)
			if !v.isOffStore(n) {
				i.fleet.changeServers(fromStore, change)
			}
			return nil
		})
	}
}

func (v *versionCluster) chance(most time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(v.random.Int64N(int64(most)))
}

func (v *versionCluster) tellEntry(s servers.Server) {
	v.tell(func(r *servers.Registry, now monotime.Instant) []string {
		r.Put(s, now)
		return []string{s.ID}
	})
}

func (v *versionCluster) tellGone(id string) {
	v.mu.Lock()
	v.revision++
	at := v.revision
	v.mu.Unlock()
	v.tell(func(r *servers.Registry, now monotime.Instant) []string {
		r.MarkGone(id, at, now)
		return []string{id}
	})
}

// crash resets all connections of a server, which comes back after a while as a new
// incarnation of a version.
func (v *versionCluster) crash(n int, down time.Duration, software string) {
	v.mu.Lock()
	was := v.running[n]
	v.running[n] = servers.Server{}
	hosts := slices.Clone(v.hosts)
	v.mu.Unlock()
	set := func(fault narrownet.Fault) {
		for _, host := range hosts {
			v.network.Cut(host, v.servers[n], fault)
		}
	}
	set(narrownet.Reset)
	time.Sleep(down)
	set(narrownet.None)
	v.tellEntry(v.newIncarnation(n, software))
	v.tellGone(was.ID)
}

// release replaces a server by one of another version, which starts at its address once
// the former one has drained.
func (v *versionCluster) release(n int, software string) {
	v.mu.Lock()
	v.revision++
	was := v.running[n]
	was.Draining, was.Revision = true, v.revision
	v.mu.Unlock()
	v.tellEntry(was)
	time.Sleep(2 * time.Second)
	v.tellGone(was.ID)
	v.tellEntry(v.newIncarnation(n, software))
}

// kill ends the process of an instance, and with it its callers' requests.
func (v *versionCluster) kill(n int) {
	v.mu.Lock()
	v.killed[n] = true
	end := v.ends[n]
	v.mu.Unlock()
	v.lose(n, narrownet.Reset)
	end()
}

// restart starts a process in the place of one that was killed.
func (v *versionCluster) restart() {
	v.mu.Lock()
	next := len(v.hosts)
	v.mu.Unlock()
	v.start(next, 1)
}

// serveStream answers one request on a connection to a server by events that name its
// version.
func (v *versionCluster) serveStream(n int, conn net.Conn, in *bufio.Reader) bool {
	req, _, err := readRequest(in)
	if err != nil {
		return false
	}
	v.mu.Lock()
	s := v.running[n]
	v.mu.Unlock()
	id := req.Header.Get("X-Id")
	if req.Header.Get("X-Server") != string(s.Name) {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	time.Sleep(10 * time.Millisecond)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id); err != nil {
		return false
	}
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("X-Resume")); err == nil {
		first = last + 1
	}
	for n := first; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, s.Software)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(streamGap)
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// receivedStream is what a caller has of a stream.
type receivedStream struct {
	firstTry string
	events   int
	versions map[string]bool
}

// readStream plays a caller of one stream until it is whole or the caller gives up. A caller
// that leaves does so once, in the middle of the stream, and resumes it elsewhere.
func (v *versionCluster) readStream(leaves bool) {
	until := time.Now().Add(streamDeadline)
	got := receivedStream{versions: make(map[string]bool)}
	for range maxStreamTries {
		leaveAfter := time.Duration(0)
		if leaves && got.events == 0 {
			leaveAfter = 200*time.Millisecond + v.chance(300*time.Millisecond)
		}
		whole, after := v.tryStream(&got, leaveAfter)
		if whole || time.Now().After(until) {
			return
		}
		time.Sleep(after)
	}
}

// tryStream sends one request for a stream to any instance. It reports whether the stream
// is whole, and when to come back.
func (v *versionCluster) tryStream(got *receivedStream, leaveAfter time.Duration) (whole bool, after time.Duration) {
	id := fmt.Sprint(rand.Uint64())
	req := httptest.NewRequest(http.MethodPost, "http://h.example/stream/x", strings.NewReader("body"))
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "key-a")
	if got.events > 0 {
		req.Header.Set("X-Resume", strconv.Itoa(got.events))
		req.Header.Set("X-First-Try", got.firstTry)
	}
	instance, alive := v.anyInstance()
	inTouch := v.inTouch(instance)
	ctx, cancel := context.WithTimeout(alive, streamDeadline)
	defer cancel()
	if leaveAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, leaveAfter)
		defer cancel()
	}
	rec, aborted := v.serveRecorded(instance, req.WithContext(ctx))
	v.countTry(got, id, rec.Body.String(), inTouch && v.inTouch(instance))
	if rec.Code != http.StatusOK {
		v.mu.Lock()
		v.count.refused++
		v.mu.Unlock()
	}
	seconds, _ := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
	after = min(time.Duration(seconds*float64(time.Second)), streamDeadline/3)
	return !aborted && rec.Code == http.StatusOK && got.events == streamEvents, after
}

// anyInstance returns an instance that was not killed, and the context of its process. It waits
// while there is none.
func (v *versionCluster) anyInstance() (int, context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for len(v.killed) == len(v.alive) {
		v.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		v.mu.Lock()
	}
	for {
		if n := v.random.IntN(len(v.alive)); !v.killed[n] {
			return n, v.alive[n]
		}
	}
}

func (v *versionCluster) serveRecorded(instance int, req *http.Request) (rec *httptest.ResponseRecorder, aborted bool) {
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			aborted = true
		}
	}()
	v.mu.Lock()
	handler := v.relays[instance]
	v.mu.Unlock()
	handler.ServeHTTP(rec, req)
	return rec, false
}

// inTouch reports whether an instance reaches the store and the others.
func (v *versionCluster) inTouch(n int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.offStore[n] && !v.cutOff[n]
}

// countTry adds the events of one answer, of an instance in touch or not, to a stream.
func (v *versionCluster) countTry(got *receivedStream, id, body string, inTouch bool) {
	resumed := got.events > 0
	before := len(got.versions)
	here := make(map[string]bool)
	events := 0
	for line := range strings.SplitSeq(body, "\n") {
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			events++
			here[version] = true
			got.versions[version] = true
		}
	}
	if !resumed && events > 0 {
		got.firstTry = id
	}
	got.events += events
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case resumed && !inTouch:
		v.count.elsewhere++
	case resumed:
		v.count.resumed++
		v.count.goneOn += min(events, 1)
	default:
		v.count.tried++
		v.count.begun += min(events, 1)
	}
	switch {
	case len(here) > 1:
		v.count.mixedAnswer++
	case resumed && before == 1 && len(got.versions) > 1:
		v.count.mixedOver++
	}
}

// streams lets callers begin streams for a while, a third of whom leave in between, and
// waits for their ends.
func (v *versionCluster) streams(lasts time.Duration) {
	const interval = 40 * time.Millisecond
	begun := time.Now()
	var all sync.WaitGroup
	for n := 0; time.Since(begun) < lasts; n++ {
		all.Go(func() { v.readStream(n%3 == 0) })
		time.Sleep(interval)
	}
	all.Wait()
}

// check compares the count with the bounds of the pages.
func (v *versionCluster) check() {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.count
	v.t.Logf("new: %d of %d begin; resumed: %d of %d go on, %d at instances that are cut off; mixed: %d in one answer, %d over tries; refused or failed: %d",
		c.begun, c.tried, c.goneOn, c.resumed, c.elsewhere, c.mixedAnswer, c.mixedOver, c.refused)
	if c.mixedAnswer+c.mixedOver > maxMixedStreams {
		v.t.Errorf("%d streams hold events of two versions in one answer, %d over tries", c.mixedAnswer, c.mixedOver)
	}
	if c.resumed < minResumed {
		v.t.Errorf("only %d streams were resumed", c.resumed)
	}
	if 2*c.goneOn*c.tried < c.begun*c.resumed {
		v.t.Errorf("%d of %d streams that were resumed go on, %d of %d new ones begin", c.goneOn, c.resumed, c.begun, c.tried)
	}
}

// versionCase is a disturbance of streams while servers of several versions serve.
type versionCase struct {
	name string
	play func(v *versionCluster)
}

const versionsLast = 12 * time.Second

var versionCases = []versionCase{
	{"servers crash", func(v *versionCluster) {
		for n := range 10 {
			v.crash(n%versionServers, 800*time.Millisecond, v.softwareOf(n%versionServers))
		}
	}},
	{"servers crash and come back as another version", func(v *versionCluster) {
		for n := range 10 {
			v.crash(n%versionServers, 800*time.Millisecond, []string{"v1", "v2", "v3"}[n%3])
		}
	}},
	{"a release, turned back", func(v *versionCluster) {
		for n := range 3 {
			v.release(n, []string{"v2", "v1"}[n%2])
			v.crash(4+n, 300*time.Millisecond, v.softwareOf(4+n))
		}
	}},
	{"instances are killed and start again", func(v *versionCluster) {
		for n := range 4 {
			v.kill(n)
			v.crash(n, time.Second, v.softwareOf(n))
			v.restart()
			time.Sleep(time.Second)
		}
	}},
	{"instances are cut off from the others and the store", func(v *versionCluster) {
		v.setOffStore(true, 0, 1, 2)
		for n := range 3 {
			v.loseInstances(n, narrownet.Silent)
		}
		for n := range 3 {
			v.crash(n, time.Second, "v3")
			time.Sleep(time.Second)
		}
		for n := range 3 {
			v.loseInstances(n, narrownet.None)
		}
		v.setOffStore(false, 0, 1, 2)
		time.Sleep(3 * time.Second)
	}},
	{"all at once", func(v *versionCluster) {
		var all sync.WaitGroup
		all.Go(func() {
			for n := range 3 {
				v.release(n, "v3")
			}
		})
		all.Go(func() {
			for n := range 6 {
				v.crash(3+n%5, 500*time.Millisecond, v.softwareOf(3+n%5))
				time.Sleep(500 * time.Millisecond)
			}
		})
		all.Go(func() {
			for n := range 3 {
				time.Sleep(2 * time.Second)
				v.kill(n)
				v.restart()
			}
		})
		v.setOffStore(true, 7)
		v.loseInstances(6, narrownet.Silent)
		time.Sleep(5 * time.Second)
		v.loseInstances(6, narrownet.None)
		all.Wait()
	}},
}

func (v *versionCluster) softwareOf(n int) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.running[n].Software
}

func (v *versionCluster) setOffStore(off bool, instances ...int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range instances {
		v.offStore[n] = off
	}
}

// loseInstances sets a fault between an instance and all others.
func (v *versionCluster) loseInstances(n int, fault narrownet.Fault) {
	v.mu.Lock()
	hosts := slices.Clone(v.hosts)
	v.cutOff[n] = fault != narrownet.None
	v.mu.Unlock()
	for other, host := range hosts {
		if other != n {
			v.network.Cut(hosts[n], host, fault)
		}
	}
}

// Guards against streams with events of two versions, and against refusing them all.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	for _, test := range versionCases {
		t.Run(test.name, func(t *testing.T) {
			playVersions(t, 7, func(v *versionCluster) {
				v.replaceHalf()
				v.tasks.Go(func() error {
					test.play(v)
					return nil
				})
				v.streams(versionsLast)
				v.check()
			})
		})
	}
}

// replaceHalf replaces half of the servers by ones of another version.
func (v *versionCluster) replaceHalf() {
	for n := versionServers / 2; n < versionServers; n++ {
		was := v.running[n].ID
		v.tellEntry(v.newIncarnation(n, "v2"))
		v.tellGone(was)
	}
	time.Sleep(entryLag + time.Second)
}

// Guards against versions that are told too late, or not to all, in large fleets.
func TestStreamsGoOnInFleetsOfAnySize(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playFleetVersions(t, 5, size, largeFleetStart, func(v *versionCluster) {
				v.replaceHalf()
				v.tasks.Go(func() error {
					for n := range 6 {
						v.kill(n)
						v.restart()
						v.crash(n%versionServers, 800*time.Millisecond, []string{"v1", "v2", "v3"}[n%3])
						time.Sleep(500 * time.Millisecond)
					}
					return nil
				})
				v.streams(versionsLast)
				v.check()
			})
		})
	}
}

// Guards against refusing streams of the only version after restarts of instances.
func TestStreamsOfTheOnlyVersionAreResumedByRestartedInstances(t *testing.T) {
	playVersions(t, 3, func(v *versionCluster) {
		v.tasks.Go(func() error {
			for n := range 6 {
				v.kill(n)
				v.restart()
				time.Sleep(1500 * time.Millisecond)
			}
			return nil
		})
		v.streams(versionsLast)
		v.check()
	})
}
