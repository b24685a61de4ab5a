package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"basilrudder/internal/standin/narrownet"
)

const (
	// largeFleetStart is how long the instances of a large fleet take to find each other.
	largeFleetStart = 10 * time.Second
	// rareInterval is the time between two requests to one instance of a large fleet.
	rareInterval = time.Second
)

// loadRarely sends requests to all instances for a while, to each at its own moments.
func (c *cutCluster) loadRarely(lasts time.Duration) {
	paths := []string{"/once/", "/again/", "/stream/"}
	for i := range c.fleet {
		c.tasks.Go(func() error {
			time.Sleep(rand.N(rareInterval))
			begun := time.Now()
			var all sync.WaitGroup
			for n := 0; time.Since(begun) < lasts && c.ctx.Err() == nil; n++ {
				all.Go(func() { c.try(i, paths[(n+i)%len(paths)]) })
				time.Sleep(rareInterval)
			}
			all.Wait()
			return nil
		})
	}
}

// threeFifths returns three of each five instances.
func threeFifths(size int) (out []int) {
	for n := range size {
		if n%5 < 3 {
			out = append(out, n)
		}
	}
	return out
}

// Guards against instances with few requests that find a cut, or peers that help, too late.
func TestInstancesCutOffInFleetsOfAnySize(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playFleetCuts(t, size, largeFleetStart, func(c *cutCluster) {
				c.loadRarely(cutLasts + 2*time.Second)
				time.Sleep(2 * time.Second)
				during(narrownet.Silent, threeFifths(size)...)(c)
				got := c.counted()
				t.Logf("cut off: %d of %d served, others: %d of %d; failed: %v", got.cutServed, got.cut, got.othersServed, got.others, got.failures)
				if got.cut == 0 || !got.fair() {
					t.Errorf("instances cut off served %d of %d first tries, the others %d of %d", got.cutServed, got.cut, got.othersServed, got.others)
				}
			})
		})
	}
}
