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

// receive takes one of the news in a message. It reports whether the links may have to
// change for it.
func (p *peers) receive(from string, update *wire.RelayNews) (changed bool) {
	now := monotime.Now()
	p.mu.Lock()
	receipt, ok := p.node.Receive(from, update, now)
	if !ok {
		p.mu.Unlock()
		return receipt.Changed
	}
	// With mu held, so that news of one origin that come over two links count in order.
	p.applyRuns(receipt.Origin, update, now)
	if receipt.State != overlay.FeedUnchanged {
		p.sendRuns(from, receipt.State, now)
	}
	if update.MembersWanted {
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{Members: p.node.Alive()}}})
	}
	p.mu.Unlock()
	// Before servers: a process that starts must not send to an evacuated data centre.
	p.fleet.applyEvacuations(receipt.Origin, decodeEvacuations(update.Evacuations))
	if len(update.Servers) > 0 {
		p.applyServers(receipt.Origin, update.Servers, servers.Revision(update.ServersListed))
	}
	p.applyCrashes(receipt.Origin, update, update.Origin == "")
	p.applyCaches(update)
	p.applyPaceStats(receipt.Origin, update)
	if receipt.Direct {
		p.applyStatus(from, update)
	}
	return receipt.Changed
}

// applyStatus takes what a peer tells this instance alone.
func (p *peers) applyStatus(from string, update *wire.RelayNews) {
	p.compareServers(from, update)
	switch {
	case update.StateWanted:
		p.sendState(from, p.fleet.cacheStates())
	case update.ServersWanted:
		p.sendState(from, nil)
	}
	p.applyConfigStatus(from, update)
}

func (p *peers) applyRuns(origin string, update *wire.RelayNews, now monotime.Instant) {
	board := p.fleet.board
	if update.Whole {
		p.replaceRuns(origin, update, now)
		return
	}
	for _, r := range update.Begun {
		board.Begin(placement.RunID{Instance: origin, Number: r.Number}, r.Server, decodeRun(r), r.Unread, now)
		p.fleet.throttle.Note(r.Server, now)
	}
	for _, number := range update.First {
		board.First(placement.RunID{Instance: origin, Number: number}, now)
	}
	for _, number := range update.Ended {
		board.End(placement.RunID{Instance: origin, Number: number}, now)
	}
}

// replaceRuns takes all runs of an instance in place of those known: news of it may have
// been missed while there was no way for them.
func (p *peers) replaceRuns(origin string, update *wire.RelayNews, now monotime.Instant) {
	board := p.fleet.board
	states := make([]placement.RunState, 0, len(update.Begun))
	for _, r := range update.Begun {
		states = append(states, placement.RunState{Number: r.Number, Server: r.Server, Work: decodeRun(r), Unread: r.Unread})
	}
	for _, s := range board.Keep(origin, states, now) {
		board.Begin(placement.RunID{Instance: origin, Number: s.Number}, s.Server, s.Work, s.Unread, now)
	}
	for _, number := range update.First {
		board.First(placement.RunID{Instance: origin, Number: number}, now)
	}
}

// sendRuns tells a peer the runs that it lacks for a feed that it asked for; mu is held.
func (p *peers) sendRuns(to string, feed overlay.Feed, now monotime.Instant) {
	runs := p.fleet.board.Runs(now)
	state := p.node.State(to, feed)
	for i := range state {
		update := &state[i]
		id, ok := p.node.Instance(update.Origin)
		if !ok {
			continue
		}
		for _, r := range runs[id] {
			update.Begun = append(update.Begun, encodeRunState(r))
			if r.First {
				update.First = append(update.First, r.Number)
			}
		}
	}
	p.links.Send(to, &wire.Envelope{News: state})
	if stats := p.fleet.paceStats(); len(stats) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{{Evidence: stats}}})
	}
}

const (
	// maxConfirmedMS is how old the store's word may be with a peer whose servers are
	// compared, in milliseconds.
	maxConfirmedMS = 1500
	// differenceDelay is how long servers may differ: news of a change reach the
	// instances one after the other.
	differenceDelay = 400 * time.Millisecond
	// maxDelayDoublings bounds how often that is doubled: an answer is some 30 KB, and while a
	// link is so slow that news come late the servers differ whatever is asked.
	maxDelayDoublings = 4
)

// difference is since when the servers of a peer are others than those known here, or
// when it was last asked for them, and how often it was.
type difference struct {
	since    monotime.Instant
	requests int
}

