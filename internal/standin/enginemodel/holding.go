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

// WeightStore models a store from which engines load models: it serves a few
// loads at once and the others wait. It is safe for concurrent use.
type WeightStore struct {
	mu       sync.Mutex
	loadTime time.Duration
	freeAt   []monotime.Instant // when each becomes free
	pending  []monotime.Instant // ends of the loads under way
	peak     int
	loads    int
}

// NewWeightStore returns a store that serves atOnce loads of loadTime each.
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

// Peak returns the most loads that were under way at once.
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

// Holding models which models and which role an engine holds, and how it takes
// orders.
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

// NewHolding returns an engine's holding at its start. A nil store loads at
// once.
func NewHolding(checksFencing bool, store *WeightStore, models []string, role string) *Holding {
	return &Holding{
		checksFencing: checksFencing,
		store:         store,
		models:        slices.Clone(models),
		desired:       slices.Clone(models),
		role:          role,
	}
}

// Order takes an order or, on an engine that checks fencing, refuses an old
// one.
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

// finishLoads ends loads. What is no longer wanted goes once nothing loads, so that
// the old version serves until the new one can.
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

// Report returns what the engine holds.
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

// Holds reports whether a model, with or without its version, can be served.
func (h *Holding) Holds(now monotime.Instant, model string) bool {
	h.finishLoads(now)
	return slices.ContainsFunc(h.models, func(held string) bool {
		name, _, _ := strings.Cut(held, "@")
		return held == model || name == model
	})
}

// Withdrawn reports whether new work is refused.
func (h *Holding) Withdrawn() bool {
	return h.role == enginehttp.RoleWithdrawn
}

// Restart is the loss of everything that was loaded, and of the fencing number.
func (h *Holding) Restart() {
	h.fence = 0
	h.models = nil
	h.desired = nil
	h.loading = nil
}
