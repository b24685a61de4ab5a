package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/platform/standin"
	"basilrudder/platform/wire"
)

const (
	customerName = "acme"
	customerKey  = "key-of-acme"
	// unknownKeys is the share of requests that carry a key that nobody has.
	unknownKeys = 0.03
	// deadline of a request, below the timeout of its route.
	deadline = 3 * time.Second
	// patience is how long a caller waits beyond that before it gives up.
	patience = 3 * time.Second
	// thinking is the longest pause of a caller between two requests.
	thinking = 40 * time.Millisecond
	// directoryKept is how long a caller uses an answer of the directory.
	directoryKept = time.Second
	directoryWait = time.Second
)

// routes that callers use.
var routes = []string{"safe", "unsafe", "stream", "resumable"}

// attempt is a request of a caller and what became of it.
type attempt struct {
	id       string
	route    string
	instance string
	// unknownKey says that the request carried a key that nobody has.
	unknownKey bool
	// calm says that nothing was done to the instance meanwhile.
	calm   bool
	took   time.Duration
	status int
	// stream is what the caller has of a stream that may be resumed, over all its tries; nil
	// for other requests. leaveAfter is the event after which it leaves; 0 for none.
	stream     *stream
	leaveAfter int
	// err is why the answer is not whole, nil when it is.
	err error
	// refusal is the text of an answer that is no success.
	refusal string
	// wrong is what a whole answer has that it must not have.
	wrong string
	// poison says that the prompt has a part that crashes servers.
	poison bool
}

// stream is a stream that may be resumed, as its caller has it.
type stream struct {
	firstTry string // that brought the first event
	events   int
	software map[string]bool // versions of the servers that made them
	tries    int             // that resumed it, and goneOn those that brought events
	goneOn   int
}

// errLeft ends an attempt whose caller leaves to go on elsewhere.
var errLeft = errors.New("the caller left")

// served reports whether the caller has all it asked for.
func (a *attempt) served() bool { return a.status == http.StatusOK && a.err == nil && a.wrong == "" }

// caller sends requests one after another on connections that it keeps.
type caller struct {
	fleet  *fleet
	number int
	rand   *rand.Rand
	client *http.Client

	known []string // addresses of instances
	asked time.Time

	mu       sync.Mutex
	attempts []*attempt
	streams  []*stream
}

func newCaller(f *fleet, number int, seed uint64) *caller {
	return &caller{
		fleet: f, number: number, rand: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Transport: f.ends.transport(number)},
	}
}

// run sends requests until the context ends. What is under way is finished.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if i := c.choose(); i != nil {
			route, unknownKey := routes[c.rand.IntN(len(routes))], c.rand.Float64() < unknownKeys
			leaveAfter := 0
			if route == "resumable" && c.rand.Float64() < leavers {
				leaveAfter = 1 + c.rand.IntN(standin.StreamEvents-1)
			}
			c.resume(c.sendUntil(i, route, unknownKey, leaveAfter))
		}
		time.Sleep(time.Duration(c.rand.Int64N(int64(thinking))))
	}
	c.client.CloseIdleConnections()
}

// choose returns an instance that the directory names. One whose directory does
// not answer is passed over; old answers are used until there is a new one.
func (c *caller) choose() *instance {
	if time.Since(c.asked) > directoryKept {
		at := c.fleet.instances[c.rand.IntN(len(c.fleet.instances))]
		if addresses, err := resolve(at.address["directory"]); err == nil && len(addresses) > 0 {
			c.known, c.asked = addresses, time.Now()
		}
	}
	if len(c.known) == 0 {
		return nil
	}
	return c.fleet.byCallers(c.known[c.rand.IntN(len(c.known))])
}

func (f *fleet) byCallers(address string) *instance {
	for _, i := range f.instances {
		if i.address["callers"] == address {
			return i
		}
	}
	return nil
}

// resolve asks a directory where to connect.
func resolve(directory string) ([]string, error) {
	client := http.Client{Timeout: directoryWait}
	answer, err := client.Get("http://" + directory + wire.ResolvePath + "?name=" + host)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the directory answers %d", answer.StatusCode)
	}
	var out wire.ResolveAnswer
	err = json.NewDecoder(answer.Body).Decode(&out)
	return out.Addresses, err
}

// leavers is the share of streams whose caller leaves in between, and maxResumes how often a
// caller resumes a stream.
const (
	leavers    = 0.3
	maxResumes = 3
)

// resume resumes a stream at other instances until it is whole.
func (c *caller) resume(a *attempt) {
	s := a.stream
	for range maxResumes {
		if s == nil || s.events == 0 || s.events >= standin.StreamEvents {
			return
		}
		time.Sleep(time.Duration(c.rand.Int64N(int64(thinking))))
		i := c.choose()
		if i == nil {
			return
		}
		before := s.events
		s.tries++
		c.keep(i, &attempt{id: c.newID(), route: a.route, instance: i.name, stream: s})
		s.goneOn += min(1, s.events-before)
	}
}

