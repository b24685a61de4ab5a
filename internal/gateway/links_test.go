package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/standin/narrownet"
	"basilrudder/internal/throttle"
	"basilrudder/internal/timer"
	"basilrudder/internal/tunnel"
)

// linkedInstance is the part of an instance that is linked to others.
type linkedInstance struct {
	fleet     *fleet
	peers     *peers
	connector *connector
	tunnels   *tunnel.Server
}

// begin begins a run on a server.
func (i *linkedInstance) begin(server string) int {
	target := relay.Target{Server: servers.Server{ID: server}}
	run, _ := i.fleet.Begin(target, placement.Work{Prompt: 100, Output: 10, Left: time.Minute}, monotime.Now())
	return run
}

// passProcessStart sleeps until instants are positive: virtual time begins before the
// process did.
func passProcessStart() {
	for monotime.Now() < monotime.Instant(time.Hour) {
		time.Sleep(365 * 24 * time.Hour)
	}
}

// startLinked starts instances with the first three as seeds, all on machines of the same
// capacity with fast links.
func startLinked(t *testing.T, ctx context.Context, tasks *errgroup.Group, size int) []*linkedInstance {
	t.Helper()
	passProcessStart()
	return startLinkedOver(t, ctx, tasks, size, fastHosts())
}

// linkedHost is the machine of an instance.
type linkedHost struct {
	listen   func(address string) net.Listener
	dial     func(ctx context.Context, address string) (net.Conn, error)
	capacity int
}

// fastHosts returns machines whose links have no delay.
func fastHosts() func(n int) linkedHost {
	network := narrownet.New()
	return func(n int) linkedHost {
		host := network.Host(fmt.Sprint(n), 0)
		return linkedHost{listen: host.Listen, dial: host.Dial, capacity: 200}
	}
}

// startLinkedOver starts instances on the given machines.
func startLinkedOver(t *testing.T, ctx context.Context, tasks *errgroup.Group, size int, hostOf func(n int) linkedHost) []*linkedInstance {
	t.Helper()
	return startLinkedFrom(t, ctx, tasks, 0, size, hostOf)
}

// startLinkedFrom starts further instances, numbered from first on.
func startLinkedFrom(t *testing.T, ctx context.Context, tasks *errgroup.Group, first, size int, hostOf func(n int) linkedHost) []*linkedInstance {
	t.Helper()
	var out []*linkedInstance
	for n := first; n < first+size; n++ {
		host := hostOf(n)
		f, _, _ := newFleet()
		f.self = fmt.Sprintf("instance-%02d", n)
		f.throttle = throttle.New(f.self, monotime.Now())
		f.board.SetSharing(f.self, f.serverPlace)
		self := wire.RelayMember{
			ID: f.self, Incarnation: f.self + "/1", DataCentre: fmt.Sprint("dc-", n%2),
			CallerAddress: f.self + ":1", PeerAddress: f.self + ":2", Capacity: host.capacity,
		}
		p := newPeers(self, []string{"instance-00:2", "instance-01:2", "instance-02:2"}, f, zap.NewNop())
		client := &tunnel.Client{Self: tunnel.Instance{ID: self.ID, Incarnation: self.Incarnation}, Dial: host.dial}
		c := newConnector(f, p, client, func() bool { return false }, host.dial)
		tunnels := c.newTunnelServer(host.capacity, 0, descriptors.Unlimited())
		links, err := peer.New(peer.Config{
			Self: peer.Identity{
				ID: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
				CallerAddress: self.CallerAddress, PeerAddress: self.PeerAddress, Capacity: self.Capacity,
			},
			Keys:     []peer.Key{{ID: linkKeyID, Secret: defaultLinkSecret}},
			Listener: host.listen(self.PeerAddress),
			Dial:     host.dial,
			Other:    tunnels.Handle,
			Handler:  p,
			Timing:   linkTiming,
		})
		if err != nil {
			t.Fatal(err)
		}
		p.links = links
		f.memberCount, f.publish = p.memberCount, p.configs.publish
		f.updates.batchDelay, f.updates.due, f.updates.send, f.updates.fillStatus = p.batchDelay, p.due, p.broadcast, f.fillStatus
		tasks.Go(func() error { return links.Run(ctx) })
		tasks.Go(func() error { return f.updates.run(ctx) })
		tasks.Go(func() error {
			for ctx.Err() == nil {
				p.tick(monotime.Now())
				c.probe(monotime.Now())
				f.board.SetPeers(p.memberCount()-1, p.staleness())
				timer.Sleep(tickInterval, ctx.Done())
			}
			return nil
		})
		out = append(out, &linkedInstance{fleet: f, peers: p, connector: c, tunnels: tunnels})
	}
	return out
}

func stopLinked(t *testing.T, cancel func(), tasks *errgroup.Group) {
	t.Helper()
	cancel()
	if err := tasks.Wait(); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Minute) // the HTTP library's servers clean up at their next tick
}

// The HTTP library starts a clock for the Date header with its first answer and never
// stops it. It must start outside of virtual time.
var _ = new(fasthttp.ResponseHeader).Header()

// Twenty-four instances start, find each other over three seeds, and drop the links that
// are no longer needed. A dropped link must stay closed: if the other side reopens it at
// once, small machines are busy with handshakes, and callers wait.
func TestLinksOfALargeFleetSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		const size = 24
		fleet := startLinked(t, ctx, &tasks, size)
		dials := func() (sum uint64) {
			for _, i := range fleet {
				sum += i.peers.links.Counters().Snapshot().Dials
			}
			return sum
		}
		time.Sleep(8 * time.Second)
		before := dials()
		time.Sleep(10 * time.Second)
		if again := dials() - before; again > 0 {
			t.Errorf("%d links opened in 10 s in which nothing happened", again)
		}
		open := 0
		for _, i := range fleet {
			open += len(i.peers.linked())
			if got := len(i.peers.staying()); got != size-1 {
				t.Errorf("%s tracks %d others", i.fleet.self, got)
			}
		}
		if maxOpen := size * 10; open > maxOpen {
			t.Errorf("%d ends of links, at most %d wanted", open, maxOpen)
		}
		stopLinked(t, cancel, &tasks)
	})
}

// Each of twenty-four instances begins a run on a server and ends it. All others must
// count the runs while they last, and none afterwards.
func TestRunsReachAllInstancesOverHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks errgroup.Group
		const size = 24
		fleet := startLinked(t, ctx, &tasks, size)
		time.Sleep(5 * time.Second)
		running := func() (least, most int) {
			least = size + 1
			for _, i := range fleet {
				n := i.fleet.board.Running("e")
				least, most = min(least, n), max(most, n)
			}
			return least, most
		}
		var runs []int
		for _, i := range fleet {
			runs = append(runs, i.begin("e"))
		}
		time.Sleep(60 * time.Millisecond)
		if least, _ := running(); least != size {
			t.Errorf("some instance counts %d of %d runs after 60 ms", least, size)
		}
		for n, i := range fleet {
			i.fleet.End(runs[n], monotime.Now())
		}
		time.Sleep(60 * time.Millisecond)
		if _, most := running(); most != 0 {
			t.Errorf("some instance still counts %d runs that ended", most)
		}
		stopLinked(t, cancel, &tasks)
	})
}
