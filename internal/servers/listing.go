package servers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Accepting returns the servers that take requests, by id: those whose entry is valid
// and not draining, of services that are published, outside evacuated data centres.
//
// A server that crashed and came back under a new name writes a new entry at once;
// its old one lapses three heartbeats later. Requests meant for the old one would
// reach the new one, which refuses them, and callers would have to come back. So of
// entries with the same address only the one written last counts. An entry of a
// service that nobody published comes from another writer and displaces none.
func (r *Registry) Accepting(published func(service string) bool) []Server {
	return slices.DeleteFunc(r.usable(published), func(s Server) bool { return r.Evacuated(s.DataCentre) })
}

// EvacuatedServers returns the servers that would take requests but for the evacuation of their
// data centre. What they keep can still be fetched from them.
func (r *Registry) EvacuatedServers(published func(service string) bool) []Server {
	return slices.DeleteFunc(r.usable(published), func(s Server) bool { return !r.Evacuated(s.DataCentre) })
}

func (r *Registry) usable(published func(service string) bool) []Server {
	var out []Server
	newest := make(map[string]Revision) // revision of the newest entry of an address
	for _, s := range r.List() {
		if s.Invalid || !published(s.Service) {
			continue
		}
		newest[s.Address] = max(newest[s.Address], s.Revision)
		if !s.Draining {
			out = append(out, s)
		}
	}
	return slices.DeleteFunc(out, func(s Server) bool { return s.Revision < newest[s.Address] })
}

// Get returns a live server.
func (r *Registry) Get(id string) (Server, bool) {
	rec := r.live[id]
	if rec == nil {
		return Server{}, false
	}
	return rec.server, true
}

// Gone returns the revision at which an incarnation was removed.
func (r *Registry) Gone(id string) (revision Revision, gone bool) {
	stone, ok := r.gone[id]
	return stone.revision, ok
}

// Digest is the same for registries in which the same servers take requests,
// and differs, but for chance, for others.
func (r *Registry) Digest() uint64 {
	digest := r.evacuationDigest()
	for id, rec := range r.live {
		if !rec.server.Draining && !rec.server.Invalid {
			digest ^= xxhash.Sum64String(id)
		}
	}
	return digest
}

// Tombstones returns the incarnations that are gone, with the revisions at which
// they were removed.
func (r *Registry) Tombstones() map[string]Revision {
	out := make(map[string]Revision, len(r.gone))
	for id, stone := range r.gone {
		out[id] = stone.revision
	}
	return out
}

// Len returns the number of live servers, those that are leaving and those of
// evacuated data centres among them.
func (r *Registry) Len() int { return len(r.live) }

// List returns the live servers by id, those that are leaving among them.
func (r *Registry) List() []Server {
	out := make([]Server, 0, len(r.live))
	for _, rec := range r.live {
		out = append(out, rec.server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (r *Registry) ids() []string {
	out := make([]string, 0, len(r.live))
	for id := range r.live {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
