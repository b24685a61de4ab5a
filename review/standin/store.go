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
	Created  int64  `json:"created"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. Its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	address  string
}

func startStore(address string) (*store, error) {
	s := &store{items: make(map[string]item), changed: make(chan struct{})}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	go http.Serve(ln, s)
	return s, nil
}

// put writes an item. The return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it := item{Key: key, Data: base64.StdEncoding.EncodeToString(data)}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.add(&it)
	s.items[key] = it
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.add(&item{Key: key, Deleted: true})
}

// add gives an item the next revision and wakes the watches; mu is held.
func (s *store) add(it *item) {
	s.revision++
	it.Revision = s.revision
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.history = append(s.history, *it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the time of an answer on the sheets
	q := r.URL.Query()
	switch r.URL.Path {
	case "/basilrudder/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, struct {
			item
			At int64 `json:"at"`
		}{it, at})
	case "/basilrudder/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/basilrudder/kv-watch":
		s.watch(w, r, q.Get("prefix"), q.Get("after"), q.Get("waitMs"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	entries, at := []item{}, s.revision
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	truncated := len(entries) > pageSize
	if truncated {
		entries = entries[:pageSize]
	}
	answer(w, map[string]any{"entries": entries, "truncated": truncated, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix, afterText, waitText string) {
	after, err := strconv.ParseInt(afterText, 10, 64)
	wait, waitErr := strconv.Atoi(waitText)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
