// Package node is one instance without its I/O: it follows each request from
// admission to its end, and owns the scheduling groups that fall to the
// instance. It takes the current instant with every call and acts through
// Effects, so that the daemon and a replay run the same decisions.
//
// Only the node that admitted a request ever starts it at an upstream; the
// owner of a group hands out slots and never writes to one. Two owners of a
// group in a partition therefore cost quality, never safety.
package node

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/reqid"
	"basilrudder/internal/route"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 50 * time.Millisecond
	// pauseGap is the gap between calls that counts as a pause of the process.
	// It is far above scheduling noise and below the time in which a withdrawn
	// server must have stopped receiving work.
	pauseGap = time.Second
	// confirmWait is how long dispatch waits for a confirmation after a pause
	// before the node counts as isolated.
	confirmWait = 2 * time.Second
	// unreachableFor is how long an owner whose link broke is passed over.
	unreachableFor = 5 * time.Second
	// IDLifetime is how long a request id stays valid after the directory answer
	// that gave its prefix has expired.
	IDLifetime = 5 * time.Minute

	defaultCapacity = 4096
	idsPerRequest   = 64
)

// Effects are what a node does to the outside. The node calls them while it
// holds its lock: they must not block and must not call back into the node.
type Effects interface {
	// Send gives an envelope to the link to an instance.
	Send(to string, env *wire.Envelope)
	// Start writes an attempt to its upstream; AttemptEnded must follow once.
	Start(attempt Attempt)
	// CancelAttempt stops a running attempt at the engine; AttemptEnded follows.
	CancelAttempt(requestID string)
	// Finish ends the answer of a request; nothing follows.
	Finish(requestID string, err *verdict.Error)
	// Record writes an accounting record.
	Record(record accounting.Record)
}

// Config configures a node.
type Config struct {
	// Self is the incarnation of the process.
	Self reqid.Incarnation
	// DataCentre the instance stands in.
	DataCentre string
	// Capacity is the number of requests held at once; default 4096.
	Capacity int
	// Policy of the scheduling groups; the zero value is the default policy.
	Policy sched.Policy
	// Seed of all random choices.
	Seed uint64
	// Ownership says who schedules a group. Anything but Owners is for comparison
	// in replays.
	Ownership Ownership
}

// Ownership says who schedules a group.
type Ownership uint8

const (
	// Owners: one live member schedules each group.
	Owners Ownership = iota
	// Independent: every node schedules all groups by what it holds itself, as if
	// it were alone.
	Independent
	// Shared: like Independent, and each uses its equal share of the slots.
	Shared
)

// Node is one instance without its I/O. It is safe for concurrent use.
type Node struct {
	cfg     Config
	eff     Effects
	catalog atomic.Pointer[catalog.Catalog]
	view    atomic.Pointer[membership.View]

	mu       sync.Mutex
	rng      *rand.Rand
	picker   *route.Picker
	members  []route.Member
	ids      *reqid.Table
	nextSeq  uint64
	requests map[uint64]*request
	byID     map[string]*request
	order    requestList
	// undelivered and ended hold requests whose answer waits for its caller.
	undelivered map[string]*request
	ended       requestList
	recordSeq   int
	owned       map[string]*ownedGroup
	down        map[string]monotime.Instant
	owners      map[string]*ownerTalk
	measures    *sched.Measurements
	// idle names groups of this node that were dropped because nobody used them.
	idle     map[string]bool
	budget   retryBudget
	gate     gate
	permits  permits
	draining bool
	cutOff   bool
	lastTick monotime.Instant
	renewed  monotime.Instant
	counts   Counts

	pending   []pendingDecision
	answering bool
}

