package confsync

import (
	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
)

// fetch gathers one candidate.
type fetch struct {
	candidate *candidate
	raw       []byte
	manifest  *platformapi.Manifest
	// items are the manifest, or then the values not yet held.
	items []*item
	// held has every value by its hash; those of the revision in force need
	// no fetch.
	held map[string][]byte
}

// item is one value on its way.
type item struct {
	// key at the platform; empty for the manifest.
	key  string
	hash string
	// size in bytes; unknownSize until the first piece of a manifest.
	size int
	// data received so far; a new source continues where the last one ended.
	data []byte
	done bool

	active bool
	// source is the neighbour, or platformSource.
	source string
	call   CallID
	// requestedTo is the offset up to which pieces were requestedTo for.
	requestedTo int
	progressAt  monotime.Instant
}

const unknownSize = -1

func (it *item) isManifest() bool {
	return it.key == ""
}

// wireHash is how peer messages name the item.
func (it *item) wireHash() string {
	if it.isManifest() {
		return ""
	}
	return it.hash
}

func (it *item) stop() {
	it.active = false
}

// restart asks for everything on its way again.
func (f *fetch) restart(monotime.Instant) {
	if f == nil {
		return
	}
	for _, it := range f.items {
		it.stop()
	}
}

// failSource gives up a source for the rest of the attempt.
func (f *fetch) failSource(source string) {
	f.candidate.failed[source] = true
	for _, it := range f.items {
		if it.active && it.source == source {
			it.stop()
		}
	}
}

// onWantDeclined handles a neighbour that does not hold what it was asked for;
// it tells what it has in force instead.
func (c *Core) onWantDeclined(from string, id revisionID) {
	if c.fetch != nil && c.fetch.candidate.id != id {
		c.fetch.failSource(from)
	}
}

// expirePieces gives up neighbours that stopped sending in the middle.
func (c *Core) expirePieces(now monotime.Instant) {
	if c.fetch == nil {
		return
	}
	for _, it := range c.fetch.items {
		late := now.Sub(it.progressAt) > c.cfg.PieceTimeout
		if it.active && it.source != platformSource && late {
			c.fetch.failSource(it.source)
		}
	}
}

// driveFetch starts, continues and completes the fetch of the best candidate.
func (c *Core) driveFetch(now monotime.Instant, eff Effects) {
	for {
		c.chooseFetch(now, eff)
		f := c.fetch
		if f == nil {
			return
		}
		if !c.startItems(now, f, eff) {
			c.retainValues(f)
			c.fetch = nil
			c.failAttempt(now, f.candidate)
			continue
		}
		if !f.complete() {
			return
		}
		c.install(now, f, eff)
	}
}

// chooseFetch stays with a fetch that has its manifest, so that revisions that
// follow each other fast cannot keep every one of them from completing.
func (c *Core) chooseFetch(now monotime.Instant, eff Effects) {
	best := c.bestCandidate(now)
	if best == nil {
		return
	}
	if c.fetch != nil && (c.fetch.manifest != nil || !best.outranks(c.fetch.candidate)) {
		return
	}
	held := make(map[string][]byte, len(c.current.chunks))
	for hash, data := range c.current.chunks {
		held[hash] = data
	}
	for hash, data := range c.retained {
		held[hash] = data
	}
	c.fetch = &fetch{candidate: best, held: held}
	if best.raw != nil {
		c.useManifest(c.fetch, best.raw, eff)
		return
	}
	c.fetch.items = []*item{{hash: best.id.hash, size: unknownSize}}
}

// retainValues saves values of a fetch that failed for the next one.
func (c *Core) retainValues(f *fetch) {
	c.retained = make(map[string][]byte)
	for _, it := range f.items {
		if it.done && !it.isManifest() {
			c.retained[it.hash] = f.held[it.hash]
		}
	}
}

// useManifest lists what is missing, or refuses the candidate.
func (c *Core) useManifest(f *fetch, raw []byte, eff Effects) {
	manifest, err := parseManifest(raw)
	if err == nil && uint64(manifest.Revision) != f.candidate.id.number {
		err = errors.Errorf("manifest is of revision %d", manifest.Revision)
	}
	if err != nil {
		c.refuse(f.candidate.id, err, eff)
		return
	}
	f.raw = raw
	f.manifest = manifest
	f.items = nil
	listed := make(map[string]bool)
	for _, chunk := range manifest.Chunks {
		if _, ok := f.held[chunk.SHA256]; ok || listed[chunk.SHA256] {
			continue
		}
		listed[chunk.SHA256] = true
		f.items = append(f.items, &item{key: chunk.Key, hash: chunk.SHA256, size: chunk.Bytes})
	}
}

func (f *fetch) complete() bool {
	if f.manifest == nil {
		return false
	}
	for _, it := range f.items {
		if !it.done {
			return false
		}
	}
	return true
}

// startItems asks for items up to the limit; false when no source is left.
func (c *Core) startItems(now monotime.Instant, f *fetch, eff Effects) bool {
	active := 0
	for _, it := range f.items {
		if it.active {
			active++
		}
	}
	for _, it := range f.items {
		if it.done || it.active {
			continue
		}
		if active >= maxConcurrentItems {
			return true
		}
		source, ok := c.pickSource(f.candidate)
		if !ok {
			return false
		}
		c.startItem(now, it, source, eff)
		active++
	}
	return true
}

// pickSource prefers the platform at readers only: extra readers, of which
// there may be many at a cold start, spare its rate when a neighbour can serve.
func (c *Core) pickSource(cand *candidate) (string, bool) {
	untried := cand.untriedPeers()
	if cand.platformUntried() && (c.reader || len(untried) == 0) {
		return platformSource, true
	}
	if len(untried) == 0 {
		return "", false
	}
	return untried[c.rng.IntN(len(untried))], true
}

func (c *Core) startItem(now monotime.Instant, it *item, source string, eff Effects) {
	it.active = true
	it.source = source
	it.progressAt = now
	if source != platformSource {
		c.requestPieces(it, eff)
		return
	}
	it.data = nil
	it.call = c.platform.openCall(call{kind: callChunk, at: now, deadline: now.Add(c.cfg.CallTimeout)})
	c.stats.Reads++
	eff.FetchChunk(it.call, it.key)
}

func (c *Core) requestPieces(it *item, eff Effects) {
	it.requestedTo = len(it.data) + piecesPerRequest*PieceBytes
	c.stats.Wants++
	eff.SendPeer(it.source, &wire.Envelope{ConfigWant: &wire.ConfigWant{
		Revision: int(c.fetch.candidate.id.number),
		SHA256:   it.wireHash(),
		Offset:   len(it.data),
	}})
}

// finishItem checks a complete item against its hash.
func (c *Core) finishItem(it *item, eff Effects) {
	f := c.fetch
	it.stop()
	if got := hashOf(it.data); got != it.hash {
		c.stats.Corrupted++
		eff.Report(Event{Kind: EventCorrupted, Revision: f.candidate.id.number, Hash: it.hash, From: it.source})
		// A wrong byte may be from any source that gave a piece; start over
		// without the last one, until one source gives the whole.
		it.data = nil
		f.failSource(it.source)
		return
	}
	it.done = true
	if it.isManifest() {
		c.useManifest(f, it.data, eff)
		return
	}
	f.held[it.hash] = it.data
}
