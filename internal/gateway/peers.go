package gateway

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/route"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// memberLife is how long an instance without a link is still tried: the
// longest restart of a machine and some more.
const memberLife = time.Minute

// newsTravel is taken off a peer's word for the time it was on its way: several
// times the usual, of some ms between data centres.
const newsTravel = 100 * time.Millisecond

// member is another instance.
type member struct {
	wire.RelayMember
	linked  bool
	leaving bool
	lostAt  monotime.Instant
	// differsSince is when its digest of servers began to differ from that of
	// this instance; 0 while it does not.
	differsSince monotime.Instant
}

// peers keeps the links to the other instances and takes their news. It
// implements peer.Handler.
type peers struct {
	self  wire.RelayMember
	fleet *fleet
	log   *zap.Logger
	links *peer.Links

	// warm says that what engines keep is known, from peers or engines.
	warm atomic.Bool

	mu      sync.Mutex
	members map[string]*member
	seeds   []string
	askedAt monotime.Instant // when a peer was last asked for its state
}

var _ peer.Handler = (*peers)(nil)

// LinkUp implements peer.Handler.
func (p *peers) LinkUp(id peer.Identity) {
	p.mu.Lock()
	p.members[id.ID] = &member{
		RelayMember: wire.RelayMember{
			ID: id.ID, Incarnation: id.Incarnation, DataCentre: id.DataCentre,
			CallerAddress: id.CallerAddress, PeerAddress: id.PeerAddress,
		},
		linked: true,
	}
	everyone := p.everyone()
	p.mu.Unlock()
	p.log.Info("peer_linked", zap.String("peer", id.ID), zap.String("incarnation", id.Incarnation))
	p.want()
	version := 0
	if table := p.fleet.Table(); table != nil {
		version = int(table.Version())
	}
	p.links.Send(id.ID, &wire.Envelope{News: []wire.RelayNews{{
		Members: everyone, ConfigVersion: version,
		StateWanted: !p.warm.Load() && p.mayAsk(monotime.Now()), Begun: p.fleet.running(),
	}}})
}

// LinkDown implements peer.Handler.
func (p *peers) LinkDown(id string, err error) {
	now := monotime.Now()
	p.mu.Lock()
	m := p.members[id]
	was := m != nil && m.linked
	if was {
		m.linked = false
		m.lostAt = now
	}
	p.mu.Unlock()
	if !was {
		return
	}
	p.log.Info("peer_lost", zap.String("peer", id), eventlog.Cause(err))
	p.fleet.board.InstanceGone(id, now)
	p.want()
}

// Envelope implements peer.Handler.
func (p *peers) Envelope(from string, env *wire.Envelope) {
	for i := range env.News {
		p.take(from, &env.News[i])
	}
}

func (p *peers) take(from string, news *wire.RelayNews) {
	p.takeMembers(from, news)
	p.takeRuns(from, news)
	if len(news.Servers) > 0 {
		p.takeServers(from, news.Servers)
	}
	p.compareServers(from, news)
	p.takeCaches(news)
	switch {
	case news.StateWanted:
		p.sendState(from, p.fleet.caches())
	case news.ServersWanted:
		p.sendState(from, nil)
	}
	p.takeConfig(from, news)
}

func (p *peers) takeMembers(from string, news *wire.RelayNews) {
	p.mu.Lock()
	if m := p.members[from]; m != nil && news.Leaving && !m.leaving {
		m.leaving = true
		p.log.Info("peer_leaving", zap.String("peer", from))
	}
	added := false
	for _, told := range news.Members {
		if told.ID != p.self.ID && p.members[told.ID] == nil {
			p.members[told.ID] = &member{RelayMember: told, lostAt: monotime.Now()}
			added = true
		}
	}
	p.mu.Unlock()
	if added {
		p.want()
	}
}

func (p *peers) takeRuns(from string, news *wire.RelayNews) {
	now := monotime.Now()
	for _, r := range news.Begun {
		p.fleet.board.Begin(placement.RunID{Instance: from, Number: r.Number}, r.Server, decodeRun(r), r.Unread, now)
	}
	for _, number := range news.First {
		p.fleet.board.First(placement.RunID{Instance: from, Number: number}, now)
	}
	for _, number := range news.Ended {
		p.fleet.board.End(placement.RunID{Instance: from, Number: number}, now)
	}
}

const (
	// freshWord is how old the store's word may be with a peer whose servers are
	// compared, in milliseconds.
	freshWord = 1500
	// differsFor is how long servers may differ: news of a change reach the
	// instances one after the other.
	differsFor = 400 * time.Millisecond
)

// compareServers asks a peer for all servers when its own have differed for a
// while. An instance that does not read the store depends on the news of peers,
// and news are lost when a link breaks. It would go on sending to a server that
// left, since nothing tells of it again.
func (p *peers) compareServers(from string, news *wire.RelayNews) {
	if news.Confirmed == 0 || news.Confirmed > freshWord {
		return
	}
	now := monotime.Now()
	p.mu.Lock()
	m := p.members[from]
	if m == nil || news.Digest == int(p.fleet.digest.Load()) {
		if m != nil {
			m.differsSince = 0
		}
		p.mu.Unlock()
		return
	}
	ask := m.differsSince != 0 && now.Sub(m.differsSince) >= differsFor
	if m.differsSince == 0 || ask {
		m.differsSince = now
	}
	p.mu.Unlock()
	if ask && p.mayAsk(now) {
		p.log.Info("servers_differ", zap.String("peer", from), zap.Int("confirmed_ms", news.Confirmed-1))
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{ServersWanted: true}}})
	}
}

