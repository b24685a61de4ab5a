package main

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/platform/wire"
)

var (
	matrixSeed   = flag.Uint64("matrix.seed", 1, "Decides when the processes of the matrix end.")
	matrixRounds = flag.Int("matrix.rounds", 2, "Number of processes of each instance of the matrix.")
)

const (
	// An answer has matrixPieces pieces, one each matrixInterval. A plain one has matrixBytes,
	// which is more than an instance buffers.
	matrixPieces   = 30
	matrixInterval = 25 * time.Millisecond
	matrixBytes    = 480 << 10
	// Callers begin within beginSpread, and the process ends at most endSpread later.
	beginSpread = 250 * time.Millisecond
	endSpread   = 1100 * time.Millisecond
	// matrixPatience bounds all that callers wait for.
	matrixPatience = 6 * time.Second
	matrixServers  = 16
	slowBuffer     = 64 << 10
	crowd          = 120
)

// processEnd is a way in which the process of an instance ends.
type processEnd struct {
	name        string
	signals     []syscall.Signal // one after the other
	stays       bool             // it does not end: all answers are whole
	grace       time.Duration
	descriptors int
}

var processEnds = []processEnd{
	{name: "killed", signals: []syscall.Signal{syscall.SIGKILL}},
	{name: "told and killed", signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}},
	{name: "told, short grace", signals: []syscall.Signal{syscall.SIGTERM}, grace: 800 * time.Millisecond},
	{name: "aborted", signals: []syscall.Signal{syscall.SIGABRT}},
	{name: "quit", signals: []syscall.Signal{syscall.SIGQUIT}},
	{name: "hung up", signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP}, stays: true},
	{name: "descriptors short", stays: true, descriptors: 200},
}

// matrixAnswer is what a caller got of an answer.
type matrixAnswer struct {
	id, route, framing, caller string
	status                     int
	got, want                  string
	err                        error
}

func (a *matrixAnswer) String() string {
	return fmt.Sprintf("%s, %s to %s: status %d, %d of %d bytes, %v", a.route, a.framing, a.caller, a.status, len(a.got), len(a.want), a.err)
}

func matrixPiece(route, id string, n int) string {
	piece := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
	if route == "stream" {
		return piece
	}
	return strings.Repeat(piece, matrixBytes/matrixPieces/len(piece))
}

// serveMatrix answers requests whose paths are a route and a framing.
func serveMatrix(w http.ResponseWriter, r *http.Request) {
	route, framing, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
	id, length := r.Header.Get(wire.HeaderID), 0
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderSeal, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range matrixPieces {
		length += len(matrixPiece(route, id, n))
	}
	switch framing {
	case "close":
		w.Header().Set("Transfer-Encoding", "identity")
	case "length":
		w.Header().Set("Content-Length", fmt.Sprint(length))
	}
	for n := range matrixPieces {
		_, _ = io.WriteString(w, matrixPiece(route, id, n)) // fails only if the instance is gone
		_ = http.NewResponseController(w).Flush()
		time.Sleep(matrixInterval)
	}
}

// ask sends a request and, if the caller goes on, a second one while the first is answered.
func (a *matrixAnswer) ask(address string) error {
	conn, err := net.DialTimeout("tcp", address, matrixPatience)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(matrixPatience))
	if a.caller == "slow" {
		_ = conn.(*net.TCPConn).SetReadBuffer(slowBuffer)
	}
	protocol, headers := "HTTP/1.1", ""
	if strings.HasPrefix(a.caller, "HTTP/1.0") {
		protocol = "HTTP/1.0"
	}
	if a.caller == "HTTP/1.0, kept" {
		headers = "Connection: keep-alive\r\n"
	}
	request := fmt.Sprintf("POST /%s/%s %s\r\nHost: %s\r\n%s%s: %s\r\n%s: %s%s\r\n%s: 1400,48\r\nContent-Length: 1\r\n\r\nx",
		a.route, a.framing, protocol, host, headers, wire.HeaderID, a.id, wire.HeaderKey, wire.KeyScheme, customerKey, wire.HeaderTokens)
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	a.status = answer.StatusCode
	if a.caller == "going on" {
		// A reset is told to one call only, which may be this one.
		if _, err := io.WriteString(conn, request); err != nil {
			return err
		}
	}
	var got strings.Builder
	defer func() { a.got = got.String() }()
	for err == nil {
		if a.caller == "slow" {
			time.Sleep(2 * slowPause)
		}
		_, err = io.CopyN(&got, answer.Body, int64(max(1, len(a.want)/100)))
	}
	if err != io.EOF {
		return err
	}
	return nil
}

