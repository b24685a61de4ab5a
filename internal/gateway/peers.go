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

// newsTravel is taken off a peer's word for the time it was on its way: several
// times the usual, of some ms between data centres.
const newsTravel = 100 * time.Millisecond

// peers keeps the links to other instances and takes their news. It implements
// peer.Handler.
type peers struct {
	fleet   *fleet
	log     *zap.Logger
	links   *peer.Links
	configs *configs

	// warm says that what all engines keep is known, from a peer that knew it or from
	// the engines. What some peer has just heard of a few does not count.
	warm atomic.Bool
	// informed says that some peer has told what engines keep. Each answer to a question
	// for it is as long as all servers and caches together, so peers are asked only until
	// the first.
	informed atomic.Bool

	mu      sync.Mutex
	node    *overlay.Node
	differs map[string]difference // by peer
	askedAt monotime.Instant      // when a peer was last asked for its state
	logged  role                  // what was last logged
	late    bool                  // news come late, as was last logged
	// refreshing says that a refresh is due.
	refreshing bool
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
		configs: newConfigs(self.ID, f, log),
		differs: make(map[string]difference),
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
	greeting.ConfigVersion = p.version()
	greeting.StateWanted = p.wantsState() && p.mayAsk(now)
	p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{greeting}})
	for told := range slices.Chunk(p.fleet.crashes.all(now), crashesAtOnce) {
		p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{{Crashes: told}}})
	}
	p.refreshSoon()
}

// wantsState reports whether the next peer is to be asked for what it knows.
func (p *peers) wantsState() bool { return !p.warm.Load() && !p.informed.Load() }

// LinkDown implements peer.Handler.
func (p *peers) LinkDown(id string, err error) {
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.LinkDown(id, now)
	delete(p.differs, id)
	p.log.Info("peer_lost", zap.String("peer", id), eventlog.Cause(err))
	// At once, before the links look what to dial: of a link that the peer dropped
	// because nobody needs it, this side would open another one, for good.
	p.setWanted(now)
	p.refreshSoon()
}

// Envelope implements peer.Handler.
func (p *peers) Envelope(from string, env *wire.Envelope) {
	p.configs.take(from, env)
	changed := false
	for i := range env.News {
		changed = p.take(from, &env.News[i]) || changed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node.HasPending() {
		p.fleet.news.pass()
	}
	if changed {
		p.refreshSoon()
	}
}

// refreshSoon has a refresh follow; mu is held.
func (p *peers) refreshSoon() {
	if p.refreshing {
		return
	}
	p.refreshing = true
	time.AfterFunc(refreshDelay, func() {
		p.mu.Lock()
		p.refresh(monotime.Now())
		p.mu.Unlock()
		p.configs.relink(p.linked)
	})
}

// refresh does what follows from a change of what is known; mu is held, so that what
// it sends goes out in the order of the changes.
func (p *peers) refresh(now monotime.Instant) {
	p.refreshing = false
	effects := p.node.Refresh(now)
	p.fleet.throttle.SetMembers(p.node.Sharers())
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
	p.setWanted(now)
	if p.node.LinksChanged() {
		p.fleet.news.pass()
	}
	p.logRole(now)
}

// setWanted tells the links which of them are wanted; mu is held.
func (p *peers) setWanted(now monotime.Instant) {
	wanted := p.node.LinkTargets(now)
	targets := make([]peer.Target, 0, len(wanted))
	for _, t := range wanted {
		targets = append(targets, peer.Target{ID: t.ID, Address: t.Address})
	}
	p.links.SetTargets(targets)
}

// logRole logs what this instance does for the others, as it changes.
func (p *peers) logRole(now monotime.Instant) {
	is := role{p.node.Role(), p.node.Primary()}
	if is == p.logged {
		return
	}
	p.logged = is
	p.log.Info("news_role", zap.String("role", is.name), zap.String("hub", is.primary),
		zap.Int("links", len(p.node.Linked())), zap.Int("instances", len(p.node.Reachable())),
		zap.Duration("news_age_ms", p.node.Staleness(now)))
}

// tick does what is due by time alone.
func (p *peers) tick(now monotime.Instant) {
	p.configs.relink(p.linked)
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
	// newsLate is the age from which on news count as late: requests are then placed on
	// engines that have been given some ten others meanwhile. newsFresh is the age at
	// which they no longer do.
	newsLate  = 200 * time.Millisecond
	newsFresh = 100 * time.Millisecond
)

// logLateness logs that news come late, and that they no longer do.
func (p *peers) logLateness(now monotime.Instant) {
	age := p.node.Staleness(now)
	switch {
	case !p.late && age >= newsLate:
		p.late = true
		p.log.Warn("news_late", zap.String("hub", p.node.Primary()), zap.Duration("news_age_ms", age), zap.Int("missed", p.node.MissedUpdates()))
	case p.late && age <= newsFresh:
		p.late = false
		p.log.Info("news_fresh", zap.String("hub", p.node.Primary()), zap.Duration("news_age_ms", age), zap.Int("missed", p.node.MissedUpdates()))
	}
}

// newsState is what an operator asks about the news of other instances.
type newsState struct {
	Role      string `json:"role"`
	Hub       string `json:"hub"`
	Links     int    `json:"links"`
	Instances int    `json:"instances"`
	AgeMS     int64  `json:"age_ms"`
	Missed    int    `json:"missed"`
}

// state returns what is known of the news now, for metrics.
func (p *peers) state() newsState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return newsState{
		Role: p.node.Role(), Hub: p.node.Primary(), Links: len(p.node.Linked()),
		Instances: len(p.node.Reachable()), AgeMS: p.node.Staleness(monotime.Now()).Milliseconds(), Missed: p.node.MissedUpdates(),
	}
}

// gather is how long news are gathered before they are sent.
func (p *peers) gather() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.BatchDelay()
}

// due reports whether peers are to be told something although nothing happened.
func (p *peers) due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.StatusDue(monotime.Now())
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
		p.links.Broadcast(frame.To, &wire.Envelope{News: frame.Updates})
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
	for _, m := range p.node.Reachable() {
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

// hears reports whether this instance hears all news over a hub.
func (p *peers) hears() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Primary() != ""
}

// count returns the number of instances that can be reached or could be lately, this
// one among them.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.MemberCount()
}

// staying returns the instances that can be reached and do not leave, by id.
func (p *peers) staying() []wire.RelayMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Staying()
}

// version of the configuration in force, or 0.
func (p *peers) version() int { return int(p.fleet.version()) }
