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
	f.mu.Lock()
	list, sources := f.byService[service], f.sources[service]
	f.mu.Unlock()
	candidates, bounded := f.candidates(list, published, &work, excluded, now)
	if len(candidates) == 0 && bounded {
		return relay.Target{}, placement.AllLimited
	}
	for _, s := range sources {
		if !f.regions.allow(work.Homes, s.DataCentre) {
			continue
		}
		source := candidate(s, published)
		source.SourceOnly = true
		candidates = append(candidates, source)
	}
	choice, refusal := f.board.Choose(work, candidates, now)
	if refusal != placement.Chosen {
		return relay.Target{Choice: choice}, refusal
	}
	target := relay.Target{
		Choice:   choice,
		MaxConns: f.connectionShare(published.MaxConns),
		EntryAge: now.Sub(f.confirmedAt()),
	}
	if s, ok := find(list, choice.Server); ok {
		target.Server = s
	}
	if s, ok := find(list, choice.FetchFrom); ok {
		target.FetchFrom = s.Address
	} else if s, ok := find(sources, choice.FetchFrom); ok {
		target.FetchFrom = s.Address
	}
	return target, placement.Chosen
}

// Serving implements relay.Fleet. In an outage, what others began before it or while its
// news were on their way shows nothing: callers would be told to come back into it.
func (f *fleet) Serving(service string, now monotime.Instant) bool {
	f.mu.Lock()
	list := f.byService[service]
	f.mu.Unlock()
	shown := never
	if since, out := f.outages.since(service, len(list)); out {
		shown = since.Add(newsTravel)
	}
	return f.throttle.InUse(ids(list), shown, now)
}

// ids lists those of servers.
func ids(list []servers.Server) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, s := range list {
			if !yield(s.ID) {
				return
			}
		}
	}
}

// find returns the server of an id, by which the list is sorted.
func find(list []servers.Server, id string) (servers.Server, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(s servers.Server, id string) int { return strings.Compare(s.ID, id) })
	if !ok {
		return servers.Server{}, false
	}
	return list[i], true
}

// candidates returns the servers of a list that a request may go to now, and whether
// some are left out because they have got what they bear.
func (f *fleet) candidates(list []servers.Server, service *routing.Service, work *placement.Work, excluded map[string]bool, now monotime.Instant) (out []placement.Candidate, bounded bool) {
	ask := f.boundAsk(service.Name, work, now)
	ask.AllLimited = f.allBounded(list, ask, now)
	out = make([]placement.Candidate, 0, len(list))
	for _, s := range list {
		switch {
		case excluded[s.ID], !f.regions.allow(work.Homes, s.DataCentre):
		case !f.throttle.Allows(s.ID, ask, now):
			bounded = true
		default:
			out = append(out, candidate(s, service))
		}
	}
	return out, bounded
}

// boundAsk is what the limiter is asked for a request.
func (f *fleet) boundAsk(service string, work *placement.Work, now monotime.Instant) throttle.Request {
	return throttle.Request{ColdLimit: f.coldLimit(service), Priority: work.Priority, StoreConfirmedAt: f.storeWord(now)}
}

// coldLimit is what cold servers of a service bear; no bound while none is known.
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
	word := f.storeWord(now)
	for _, s := range f.takingRequests() {
		if f.throttle.Cold(s.ID, word, now) {
			out = append(out, s.ID)
		}
	}
	return out
}

// allBounded reports whether each server of a list bears only so much.
func (f *fleet) allBounded(list []servers.Server, ask throttle.Request, now monotime.Instant) bool {
	for _, s := range list {
		if !f.throttle.Limited(s.ID, ask, now) {
			return false
		}
	}
	return true
}

// minConnections is what an instance may always open to a server: a fleet that
// grows for a moment must not leave an instance without any.
const minConnections = 2

// connectionShare is this instance's part of the connections that a server
// accepts of all instances together.
func (f *fleet) connectionShare(most int) int {
	if most <= 0 {
		return 0
	}
	return max(minConnections, most/max(1, f.members()))
}

func candidate(s servers.Server, service *routing.Service) placement.Candidate {
	c := placement.Candidate{ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Slots: s.Slots}
	if service.Engine != nil {
		c.MemoryTokens = service.Engine.MemoryTokens
		c.EventTokens = service.Engine.EventTokens
		c.TokenBytes = service.Engine.TokenBytes
		c.LinkMbps = service.Engine.LinkMbps
	}
	return c
}
