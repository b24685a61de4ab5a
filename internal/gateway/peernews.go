package gateway

import (
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/overlay"
	"basilrudder/internal/placement"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// take takes one of the news in a message. It reports whether the links may have to
// change for it.
func (p *peers) take(from string, news *wire.RelayNews) (changed bool) {
	now := monotime.Now()
	p.mu.Lock()
	receipt, ok := p.node.Receive(from, news, now)
	if !ok {
		p.mu.Unlock()
		return receipt.Changed
	}
	// With mu held, so that news of one origin that come over two links count in order.
	p.takeRuns(receipt.Origin, news, now)
	if receipt.RequestedFeed != overlay.FeedUnchanged {
		p.sendRuns(from, receipt.RequestedFeed, now)
	}
	if news.MembersWanted {
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{Members: p.node.Reachable()}}})
	}
	p.mu.Unlock()
	// Before servers: a process that starts must not send to an evacuated data centre.
	p.fleet.takeEvacuations(receipt.Origin, decodeEvacuations(news.Evacuations))
	if len(news.Servers) > 0 {
		p.takeServers(receipt.Origin, news.Servers, servers.Revision(news.ServersListed))
	}
	p.takeCrashes(receipt.Origin, news, news.Origin == "")
	p.takeCaches(news)
	p.takeEvidence(receipt.Origin, news)
	if receipt.Direct {
		p.takeStatus(from, news)
	}
	return receipt.Changed
}

// takeStatus takes what a peer tells this instance alone.
func (p *peers) takeStatus(from string, news *wire.RelayNews) {
	p.compareServers(from, news)
	switch {
	case news.StateWanted:
		p.sendState(from, p.fleet.caches())
	case news.ServersWanted:
		p.sendState(from, nil)
	}
	p.takeConfig(from, news)
}

func (p *peers) takeRuns(origin string, news *wire.RelayNews, now monotime.Instant) {
	board := p.fleet.board
	if news.Whole {
		p.takeWhole(origin, news, now)
		return
	}
	for _, r := range news.Begun {
		board.Begin(placement.RunID{Instance: origin, Number: r.Number}, r.Server, decodeRun(r), r.Unread, now)
		p.fleet.throttle.RecordRequest(r.Server, now)
	}
	for _, number := range news.First {
		board.FirstEvent(placement.RunID{Instance: origin, Number: number}, now)
	}
	for _, number := range news.Ended {
		board.End(placement.RunID{Instance: origin, Number: number}, now)
	}
}

// takeWhole takes all runs of an instance in place of those known: news of it may have
// been missed while there was no way for them.
func (p *peers) takeWhole(origin string, news *wire.RelayNews, now monotime.Instant) {
	board := p.fleet.board
	states := make([]placement.RunState, 0, len(news.Begun))
	for _, r := range news.Begun {
		states = append(states, placement.RunState{Number: r.Number, Server: r.Server, Work: decodeRun(r), Unread: r.Unread})
	}
	for _, s := range board.ReconcileRuns(origin, states, now) {
		board.Begin(placement.RunID{Instance: origin, Number: s.Number}, s.Server, s.Work, s.Unread, now)
	}
	for _, number := range news.First {
		board.FirstEvent(placement.RunID{Instance: origin, Number: number}, now)
	}
}

// sendRuns tells a peer the runs that it lacks for a feed that it asked for; mu is held.
func (p *peers) sendRuns(to string, feed overlay.Feed, now monotime.Instant) {
	runs := p.fleet.board.Runs(now)
	state := p.node.FeedState(to, feed)
	for i := range state {
		news := &state[i]
		id, ok := p.node.Instance(news.Origin)
		if !ok {
			continue
		}
		for _, r := range runs[id] {
			news.Begun = append(news.Begun, encodeState(r))
			if r.First {
				news.First = append(news.First, r.Number)
			}
		}
	}
	p.links.Send(to, &wire.Envelope{News: state})
	if told := p.fleet.evidence(); len(told) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{{Evidence: told}}})
	}
}

