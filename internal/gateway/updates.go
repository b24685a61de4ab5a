package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/overlay"
	"basilrudder/internal/placement"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// receive applies one update of a message. It reports whether the set of links may have
// to change.
func (p *peers) receive(from string, update *wire.RelayNews) (changed bool) {
	now := monotime.Now()
	p.mu.Lock()
	receipt, ok := p.node.Receive(from, update, now)
	if !ok {
		p.mu.Unlock()
		return receipt.Changed
	}
	// With mu held, so that updates of one origin that arrive over two links are applied
	// in order.
	p.applyRuns(receipt.Origin, update, now)
	p.fleet.streams.apply(receipt.Origin, update, now)
	if receipt.RequestedFeed != overlay.FeedUnchanged {
		p.sendRuns(from, receipt.RequestedFeed, now)
	}
	if update.MembersWanted {
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{Members: p.node.Reachable()}}})
	}
	p.mu.Unlock()
	// Before servers: a process that has just started must not send to an evacuated data
	// centre.
	p.fleet.applyEvacuations(receipt.Origin, decodeEvacuations(update.Evacuations))
	if len(update.Servers) > 0 {
		p.applyServers(receipt.Origin, update.Servers, update.ServerBuckets, servers.Revision(update.ServersListed))
	}
	p.fleet.streams.learn(update.Versions, now)
	p.applyCrashes(receipt.Origin, update, update.Origin == "")
	p.applyFalls(receipt.Origin, update.Falls, update.Origin == "")
	p.applyCaches(update)
	p.applyPaceStats(receipt.Origin, update)
	if receipt.Direct {
		p.applyStatus(from, update)
	}
	return receipt.Changed
}

// applyStatus applies what a peer sent to this instance only.
func (p *peers) applyStatus(from string, update *wire.RelayNews) {
	p.compareServers(from, update)
	p.answerStreams(from, update.StreamsWanted)
	switch {
	case update.StateWanted:
		p.sendState(from, update.ServerDigests, p.fleet.cacheStates())
	case update.ServersWanted:
		p.sendState(from, update.ServerDigests, nil)
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
		p.fleet.throttle.RecordRequest(r.Server, now)
	}
	for _, number := range update.First {
		board.FirstEvent(placement.RunID{Instance: origin, Number: number}, now)
	}
	p.applyPaces(origin, update.Paces, now)
	for _, number := range update.Ended {
		board.End(placement.RunID{Instance: origin, Number: number}, now)
	}
}

// replaceRuns replaces all recorded runs of an instance: updates of it may have been
// missed while there was no path for them.
func (p *peers) replaceRuns(origin string, update *wire.RelayNews, now monotime.Instant) {
	board := p.fleet.board
	states := make([]placement.RunState, 0, len(update.Begun))
	for _, r := range update.Begun {
		states = append(states, placement.RunState{Number: r.Number, Server: r.Server, Work: decodeRun(r), Unread: r.Unread})
	}
	for _, s := range board.ReconcileRuns(origin, states, now) {
		board.Begin(placement.RunID{Instance: origin, Number: s.Number}, s.Server, s.Work, s.Unread, now)
	}
	for _, number := range update.First {
		board.FirstEvent(placement.RunID{Instance: origin, Number: number}, now)
	}
}

// sendRuns sends a peer the runs that it lacks for a feed that it requested. mu is held.
func (p *peers) sendRuns(to string, feed overlay.Feed, now monotime.Instant) {
	runs := p.fleet.board.Runs(now)
	state := p.node.FeedState(to, feed)
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
	// maxConfirmedMS is how old the store's last confirmation to a peer may be, in
	// milliseconds, for the servers of the peer to be compared.
	maxConfirmedMS = 1500
	// differenceDelay is how long servers may differ before they are requested: the
	// update of a change reaches the instances one after the other.
	differenceDelay = 400 * time.Millisecond
	// maxDifferenceAge is how long the servers of a peer may differ before they are
	// requested although one of the two sides is still changing. While thousands of
	// servers register, digests differ all the time, and an answer has nearly all servers.
	maxDifferenceAge = 2 * time.Second
	// maxDelayDoublings bounds how often that delay is doubled. While a link is so slow
	// that updates are late, the servers differ whatever is requested, and each answer
	// slows it further.
	maxDelayDoublings = 4
)

// difference records since when the servers of a peer differ from those tracked here, or
// when they were last requested, and how often they were.
type difference struct {
	since    monotime.Instant
	requests int
	// began is when the difference was first found, or last led to a request, and own and
	// peer the digests found last.
	began     monotime.Instant
	own, peer int
}

// update applies the digests found at an instant. Of a long list the time without a change
// of either side counts, up to maxDifferenceAge.
func (d *difference) update(own, peer int, long bool, now monotime.Instant) {
	changing := own != d.own || peer != d.peer
	d.own, d.peer = own, peer
	if long && changing && now.Sub(d.began) < maxDifferenceAge {
		d.since = now
	}
}

