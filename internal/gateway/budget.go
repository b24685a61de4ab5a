package gateway

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// retryBudget bounds how many requests are sent to a further server. The bound holds for
// the whole fleet in any window. No shared counter may be kept, so each instance keeps to
// its part: the ratio of the requests that it received itself, and an equal part of the
// burst.
type retryBudget struct {
	ratio  float64
	burst  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*budgetUsage
}

const (
	// budgetSlices is the number of slices in which a window is counted. With fewer, the
	// counts expire in larger steps.
	budgetSlices = 10
	// budgetSafetyFactor is the part of the budget that is used. The rest covers the
	// delay with which instances learn how many they are: until then, their parts of the
	// burst add up to more than the burst.
	budgetSafetyFactor = 0.8
)

// budgetUsage counts the requests and further sends of one service by slice of the
// window.
type budgetUsage struct {
	slice    int64
	requests [budgetSlices]int
	sends    [budgetSlices]int
}

func newRetryBudget(ratio, burst float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, window: window, services: make(map[string]*budgetUsage)}
}

// count counts a request for a service.
func (b *retryBudget) count(service string, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usageAt(service, now)
	s.requests[s.slice%budgetSlices]++
}

// spend counts one further send for a service and reports true if the budget allows it.
func (b *retryBudget) spend(service string, now monotime.Instant, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usageAt(service, now)
	requests, sends := 0, 0
	for i := range budgetSlices {
		requests += s.requests[i]
		sends += s.sends[i]
	}
	limit := budgetSafetyFactor * (b.ratio*float64(requests) + b.burst/float64(max(1, members)))
	if float64(sends+1) > limit {
		return false
	}
	s.sends[s.slice%budgetSlices]++
	return true
}

// usageAt returns the counts of a service at an instant, with expired slices cleared.
func (b *retryBudget) usageAt(service string, now monotime.Instant) *budgetUsage {
	s := b.services[service]
	slice := int64(now) / int64(b.window/budgetSlices)
	if s == nil {
		s = &budgetUsage{slice: slice}
		b.services[service] = s
	}
	for ; s.slice < slice; s.slice++ {
		if slice-s.slice > budgetSlices {
			*s = budgetUsage{slice: slice}
			break
		}
		next := (s.slice + 1) % budgetSlices
		s.requests[next], s.sends[next] = 0, 0
	}
	return s
}
