// Package instance combines the decision logic of one instance: membership, configuration
// and the requests of its node. It does no I/O and reads no clock; the daemon and the
// simulated-fleet tests drive it.
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

// TickInterval is the interval at which Tick is to be called.
const TickInterval = node.TickInterval

// pauseAfter is the gap between ticks after which the configuration must be confirmed
// again. It equals the node's limit, after which the node holds dispatch back until the
// confirmation: a smaller one would drop the confirmation after gaps at which the node
// goes on dispatching.
const pauseAfter = time.Second

// Effects are the actions of an instance on its environment. They must not block and must
// not call back into the instance.
type Effects interface {
	node.Effects
	// Watch waits up to wait for a change at the platform. The result is passed to
	// OnWatch.
	Watch(call confsync.Call, revision uint64, instances int, wait time.Duration)
	// FetchManifest reads the manifest. The result is passed to OnManifest.
	FetchManifest(call confsync.Call)
	// FetchChunk reads one value. The result is passed to OnChunk.
	FetchChunk(call confsync.Call, key string)
	// FetchInstances reads the instance list. The result is passed to OnInstances.
	FetchInstances(call confsync.Call)
	// Report reports an event of the configuration to operators.
	Report(event confsync.Event)
	// Installed is called when a configuration has come into force.
	Installed(cat *catalog.Catalog)
	// SetLinkTargets sets the peers to keep links to.
	SetLinkTargets(targets []membership.Target)
}

// Config configures an Instance.
type Config struct {
	// Node is the configuration of the node.
	Node node.Config
	// Self is the member that represents this instance.
	Self membership.Member
	// Seeds are the peer addresses to contact first when the platform is down.
	Seeds []string
}

// Instance is the state of one instance, without I/O. It is safe for concurrent use.
type Instance struct {
	eff  Effects
	node *node.Node

	mu          sync.Mutex
	parser      inventory.Parser
	members     *membership.Core
	conf        *confsync.Core
	viewVersion uint64
	// lastConfirmed is kept over pauses, in which conf drops its confirmation.
	lastConfirmed  monotime.Instant
	viewPropagated bool
	wasPaused      bool
}

// New returns an instance without a configuration and without peers.
func New(now monotime.Instant, cfg Config, eff Effects) *Instance {
	return &Instance{
		eff:     eff,
		node:    node.New(cfg.Node, eff),
		members: membership.New(cfg.Self, cfg.Seeds, cfg.Node.Seed),
		conf: confsync.New(now, confsync.Config{
			Self:       cfg.Self.ID,
			DataCentre: cfg.Self.DataCentre,
			Seed:       cfg.Node.Seed,
			PauseAfter: pauseAfter,
		}),
	}
}

// Node returns the node. Its requests do not take the instance's lock.
func (i *Instance) Node() *node.Node {
	return i.node
}

// Tick performs periodic work. It is to be called every TickInterval.
func (i *Instance) Tick(now monotime.Instant) {
	i.node.Tick(now)
	i.apply(now, func() {
		i.checkPause(now)
		i.members.Tick(now, peerEffects{i})
		i.conf.Tick(now, i.confEffects(now))
	})
}

// checkPause requests a confirmation of the configuration as soon as the node holds
// dispatch back.
func (i *Instance) checkPause(now monotime.Instant) {
	since, paused := i.node.AwaitingConfirmation()
	if paused && !i.wasPaused {
		i.conf.OnPaused(now, now.Sub(since), i.confEffects(now))
	}
	i.wasPaused = paused
}

// apply runs do under the lock and propagates the resulting changes.
func (i *Instance) apply(now monotime.Instant, do func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	do()
	i.members.SetRevision(i.conf.Revision())
	i.propagateView(now)
	i.eff.SetLinkTargets(i.members.LinkTargets())
	_, age := i.conf.Confirmed(now)
	if age != confsync.NeverConfirmed {
		i.node.Confirm(now, now.Add(-age))
		i.lastConfirmed = now.Add(-age)
	}
	i.node.SetCutOff(i.isolated(now))
}

// isolated reports whether the instance has been without a confirmation for longer than
// the rules allow. A fleet of one instance is never isolated: it has no peers, and an
// unresponsive platform alone does not show that the instance is cut off.
func (i *Instance) isolated(now monotime.Instant) bool {
	cat := i.node.Catalog()
	view := i.node.View()
	if cat == nil || view == nil || view.Known <= 1 {
		return false
	}
	limit := time.Duration(cat.Rules.IsolatedServeS) * time.Second
	return now.Sub(i.lastConfirmed) > limit
}

