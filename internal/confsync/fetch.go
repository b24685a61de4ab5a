package confsync

import (
	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
)

// fetch is the transfer of one candidate.
type fetch struct {
	candidate *candidate
	raw       []byte
	manifest  *platformapi.Manifest
	// items holds the manifest alone at first, then the values that are missing.
	items []*item
	// available holds values by hash that need no further transfer: those of the revision
	// in force, those retained from a failed fetch, and the completed items.
	available map[string][]byte
}

// item is the transfer of one value or of the manifest.
type item struct {
	// key is the key at the platform; empty for the manifest.
	key  string
	hash string
	// size is in bytes; unknownSize until the first piece of a manifest.
	size int
	// data is what has been received. Another peer continues where the last one stopped.
	data []byte
	done bool

	active bool
	// source is the neighbour's ID, or platformSource.
	source string
	call   CallID
	// requestedTo is the offset up to which pieces have been requested.
	requestedTo int
	progressAt  monotime.Instant
}

const unknownSize = -1

func (it *item) isManifest() bool {
	return it.key == ""
}

// wireHash returns the hash that identifies the item in peer messages.
func (it *item) wireHash() string {
	if it.isManifest() {
		return ""
	}
	return it.hash
}

func (it *item) stop() {
	it.active = false
}

// restart stops all transfers, so that they are requested again.
func (f *fetch) restart(monotime.Instant) {
	if f == nil {
		return
	}
	for _, it := range f.items {
		it.stop()
	}
}

// failSource excludes a source for the rest of the attempt.
func (f *fetch) failSource(source string) {
	f.candidate.failed[source] = true
	for _, it := range f.items {
		if it.active && it.source == source {
			it.stop()
		}
	}
}

// onWantDeclined handles a neighbour that lacks the requested data. It answers with the
// revision that it has in force instead.
func (c *Core) onWantDeclined(from string, id revisionID) {
	if c.fetch != nil && c.fetch.candidate.id != id {
		c.fetch.failSource(from)
	}
}

// expirePieces excludes neighbours that stopped sending during a transfer.
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

// chooseFetch starts the fetch of the best candidate. It keeps a fetch that already has
// its manifest: otherwise revisions in quick succession could prevent each other from
// ever completing.
func (c *Core) chooseFetch(now monotime.Instant, eff Effects) {
	best := c.bestCandidate(now)
	if best == nil {
		return
	}
	if c.fetch != nil && (c.fetch.manifest != nil || !best.outranks(c.fetch.candidate)) {
		return
	}
	available := make(map[string][]byte, len(c.current.chunks))
	for hash, data := range c.current.chunks {
		available[hash] = data
	}
	for hash, data := range c.retained {
		available[hash] = data
	}
	c.fetch = &fetch{candidate: best, available: available}
	if best.raw != nil {
		c.useManifest(c.fetch, best.raw, eff)
		return
	}
	c.fetch.items = []*item{{hash: best.id.hash, size: unknownSize}}
}

// retainValues keeps the complete values of a failed fetch for the next one.
func (c *Core) retainValues(f *fetch) {
	c.retained = make(map[string][]byte)
	for _, it := range f.items {
		if it.done && !it.isManifest() {
			c.retained[it.hash] = f.available[it.hash]
		}
	}
}

// useManifest lists the missing values, or refuses the candidate.
func (c *Core) useManifest(f *fetch, raw []byte, eff Effects) {
	manifest, err := parseManifest(raw)
	if err == nil && uint64(manifest.Revision) != f.candidate.id.number {
		err = errors.Errorf("manifest contains revision %d instead of the announced one", manifest.Revision)
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
		if _, ok := f.available[chunk.SHA256]; ok || listed[chunk.SHA256] {
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

// startItems requests items up to the limit. It returns false if no source is left.
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

// pickSource prefers the platform only at regular readers. Extra readers, which may be
// many when the fleet starts, save the platform's call rate if a neighbour can serve.
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
		// The wrong byte may come from any source that sent a piece. Start over without
		// the last source, until a single source has sent the whole item.
		it.data = nil
		f.failSource(it.source)
		return
	}
	it.done = true
	if it.isManifest() {
		c.useManifest(f, it.data, eff)
		return
	}
	f.available[it.hash] = it.data
}