func (c *caller) newID() string { return fmt.Sprintf("%08x%08x", c.number, c.rand.Uint32()) }

// send sends one request and keeps what became of it.
func (c *caller) send(i *instance, route string, unknownKey bool) *attempt {
	return c.sendUntil(i, route, unknownKey, 0)
}

// sendUntil is send for a caller that leaves after an event of a stream; 0 for never.
func (c *caller) sendUntil(i *instance, route string, unknownKey bool, leaveAfter int) *attempt {
	a := &attempt{id: c.newID(), route: route, instance: i.name, unknownKey: unknownKey, leaveAfter: leaveAfter}
	if route == "resumable" {
		a.stream = &stream{firstTry: a.id, software: make(map[string]bool)}
		c.mu.Lock()
		c.streams = append(c.streams, a.stream)
		c.mu.Unlock()
	}
	return c.keep(i, a)
}

// keep sends a request and keeps what became of it.
func (c *caller) keep(i *instance, a *attempt) *attempt {
	generation, calm := i.disturbed()
	begun := time.Now()
	c.exchange(i, a)
	a.took = time.Since(begun)
	after, still := i.disturbed()
	a.calm = calm && still && generation == after
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

func (c *caller) exchange(i *instance, a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+patience)
	defer cancel()
	body := []byte(strings.Repeat(a.id, 1+c.rand.IntN(200)))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.address()+"/"+a.route+"/x", bytes.NewReader(body))
	if err != nil {
		a.err = err
		return
	}
	key := customerKey
	if a.unknownKey {
		key = "key-of-nobody"
	}
	r.Host = host
	r.Header.Set(wire.HeaderID, a.id)
	r.Header.Set(wire.HeaderKey, wire.KeyScheme+key)
	r.Header.Set(wire.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	streaming := a.route == "stream" || a.route == "resumable"
	if streaming {
		r.Header.Set(wire.HeaderTokens, "1400,48")
		parts := fmt.Sprintf("aa%d:900", c.rand.IntN(5))
		if a.poison {
			parts += "," + standin.CrashPart + ":200"
		}
		r.Header.Set(wire.HeaderParts, fmt.Sprintf("%s,%s:500", parts, a.id))
	}
	if s := a.stream; s != nil && s.events > 0 {
		r.Header.Set(wire.HeaderResume, strconv.Itoa(s.events))
		r.Header.Set(wire.HeaderResumes, s.firstTry)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer answer.Body.Close()
	a.status = answer.StatusCode
	if a.status != http.StatusOK {
		text, err := io.ReadAll(answer.Body)
		a.refusal, a.err = string(text), err
		return
	}
	if got := answer.Header.Get(wire.HeaderID); got != a.id {
		a.wrong = "the answer to " + got
	}
	if answer.Header.Get(wire.HeaderSeal) == "" {
		a.wrong = "no signature"
	}
	if streaming {
		a.readStream(answer.Body)
		return
	}
	text, err := io.ReadAll(answer.Body)
	a.err = err
	if want := standin.Body(a.id, body); err == nil && string(text) != want {
		a.wrong = fmt.Sprintf("the body %q in place of %q", text, want)
	}
}

// readStream checks that the events are this request's, in order, each once, and that no part
// of them is taken for the whole. A line that breaks off is no event.
func (a *attempt) readStream(body io.Reader) {
	reader := bufio.NewReader(body)
	n, software := 0, ""
	if a.stream != nil {
		n = a.stream.events
	}
	open := false // an event has begun
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.endStream(err, n, open || line != "")
			return
		}
		line = strings.TrimSuffix(line, "\n")
		open = line != ""
		if version, ok := strings.CutPrefix(line, standin.SoftwareField+": "); ok {
			software = version
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		n++
		if want := fmt.Sprintf("%s %d", a.id, n); data != want {
			a.wrong = fmt.Sprintf("the event %q in place of %q", data, want)
			return
		}
		if a.stream != nil {
			a.stream.events, a.stream.software[software] = n, true
		}
		if n == a.leaveAfter {
			a.err = errLeft
			return
		}
	}
}

// endStream judges the end of a stream, whose last event may be open.
func (a *attempt) endStream(err error, events int, open bool) {
	switch {
	case err != io.EOF:
		a.err = err
	case open:
		a.wrong = fmt.Sprintf("an end within an event, after %d", events)
	case events != standin.StreamEvents:
		a.wrong = fmt.Sprintf("an end after %d events", events)
	}
}
