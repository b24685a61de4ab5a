package enginemodel

import (
	"slices"
	"strings"
	"sync"
	"time"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
)

// WeightStore simulates a store from which engines load models. It serves a limited
// number of loads concurrently; further loads wait. It is safe for concurrent use.
type WeightStore struct {
	mu       sync.Mutex
	loadTime time.Duration
	freeAt   []monotime.Instant // when each load slot becomes free
	pending  []monotime.Instant // ends of the loads in progress or waiting
	peak     int
	loads    int
}

// NewWeightStore returns a store that serves up to concurrency loads at a time, each
// taking loadTime.
func NewWeightStore(concurrency int, loadTime time.Duration) *WeightStore {
	return &WeightStore{loadTime: loadTime, freeAt: make([]monotime.Instant, max(concurrency, 1))}
}

// Begin starts a load and returns when it ends.
func (s *WeightStore) Begin(now monotime.Instant) monotime.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	earliest := 0
	for i, free := range s.freeAt {
		if free < s.freeAt[earliest] {
			earliest = i
		}
	}
	end := max(now, s.freeAt[earliest]).Add(s.loadTime)
	s.freeAt[earliest] = end
	s.pending = slices.DeleteFunc(s.pending, func(at monotime.Instant) bool { return at <= now })
	s.pending = append(s.pending, end)
	s.peak = max(s.peak, len(s.pending))
	s.loads++
	return end
}

// Peak returns the maximum number of loads that were in progress or waiting at once.
func (s *WeightStore) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Loads returns the number of loads started.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Holding simulates the models and the role of an engine, and how orders change them.
type Holding struct {
	checksFencing bool
	store         *WeightStore
	fence         int
	models        []string
	desired       []string
	loading       []load
	role          string
}

type load struct {
	model string
	ends  monotime.Instant
}

// NewHolding returns the state of an engine at its start. With a nil store, loads end
// immediately.
func NewHolding(checksFencing bool, store *WeightStore, models []string, role string) *Holding {
	return &Holding{
		checksFencing: checksFencing,
		store:         store,
		models:        slices.Clone(models),
		desired:       slices.Clone(models),
		role:          role,
	}
}

// Order applies an order. An engine that checks fencing rejects an order with a fencing
// number below the highest applied one.
func (h *Holding) Order(now monotime.Instant, order engineapi.Order) engineapi.OrderAnswer {
	h.finishLoads(now)
	if h.checksFencing {
		if order.Fence < h.fence {
			return h.report(false)
		}
		h.fence = order.Fence
	}
	h.role = order.Role
	h.desired = slices.Clone(order.Models)
	h.loading = slices.DeleteFunc(h.loading, func(l load) bool { return !slices.Contains(h.desired, l.model) })
	for _, model := range h.desired {
		if !slices.Contains(h.models, model) && !h.isLoading(model) {
			h.loading = append(h.loading, load{model: model, ends: h.loadEnd(now)})
		}
	}
	h.finishLoads(now)
	return h.report(true)
}

func (h *Holding) loadEnd(now monotime.Instant) monotime.Instant {
	if h.store == nil {
		return now
	}
	return h.store.Begin(now)
}

func (h *Holding) isLoading(model string) bool {
	return slices.ContainsFunc(h.loading, func(l load) bool { return l.model == model })
}

// finishLoads adds the models whose loads have ended. Models that are no longer desired
// are removed only when no load is in progress: the old version serves until the new
// one is ready.
func (h *Holding) finishLoads(now monotime.Instant) {
	h.loading = slices.DeleteFunc(h.loading, func(l load) bool {
		done := l.ends <= now
		if done {
			h.models = append(h.models, l.model)
		}
		return done
	})
	if len(h.loading) == 0 {
		h.models = slices.DeleteFunc(h.models, func(m string) bool { return !slices.Contains(h.desired, m) })
	}
}

// Report returns the loaded and loading models, the role and the fencing number.
func (h *Holding) Report(now monotime.Instant) engineapi.OrderAnswer {
	h.finishLoads(now)
	return h.report(true)
}

func (h *Holding) report(accepted bool) engineapi.OrderAnswer {
	answer := engineapi.OrderAnswer{
		Accepted: accepted,
		Fence:    h.fence,
		Models:   append([]string{}, h.models...),
		Role:     h.role,
	}
	for _, l := range h.loading {
		answer.Loading = append(answer.Loading, l.model)
	}
	slices.Sort(answer.Models)
	slices.Sort(answer.Loading)
	return answer
}

// Holds reports whether a model, named with or without its version, is loaded.
func (h *Holding) Holds(now monotime.Instant, model string) bool {
	h.finishLoads(now)
	return slices.ContainsFunc(h.models, func(held string) bool {
		name, _, _ := strings.Cut(held, "@")
		return held == model || name == model
	})
}

// Withdrawn reports whether the engine refuses new work because of its role.
func (h *Holding) Withdrawn() bool {
	return h.role == enginehttp.RoleWithdrawn
}

// Restart drops all models, all loads in progress and the fencing number.
func (h *Holding) Restart() {
	h.fence = 0
	h.models = nil
	h.desired = nil
	h.loading = nil
}