// compareServers requests the servers of a peer if they have differed from those here for
// a while. An instance that does not read the store depends on updates of peers, and
// updates are lost when a link breaks. It would go on sending to a server that left,
// since no later update reports it again.
func (p *peers) compareServers(from string, update *wire.RelayNews) {
	if update.Confirmed == 0 || update.Confirmed > maxConfirmedMS {
		return
	}
	now := monotime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	own, count := int(p.fleet.digest.Load()), p.fleet.serverCount()
	if update.Digest == own {
		delete(p.differences, from)
		return
	}
	d, differed := p.differences[from]
	if differed {
		d.update(own, update.Digest, count > maxServersSent, now)
	}
	request := differed && now.Sub(d.since) >= differenceDelay<<min(d.requests, maxDelayDoublings)
	// An instance without servers has no update to wait for.
	request = request || !differed && count == 0
	if !differed || request {
		d.since, d.began = now, now
	}
	if request {
		d.requests++
	}
	p.differences[from] = d
	if request && p.mayRequestState(now) {
		p.log.Info("servers_differ", zap.String("peer", from), zap.Int("confirmed_ms", update.Confirmed-1))
		p.links.Send(from, &wire.Envelope{News: []wire.RelayNews{{ServersWanted: true, ServerDigests: p.fleet.serverDigests()}}})
	}
}

// stateRequestInterval is the minimum time between requests for the whole state of a
// peer. The answers of all peers at once would fill a small machine's link for a second.
const stateRequestInterval = 400 * time.Millisecond

// mayRequestState reports whether the state of a peer may be requested now, and records
// the request. mu is held.
func (p *peers) mayRequestState(now monotime.Instant) bool {
	if p.stateRequestedAt != 0 && now.Sub(p.stateRequestedAt) < stateRequestInterval {
		return false
	}
	p.stateRequestedAt = now
	return true
}

// sendState sends a peer that requested them the evacuations, the servers of the buckets
// whose digests differ from the peer's and, as bulk behind all other messages, the cache
// states of engines.
func (p *peers) sendState(to string, digests []int, caches []wire.RelayCache) {
	state := p.stateUpdate(digests)
	if len(state.Evacuations)+len(state.Servers)+len(state.Versions) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{state}})
	}
	for _, update := range p.cacheUpdates(caches) {
		p.links.SendBulk(to, &wire.Envelope{News: []wire.RelayNews{update}})
	}
}

func (p *peers) stateUpdate(digests []int) wire.RelayNews {
	states, buckets := p.fleet.differingServers(digests)
	return wire.RelayNews{
		Evacuations:   encodeEvacuations(p.fleet.allEvacuations()),
		ServersListed: int(p.fleet.listedRevision()),
		Servers:       states,
		ServerBuckets: buckets,
		Versions:      p.fleet.streams.versionAges(monotime.Now()),
	}
}

// cacheUpdates returns cache states in messages of bounded size. The last one reports
// whether they cover all engines.
func (p *peers) cacheUpdates(caches []wire.RelayCache) (out []wire.RelayNews) {
	for _, some := range splitCaches(caches) {
		out = append(out, wire.RelayNews{Caches: some})
	}
	if len(out) > 0 {
		out[len(out)-1].CachesWhole = p.cachesComplete.Load()
	}
	return out
}

// applyServers applies the servers that a peer read from the store or received: any
// instance may be disconnected from the store alone. listed is the revision of the full
// list of which they are the given buckets, or all of it if there are none; 0 for changes.
func (p *peers) applyServers(from string, states []wire.RelayServer, buckets []int, listed servers.Revision) {
	p.fleet.changeServers(from, func(r *servers.Registry, now monotime.Instant) (ids []string) {
		present := make(map[string]bool, len(states))
		for _, s := range states {
			present[s.ID] = !s.Gone
			if !r.Plausible(servers.Revision(s.Revision)) {
				continue
			}
			change := servers.Unchanged
			if s.Gone {
				change = r.MarkGone(s.ID, servers.Revision(s.Revision), now)
			} else {
				change = r.Put(servers.Server{
					ID: s.ID, Name: servers.Name(s.Name), Born: int64(s.Born), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
					Software: s.Software, Slots: s.Slots, Draining: s.Draining, Invalid: s.Invalid, Revision: servers.Revision(s.Revision),
					ColdLeft: milliseconds(s.ColdMS),
				}, now)
			}
			limitChange := r.SetRateLimit(s.ID, decodeRateLimit(&s, now))
			brittleChange := r.SetBrittleness(s.ID, decodeBrittleness(&s, now))
			if max(change, limitChange, brittleChange) != servers.Unchanged {
				ids = append(ids, s.ID)
			}
		}
		if listed != 0 && r.Plausible(listed) {
			// Servers of the other buckets are the same here and there.
			ids = append(ids, r.ApplyPeerList(func(id string) bool {
				return present[id] || len(buckets) > 0 && !slices.Contains(buckets, servers.BucketOf(id))
			}, listed, now)...)
		}
		return ids
	})
}

// applyConfigStatus applies a peer's status of the configuration in force there.
func (p *peers) applyConfigStatus(from string, update *wire.RelayNews) {
	if update.Confirmed > 0 {
		age := time.Duration(update.Confirmed-1) * time.Millisecond
		p.fleet.confirmVersion(int64(update.ConfigVersion), monotime.Now().Add(-age-updateTravelTime))
	}
	p.configs.checkPeerVersion(from, update.ConfigVersion)
}