// propagateView passes a changed membership view to the node and the configuration.
func (i *Instance) propagateView(now monotime.Instant) {
	view := i.members.View()
	if i.viewPropagated && view.Version == i.viewVersion {
		return
	}
	i.viewPropagated = true
	i.viewVersion = view.Version
	i.node.SetView(now, view)
	live := make([]confsync.Member, 0, len(view.Live))
	for _, m := range view.Live {
		live = append(live, confsync.Member{ID: m.ID, DataCentre: m.DataCentre})
	}
	i.conf.Members(now, live, i.members.Neighbours(), i.confEffects(now))
}

// OnLinkUp handles a link to a peer that has opened.
func (i *Instance) OnLinkUp(now monotime.Instant, id string) {
	i.node.LinkUp(now, id)
	i.apply(now, func() { i.members.OnLinkUp(now, id, peerEffects{i}) })
}

// OnLinkDown handles a link to a peer that has broken or cannot be opened.
func (i *Instance) OnLinkDown(now monotime.Instant, id string) {
	i.node.LinkDown(now, id)
	i.apply(now, func() { i.members.OnLinkDown(now, id) })
}

// OnEnvelope handles a message from a peer.
func (i *Instance) OnEnvelope(now monotime.Instant, from string, env *wire.Envelope) {
	if hasCoordination(env) {
		i.apply(now, func() { i.handleCoordination(now, from, env) })
	}
	i.node.OnEnvelope(now, from, env)
}

func hasCoordination(env *wire.Envelope) bool {
	return len(env.Members) > 0 || env.MemberSync != nil || env.Ping != nil || env.Pong != nil ||
		env.ConfigOffer != nil || env.ConfigWant != nil || env.ConfigPart != nil
}

// handleCoordination handles the parts in the order that links guarantee: a member table
// sent together with a ping is applied before the ping confirms it.
func (i *Instance) handleCoordination(now monotime.Instant, from string, env *wire.Envelope) {
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

// OnWatch handles the result of Effects.Watch.
func (i *Instance) OnWatch(now monotime.Instant, call confsync.Call, answer *platformapi.WatchAnswer, err error) {
	i.apply(now, func() { i.conf.OnWatch(now, call, answer, err, i.confEffects(now)) })
}

// OnManifest handles the result of Effects.FetchManifest.
func (i *Instance) OnManifest(now monotime.Instant, call confsync.Call, data []byte, err error) {
	i.apply(now, func() { i.conf.OnManifest(now, call, data, err, i.confEffects(now)) })
}

// OnChunk handles the result of Effects.FetchChunk.
func (i *Instance) OnChunk(now monotime.Instant, call confsync.Call, data []byte, err error) {
	i.apply(now, func() { i.conf.OnChunk(now, call, data, err, i.confEffects(now)) })
}

// OnInstances handles the result of Effects.FetchInstances.
func (i *Instance) OnInstances(now monotime.Instant, call confsync.Call, list *platformapi.InstanceList, err error) {
	i.apply(now, func() {
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

// Leave announces that the instance takes no new work from now on. It still serves
// requests that arrive.
func (i *Instance) Leave(now monotime.Instant) {
	i.apply(now, func() { i.members.Leave(now, peerEffects{i}) })
}

// Goodbye announces that the process ends now.
func (i *Instance) Goodbye(now monotime.Instant) {
	i.apply(now, func() { i.members.Goodbye(now, peerEffects{i}) })
}

// Status is the state of an instance apart from its requests.
type Status struct {
	// View of the membership.
	View *membership.View
	// Members counts membership events.
	Members membership.Stats
	// Conf counts configuration events.
	Conf confsync.Stats
	// Reader reports whether the instance watches the platform.
	Reader bool
	// ConfirmedAge is the time since the revision was last confirmed, or
	// confsync.NeverConfirmed.
	ConfirmedAge time.Duration
	// PlatformAge is the time since the platform confirmed the revision to this instance
	// or to one that it received this from, or confsync.NeverConfirmed.
	PlatformAge time.Duration
}

// Status returns the current state.
func (i *Instance) Status(now monotime.Instant) Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, age := i.conf.Confirmed(now)
	return Status{
		View:         i.members.View(),
		Members:      i.members.Stats(),
		Conf:         i.conf.Stats(),
		Reader:       i.conf.Reader(),
		ConfirmedAge: age,
		PlatformAge:  i.conf.PlatformAge(now),
	}
}

// peerEffects implements membership.Effects.
type peerEffects struct{ *Instance }

// SendPeer implements membership.Effects.
func (e peerEffects) SendPeer(to string, env *wire.Envelope) {
	e.eff.Send(to, env)
}

// confEffects implements confsync.Effects.
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

// Install implements confsync.Effects. The whole inventory is checked before any of it
// takes effect. Unchanged values are not parsed again.
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
