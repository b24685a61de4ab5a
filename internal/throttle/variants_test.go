package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// variant is an alternative way for instances to share a cold server. It decides when an
// instance may send, from the requests that it sent and those reported to it.
type variant interface {
	take(instances int, rate float64, now monotime.Instant) bool
	record(now monotime.Instant)
}

// bucketVariant gives every instance an equal part of the rate, and one request at the
// start.
type bucketVariant struct {
	at     monotime.Instant
	tokens float64
}

func (b *bucketVariant) record(monotime.Instant) {}

func (b *bucketVariant) take(instances int, rate float64, now monotime.Instant) bool {
	if b.at == 0 {
		b.tokens = 1
	} else {
		b.tokens = min(1, b.tokens+now.Sub(b.at).Seconds()*rate/float64(instances))
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// countingVariant sends while fewer requests than the rate are recorded in the last
// second.
type countingVariant struct{ server }

func (c *countingVariant) take(_ int, rate float64, now monotime.Instant) bool {
	c.dropOld(now)
	if float64(len(c.recent)) >= rate {
		return false
	}
	c.server.record(now)
	return true
}

// simulateVariant returns the maximum number of requests in a span, and the mean per
// second, over ten seconds in which all instances together have 400 requests a second for
// one server.
func simulateVariant(newVariant func() variant, instances int, rate float64, delay, span time.Duration) (most int, mean float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	variants := newVariants(instances, newVariant)
	var pending []update
	s := &simulation{}
	for now := start; now < start.Add(10*time.Second); now = now.Add(time.Millisecond) {
		for len(pending) > 0 && pending[0].at <= now {
			for i, w := range variants {
				if fmt.Sprint(i) != pending[0].from {
					w.record(now)
				}
			}
			pending = pending[1:]
		}
		for i, w := range variants {
			if rng.Float64() < 0.4/float64(instances) && w.take(instances, rate, now) {
				s.arrivals = append(s.arrivals, now)
				pending = append(pending, update{now.Add(delay), fmt.Sprint(i)})
			}
		}
	}
	return s.maxIn(span), float64(len(s.arrivals)) / 10
}

func newVariants(n int, newVariant func() variant) []variant {
	var out []variant
	for range n {
		out = append(out, newVariant())
	}
	return out
}

// Compares ownership with two alternatives that overload a cold server: equal parts send
// one request of each of 60 instances in the first second, and counting sends all that
// come within the delay of updates.
func TestOtherVariantsOverrunAColdServer(t *testing.T) {
	for _, instances := range []int{9, 60, 300} {
		for _, delay := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
			bucketMost, bucketMean := simulateVariant(func() variant { return &bucketVariant{} }, instances, 5.9, delay, time.Second)
			countedMost, countedMean := simulateVariant(func() variant { return &countingVariant{} }, instances, 5.9, delay, time.Second)
			s := newSimulation(1, instances, delay)
			s.run(start.Add(startupDelay), 10*time.Second, 400/float64(instances), coldLimit)
			t.Logf("%3d instances, updates after %v: equal parts %d (%.1f), counted %d (%.1f), owners %d (%.1f)",
				instances, delay, bucketMost, bucketMean, countedMost, countedMean, s.maxPerSecond(), float64(len(s.arrivals))/10)
			if delay >= 200*time.Millisecond && instances >= 60 {
				if float64(bucketMost) <= allowed(coldLimit) || float64(countedMost) <= allowed(coldLimit) {
					t.Error("another variant keeps to the limit too: compare them again")
				}
			}
			if float64(s.maxPerSecond()) > allowed(coldLimit) {
				t.Errorf("owners: %d in a second", s.maxPerSecond())
			}
		}
	}
}

// Compares the same alternatives for a server with a limit of 1.7 requests a second,
// measured over four seconds. Equal parts send one request of each instance at once, and
// counting sends what comes within the delay of updates. Owners keep to the limit.
func TestOtherVariantsOverrunALimitedServer(t *testing.T) {
	const rate, span = 1.7, 4 * time.Second
	allowed := 1.5*rate*span.Seconds() + 5
	for _, instances := range []int{9, 60, 300} {
		for _, delay := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
			bucketMost, bucketMean := simulateVariant(func() variant { return &bucketVariant{} }, instances, rate, delay, span)
			countedMost, countedMean := simulateVariant(func() variant { return &countingVariant{} }, instances, rate, delay, span)
			s := newSimulation(1, instances, delay)
			for _, l := range s.limiters {
				l.SetCold("srv", 0)
				l.SetRateLimit("srv", rate)
			}
			s.run(start.Add(startupDelay), 10*time.Second, 400/float64(instances), ColdLimit{})
			t.Logf("%3d instances, updates after %v: equal parts %d (%.1f), counted %d (%.1f), owners %d (%.1f)",
				instances, delay, bucketMost, bucketMean, countedMost, countedMean, s.maxIn(span), float64(len(s.arrivals))/10)
			if delay >= 200*time.Millisecond && instances >= 60 {
				if float64(bucketMost) <= allowed || float64(countedMost) <= allowed {
					t.Error("another variant keeps to the limit too: compare them again")
				}
			}
			if float64(s.maxIn(span)) > allowed {
				t.Errorf("owners: %d in %v", s.maxIn(span), span)
			}
		}
	}
}
