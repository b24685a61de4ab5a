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
	"basilrudder/internal/route"
	"basilrudder/internal/schema/wire"
)

// updateTravelTime is taken off a peer's word for the time it was on its way: several
// times the usual, of some ms between data centres.
const updateTravelTime = 100 * time.Millisecond

// peers keeps the links to other instances and takes their news. It implements
// peer.Handler.
type peers struct {
	fleet   *fleet
	log     *zap.Logger
	links   *peer.Links
	configs *configSync

	// cachesComplete says that what all engines keep is known, from a peer that knew it or from
	// the engines. What some peer has just heard of a few does not count.
	cachesComplete atomic.Bool
	// cachesReceived says that some peer has told what engines keep. Each answer to a question
	// for it is as long as all servers and caches together, so peers are asked only until
	// the first.
	cachesReceived atomic.Bool

	mu               sync.Mutex
	node             *overlay.Node
	differences      map[string]difference // by peer
	stateRequestedAt monotime.Instant      // when a peer was last asked for its state
	loggedRole       role                  // what was last logged
	updatesLate      bool                  // news come late, as was last logged
	// refreshPending says that a refresh is due.
	refreshPending bool
}

// refreshDelay is how long changes of what is known are gathered. While a fleet starts
// each instance hears of each other one by itself, and 360 refreshes of half a
// millisecond would keep a small machine from its callers for a second.
const refreshDelay = 10 * time.Millisecond

// role is what an instance does for the others.
type role struct {
	name, primary string
}

func newPeers(self wire.RelayMember, seeds []string, f *fleet, log *zap.Logger) *peers {
	p := &peers{
		fleet: f, log: log, node: overlay.New(self, seeds, monotime.Now()),
		configs:     newConfigSync(self.ID, f, log),
		differences: make(map[string]difference),
	}
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
	p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{greeting}})
	for list := range slices.Chunk(p.fleet.crashes.encodeAll(now), crashesPerMessage) {
		p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{{Crashes: list}}})
	}
	p.scheduleRefresh()
}

// needsState reports whether the next peer is to be asked for what it knows.
func (p *peers) needsState() bool { return !p.cachesComplete.Load() && !p.cachesReceived.Load() }

// LinkDown implements peer.Handler.
func (p *peers) LinkDown(id string, err error) {
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.LinkDown(id, now)
	delete(p.differences, id)
	p.log.Info("peer_lost", zap.String("peer", id), eventlog.Cause(err))
	// At once, before the links look what to dial: of a link that the peer dropped
	// because nobody needs it, this side would open another one, for good.
	p.updateWantedLinks(now)
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
	if p.node.Holds() {
		p.fleet.updates.scheduleFlush()
	}
	if changed {
		p.scheduleRefresh()
	}
}

// scheduleRefresh has a refresh follow; mu is held.
func (p *peers) scheduleRefresh() {
	if p.refreshPending {
		return
	}
	p.refreshPending = true
	time.AfterFunc(refreshDelay, func() {
		p.mu.Lock()
		p.refresh(monotime.Now())
		p.mu.Unlock()
		p.configs.updateLinked(p.linked)
	})
}

// refresh does what follows from a change of what is known; mu is held, so that what
// it sends goes out in the order of the changes.
func (p *peers) refresh(now monotime.Instant) {
	p.refreshPending = false
	effects := p.node.Refresh(now)
	p.fleet.throttle.SetMembers(p.node.Sharers())
	for _, id := range effects.Lost {
		p.log.Info("instance_lost", zap.String("peer", id))
		p.fleet.board.InstanceGone(id, now)
	}
	for _, ask := range effects.Asks {
		p.links.Send(ask.To, &wire.Envelope{News: []wire.RelayNews{{Feed: int(ask.Feed)}}})
	}
	if effects.MembersFrom != "" {
		p.links.Send(effects.MembersFrom, &wire.Envelope{News: []wire.RelayNews{{MembersWanted: true}}})
	}
	p.updateWantedLinks(now)
	if p.node.LinksChanged() {
		p.fleet.updates.scheduleFlush()
	}
	p.logRole(now)
}

// updateWantedLinks tells the links which of them are wanted; mu is held.
func (p *peers) updateWantedLinks(now monotime.Instant) {
	wanted := p.node.Wanted(now)
	targets := make([]peer.Target, 0, len(wanted))
	for _, t := range wanted {
		targets = append(targets, peer.Target{ID: t.ID, Address: t.Address})
	}
	p.links.SetWanted(targets)
}

