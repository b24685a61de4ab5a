// Package node is one instance without its I/O. It follows each request from admission to
// its end and runs the scheduling groups that the instance owns. Every call passes the
// current instant and all output goes through Effects, so the daemon and a replay execute
// the same decisions.
//
// Only the node that admitted a request starts it at an upstream; the owner of a group
// grants slots and never writes to an upstream. Two owners of one group during a partition
// therefore cost quality, never safety.
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
	// TickInterval is the interval at which Tick must be called.
	TickInterval = 50 * time.Millisecond
	// pauseThreshold is the time without a tick that counts as a pause of the process. It
	// is far above scheduling delays and below the time within which a withdrawn server
	// must have stopped receiving work.
	pauseThreshold = time.Second
	// confirmTimeout is how long dispatch waits for a confirmation after a pause before
	// the node counts as isolated. A longer one delays the waiting requests of an instance
	// that reaches nobody.
	confirmTimeout = 2 * time.Second
	// unreachableFor is how long an owner is skipped after its link broke or it left an
	// acquire unanswered.
	unreachableFor = 5 * time.Second
	// IDLifetime is how long a request id stays valid after the directory answer that
	// contained its prefix has expired.
	IDLifetime = 5 * time.Minute

	defaultCapacity = 4096
	// idsPerRequest is the number of request ids tracked per request of the capacity. If
	// the table is full, new requests are refused as overloaded.
	idsPerRequest = 64
)

// Effects are the outputs of a node. The node calls them with its lock held: they must not
// block and must not call back into the node.
type Effects interface {
	// Send passes an envelope to the link to an instance.
	Send(to string, env *wire.Envelope)
	// Start sends an attempt to its upstream; AttemptEnded must follow exactly once.
	Start(attempt Attempt)
	// CancelAttempt stops a running attempt at the engine; AttemptEnded follows.
	CancelAttempt(requestID string)
	// Finish ends the answer of a request; no further call for the request follows.
	Finish(requestID string, err *verdict.Error)
	// Record writes an accounting record.
	Record(record accounting.Record)
}

// Config configures a node.
type Config struct {
	// Self is the incarnation of the process.
	Self reqid.Incarnation
	// DataCentre in which the instance is located.
	DataCentre string
	// Capacity is the number of requests held at once; default 4096.
	Capacity int
	// Policy of the scheduling groups; the zero value is the default policy.
	Policy sched.Policy
	// Seed of all random choices.
	Seed uint64
	// Ownership selects who schedules a group. Values other than Owners are for comparison
	// in replays.
	Ownership Ownership
}

// Ownership selects which instances schedule a group.
type Ownership uint8

const (
	// Owners: one live member schedules each group.
	Owners Ownership = iota
	// Independent: every node schedules all groups by the requests it holds itself, as if
	// it were alone.
	Independent
	// Shared: like Independent, but each node uses only its equal share of the slots.
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
	// undelivered and ended hold ended requests whose answer has not been delivered.
	undelivered   map[string]*request
	ended         requestList
	recordSeq     int
	owned         map[string]*ownedGroup
	unreachable   map[string]monotime.Instant
	ownerContacts map[string]*ownerContact
	measures      *sched.Measurements
	// droppedIdle names groups of this node that were dropped because they were unused.
	droppedIdle map[string]bool
	budget      retryBudget
	gate        dispatchGate
	permits     permits
	draining    bool
	cutOff      bool
	lastTick    monotime.Instant
	renewedAt   monotime.Instant
	counts      Counts

	pendingDecisions []pendingDecision
	sendingDecisions bool
}

// New returns a node without a configuration; it refuses requests until
// SetCatalog and SetView were called.
func New(cfg Config, eff Effects) *Node {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	n := &Node{
		cfg:           cfg,
		eff:           eff,
		rng:           rng,
		picker:        route.NewPicker(),
		ids:           reqid.NewTable(cfg.Capacity*idsPerRequest, IDLifetime),
		nextSeq:       uint64(rng.Uint32() >> 1),
		requests:      make(map[uint64]*request),
		byID:          make(map[string]*request),
		undelivered:   make(map[string]*request),
		owned:         make(map[string]*ownedGroup),
		unreachable:   make(map[string]monotime.Instant),
		ownerContacts: make(map[string]*ownerContact),
		droppedIdle:   make(map[string]bool),
		measures:      sched.NewMeasurements(),
		budget:        retryBudget{tokens: retryBurst},
		permits:       newPermits(),
	}
	return n
}

// Catalog returns the configuration in force, or nil.
func (n *Node) Catalog() *catalog.Catalog {
	return n.catalog.Load()
}

// View returns the current membership view, or nil.
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
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	if old := n.catalog.Load(); old != nil && old.Revision >= cat.Revision {
		return
	}
	n.catalog.Store(cat)
	n.budget.share = cat.Rules.RetryBudget
	n.ids.RaiseLifetime(IDLifetime + time.Duration(cat.Rules.DirectoryTTLS)*time.Second)
	n.picker.Prune(cat)
	n.reconfigureOwned(now, cat)
	n.reroute(now, n.groupRemoved)
}

// SetView replaces the membership view.
func (n *Node) SetView(now monotime.Instant, view *membership.View) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	old := n.view.Swap(view)
	n.members = routeMembers(view)
	n.markOwnedElsewhere()
	n.releaseGoneHolders(now, old, view)
	n.updateShares(view)
	n.setPermitMembers(now, view)
	n.renewAtNewOwners(now)
	n.reroute(now, n.ownerChanged)
}

// LinkDown reports that the link to an instance broke or cannot be established. Requests
// that wait at that owner are sent to another at once: a crash of the owner during a burst
// must not cost them a membership timeout.
func (n *Node) LinkDown(now monotime.Instant, id string) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	n.markOwnerUnreachable(now, id)
}

// LinkUp reports that the link to an instance works.
func (n *Node) LinkUp(_ monotime.Instant, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.unreachable, id)
}

// Tick performs the timed work; call it every TickInterval.
func (n *Node) Tick(now monotime.Instant) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	n.lastTick = now
	n.openGateOnTimeout(now)
	n.expireUnreachable(now)
	n.tickOwned(now)
	n.checkOwners(now)
	n.tickPermits(now)
	n.expireRequests(now)
	n.accountExpired(now)
	n.renewLeases(now)
}

func (n *Node) expireUnreachable(now monotime.Instant) {
	for id, until := range n.unreachable {
		if until.Before(now) {
			delete(n.unreachable, id)
		}
	}
}

// ownerOf returns the instance that schedules a group among the reachable members. A node
// that reaches none schedules the group itself.
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
	if len(n.unreachable) == 0 {
		return n.members
	}
	out := make([]route.Member, 0, len(n.members))
	for _, member := range n.members {
		if _, isDown := n.unreachable[member.ID]; !isDown {
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
