// Package instance joins what one instance decides: membership, configuration
// and the requests of its node. It does no I/O and reads no clock; the daemon
// and the failure tests drive it.
package instance

import (
	"sync"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/confsync"
	"basilrudder/internal/inventory"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
)

// TickInterval is how often Tick is to be called.
const TickInterval = node.TickInterval

// pauseAfter is the gap between ticks after which the configuration must be
// confirmed; it is that of the node, which holds dispatch back meanwhile.
const pauseAfter = time.Second

// Effects are what an instance does to the outside. They must not block and
// must not call back into the instance.
type Effects interface {
	node.Effects
	// Watch waits up to wait for news at the platform; OnWatch answers.
	Watch(call confsync.CallID, revision uint64, instances int, wait time.Duration)
	// FetchManifest reads the manifest; OnManifest answers.
	FetchManifest(call confsync.CallID)
	// FetchChunk reads one value; OnChunk answers.
	FetchChunk(call confsync.CallID, key string)
	// FetchInstances reads the instance list; OnInstances answers.
	FetchInstances(call confsync.CallID)
	// Report tells operators of an event of the configuration.
	Report(event confsync.Event)
	// Installed tells that a configuration is in force.
	Installed(cat *catalog.Catalog)
	// Want tells which peers to keep links to.
	Want(targets []membership.Target)
}

// Config configures an Instance.
type Config struct {
	// Node is the configuration of the node.
	Node node.Config
	// Self is the member that the instance is.
	Self membership.Member
	// Seeds are peer addresses to start from when the platform is down.
	Seeds []string
}

// Instance is one instance without its I/O. It is safe for concurrent use.
type Instance struct {
	eff  Effects
	node *node.Node

	mu      sync.Mutex
	parser  inventory.Parser
	members *membership.Core
	conf    *confsync.Core
	version uint64
	// lastConfirmed outlasts pauses, in which the core forgets its confirmation.
	lastConfirmed monotime.Instant
	synced        bool
	paused        bool
}

// New returns an instance that knows nothing yet.
func New(now monotime.Instant, cfg Config, eff Effects) *Instance {
	return &Instance{
		eff:     eff,
		node:    node.New(cfg.Node, eff),
		members: membership.New(cfg.Self, cfg.Seeds, cfg.Node.Seed),
		conf: confsync.New(now, confsync.Config{
			Self:           cfg.Self.ID,
			DataCentre:     cfg.Self.DataCentre,
			Seed:           cfg.Node.Seed,
			PauseThreshold: pauseAfter,
		}),
	}
}

// Node returns the node, whose requests do not take the instance's lock.
func (i *Instance) Node() *node.Node {
	return i.node
}

// Tick does what is due; call it every TickInterval.
func (i *Instance) Tick(now monotime.Instant) {
	i.node.Tick(now)
	i.update(now, func() {
		i.noticePause(now)
		i.members.Tick(now, peerEffects{i})
		i.conf.Tick(now, i.confEffects(now))
	})
}

// noticePause asks for a confirmation at once when the node holds dispatch back.
func (i *Instance) noticePause(now monotime.Instant) {
	since, paused := i.node.Paused()
	if paused && !i.paused {
		i.conf.OnPaused(now, now.Sub(since), i.confEffects(now))
	}
	i.paused = paused
}

// update runs do and then passes on what it changed.
func (i *Instance) update(now monotime.Instant, do func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	do()
	i.members.SetRevision(i.conf.Revision())
	i.passView(now)
	i.eff.Want(i.members.LinkTargets())
	_, age := i.conf.Confirmed(now)
	if age != confsync.NeverConfirmed {
		i.node.Confirm(now, now.Add(-age))
		i.lastConfirmed = now.Add(-age)
	}
	i.node.SetCutOff(i.cutOff(now))
}

// cutOff reports whether the instance has been without a confirmation for longer
// than the rules allow. A fleet of one has nobody to be cut off from: for it the
// platform's silence alone says nothing.
func (i *Instance) cutOff(now monotime.Instant) bool {
	cat := i.node.Catalog()
	view := i.node.View()
	if cat == nil || view == nil || view.Known <= 1 {
		return false
	}
	limit := time.Duration(cat.Rules.IsolatedServeS) * time.Second
	return now.Sub(i.lastConfirmed) > limit
}

func (i *Instance) passView(now monotime.Instant) {
	view := i.members.View()
	if i.synced && view.Version == i.version {
		return
	}
	i.synced = true
	i.version = view.Version
	i.node.SetView(now, view)
	live := make([]confsync.Member, 0, len(view.Live))
	for _, m := range view.Live {
		live = append(live, confsync.Member{ID: m.ID, DataCentre: m.DataCentre})
	}
	i.conf.SetMembers(now, live, i.members.Neighbours(), i.confEffects(now))
}

// OnLinkUp tells that a link to a peer is open.
func (i *Instance) OnLinkUp(now monotime.Instant, id string) {
	i.node.LinkUp(now, id)
	i.update(now, func() { i.members.OnLinkUp(now, id, peerEffects{i}) })
}

// OnLinkDown tells that a link to a peer broke or cannot be opened.
func (i *Instance) OnLinkDown(now monotime.Instant, id string) {
	i.node.LinkDown(now, id)
	i.update(now, func() { i.members.OnLinkDown(now, id) })
}

// OnEnvelope takes a message of a peer.
func (i *Instance) OnEnvelope(now monotime.Instant, from string, env *wire.Envelope) {
	if hasCoordination(env) {
		i.update(now, func() { i.coordinate(now, from, env) })
	}
	i.node.OnEnvelope(now, from, env)
}

