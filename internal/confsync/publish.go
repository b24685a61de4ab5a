package confsync

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
)

// Publish makes a revision that the owner has read at the platform and put in force
// available to neighbours. A revision that is not newer than the one in force changes
// nothing. The order of the files must always be the same: instances that read the same
// revision agree on it by its manifest's hash.
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

// Tracks reports whether this revision or a higher one is in force, was refused or is a
// candidate.
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

// PublishedAt returns the earliest recorded time at which the revision in force was read
// at the platform; 0 if unknown. Transmission times between instances are not included.
func (c *Core) PublishedAt() monotime.Instant { return c.current.publishedAt }
