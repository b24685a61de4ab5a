package gateway

import (
	"maps"
	"slices"

	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// serverList holds the usable servers of one service. It is immutable.
type serverList struct {
	// accepting are the servers that accept requests, and sources those of evacuated data
	// centres, from which data may be fetched; both by id.
	accepting, sources []servers.Server
	// pool and sourcePool are the same for placement.
	pool, sourcePool *placement.Pool
	// bySoftware are the lists of each software version, if there are several.
	bySoftware map[string]*serverList
}

// noServers is the list of a service without servers.
var noServers = &serverList{pool: placement.NewPool(nil), sourcePool: placement.NewPool(nil)}

// of returns the part of the list that a bound allows.
func (l *serverList) of(bound placement.SoftwareBound) *serverList {
	switch {
	case !bound.Bound, l.bySoftware == nil && len(l.accepting) > 0 && l.accepting[0].Software == bound.Version:
		return l
	case l.bySoftware[bound.Version] != nil:
		return l.bySoftware[bound.Version]
	default:
		return noServers
	}
}

// serverList returns the servers of a service.
func (f *fleet) serverList(service string) *serverList {
	f.mu.Lock()
	defer f.mu.Unlock()
	if list := f.serverLists()[service]; list != nil {
		return list
	}
	return noServers
}

// services returns the names of the services with servers.
func (f *fleet) services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.serverLists()))
}

// acceptingServers returns the servers of all services that accept requests.
func (f *fleet) acceptingServers() []servers.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []servers.Server
	for _, list := range f.serverLists() {
		out = append(out, list.accepting...)
	}
	return out
}

// serverLists returns the lists of all services, of the published ones if there is a
// configuration. They are built when they are first needed after a change: in a fleet that
// replaces its servers there are many times more changes than requests. mu is held.
func (f *fleet) serverLists() map[string]*serverList {
	if f.lists != nil {
		return f.lists
	}
	table := f.table.Load()
	published := func(service string) bool { return table == nil || table.Service(service) != nil }
	lists := make(map[string]*serverList)
	of := func(service string) *serverList {
		if lists[service] == nil {
			lists[service] = &serverList{}
		}
		return lists[service]
	}
	for _, s := range f.registry.Accepting(published) {
		list := of(s.Service)
		list.accepting = append(list.accepting, s)
	}
	for _, s := range f.registry.EvacuatedServers(published) {
		list := of(s.Service)
		list.sources = append(list.sources, s)
	}
	for name, list := range lists {
		list.fillPools(publishedService(table, name), f.isBrittle(list.accepting))
	}
	f.lists = lists
	return lists
}

func publishedService(table *routing.Table, name string) *routing.Service {
	if table == nil {
		return nil
	}
	return table.Service(name)
}

// isBrittle reports whether any server of a service says that it is brittle. All servers
// of a service are at the same time, and this instance may not have heard of each. mu is
// held.
func (f *fleet) isBrittle(list []servers.Server) bool {
	return f.registry.BrittleCount() > 0 && slices.ContainsFunc(list, func(s servers.Server) bool {
		return f.registry.Brittleness(s.ID).Brittle
	})
}

func (l *serverList) fillPools(service *routing.Service, brittle bool) {
	candidates := make([]placement.Candidate, 0, len(l.accepting))
	for _, s := range l.accepting {
		c := candidate(s, service)
		c.Brittle = brittle
		candidates = append(candidates, c)
	}
	l.pool = placement.NewPool(candidates)
	sources := make([]placement.Candidate, 0, len(l.sources))
	for _, s := range l.sources {
		source := candidate(s, service)
		source.SourceOnly = true
		sources = append(sources, source)
	}
	l.sourcePool = placement.NewPool(sources)
	l.splitBySoftware(candidates)
}

// splitBySoftware fills the lists of each version. The candidates are those of accepting.
func (l *serverList) splitBySoftware(candidates []placement.Candidate) {
	same := func(s servers.Server) bool { return s.Software == l.accepting[0].Software }
	if len(l.accepting) == 0 || !slices.ContainsFunc(l.accepting, func(s servers.Server) bool { return !same(s) }) {
		return
	}
	l.bySoftware = make(map[string]*serverList)
	pools := make(map[string][]placement.Candidate)
	for n, s := range l.accepting {
		part := l.bySoftware[s.Software]
		if part == nil {
			part = &serverList{sources: l.sources, sourcePool: l.sourcePool}
			l.bySoftware[s.Software] = part
		}
		part.accepting = append(part.accepting, s)
		pools[s.Software] = append(pools[s.Software], candidates[n])
	}
	for version, part := range l.bySoftware {
		part.pool = placement.NewPool(pools[version])
	}
}
