package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Data     string `json:"data,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a metadata store that keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes a value as JSON. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	created := s.items[key].Created
	if created == 0 {
		created = s.revision + 1
	}
	s.items[key] = s.append(item{Key: key, Data: base64.StdEncoding.EncodeToString(data), Created: created})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.append(item{Key: key, Deleted: true})
	}
}

// append adds a change to the history; mu is held.
func (s *store) append(it item) item {
	s.revision++
	it.Revision = s.revision
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return it
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/basilrudder/kv-key":
		s.serveKey(w, r)
	case "/basilrudder/kv-range":
		s.serveRange(w, r)
	case "/basilrudder/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		At int64 `json:"at"`
	}{it, at})
}

// maxPage is the number of items in a page.
const maxPage = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	answer := struct {
		Entries   []item `json:"entries"`
		Truncated bool   `json:"truncated"`
		At        int64  `json:"at"`
	}{Entries: []item{}}
	s.mu.Lock()
	answer.At = s.revision
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			answer.Entries = append(answer.Entries, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Entries, func(a, b int) bool { return answer.Entries[a].Key < answer.Entries[b].Key })
	if len(answer.Entries) > maxPage {
		answer.Entries, answer.Truncated = answer.Entries[:maxPage], true
	}
	writeJSON(w, answer)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs")) // 0 if missing
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := s.since(after, r.URL.Query().Get("prefix"))
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				ended = true
			}
		}
		if ended || len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) since(after int64, prefix string) (events []item, at int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}