// askInterval is the least time between questions for a peer's whole state. The
// answers of all peers at once would fill a small machine's link for a second.
const askInterval = 400 * time.Millisecond

// mayAsk reports whether a peer may be asked for its state now.
func (p *peers) mayAsk(now monotime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.askedAt != 0 && now.Sub(p.askedAt) < askInterval {
		return false
	}
	p.askedAt = now
	return true
}

// sendState tells a peer that asks the servers and what engines keep of prompts.
func (p *peers) sendState(to string, caches []wire.RelayCache) {
	state := wire.RelayNews{Servers: p.fleet.allServers(), Caches: caches}
	if len(state.Servers)+len(state.Caches) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{state}})
	}
}

// takeServers believes a peer what the store told it: each instance may be cut
// off from the store alone.
func (p *peers) takeServers(from string, told []wire.RelayServer) {
	p.fleet.update(from, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for _, s := range told {
			change := servers.Unchanged
			if s.Gone {
				change = r.Bury(s.ID, int64(s.Revision), now)
			} else {
				change = r.Put(servers.Server{
					ID: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
					Slots: s.Slots, Draining: s.Draining, Revision: int64(s.Revision),
				}, now)
			}
			if change != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		return ids
	})
}

// takeConfig takes a newer configuration, or asks for it.
func (p *peers) takeConfig(from string, news *wire.RelayNews) {
	if news.Confirmed > 0 {
		age := time.Duration(news.Confirmed-1) * time.Millisecond
		p.fleet.vouch(int64(news.ConfigVersion), monotime.Now().Add(-age-newsTravel))
	}
	table := p.fleet.Table()
	if news.ConfigWanted && table != nil {
		p.sendConfig(from, table)
	}
	if news.Config != "" {
		config := new(routing.Config)
		if err := json.Unmarshal([]byte(news.Config), config); err != nil {
			p.log.Error("config_of_peer_refused", zap.String("peer", from), eventlog.Cause(err))
			return
		}
		p.fleet.take(config, from)
		return
	}
	if news.ConfigVersion > 0 && (table == nil || int64(news.ConfigVersion) > table.Version()) {
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{ConfigWanted: true}}})
	}
}

func (p *peers) sendConfig(to string, table *routing.Table) {
	data, err := json.Marshal(table.Config())
	if err != nil {
		p.log.Error("config_not_sent", zap.String("peer", to), eventlog.Cause(err))
		return
	}
	p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{{
		ConfigVersion: int(table.Version()), Config: string(data),
	}}})
}

// broadcast sends news to every linked peer.
func (p *peers) broadcast(news *wire.RelayNews) {
	env := &wire.Envelope{News: []wire.RelayNews{*news}}
	for _, id := range p.linked() {
		p.links.Send(id, env)
	}
}

func (p *peers) linked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id, m := range p.members {
		if m.linked {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// setSeeds replaces the addresses to start from.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	p.seeds = seeds
	p.mu.Unlock()
	p.want()
}

// want keeps links to every known instance, and to seeds that are none of them.
func (p *peers) want() {
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []peer.Target
	taken := map[string]bool{p.self.PeerAddress: true}
	for id, m := range p.members {
		if !m.linked && now.Sub(m.lostAt) > memberLife {
			delete(p.members, id)
			continue
		}
		taken[m.PeerAddress] = true
		targets = append(targets, peer.Target{ID: id, Address: m.PeerAddress})
	}
	for _, seed := range p.seeds {
		if !taken[seed] {
			targets = append(targets, peer.Target{Address: seed})
		}
	}
	p.links.SetWanted(targets)
}

// everyone lists the linked instances and this one; mu is held.
func (p *peers) everyone() []wire.RelayMember {
	out := []wire.RelayMember{p.self}
	for _, m := range p.members {
		if m.linked {
			out = append(out, m.RelayMember)
		}
	}
	return out
}

// routeMembers returns the linked instances and this one.
func (p *peers) routeMembers() []route.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []route.Member
	for _, m := range p.everyone() {
		out = append(out, route.Member{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}

// rank returns this instance's place among the linked ones in an order that all
// of them agree on, and how many they are.
func (p *peers) rank() (place, of int) {
	members := p.routeMembers()
	own := rankHash(p.self.ID)
	for _, m := range members {
		if m.ID != p.self.ID && cmp.Or(cmp.Compare(rankHash(m.ID), own), cmp.Compare(m.ID, p.self.ID)) < 0 {
			place++
		}
	}
	return place, len(members)
}

func rankHash(id string) uint64 { return xxhash.Sum64String(id) }

// count returns the number of instances that are linked or were lately, this
// one among them.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.members)
}

// callers returns the callers' addresses of the linked instances that do not
// leave, by id.
func (p *peers) callers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []*member
	for _, m := range p.members {
		if m.linked && !m.leaving {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]string, 0, len(live))
	for _, m := range live {
		out = append(out, m.CallerAddress)
	}
	return out
}
