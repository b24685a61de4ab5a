package confsync

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
)

// Publish takes a revision that the owner read at the platform and has put in force, for
// neighbours to fetch. One that is not newer than that in force changes nothing. The same
// files must always come in the same order: instances that read one revision agree on it
// by the hash of its manifest.
func (c *Core) Publish(now monotime.Instant, number uint64, files []inventory.File, eff Effects) error {
	if number <= c.current.id.number {
		return nil
	}
	manifest := &platformapi.Manifest{Revision: int(number)}
	chunks := make(map[string][]byte, len(files))
	for _, file := range files {
		hash := hashOf(file.Data)
		chunks[hash] = file.Data
		manifest.Chunks = append(manifest.Chunks, platformapi.Chunk{Key: file.Name, SHA256: hash, Bytes: len(file.Data)})
	}
	if err := checkManifest(manifest); err != nil {
		return err
	}
	raw, err := json.Marshal(manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	if c.fetch != nil && c.fetch.candidate.id.number <= number {
		c.fetch = nil
	}
	clear(c.retained)
	id := revisionID{number: number, hash: hashOf(raw)}
	c.putInForce(revision{id: id, manifest: raw, chunks: chunks, publishedAt: now})
	c.announce(now, eff)
	c.advance(now, eff)
	return nil
}

// QueryPeer asks a neighbour for its revision.
func (c *Core) QueryPeer(now monotime.Instant, id string, eff Effects) {
	if slices.Contains(c.neighbours, id) {
		c.sendOffer(id, c.newQuery(now, id), eff)
	}
}

// Tracks reports whether this revision or a higher one is in force, was refused or is being
// fetched.
func (c *Core) Tracks(number uint64) bool {
	if number <= c.current.id.number {
		return true
	}
	for id := range c.candidates {
		if id.number >= number {
			return true
		}
	}
	return slices.ContainsFunc(c.refused, func(id revisionID) bool { return id.number >= number })
}

// PublishedAt returns when the revision in force was first read at the platform, as far as
// is known: the time on the way is not counted. 0 for unknown.
func (c *Core) PublishedAt() monotime.Instant { return c.current.publishedAt }
