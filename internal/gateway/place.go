package gateway

import (
	"iter"
	"slices"
	"strings"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
	"basilrudder/internal/throttle"
)

// Place implements relay.Fleet.
func (f *fleet) Place(service string, work placement.Work, excluded map[string]bool, now monotime.Instant) (relay.Target, placement.Refusal) {
	table := f.table.Load()
	published := table.Service(service)
	if published == nil {
		return relay.Target{}, placement.NoneReachable
	}
	list := f.serverList(service).of(work.Software)
	filter := f.newFilter(list, published, &work, excluded, now)
	filter.unsettled = f.unsettledVersions(list, service, &work, now)
	choice, refusal := f.board.ChooseFrom(work, list.pool, list.sourcePool, filter.allows, now)
	if refusal != placement.Chosen && filter.unsettled != nil {
		filter.unsettled = nil
		choice, refusal = f.board.ChooseFrom(work, list.pool, list.sourcePool, filter.allows, now)
	}
	if refusal == placement.NoneReachable && filter.allowed == 0 && filter.atLimit {
		return relay.Target{}, placement.AllLimited
	}
	if refusal != placement.Chosen {
		return relay.Target{Choice: choice}, refusal
	}
	f.preference.recordChoice(f.log, service, &choice, now)
	target := relay.Target{
		Choice:   choice,
		MaxConns: f.connectionShare(published.MaxConns),
		KeepIdle: f.keepsIdle(published.MaxConns, now),
		EntryAge: now.Sub(f.confirmedAt()),
	}
	if s, ok := find(list.accepting, choice.Server); ok {
		target.Server = s
	}
	if s, ok := find(list.accepting, choice.FetchFrom); ok {
		target.FetchFrom = s.Address
	} else if s, ok := find(list.sources, choice.FetchFrom); ok {
		target.FetchFrom = s.Address
	}
	return target, placement.Chosen
}

// Serving implements relay.Fleet. In an outage, runs that others began before it, or
// whose updates were in transit when it began, are no sign that a server is reachable:
// callers would retry during the outage.
func (f *fleet) Serving(service string, now monotime.Instant) bool {
	list := f.serverList(service).accepting
	cutoff := never
	if since, outage := f.outages.outageSince(service, len(list)); outage {
		cutoff = since.Add(updateTravelTime)
	}
	return f.throttle.InUse(ids(list), cutoff, now)
}

// Leaving implements relay.Fleet.
func (f *fleet) Leaving(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.registry.Get(server)
	return !ok || s.Draining
}

// ids yields the ids of servers.
func ids(list []servers.Server) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, s := range list {
			if !yield(s.ID) {
				return
			}
		}
	}
}

// find returns the server with an id. The list is sorted by id.
func find(list []servers.Server, id string) (servers.Server, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(s servers.Server, id string) int { return strings.Compare(s.ID, id) })
	if !ok {
		return servers.Server{}, false
	}
	return list[i], true
}

// filter decides which servers a request may go to now.
type filter struct {
	fleet    *fleet
	work     *placement.Work
	excluded map[string]bool
	request  throttle.Request
	now      monotime.Instant
	// unsettled are the software versions to which the request is not sent yet.
	unsettled map[string]bool
	// allowed is the number of servers found to be allowed, and atLimit whether some were
	// not because they are at their limit.
	allowed int
	atLimit bool
}

func (f *fleet) newFilter(list *serverList, service *routing.Service, work *placement.Work, excluded map[string]bool, now monotime.Instant) *filter {
	request := f.limiterRequest(service.Name, work, now)
	request.AllLimited = f.allLimited(list.accepting, request, now)
	return &filter{fleet: f, work: work, excluded: excluded, request: request, now: now}
}

// allows reports whether the request may go to a candidate or, for one that takes no
// requests, fetch from it.
func (a *filter) allows(c *placement.Candidate) bool {
	switch {
	case !a.fleet.regions.allow(a.work.AllowedRegions, c.DataCentre):
		return false
	case c.SourceOnly:
		return true
	case a.excluded[c.ID], a.unsettled[c.Software]:
		return false
	case !a.fleet.throttle.Allows(c.ID, a.request, a.now):
		a.atLimit = true
		return false
	}
	a.allowed++
	return true
}

// limiterRequest returns what the limiter is asked for a request.
func (f *fleet) limiterRequest(service string, work *placement.Work, now monotime.Instant) throttle.Request {
	return throttle.Request{ColdLimit: f.coldLimit(service), Priority: work.Priority, StoreConfirmedAt: f.serversConfirmedAt(now)}
}

// coldLimit returns the limit of cold servers of a service; no limit if none is
// published.
func (f *fleet) coldLimit(service string) throttle.ColdLimit {
	table := f.table.Load()
	if table == nil {
		return throttle.ColdLimit{}
	}
	published := table.Service(service)
	if published == nil {
		return throttle.ColdLimit{}
	}
	return throttle.ColdLimit{Rate: published.ColdRate, Duration: published.ColdStart}
}

// coldServers returns the ids of the servers that are cold now.
func (f *fleet) coldServers() []string {
	out := []string{}
	now := monotime.Now()
	confirmed := f.serversConfirmedAt(now)
	for _, s := range f.acceptingServers() {
		if f.throttle.Cold(s.ID, confirmed, now) {
			out = append(out, s.ID)
		}
	}
	return out
}

// allLimited reports whether each server of a list has a limit now.
func (f *fleet) allLimited(list []servers.Server, request throttle.Request, now monotime.Instant) bool {
	for _, s := range list {
		if !f.throttle.Limited(s.ID, request, now) {
			return false
		}
	}
	return true
}

// minConnections is the number of connections that an instance may always open to a
// server: a fleet that grows for a moment must not leave an instance without any.
const minConnections = 2

// serverPlace returns the place of this instance among those that share a brittle server.
func (f *fleet) serverPlace(id string) (place, instances int, ok bool) {
	return f.throttle.Place(id, monotime.Now())
}

// trialPlace returns the place of this instance among those that may send some content on
// for trial.
func (f *fleet) trialPlace(content string) (place int, ok bool) {
	return f.throttle.PlaceFor(content, monotime.Now())
}

// connectionShare returns this instance's share of maxConns, the connections that a
// server accepts from all instances together; 0 for no limit.
func (f *fleet) connectionShare(maxConns int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(minConnections, maxConns/max(1, f.memberCount()))
}

// candidate returns a server as a candidate for placement; service may be nil.
func candidate(s servers.Server, service *routing.Service) placement.Candidate {
	c := placement.Candidate{ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Software: s.Software, Slots: s.Slots}
	if service != nil && service.Engine != nil {
		c.MemoryTokens = service.Engine.MemoryTokens
		c.EventTokens = service.Engine.EventTokens
		c.TokenBytes = service.Engine.TokenBytes
		c.LinkMbps = service.Engine.LinkMbps
	}
	return c
}