func hasCoordination(env *wire.Envelope) bool {
	return len(env.Members) > 0 || env.MemberSync != nil || env.Ping != nil || env.Pong != nil ||
		env.ConfigOffer != nil || env.ConfigWant != nil || env.ConfigPart != nil
}

// coordinate handles the parts in the order that the links promise: a table
// that was sent together with a ping is read before the ping confirms it.
func (i *Instance) coordinate(now monotime.Instant, from string, env *wire.Envelope) {
	if len(env.Members) > 0 {
		i.members.OnMembers(now, from, env.Members, peerEffects{i})
	}
	if env.MemberSync != nil {
		i.members.OnSync(now, from, env.MemberSync, peerEffects{i})
	}
	if env.Ping != nil {
		i.members.OnPing(now, from, env.Ping, peerEffects{i})
	}
	if env.Pong != nil {
		i.members.OnPong(now, from, env.Pong, peerEffects{i})
	}
	if env.ConfigOffer != nil {
		i.conf.OnOffer(now, from, *env.ConfigOffer, i.confEffects(now))
	}
	if env.ConfigWant != nil {
		i.conf.OnWant(now, from, *env.ConfigWant, i.confEffects(now))
	}
	if env.ConfigPart != nil {
		i.conf.OnPart(now, from, *env.ConfigPart, i.confEffects(now))
	}
}

// OnWatch answers Effects.Watch.
func (i *Instance) OnWatch(now monotime.Instant, call confsync.CallID, answer *platformapi.WatchAnswer, err error) {
	i.update(now, func() { i.conf.OnWatch(now, call, answer, err, i.confEffects(now)) })
}

// OnManifest answers Effects.FetchManifest.
func (i *Instance) OnManifest(now monotime.Instant, call confsync.CallID, data []byte, err error) {
	i.update(now, func() { i.conf.OnManifest(now, call, data, err, i.confEffects(now)) })
}

// OnChunk answers Effects.FetchChunk.
func (i *Instance) OnChunk(now monotime.Instant, call confsync.CallID, data []byte, err error) {
	i.update(now, func() { i.conf.OnChunk(now, call, data, err, i.confEffects(now)) })
}

// OnInstances answers Effects.FetchInstances.
func (i *Instance) OnInstances(now monotime.Instant, call confsync.CallID, list *platformapi.InstanceList, err error) {
	i.update(now, func() {
		version := 0
		if err == nil {
			version = list.Version
			i.conf.SetListed(listedMembers(list))
			i.members.OnInstanceList(now, *list)
		}
		i.conf.OnInstances(now, call, version, err, i.confEffects(now))
	})
}

func listedMembers(list *platformapi.InstanceList) []confsync.Member {
	var out []confsync.Member
	for _, in := range list.Instances {
		if in.State == platformapi.InstanceStateLive {
			out = append(out, confsync.Member{ID: in.ID, DataCentre: in.DataCentre})
		}
	}
	return out
}

// Leave announces that the instance takes no new work from now on; it goes on
// serving whoever still comes.
func (i *Instance) Leave(now monotime.Instant) {
	i.update(now, func() { i.members.Leave(now, peerEffects{i}) })
}

// Goodbye announces that the process ends now.
func (i *Instance) Goodbye(now monotime.Instant) {
	i.update(now, func() { i.members.Goodbye(now, peerEffects{i}) })
}

// Belief is what an instance knows besides its requests.
type Belief struct {
	// View of the membership.
	View *membership.View
	// Members counts the events of the membership.
	Members membership.Stats
	// Conf counts the events of the configuration.
	Conf confsync.Stats
	// Reader says whether the instance watches the platform.
	Reader bool
	// ConfirmedAge is the age of the last confirmation of the revision.
	ConfirmedAge time.Duration
	// PlatformAge is the age of the platform's last word, as far as known.
	PlatformAge time.Duration
}

// Belief returns what the instance knows.
func (i *Instance) Belief(now monotime.Instant) Belief {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, age := i.conf.Confirmed(now)
	return Belief{
		View:         i.members.View(),
		Members:      i.members.Stats(),
		Conf:         i.conf.Stats(),
		Reader:       i.conf.Reader(),
		ConfirmedAge: age,
		PlatformAge:  i.conf.PlatformAge(now),
	}
}

// peerEffects gives the membership its way out.
type peerEffects struct{ *Instance }

// SendPeer implements membership.Effects.
func (e peerEffects) SendPeer(to string, env *wire.Envelope) {
	e.eff.Send(to, env)
}

// confEffects gives the configuration its way out.
type confEffects struct {
	Effects
	node   *node.Node
	parser *inventory.Parser
	now    monotime.Instant
}

func (i *Instance) confEffects(now monotime.Instant) confEffects {
	return confEffects{Effects: i.eff, node: i.node, parser: &i.parser, now: now}
}

// SendPeer implements confsync.Effects.
func (e confEffects) SendPeer(to string, env *wire.Envelope) {
	e.Send(to, env)
}

// Install implements confsync.Effects. The inventory is checked whole before
// anything of it takes effect. Values that did not change are not read again.
func (e confEffects) Install(revision uint64, files []inventory.File) error {
	inv, problems := e.parser.Parse(files)
	if len(problems) > 0 {
		return problems
	}
	cat := catalog.Compile(revision, inv)
	e.node.SetCatalog(e.now, cat)
	e.Installed(cat)
	return nil
}
