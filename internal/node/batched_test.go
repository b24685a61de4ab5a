package node

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/reqid"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// outbox is the other end of a node's links. It batches what was sent into one message for
// each receiver, as the links do.
type outbox struct {
	batched map[string]*wire.Envelope
	started []Attempt
}

func (o *outbox) Send(to string, env *wire.Envelope) {
	all := o.batched[to]
	if all == nil {
		all = &wire.Envelope{}
		o.batched[to] = all
	}
	all.Acquires = append(all.Acquires, env.Acquires...)
	all.Withdraws = append(all.Withdraws, env.Withdraws...)
	all.Grants = append(all.Grants, env.Grants...)
	all.Releases = append(all.Releases, env.Releases...)
	all.Progress = append(all.Progress, env.Progress...)
}

func (o *outbox) Start(a Attempt)               { o.started = append(o.started, a) }
func (o *outbox) CancelAttempt(string)          {}
func (o *outbox) Finish(string, *verdict.Error) {}
func (o *outbox) Record(accounting.Record)      {}

// take returns what was sent to a node since the last call.
func (o *outbox) take(to string) *wire.Envelope {
	env := o.batched[to]
	delete(o.batched, to)
	if env == nil {
		env = &wire.Envelope{}
	}
	return env
}

// newBatchedNode returns a node with the given members and two engines of one slot each.
func newBatchedNode(id string, members ...string) (*Node, *outbox) {
	out := &outbox{batched: make(map[string]*wire.Envelope)}
	inv := &inventory.Inventory{
		DataCentres: []inventory.DataCentre{{Name: "a"}},
		Classes:     []inventory.Class{{Name: "c", Kind: inventory.ClassKindModel, Model: "m", MaxQueueMS: 60_000, Idempotent: true}},
		Customers:   []inventory.Customer{{Name: "c", Weight: 1}},
		Tiers:       []inventory.Tier{{Tier: 0, Name: "t"}},
		Rules:       &inventory.Rules{ServersPerGroup: 8, RetryBudget: 1, GrantLeaseMS: 6000},
	}
	for _, name := range []string{"s1", "s2"} {
		inv.Servers = append(inv.Servers, inventory.Server{Name: name, DataCentre: "a", Kind: inventory.ServerKindModel,
			Engines: []inventory.Engine{{Name: "e", Models: []string{"m"}, Slots: 1, StepMS: 7, PrefillTokensPerS: 20000}}})
	}
	n := New(Config{Self: reqid.Incarnation{Instance: id, Token: "1.x"}, DataCentre: "a", Policy: sched.Default(), Seed: 1}, out)
	n.SetCatalog(1, catalog.Compile(1, inv))
	n.SetView(1, newView(members...))
	return n, out
}

func newView(members ...string) *membership.View {
	view := &membership.View{Known: len(members), Confirmed: true}
	for _, id := range members {
		view.Live = append(view.Live, membership.Member{ID: id, Incarnation: "1", DataCentre: "a"})
	}
	return view
}

func newAcquire(n *Node, seq int, avoid string) wire.Acquire {
	cat := n.Catalog()
	return wire.Acquire{Seq: seq, Group: cat.GroupList[0].Name, Avoid: avoid, PromptTokens: 1,
		Class: int(cat.Classes["c"].Hash), Customer: int(cat.Customers["c"].Hash)}
}

// Guards against a retry at the engine that just failed. The entry instance releases the
// slot and acquires another under the same number, and the links batch both into one
// message. If the acquire were applied first, the owner would answer with the recorded
// slot, at the failed engine, and then mark it as free.
func TestReleaseAndAcquireInOneMessage(t *testing.T) {
	n, out := newBatchedNode("owner", "owner")
	n.OnEnvelope(1, "entry", &wire.Envelope{Acquires: []wire.Acquire{newAcquire(n, 7, "")}})
	first := out.take("entry").Grants[0]
	failed := first.Server + "/" + first.Engine
	n.OnEnvelope(2, "entry", &wire.Envelope{
		Releases: []wire.Release{{Seq: 7, Group: first.Group, Outcome: 3}},
		Acquires: []wire.Acquire{newAcquire(n, 7, failed)},
	})
	again := out.take("entry").Grants
	if len(again) != 1 || again[0].Server == first.Server {
		t.Errorf("after a failure at %s: %+v", failed, again)
	}
	if held := n.Status(2).Owned[0].Stats.Held; held != 1 {
		t.Errorf("%d slots are held, want the new one", held)
	}
}

