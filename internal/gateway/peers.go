package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/overlay"
	"basilrudder/internal/peer"
	"basilrudder/internal/schema/wire"
)

// updateTravelTime is subtracted from the time of a peer's confirmation for its travel:
// several times the usual few ms between data centres.
const updateTravelTime = 100 * time.Millisecond

// peers keeps the links to other instances and applies their updates. It implements
// peer.Handler.
type peers struct {
	fleet   *fleet
	log     *zap.Logger
	links   *peer.Links
	configs *configSync

	// cachesComplete is set once the cache state of all engines is tracked, received from
	// a peer that had it or read from the engines. The state of a few engines that a peer
	// has just read does not count.
	cachesComplete atomic.Bool
	// cachesReceived is set once any peer has sent cache state. Each answer to a request
	// for it is as long as all servers and caches together, so peers are asked only until
	// the first.
	cachesReceived atomic.Bool

	mu               sync.Mutex
	node             *overlay.Node
	differences      map[string]difference // by peer
	stateRequestedAt monotime.Instant      // when a peer was last asked for its state
	loggedRole       role                  // role last logged
	updatesLate      bool                  // updates were late when last logged
	refusedPaces     refusedPaces
	// refreshPending is set while a refresh is scheduled.
	refreshPending bool
}

// role is what an instance does for the others, and its primary hub.
type role struct {
	name, primary string
}

func newPeers(self wire.RelayMember, seeds []string, f *fleet, log *zap.Logger) *peers {
	p := &peers{
		fleet: f, log: log, node: overlay.New(self, seeds, monotime.Now()),
		configs:     newConfigSync(self.ID, f, log),
		differences: make(map[string]difference),
	}
	f.streams.ask = p.askStreams
	p.configs.send = func(to string, env *wire.Envelope) bool { return p.links.Send(to, env) }
	return p
}

var _ peer.Handler = (*peers)(nil)

// LinkUp implements peer.Handler.
func (p *peers) LinkUp(id peer.Identity) {
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	replaced := p.node.LinkUp(wire.RelayMember{
		ID: id.ID, Incarnation: id.Incarnation, DataCentre: id.DataCentre,
		CallerAddress: id.CallerAddress, PeerAddress: id.PeerAddress, Capacity: id.Capacity,
	}, now)
	if replaced {
		p.fleet.board.InstanceGone(id.ID, now)
	}
	p.log.Info("peer_linked", zap.String("peer", id.ID), zap.String("incarnation", id.Incarnation))
	greeting := p.node.Greeting()
	greeting.ConfigVersion = p.configVersion()
	greeting.StateWanted = p.needsState() && p.mayRequestState(now)
	if greeting.StateWanted {
		greeting.ServerDigests = p.fleet.serverDigests()
	}
	p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{greeting}})
	for list := range slices.Chunk(p.fleet.crashes.encodeFalls(now), crashesPerMessage) {
		p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{{Falls: list}}})
	}
	for list := range slices.Chunk(p.fleet.crashes.encodeAll(now), crashesPerMessage) {
		p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{{Crashes: list}}})
	}
	p.scheduleRefresh()
}

// needsState reports whether the next peer is to be asked for its state.
func (p *peers) needsState() bool { return !p.cachesComplete.Load() && !p.cachesReceived.Load() }

// LinkDown implements peer.Handler.
func (p *peers) LinkDown(id string, err error) {
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.LinkDown(id, now)
	delete(p.differences, id)
	p.log.Info("peer_lost", zap.String("peer", id), eventlog.Cause(err))
	// At once, before the links decide what to dial: this side would reopen, for good, a
	// link that the peer dropped because it is not needed.
	p.updateLinkTargets(now)
	p.scheduleRefresh()
}

