package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/orders"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

const (
	// maxConcurrentOrderCalls limits the concurrent calls of the reconciler to engines. A
	// smaller value delays orders when engines respond slowly; a larger one opens more
	// connections at once.
	maxConcurrentOrderCalls = 8
	// orderCallTimeout bounds one call. It must be below orders.DefaultTimeout, or the
	// reconciler repeats a call whose result is still due.
	orderCallTimeout = 2 * time.Second
	// peerDiscoveryTimeout is how long an instance without a confirmed view of the fleet
	// sends no orders after its start. With a shorter time it would act as the owner of
	// every engine before it has found its peers; a longer one delays the orders of an
	// instance that is alone.
	peerDiscoveryTimeout = 10 * time.Second
)

// weightStore is a pseudo group. Its owner issues the permits for loading weights from the
// weight store.
var weightStore = &catalog.Group{Name: "weight-store"}

// orderSender orders the engines of the groups that this instance owns to hold the models
// that the configuration assigns to them. Scheduling of a group begins with its first
// request, but orders are also sent for groups without traffic.
type orderSender struct {
	node      *node.Node
	clients   *upstream.Client
	tasks     *sync.WaitGroup
	send      func(to string, env *wire.Envelope)
	log       *zap.Logger
	callSlots chan struct{}

	mu          sync.Mutex
	firstTick   monotime.Instant
	reconciler  *orders.Reconciler
	loadPermits *orders.LoadPermits
	revision    uint64
	version     uint64
	behind      bool
}

func newOrderSender(self string, n *node.Node, clients *upstream.Client, tasks *sync.WaitGroup, log *zap.Logger) *orderSender {
	loads := orders.NewLoadPermits(self, orders.DefaultLease)
	return &orderSender{
		node:        n,
		clients:     clients,
		tasks:       tasks,
		log:         log,
		callSlots:   make(chan struct{}, maxConcurrentOrderCalls),
		reconciler:  orders.New(orders.Config{}, loads),
		loadPermits: loads,
	}
}

// tick starts the calls that are due. While the configuration is not confirmed, no orders
// are sent and the engines' earlier reports are discarded.
func (o *orderSender) tick(ctx context.Context, now monotime.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstTick == 0 {
		o.firstTick = now
	}
	if !o.node.MaySendOrders(now) || !o.peerDiscoveryDone(now) {
		o.reconciler.OnPaused(now)
		return
	}
	o.reconfigure(now)
	for _, action := range o.reconciler.Tick(now, nil) {
		o.tasks.Go(func() { o.run(ctx, action) })
	}
	if issuer, ask := o.loadPermits.Tick(now); ask != nil {
		o.send(issuer, &wire.Envelope{LoadAsk: ask})
	}
}

func (o *orderSender) peerDiscoveryDone(now monotime.Instant) bool {
	view := o.node.View()
	return view != nil && (view.Confirmed || now.Sub(o.firstTick) > peerDiscoveryTimeout)
}

// reconfigure applies a new configuration or a new view of the fleet, if there is one.
func (o *orderSender) reconfigure(now monotime.Instant) {
	cat, view := o.node.Catalog(), o.node.View()
	if cat == nil || view == nil || cat.Revision == o.revision && view.Version == o.version {
		return
	}
	o.revision, o.version = cat.Revision, view.Version
	self := o.node.Self()
	owns := make(map[*catalog.Group]bool, len(cat.GroupList))
	for _, group := range cat.GroupList {
		owns[group] = o.node.Owner(group) == self
	}
	live, total := node.ShareOf(view)
	o.loadPermits.SetIssuer(now, o.node.Owner(weightStore), cat.Rules.WeightLoadsAtOnce, live, total)
	o.reconciler.Reconfigure(now, cat, func(e *catalog.Engine) bool { return owns[e.Server.Group] })
}

// run makes one call and applies its result. The order may have become stale if the process
// paused since the decision, so call checks again that it may be sent.
func (o *orderSender) run(ctx context.Context, action orders.Action) {
	o.callSlots <- struct{}{}
	defer func() { <-o.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	report, err := o.call(ctx, action)
	now := monotime.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.reconciler.OnFailure(now, action.Engine.ID)
		return
	}
	o.reconciler.OnReport(now, action.Engine.ID, report)
	o.logBehind()
}

// errStale reports an order that was not sent because it is stale.
var errStale = verdict.New(verdict.NotRun, verdict.ReasonPaused, "the order is stale after a pause or a newer revision")

func (o *orderSender) call(ctx context.Context, action orders.Action) (engineapi.OrderAnswer, *verdict.Error) {
	target := targetOf(action.Engine)
	if action.Kind == orders.Observe {
		return o.clients.Holdings(ctx, target)
	}
	cat := o.node.Catalog()
	if !o.node.MaySendOrders(monotime.Now()) || cat.Revision != uint64(action.Order.Fence) {
		return engineapi.OrderAnswer{}, errStale
	}
	o.log.Info("order to engine", zap.String("engine", action.Engine.ID),
		zap.Int("fence", action.Order.Fence), zap.Strings("models", action.Order.Models))
	return o.clients.Order(ctx, target, action.Order)
}

// logBehind logs a warning, once, when engines have received a newer revision. No orders are
// sent until this instance has that revision.
func (o *orderSender) logBehind() {
	behind := o.reconciler.Behind()
	if behind && !o.behind {
		o.log.Warn("engines have seen a newer revision; no orders are sent", zap.Uint64("revision", o.revision))
	}
	o.behind = behind
}

// onEnvelope handles the load permit messages in an envelope from a peer.
func (o *orderSender) onEnvelope(now monotime.Instant, from string, env *wire.Envelope) {
	if env.LoadAsk == nil && env.LoadGive == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if env.LoadGive != nil {
		o.loadPermits.OnGive(now, from, env.LoadGive)
	}
	if env.LoadAsk == nil {
		return
	}
	if give := o.loadPermits.OnAsk(now, from, env.LoadAsk); give != nil {
		o.send(from, &wire.Envelope{LoadGive: give})
	}
}

// OrderStatus is the state of the orders to engines.
type OrderStatus struct {
	orders.Stats
	// Behind reports that engines have received a newer revision than this instance's.
	Behind bool `json:"behind"`
	// Loads is the state of the permits for loads from the weight store.
	Loads orders.LoadPermitStats `json:"loads"`
}

func (o *orderSender) status(now monotime.Instant) OrderStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return OrderStatus{Stats: o.reconciler.Stats(), Behind: o.reconciler.Behind(), Loads: o.loadPermits.Stats(now)}
}
