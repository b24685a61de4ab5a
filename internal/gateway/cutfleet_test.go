package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/standin/narrownet"
)

const (
	// fleetStart is how long the instances of a large fleet take to find each other.
	fleetStart = 10 * time.Second
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

// Guards against instances with few requests that find a cut, or peers that help, too late.
func TestInstancesCutOffInFleetsOfAnySize(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				passProcessStart()
				ctx, cancel := context.WithCancel(t.Context())
				var tasks errgroup.Group
				c := emptyCutCluster(t, ctx, &tasks)
				for n := range cutServers {
					c.startServer(n, c.serve)
				}
				c.startInstances(0, size)
				time.Sleep(fleetStart)
				c.loadRarely(cutLasts + 2*time.Second)
				time.Sleep(2 * time.Second)
				var cut []int
				for n := range size {
					if n%5 < 3 {
						cut = append(cut, n)
					}
				}
				during(narrownet.Silent, cut...)(c)
				got := c.counted()
				t.Logf("cut off: %d of %d served, others: %d of %d; failed: %v", got.cutServed, got.cut, got.othersServed, got.others, got.failures)
				if got.cut == 0 || !got.fair() {
					t.Errorf("instances cut off served %d of %d first tries, the others %d of %d", got.cutServed, got.cut, got.othersServed, got.others)
				}
				c.stop(cancel)
			})
		})
	}
}