// New returns a node without a configuration; it refuses requests until
// SetCatalog and SetView were called.
func New(cfg Config, eff Effects) *Node {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	n := &Node{
		cfg:         cfg,
		eff:         eff,
		rng:         rng,
		picker:      route.NewPicker(),
		ids:         reqid.NewTable(cfg.Capacity*idsPerRequest, IDLifetime),
		nextSeq:     uint64(rng.Uint32() >> 1),
		requests:    make(map[uint64]*request),
		byID:        make(map[string]*request),
		undelivered: make(map[string]*request),
		owned:       make(map[string]*ownedGroup),
		down:        make(map[string]monotime.Instant),
		owners:      make(map[string]*ownerTalk),
		idle:        make(map[string]bool),
		measures:    sched.NewMeasurements(),
		budget:      retryBudget{tokens: retryBurst},
		permits:     newPermits(),
	}
	return n
}

// Catalog returns the configuration in force, or nil.
func (n *Node) Catalog() *catalog.Catalog {
	return n.catalog.Load()
}

// View returns the membership known, or nil.
func (n *Node) View() *membership.View {
	return n.view.Load()
}

// Self returns the instance id.
func (n *Node) Self() string {
	return n.self()
}

// self is the instance id.
func (n *Node) self() string {
	return n.cfg.Self.Instance
}

// SetCatalog puts a configuration in force.
func (n *Node) SetCatalog(now monotime.Instant, cat *catalog.Catalog) {
	n.enter(now)
	defer n.mu.Unlock()
	if old := n.catalog.Load(); old != nil && old.Revision >= cat.Revision {
		return
	}
	n.catalog.Store(cat)
	n.budget.share = cat.Rules.RetryBudget
	n.ids.RaiseLifetime(IDLifetime + time.Duration(cat.Rules.DirectoryTTLS)*time.Second)
	n.picker.Prune(cat)
	n.reconfigureOwned(now, cat)
	n.reroute(now, n.stale)
}

// SetView replaces the membership known.
func (n *Node) SetView(now monotime.Instant, view *membership.View) {
	n.enter(now)
	defer n.mu.Unlock()
	old := n.view.Swap(view)
	n.members = routeMembers(view)
	n.noteLost()
	n.dropGoneHolders(now, old, view)
	n.updateShares(view)
	n.setPermitMembers(now, view)
	n.renewMoved(now)
	n.reroute(now, n.misowned)
}

// LinkDown tells that the link to an instance broke or cannot be made. Requests
// that wait at that owner are asked for elsewhere at once: a crash of the owner
// in a burst must not cost them a membership timeout.
func (n *Node) LinkDown(now monotime.Instant, id string) {
	n.enter(now)
	defer n.mu.Unlock()
	n.ownerLost(now, id)
}

// LinkUp tells that the link to an instance works.
func (n *Node) LinkUp(_ monotime.Instant, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, id)
}

// Tick does what is due; call it every TickInterval.
func (n *Node) Tick(now monotime.Instant) {
	n.enter(now)
	defer n.mu.Unlock()
	n.lastTick = now
	n.openGate(now)
	n.expireDown(now)
	n.tickOwned(now)
	n.checkOwners(now)
	n.tickPermits(now)
	n.expireRequests(now)
	n.settleOld(now)
	n.renewLeases(now)
}

func (n *Node) expireDown(now monotime.Instant) {
	for id, until := range n.down {
		if until.Before(now) {
			delete(n.down, id)
		}
	}
}

// ownerOf returns the instance that schedules a group, as far as this node can
// reach it. A node that reaches none schedules the group itself.
func (n *Node) ownerOf(group *catalog.Group) string {
	if n.cfg.Ownership != Owners {
		return n.self()
	}
	owner := route.Owner(group, n.reachable())
	if owner == "" {
		return n.self()
	}
	return owner
}

func (n *Node) reachable() []route.Member {
	if len(n.down) == 0 {
		return n.members
	}
	out := make([]route.Member, 0, len(n.members))
	for _, member := range n.members {
		if _, isDown := n.down[member.ID]; !isDown {
			out = append(out, member)
		}
	}
	return out
}

func routeMembers(view *membership.View) []route.Member {
	out := make([]route.Member, 0, len(view.Live))
	for _, m := range view.Live {
		out = append(out, route.Member{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}