// play has callers of all kinds ask an instance, whose process then ends.
func (w *processEnd) play(i *instance, round int, r *rand.Rand) (all []*matrixAnswer) {
	var asking sync.WaitGroup
	for _, route := range []string{"unsafe", "stream"} {
		for _, framing := range []string{"close", "chunks", "length"} {
			for _, caller := range []string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.0, kept", "slow", "going on"} {
				a := &matrixAnswer{id: fmt.Sprintf("%s-%d-%d", i.name, round, len(all)), route: route, framing: framing, caller: caller}
				for n := range matrixPieces {
					a.want += matrixPiece(route, a.id, n)
				}
				all = append(all, a)
				begin := time.Duration(r.Int64N(int64(beginSpread)))
				asking.Go(func() {
					time.Sleep(begin)
					a.err = a.ask(i.address["callers"])
				})
			}
		}
	}
	time.Sleep(beginSpread + time.Duration(r.Int64N(int64(endSpread))))
	for _, s := range w.signals {
		i.signal(s)
		time.Sleep(time.Duration(r.Int64N(int64(toldMost))))
	}
	for range crowd * min(1, w.descriptors) {
		if conn, err := net.Dial("tcp", i.address["callers"]); err == nil {
			defer conn.Close()
		}
	}
	asking.Wait()
	return all
}

var endInOrder = regexp.MustCompile(`"msg":"request_ended".*"id":"([^"]*)".*"caller_end":"closed"`)

// playAll plays the rounds of one way, and judges and counts what callers got.
func (w *processEnd) playAll(t *testing.T, f *fleet, i *instance, r *rand.Rand) (map[string]int, error) {
	i.descriptors, i.grace = w.descriptors, cmp.Or(w.grace, i.grace)
	if err := f.writeSettings(i, "info"); err != nil {
		return nil, err
	}
	var all []*matrixAnswer
	for round := range *matrixRounds {
		if i.process == nil || !w.stays {
			if err := f.start(i); err != nil {
				return nil, err
			}
		}
		for end := time.Now().Add(startMost); !i.ready(); time.Sleep(pollEach) {
			if time.Now().After(end) {
				return nil, errors.Errorf("not ready after %v", startMost)
			}
		}
		all = append(all, w.play(i, round, r)...)
		if !w.stays && !i.process.ended(matrixPatience) {
			return nil, errors.New("the process does not end")
		}
	}
	text, err := os.ReadFile(i.log.Name())
	inOrder, counts := make(map[string]bool), make(map[string]int)
	for _, match := range endInOrder.FindAllSubmatch(text, -1) {
		inOrder[string(match[1])] = true
	}
	for _, a := range all {
		switch {
		case a.status != http.StatusOK:
			counts[fmt.Sprint(a.status)]++
		case a.err == nil && a.got == a.want:
			counts["whole"]++
		case a.err == nil:
			t.Errorf("%s: a part looks whole: %v", w.name, a)
		case w.stays || inOrder[a.id]:
			t.Errorf("%s: a whole answer looks broken: %v", w.name, a)
		default:
			counts["broken"]++
		}
	}
	t.Log(w.name, counts)
	return counts, err
}

// Guards against parts that look whole, and whole answers that look broken, where an instance's process ends.
func TestNoEndOfAProcessLooksLikeTheEndOfAnAnswer(t *testing.T) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(binary, t.TempDir(), len(processEnds), 0, noEnds, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	for n := range matrixServers {
		server := httptest.NewServer(http.HandlerFunc(serveMatrix))
		defer server.Close()
		u := &upstream{service: []string{plain, model}[n%2], software: "v1", proxy: &proxy{ln: server.Listener}}
		if err := f.store.PutServer(fmt.Sprint("s", n), u.entry(wire.StateReady)); err != nil {
			t.Fatal(err)
		}
	}
	var playing sync.WaitGroup
	total := make([]map[string]int, len(processEnds))
	for n, w := range processEnds {
		playing.Go(func() {
			counts, err := w.playAll(t, f, f.instances[n], rand.New(rand.NewPCG(*matrixSeed, uint64(n))))
			if total[n] = counts; err != nil {
				t.Error(w.name, err)
			}
		})
	}
	playing.Wait()
	whole, broken := 0, 0
	for n, counts := range total {
		if whole, broken = whole+counts["whole"], broken+counts["broken"]; counts["whole"]+counts["broken"] == 0 {
			t.Errorf("%s: nothing was played", processEnds[n].name)
		}
	}
	if whole == 0 || broken == 0 {
		t.Errorf("%d answers whole, %d broken", whole, broken)
	}
}