// Envelope implements peer.Handler.
func (p *peers) Envelope(from string, env *wire.Envelope) {
	p.configs.receive(from, env)
	changed := false
	for i := range env.News {
		changed = p.receive(from, &env.News[i]) || changed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node.HasPending() {
		p.fleet.updates.scheduleFlush()
	}
	if changed {
		p.scheduleRefresh()
	}
}

// scheduleRefresh schedules a refresh. mu is held.
func (p *peers) scheduleRefresh() {
	if p.refreshPending {
		return
	}
	p.refreshPending = true
	time.AfterFunc(p.node.RefreshDelay(), func() {
		p.mu.Lock()
		p.refresh(monotime.Now())
		p.mu.Unlock()
		p.configs.updateLinked(p.linked)
	})
}

// refresh applies what follows from a change of the view. mu is held, so that messages
// are sent in the order of the changes.
func (p *peers) refresh(now monotime.Instant) {
	p.refreshPending = false
	effects := p.node.Refresh(now)
	if effects.MembersChanged {
		p.fleet.throttle.SetMembers(p.node.Sharers())
	}
	for _, id := range effects.Lost {
		p.log.Info("instance_lost", zap.String("peer", id))
		p.fleet.board.InstanceGone(id, now)
	}
	for _, ask := range effects.FeedRequests {
		p.links.Send(ask.To, &wire.Envelope{News: []wire.RelayNews{{Feed: int(ask.Feed)}}})
	}
	if effects.RequestMembersFrom != "" {
		p.links.Send(effects.RequestMembersFrom, &wire.Envelope{News: []wire.RelayNews{{MembersWanted: true}}})
	}
	p.updateLinkTargets(now)
	if p.node.LinksChanged() {
		p.fleet.updates.scheduleFlush()
	}
	p.logRole(now)
}

// updateLinkTargets sets the links to keep or to open. mu is held.
func (p *peers) updateLinkTargets(now monotime.Instant) {
	needed := p.node.LinkTargets(now)
	targets := make([]peer.Target, 0, len(needed))
	for _, t := range needed {
		targets = append(targets, peer.Target{ID: t.ID, Address: t.Address})
	}
	p.links.SetTargets(targets)
}

// logRole logs this instance's role when it changes.
func (p *peers) logRole(now monotime.Instant) {
	current := role{p.node.Role(), p.node.Primary()}
	if current == p.loggedRole {
		return
	}
	p.loggedRole = current
	p.log.Info("news_role", zap.String("role", current.name), zap.String("hub", current.primary),
		zap.Int("links", len(p.node.Linked())), zap.Int("instances", len(p.node.Reachable())),
		zap.Duration("news_age_ms", p.node.Staleness(now)))
}

// tick runs the tasks that depend on time alone.
func (p *peers) tick(now monotime.Instant) {
	p.configs.updateLinked(p.linked)
	p.configs.tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	for _, id := range p.node.SurplusLinks(now) {
		p.links.Drop(id)
	}
	p.logLateness(now)
}

const (
	// lateUpdateAge is the age from which updates count as late: requests are then placed
	// on engines that have received some ten others meanwhile. freshUpdateAge is the age
	// at which they no longer do.
	lateUpdateAge  = 200 * time.Millisecond
	freshUpdateAge = 100 * time.Millisecond
)

// logLateness logs that updates are late, and that they no longer are.
func (p *peers) logLateness(now monotime.Instant) {
	age := p.node.Staleness(now)
	switch {
	case !p.updatesLate && age >= lateUpdateAge:
		p.updatesLate = true
		p.log.Warn("news_late", zap.String("hub", p.node.Primary()), zap.Duration("news_age_ms", age), zap.Int("missed", p.node.MissedUpdates()))
	case p.updatesLate && age <= freshUpdateAge:
		p.updatesLate = false
		p.log.Info("news_fresh", zap.String("hub", p.node.Primary()), zap.Duration("news_age_ms", age), zap.Int("missed", p.node.MissedUpdates()))
	}
}

// updateMetrics is the state of updates of other instances in the metrics.
type updateMetrics struct {
	Role      string `json:"role"`
	Hub       string `json:"hub"`
	Links     int    `json:"links"`
	Instances int    `json:"instances"`
	AgeMS     int64  `json:"age_ms"`
	Missed    int    `json:"missed"`
}

// metrics returns the current state of updates.
func (p *peers) metrics() updateMetrics {
	p.mu.Lock()
	defer p.mu.Unlock()
	return updateMetrics{
		Role: p.node.Role(), Hub: p.node.Primary(), Links: len(p.node.Linked()),
		Instances: len(p.node.Reachable()), AgeMS: p.node.Staleness(monotime.Now()).Milliseconds(), Missed: p.node.MissedUpdates(),
	}
}

// batchDelay returns how long updates are collected before they are sent.
func (p *peers) batchDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.BatchDelay()
}

// due reports whether a status is to be sent to peers although there is no update.
func (p *peers) due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.StatusDue(monotime.Now())
}

// staleness returns about how long a choice of another instance takes to be recorded
// here.
func (p *peers) staleness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Staleness(monotime.Now())
}

// broadcast sends an update of this instance and those held for others.
func (p *peers) broadcast(own *wire.RelayNews, since monotime.Instant, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, frame := range p.node.Flush(*own, since, urgent, monotime.Now()) {
		p.links.Broadcast(frame.To, &wire.Envelope{News: frame.Updates})
	}
}

// leave hands over to other instances what this one does for them.
func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.Leave()
	p.refresh(monotime.Now())
}

// setSeeds replaces the seed addresses.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetSeeds(seeds)
	p.refresh(monotime.Now())
}

// configVersion returns the version of the configuration in force, or 0.
func (p *peers) configVersion() int { return int(p.fleet.configVersion()) }
