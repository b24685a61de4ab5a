package servers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Accepting returns the servers that accept requests, by id: those with a valid entry
// that is not draining, of published services, outside evacuated data centres.
//
// A server that crashed and restarted under a new name writes a new entry at once, while
// its old one expires three heartbeats later. Requests for the old incarnation would
// reach the new one, which refuses them, and callers would have to retry. So of entries
// with the same address only the one written last counts. An entry of a service that is
// not published comes from another writer and displaces none.
func (r *Registry) Accepting(published func(service string) bool) []Server {
	return slices.DeleteFunc(r.usable(published), func(s Server) bool { return r.Evacuated(s.DataCentre) })
}

// EvacuatedServers returns the servers that would accept requests if their data centre
// were not evacuated. Data that they keep can still be fetched from them.
func (r *Registry) EvacuatedServers(published func(service string) bool) []Server {
	if !r.anyEvacuated() {
		return nil
	}
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

// Get returns a live server by id.
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

// Digest returns a hash of the servers that accept requests and of the active
// evacuations, for comparison between registries. Collisions are possible.
func (r *Registry) Digest() uint64 {
	digest := r.evacuationDigest()
	for _, bucket := range r.digests {
		digest ^= bucket
	}
	return digest
}

// Buckets is the number of buckets into which servers are divided by a hash of their id.
// Registries that differ in a few servers then differ in as many buckets. Instances must
// use the same number.
const Buckets = 256

// BucketOf returns the bucket of a server.
func BucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// BucketDigests returns a digest of the servers of each bucket that accept requests.
// Digests are non-negative.
func (r *Registry) BucketDigests() []int {
	out := make([]int, 0, Buckets)
	for _, bucket := range r.digests {
		out = append(out, int(bucket>>1))
	}
	return out
}

// updateDigest brings the digest of a server's bucket up to date after a change of it.
func (r *Registry) updateDigest(rec *record) {
	if accepts := !rec.server.Draining && !rec.server.Invalid; accepts != rec.counted {
		r.toggleDigest(rec)
	}
}

// dropFromDigest removes a server that is no longer live from the digest of its bucket.
func (r *Registry) dropFromDigest(rec *record) {
	if rec.counted {
		r.toggleDigest(rec)
	}
}

func (r *Registry) toggleDigest(rec *record) {
	hash := xxhash.Sum64String(rec.server.ID)
	r.digests[hash%Buckets] ^= hash
	rec.counted = !rec.counted
}

// Tombstones returns the revisions at which incarnations were removed, by id.
func (r *Registry) Tombstones() map[string]Revision {
	out := make(map[string]Revision, len(r.gone))
	for id, stone := range r.gone {
		out[id] = stone.revision
	}
	return out
}

// Len returns the number of live servers, including draining ones and those of evacuated
// data centres.
func (r *Registry) Len() int { return len(r.live) }

// List returns the live servers by id, including draining ones.
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