// compareServers asks a peer for all servers when its own have differed for a
// while. An instance that does not read the store depends on the news of peers,
// and news are lost when a link breaks. It would go on sending to a server that
// left, since nothing tells of it again.
func (p *peers) compareServers(from string, update *wire.RelayNews) {
	if update.Confirmed == 0 || update.Confirmed > maxConfirmedMS {
		return
	}
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if update.Digest == int(p.fleet.digest.Load()) {
		delete(p.differences, from)
		return
	}
	d, differed := p.differences[from]
	request := differed && now.Sub(d.since) >= differenceDelay<<min(d.requests, maxDelayDoublings)
	if !differed || request {
		d.since = now
	}
	if request {
		d.requests++
	}
	p.differences[from] = d
	if request && p.mayRequestState(now) {
		p.log.Info("servers_differ", zap.String("peer", from), zap.Int("confirmed_ms", update.Confirmed-1))
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{ServersWanted: true}}})
	}
}

// stateRequestInterval is the least time between questions for a peer's whole state. The
// answers of all peers at once would fill a small machine's link for a second.
const stateRequestInterval = 400 * time.Millisecond

// mayRequestState reports whether a peer may be asked for its state now; mu is held.
func (p *peers) mayRequestState(now monotime.Instant) bool {
	if p.stateRequestedAt != 0 && now.Sub(p.stateRequestedAt) < stateRequestInterval {
		return false
	}
	p.stateRequestedAt = now
	return true
}

// sendState tells a peer that asks the evacuations, the servers and, behind whatever else
// is sent to it, what engines keep of prompts.
func (p *peers) sendState(to string, caches []wire.RelayCache) {
	state := p.stateUpdate()
	if len(state.Evacuations)+len(state.Servers) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{state}})
	}
	for _, update := range p.cacheUpdates(caches) {
		p.links.SendBulk(to, &wire.Envelope{News: []wire.RelayNews{update}})
	}
}

func (p *peers) stateUpdate() wire.RelayNews {
	return wire.RelayNews{
		Evacuations:   encodeEvacuations(p.fleet.allEvacuations()),
		ServersListed: int(p.fleet.listedRevision()),
		Servers:       p.fleet.allServers(),
	}
}

// cacheUpdates returns what engines keep in messages of bounded size. The last one says
// whether they tell of all engines.
func (p *peers) cacheUpdates(caches []wire.RelayCache) (out []wire.RelayNews) {
	for _, some := range splitCaches(caches) {
		out = append(out, wire.RelayNews{Caches: some})
	}
	if len(out) > 0 {
		out[len(out)-1].CachesWhole = p.cachesComplete.Load()
	}
	return out
}

// applyServers believes a peer what the store told it: each instance may be cut
// off from the store alone. listed is the revision of the full list that is told; 0 for
// changes.
func (p *peers) applyServers(from string, states []wire.RelayServer, listed servers.Revision) {
	p.fleet.changeServers(from, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		present := make(map[string]bool, len(states))
		for _, s := range states {
			present[s.ID] = !s.Gone
			if !r.Plausible(servers.Revision(s.Revision)) {
				continue
			}
			change := servers.Unchanged
			if s.Gone {
				change = r.Bury(s.ID, servers.Revision(s.Revision), now)
			} else {
				change = r.Put(servers.Server{
					ID: s.ID, Name: s.Name, Born: int64(s.Born), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
					Slots: s.Slots, Draining: s.Draining, Invalid: s.Invalid, Revision: servers.Revision(s.Revision),
					ColdLeft: milliseconds(s.ColdMS),
				}, now)
			}
			bound := r.SetBound(s.ID, decodeLimit(&s, now))
			if change != servers.Unchanged || bound != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		if listed != 0 && r.Plausible(listed) {
			ids = append(ids, r.TakeListed(present, listed, now)...)
		}
		return ids
	})
}

// applyConfigStatus takes what a peer tells of the configuration in force there.
func (p *peers) applyConfigStatus(from string, update *wire.RelayNews) {
	if update.Confirmed > 0 {
		age := time.Duration(update.Confirmed-1) * time.Millisecond
		p.fleet.confirmVersion(int64(update.ConfigVersion), monotime.Now().Add(-age-updateTravelTime))
	}
	p.configs.checkPeerVersion(from, update.ConfigVersion)
}