const (
	// freshWord is how old the store's word may be with a peer whose servers are
	// compared, in milliseconds.
	freshWord = 1500
	// differsFor is how long servers may differ: news of a change reach the
	// instances one after the other.
	differsFor = 400 * time.Millisecond
	// differsMost bounds how often that is doubled: an answer is some 30 KB, and while a
	// link is so slow that news come late the servers differ whatever is asked.
	differsMost = 4
)

// difference is since when the servers of a peer are others than those known here, or
// when it was last asked for them, and how often it was.
type difference struct {
	since monotime.Instant
	asked int
}

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
	defer p.mu.Unlock()
	if news.Digest == int(p.fleet.digest.Load()) {
		delete(p.differs, from)
		return
	}
	d, differed := p.differs[from]
	ask := differed && now.Sub(d.since) >= differsFor<<min(d.asked, differsMost)
	if !differed || ask {
		d.since = now
	}
	if ask {
		d.asked++
	}
	p.differs[from] = d
	if ask && p.mayAsk(now) {
		p.log.Info("servers_differ", zap.String("peer", from), zap.Int("confirmed_ms", news.Confirmed-1))
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{ServersWanted: true}}})
	}
}

// askInterval is the least time between questions for a peer's whole state. The
// answers of all peers at once would fill a small machine's link for a second.
const askInterval = 400 * time.Millisecond

// mayAsk reports whether a peer may be asked for its state now; mu is held.
func (p *peers) mayAsk(now monotime.Instant) bool {
	if p.askedAt != 0 && now.Sub(p.askedAt) < askInterval {
		return false
	}
	p.askedAt = now
	return true
}

// sendState tells a peer that asks the evacuations, the servers and, behind whatever else
// is sent to it, what engines keep of prompts.
func (p *peers) sendState(to string, caches []wire.RelayCache) {
	state := p.stateNews()
	if len(state.Evacuations)+len(state.Servers) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{state}})
	}
	for _, news := range p.cacheNews(caches) {
		p.links.SendBulk(to, &wire.Envelope{News: []wire.RelayNews{news}})
	}
}

func (p *peers) stateNews() wire.RelayNews {
	return wire.RelayNews{
		Evacuations:   encodeEvacuations(p.fleet.allEvacuations()),
		ServersListed: int(p.fleet.listed()),
		Servers:       p.fleet.allServers(),
	}
}

// cacheNews returns what engines keep in messages of bounded size. The last one says
// whether they tell of all engines.
func (p *peers) cacheNews(caches []wire.RelayCache) (out []wire.RelayNews) {
	for _, some := range splitCaches(caches) {
		out = append(out, wire.RelayNews{Caches: some})
	}
	if len(out) > 0 {
		out[len(out)-1].CachesWhole = p.warm.Load()
	}
	return out
}

// takeServers believes a peer what the store told it: each instance may be cut
// off from the store alone. listed is the revision of the full list that is told; 0 for
// changes.
func (p *peers) takeServers(from string, told []wire.RelayServer, listed servers.Revision) {
	p.fleet.update(from, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		present := make(map[string]bool, len(told))
		for _, s := range told {
			present[s.ID] = !s.Gone
			if !r.Plausible(servers.Revision(s.Revision)) {
				continue
			}
			change := servers.Unchanged
			if s.Gone {
				change = r.MarkGone(s.ID, servers.Revision(s.Revision), now)
			} else {
				change = r.Put(servers.Server{
					ID: s.ID, Name: s.Name, Born: int64(s.Born), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
					Slots: s.Slots, Draining: s.Draining, Invalid: s.Invalid, Revision: servers.Revision(s.Revision),
					ColdLeft: milliseconds(s.ColdMS),
				}, now)
			}
			bound := r.SetRateLimit(s.ID, decodeBound(&s, now))
			if change != servers.Unchanged || bound != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		if listed != 0 && r.Plausible(listed) {
			ids = append(ids, r.ApplyPeerList(present, listed, now)...)
		}
		return ids
	})
}

// takeConfig takes what a peer tells of the configuration in force there.
func (p *peers) takeConfig(from string, news *wire.RelayNews) {
	if news.Confirmed > 0 {
		age := time.Duration(news.Confirmed-1) * time.Millisecond
		p.fleet.vouch(int64(news.ConfigVersion), monotime.Now().Add(-age-newsTravel))
	}
	p.configs.heard(from, news.ConfigVersion)
}
