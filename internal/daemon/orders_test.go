package daemon

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/orders"
	"basilrudder/internal/reqid"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/upstream"
)

// orderFixture is a single instance with one engine that ignores fencing numbers. The test
// controls its time.
type orderFixture struct {
	t       *testing.T
	now     monotime.Instant
	node    *node.Node
	sender  *orderSender
	tasks   sync.WaitGroup
	server  *engine.Server
	address string
	target  upstream.Target
}

func newOrderFixture(t *testing.T) *orderFixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &orderFixture{t: t, now: monotime.Now(), address: ln.Addr().String()}
	b.server = engine.New(engine.Config{Engines: []engine.EngineConfig{{Model: enginemodel.Config{Name: "e"}}}})
	go func() { _ = b.server.Serve(ln) }()
	b.target = upstream.Target{Address: b.address, Server: "s", Engine: "e"}
	b.node = node.New(node.Config{Self: reqid.Incarnation{Instance: "a", Token: "1"}}, &dispatcher{})
	b.sender = newOrderSender("a", b.node, upstream.New(upstream.Config{}), &b.tasks, zap.NewNop())
	b.sender.send = func(string, *wire.Envelope) {}
	b.install(1)
	b.node.SetView(b.now, &membership.View{Confirmed: true, Live: []membership.Member{{ID: "a"}}, MemberCount: 1})
	b.node.Confirm(b.now, b.now)
	t.Cleanup(b.server.Close)
	return b
}

// install installs a revision that assigns the model version with the revision's number.
func (b *orderFixture) install(revision uint64) {
	inv := &inventory.Inventory{
		Models: []inventory.Model{{Name: "m", Version: string(rune('0' + revision))}},
		Rules:  &inventory.Rules{WeightLoadsAtOnce: 1},
		Servers: []inventory.Server{{
			Name: "s", Address: b.address, Kind: inventory.ServerKindModel,
			Engines: []inventory.Engine{{Name: "e", Models: []string{"m"}, Slots: 1}},
		}},
	}
	b.node.SetCatalog(b.now, catalog.Compile(revision, inv))
}

// run advances the time by d in ticks and waits for all calls after each tick.
func (b *orderFixture) run(d time.Duration) {
	for end := b.now.Add(d); b.now < end; b.now = b.now.Add(node.TickInterval) {
		b.node.Tick(b.now)
		b.sender.tick(b.t.Context(), b.now)
		b.tasks.Wait()
	}
}

func (b *orderFixture) wantHolds(model string) {
	b.t.Helper()
	if diff := cmp.Diff([]string{model}, b.server.Engine("e").Holds().Models); diff != "" {
		b.t.Errorf("models (-want +got):\n%s", diff)
	}
}

// Another instance orders version 2 while this instance is paused. After the pause this
// instance still has the configuration with version 1, and the engine would obey its orders.
// It must send none until a configuration is confirmed, even if that takes long. Otherwise
// the engine would return to version 1.
func TestNoOrdersAfterPauseUntilConfirmed(t *testing.T) {
	b := newOrderFixture(t)
	b.run(2 * orders.DefaultLease)
	b.wantHolds("m@1")
	b.now = b.now.Add(time.Minute)
	other := upstream.New(upstream.Config{})
	if _, err := other.Order(t.Context(), b.target, engineapi.Order{Fence: 2, Engine: "e", Models: []string{"m@2"}}); err != nil {
		t.Fatal(err)
	}
	calls := b.sender.clients.Counters().Of(upstream.KindOrder).Calls
	b.run(time.Minute)
	b.wantHolds("m@2")
	b.install(2)
	b.node.Confirm(b.now, b.now)
	b.run(time.Minute)
	b.wantHolds("m@2")
	if after := b.sender.clients.Counters().Of(upstream.KindOrder).Calls; after != calls {
		t.Errorf("%d orders after the pause, want none", after-calls)
	}
}

// An instance with a stale configuration and an engine are isolated from the rest of the
// fleet. When its configuration has not been confirmed for a while, the instance must send
// no more orders. Otherwise it would keep changing the engine to the stale state.
func TestNoOrdersWhenConfirmationExpires(t *testing.T) {
	b := newOrderFixture(t)
	b.run(10 * time.Minute)
	calls := b.sender.clients.Counters().Of(upstream.KindOrder).Calls
	b.server.Engine("e").Crash()
	b.server.Engine("e").Restart()
	b.run(10 * time.Minute)
	if after := b.sender.clients.Counters().Of(upstream.KindOrder).Calls; after != calls {
		t.Errorf("%d orders from a configuration not confirmed for ten minutes", after-calls)
	}
}