// Guards against more requests at an engine than it has slots. The owner of a group leaves
// while an instance has requests running and waiting there. The new owner receives both in
// one message and must record the running ones first.
func TestNewOwnerLearnsWhatRunsBeforeItGrants(t *testing.T) {
	entry, sent := newBatchedNode("entry", "entry")
	group := entry.Catalog().GroupList[0]
	owners := twoOtherOwners(entry, group)
	owner, next := owners[0], owners[1]
	entry.SetView(1, newView("entry", owner))
	now := monotime.Instant(2)
	for i := range 3 {
		if _, err := entry.Submit(now, newRequest(entry, i)); err != nil {
			t.Fatal(err)
		}
	}
	asked := sent.take(owner).Acquires
	for i, server := range []string{"s1", "s2"} {
		entry.OnEnvelope(now, owner, &wire.Envelope{Grants: []wire.Grant{
			{Seq: asked[i].Seq, Group: group.Name, Server: server, Engine: "e", LeaseMS: 6000}}})
	}
	entry.SetView(now, newView("entry", next))
	n, out := newBatchedNode(next, "entry", next)
	msg := sent.take(next)
	n.OnEnvelope(now, "entry", msg)
	if grants := out.take("entry").Grants; len(grants) != 0 {
		t.Errorf("the new owner granted slots in use: %+v", grants)
	}
}

// Guards against more requests at an engine than it has slots. The link to an owner broke
// for a moment and the entry instance scheduled for itself. When the link is restored, the
// owner may be a new process or its leases may have expired, so it must receive the engine
// of each slot, not only that it is held.
func TestReturningOwnerReceivesEngineOfHeldSlot(t *testing.T) {
	entry, sent := newBatchedNode("entry", "entry")
	group := entry.Catalog().GroupList[0]
	owner := twoOtherOwners(entry, group)[0]
	entry.SetView(1, newView("entry", owner))
	if _, err := entry.Submit(1, newRequest(entry, 1)); err != nil {
		t.Fatal(err)
	}
	entry.OnEnvelope(1, owner, &wire.Envelope{Grants: []wire.Grant{
		{Seq: sent.take(owner).Acquires[0].Seq, Group: group.Name, Server: "s2", Engine: "e", LeaseMS: 6000}}})
	entry.LinkDown(2, owner)
	entry.LinkUp(3, owner)
	sent.take(owner)
	entry.Tick(monotime.Instant(3 * time.Second))
	progress := sent.take(owner).Progress
	if len(progress) != 1 || progress[0].Items[0].Engine != "s2/e" {
		t.Errorf("reported to the owner: %+v", progress)
	}
}

// twoOtherOwners returns two ids that own the group in a fleet of themselves and the node.
func twoOtherOwners(n *Node, group *catalog.Group) (owners [2]string) {
	found := 0
	for i := 0; found < len(owners); i++ {
		id := fmt.Sprintf("other%d", i)
		n.SetView(1, newView(n.Self(), id))
		if n.Owner(group) == id {
			owners[found] = id
			found++
		}
	}
	return owners
}

func newRequest(n *Node, number int) Request {
	prefix, _ := n.cfg.Self.Prefix(time.Unix(1, 0), IDLifetime)
	cat := n.Catalog()
	return Request{ID: fmt.Sprintf("%sx%d", prefix, number), Customer: cat.Customers["c"], Class: cat.Classes["c"], PromptTokens: 1}
}