// logRole logs what this instance does for the others, as it changes.
func (p *peers) logRole(now monotime.Instant) {
	current := role{p.node.Role(), p.node.Primary()}
	if current == p.loggedRole {
		return
	}
	p.loggedRole = current
	p.log.Info("news_role", zap.String("role", current.name), zap.String("hub", current.primary),
		zap.Int("links", len(p.node.Linked())), zap.Int("instances", len(p.node.Alive())),
		zap.Duration("news_age_ms", p.node.Staleness(now)))
}

// tick does what is due by time alone.
func (p *peers) tick(now monotime.Instant) {
	p.configs.updateLinked(p.linked)
	p.configs.tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	for _, id := range p.node.Surplus(now) {
		p.links.Drop(id)
	}
	p.logLateness(now)
}

const (
	// lateUpdateAge is the age from which on news count as late: requests are then placed on
	// engines that have been given some ten others meanwhile. newsFresh is the age at
	// which they no longer do.
	lateUpdateAge  = 200 * time.Millisecond
	freshUpdateAge = 100 * time.Millisecond
)

// logLateness logs that news come late, and that they no longer do.
func (p *peers) logLateness(now monotime.Instant) {
	age := p.node.Staleness(now)
	switch {
	case !p.updatesLate && age >= lateUpdateAge:
		p.updatesLate = true
		p.log.Warn("news_late", zap.String("hub", p.node.Primary()), zap.Duration("news_age_ms", age), zap.Int("missed", p.node.Missed()))
	case p.updatesLate && age <= freshUpdateAge:
		p.updatesLate = false
		p.log.Info("news_fresh", zap.String("hub", p.node.Primary()), zap.Duration("news_age_ms", age), zap.Int("missed", p.node.Missed()))
	}
}

// updateMetrics is what an operator asks about the news of other instances.
type updateMetrics struct {
	Role      string `json:"role"`
	Hub       string `json:"hub"`
	Links     int    `json:"links"`
	Instances int    `json:"instances"`
	AgeMS     int64  `json:"age_ms"`
	Missed    int    `json:"missed"`
}

// metrics returns what is known of the news now, for metrics.
func (p *peers) metrics() updateMetrics {
	p.mu.Lock()
	defer p.mu.Unlock()
	return updateMetrics{
		Role: p.node.Role(), Hub: p.node.Primary(), Links: len(p.node.Linked()),
		Instances: len(p.node.Alive()), AgeMS: p.node.Staleness(monotime.Now()).Milliseconds(), Missed: p.node.Missed(),
	}
}

// batchDelay is how long news are gathered before they are sent.
func (p *peers) batchDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Gather()
}

// due reports whether peers are to be told something although nothing happened.
func (p *peers) due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Due(monotime.Now())
}

// staleness is about how long after a choice of another instance it is known here.
func (p *peers) staleness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Staleness(monotime.Now())
}

// broadcast sends own news and those held for others.
func (p *peers) broadcast(own *wire.RelayNews, since monotime.Instant, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, frame := range p.node.Flush(*own, since, urgent, monotime.Now()) {
		p.links.Broadcast(frame.To, &wire.Envelope{News: frame.News})
	}
}

// leave has other instances take over what this one does for them.
func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.Leave()
	p.refresh(monotime.Now())
}

func (p *peers) linked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Linked()
}

// setSeeds replaces the addresses to start from.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetSeeds(seeds)
	p.refresh(monotime.Now())
}

// routeMembers returns the instances that can be reached and this one.
func (p *peers) routeMembers() []route.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []route.Member
	for _, m := range p.node.Alive() {
		out = append(out, route.Member{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}

// rank returns this instance's place among those that can be reached in an order that
// all of them agree on, and how many they are.
func (p *peers) rank() (place, of int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Rank()
}

// hasHub reports whether this instance hasHub all news over a hub.
func (p *peers) hasHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Primary() != ""
}

// count returns the number of instances that can be reached or could be lately, this
// one among them.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Known()
}

// staying returns the instances that can be reached and do not leave, by id.
func (p *peers) staying() []wire.RelayMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Staying()
}

// configVersion of the configuration in force, or 0.
func (p *peers) configVersion() int { return int(p.fleet.configVersion()) }
