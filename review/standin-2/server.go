package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a server of the platform. It writes a line for the begin and the end of each run to
// standard output, where the case reads them.
type server struct {
	id       string
	born     int64
	interval time.Duration // between two events
	events   int           // of a stream
	unmarked string        // path prefix of the requests whose answers have neither length nor chunks
	slots    chan struct{}

	mu sync.Mutex // guards standard output
}

func runServer(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	s := &server{}
	listen := flags.String("listen", "", "address")
	flags.StringVar(&s.id, "id", "", "id")
	flags.Int64Var(&s.born, "born", 0, "start in Unix milliseconds; 0 to leave it out")
	flags.DurationVar(&s.interval, "interval", 50*time.Millisecond, "time between two events")
	flags.IntVar(&s.events, "events", 12, "events of a stream")
	flags.StringVar(&s.unmarked, "unmarked", "", "path prefix of requests whose answers end with their connection")
	_ = flags.Parse(args) // it exits on an error
	s.slots = make(chan struct{}, slotsPerServer)
	listener, err := net.Listen("tcp4", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s.say("ready", "", "")
	_ = http.Serve(listener, s)
}

// slotsPerServer is the number of requests that a server runs at once.
const slotsPerServer = 16

// line is what a server says of a run.
type line struct {
	Server string `json:"server"`
	What   string `json:"what"` // ready, begin, end, cancelled
	ID     string `json:"id"`
	Note   string `json:"note,omitempty"`
}

func (s *server) say(what, id, note string) {
	data, _ := json.Marshal(line{s.id, what, id, note})
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = os.Stdout.Write(append(data, '\n'))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", s.id)
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		s.say("misdirected", id, "expected "+expected)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		return
	case r.URL.Path == "/basilrudder/report":
		s.report(w)
		return
	case id == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a request that was not read whole does not run
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, id, len(body))
}

func (s *server) report(w http.ResponseWriter) {
	answer := map[string]any{
		"phase": "mixed", "modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []string{}}}, "busy": false,
		"seqNo": 1, "queued": 0, "active": len(s.slots), "kvInUse": 0, "kvSize": 500000, "kvHandles": 0,
	}
	if s.born != 0 {
		answer["born"] = s.born
	}
	writeJSON(w, answer)
}

// lookupTime is how long a request that is not a prompt runs, and lookupBytes the size of its answer.
const (
	lookupTime  = 20 * time.Millisecond
	lookupBytes = 800
)

// run answers a prompt with a stream of events, and any other request with a body.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string, bodyBytes int) {
	s.say("begin", id, r.URL.RequestURI()+" "+r.Header.Get("Tenant")+" "+strconv.Itoa(bodyBytes))
	h := w.Header()
	h.Set("Server-Seal", "sealed-by-"+s.id)
	if s.unmarked != "" && strings.HasPrefix(r.URL.Path, s.unmarked) {
		// The value by which net/http sends a body without length and chunks.
		h.Set("Transfer-Encoding", "identity")
	}
	if r.Header.Get("Token-Usage") == "" {
		time.Sleep(lookupTime)
		if _, err := io.WriteString(w, strings.Repeat("a", lookupBytes)); err == nil {
			s.say("end", id, "")
		}
		return
	}
	h.Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := 1; n <= s.events; n++ {
		select {
		case <-time.After(s.interval):
		case <-r.Context().Done():
			s.say("cancelled", id, strconv.Itoa(n-1))
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || out.Flush() != nil {
			s.say("cancelled", id, strconv.Itoa(n))
			return
		}
	}
	s.say("end", id, strconv.Itoa(s.events))
}
