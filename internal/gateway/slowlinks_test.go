package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/monotime"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
	"basilrudder/internal/standin/narrownet"
	"basilrudder/internal/timer"
)

const megabit = 1e6 / 8 // bytes

// manyRoutes returns a configuration in which each version differs from the one before by
// the timeout of one route.
func manyRoutes(version int64, routes int) *routing.Config {
	out := &routing.Config{
		Version: version, Services: []routing.Service{{Name: "svc"}}, KeysRequired: true,
		Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second},
	}
	for n := range routes {
		out.Routes = append(out.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07d", 7919*n), Host: "some13.example", Prefix: fmt.Sprintf("/path%d/%x/", n%10, 104729*n),
			Timeout: 2 * time.Second, Goal: 300 * time.Millisecond, Attempts: 2, Priority: n % 3,
			Shares: []routing.Share{{Service: "svc", Weight: 1}},
		})
	}
	if routes > 0 {
		out.Routes[int(version)%routes].Timeout += time.Duration(version) * time.Millisecond
	}
	return out
}

// startSlowLinks starts instances of which the first few have fast links and all others
// slow ones.
func startSlowLinks(t *testing.T, ctx context.Context, tasks *errgroup.Group, fast, slow int) ([]*linkedInstance, []*narrownet.Host) {
	t.Helper()
	passProcessStart()
	network := narrownet.New()
	var hosts []*narrownet.Host
	fleet := startLinkedOver(t, ctx, tasks, fast+slow, func(n int) linkedHost {
		rate, capacity := 10*megabit, 192
		if n < fast {
			rate, capacity = 200*megabit, 800
		}
		host := network.Host(fmt.Sprint(n), rate)
		hosts = append(hosts, host)
		return linkedHost{listen: host.Listen, dial: host.Dial, capacity: capacity}
	})
	return fleet, hosts
}

func silentCloses(fleet []*linkedInstance) (sum uint64) {
	for _, i := range fleet {
		sum += i.peers.links.Counters().Snapshot().ClosedSilent
	}
	return sum
}

// Guards against working links that are closed as unresponsive, and against versions and
// leaving servers that reach instances late, while large configurations are sent.
func TestLargeConfigurationsReachInstancesWithSlowLinks(t *testing.T) {
	const (
		fast, slow = 4, 20
		routes     = 2800
		versions   = 8
		every      = 500 * time.Millisecond
		inForce    = 2 * time.Second
		leftAlone  = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		fleet, _ := startSlowLinks(t, ctx, &tasks, fast, slow)
		time.Sleep(5 * time.Second)
		for n := range versions {
			version := int64(n + 1)
			server := fmt.Sprint("s", n)
			fleet[0].fleet.installAndPublish(manyRoutes(version, routes), fromStore)
			fleet[1].fleet.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
				r.Put(entry(server, servers.Revision(2*n+1)), now)
				return []string{server}
			})
			time.Sleep(every)
			fleet[1].fleet.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
				s := entry(server, servers.Revision(2*n+2))
				s.Draining = true
				r.Put(s, now)
				return []string{server}
			})
			since := time.Now()
			tasks.Go(func() error {
				timer.Sleep(inForce-every, ctx.Done())
				late := 0
				for _, i := range fleet {
					if i.peers.configVersion() < int(version) {
						late++
					}
				}
				if late > 0 {
					t.Errorf("version %d: not in force at %d of %d instances after %v", version, late, fast+slow, inForce)
				}
				timer.Sleep(leftAlone-time.Since(since), ctx.Done())
				late = 0
				for _, i := range fleet {
					for _, s := range i.fleet.acceptingServers() {
						if s.ID == server {
							late++
						}
					}
				}
				if late > 0 {
					t.Errorf("server %s: still gets requests from %d instances %v after it announced that it leaves", server, late, leftAlone)
				}
				return nil
			})
		}
		time.Sleep(inForce + leftAlone)
		if n := silentCloses(fleet); n > 0 {
			t.Errorf("%d links closed as unresponsive", n)
		}
		stopLinked(t, cancel, &tasks)
	})
}

// Guards against a whole configuration being sent for the change of one route.
func TestChangeOfOneRouteSendsOnlyChangedParts(t *testing.T) {
	const routes = 1400
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		fleet, hosts := startSlowLinks(t, ctx, &tasks, 2, 1)
		fleet[0].fleet.installAndPublish(manyRoutes(1, routes), fromStore)
		time.Sleep(5 * time.Second)
		received := func(version int64) int64 {
			before := hosts[2].Received()
			if version > 0 {
				fleet[0].fleet.installAndPublish(manyRoutes(version, routes), fromStore)
			}
			time.Sleep(2 * time.Second)
			return hosts[2].Received() - before
		}
		idle := received(0)
		change := received(2) - idle
		if got := fleet[2].peers.configVersion(); got != 2 {
			t.Fatalf("version %d in force", got)
		}
		const whole, maxBytes = 350_000, 35_000
		if change > maxBytes {
			t.Errorf("%d bytes for one route of a configuration of some %d, at most %d wanted", change, whole, maxBytes)
		}
		stopLinked(t, cancel, &tasks)
	})
}

// Guards against versions that reach a large fleet, or one with many routes, too late.
func TestVersionsAreInForceSoonAtAnySize(t *testing.T) {
	const limit = 2 * time.Second
	for _, size := range fleetSizes() {
		for _, routes := range []int{100, 1500, 5000} {
			t.Run(fmt.Sprintf("%d instances, %d routes", size, routes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var tasks errgroup.Group
					fast := max(2, size/10)
					fleet, hosts := startSlowLinks(t, ctx, &tasks, fast, size-fast)
					time.Sleep(5 * time.Second)
					for version, n := range []int{routes, routes, routes, routes + routes/2} {
						spread := measureRollout(fleet, hosts, manyRoutes(int64(version+1), n), limit)
						t.Logf("version %d: last after %v, 99 in 100 after %v, %d KB at the busiest", version+1, spread.last, spread.p99, spread.busiest>>10)
						if spread.missing > 0 {
							t.Errorf("version %d: not in force at %d instances after %v", version+1, spread.missing, limit)
						}
					}
					stopLinked(t, cancel, &tasks)
				})
			})
		}
	}
}

// rollout is how a version reached all instances.
type rollout struct {
	last, p99 time.Duration
	missing   int
	busiest   int64 // bytes sent and received by the busiest host
}

// measureRollout installs a version at the first instance and follows it until all
// instances have it or the timeout is over.
func measureRollout(fleet []*linkedInstance, hosts []*narrownet.Host, config *routing.Config, timeout time.Duration) (out rollout) {
	const interval = 5 * time.Millisecond
	before := make([]int64, len(hosts))
	for i, h := range hosts {
		before[i] = h.Sent() + h.Received()
	}
	begun := time.Now()
	fleet[0].fleet.installAndPublish(config, fromStore)
	var after []time.Duration
	pending := fleet
	for len(pending) > 0 && time.Since(begun) < timeout {
		time.Sleep(interval)
		var left []*linkedInstance
		for _, i := range pending {
			if i.fleet.configVersion() < config.Version {
				left = append(left, i)
				continue
			}
			after = append(after, time.Since(begun))
		}
		pending = left
	}
	out.missing = len(pending)
	if len(after) > 0 {
		out.last, out.p99 = after[len(after)-1], after[(len(after)-1)*99/100]
	}
	for i, h := range hosts {
		out.busiest = max(out.busiest, h.Sent()+h.Received()-before[i])
	}
	return out
}
