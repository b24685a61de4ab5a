package confsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
)

// revisionID is a revision number with the hash of the manifest in lower-case hex.
type revisionID struct {
	number uint64
	hash   string
}

// revision is a revision in force, with the data that neighbours may request.
type revision struct {
	id       revisionID
	manifest []byte
	chunks   map[string][]byte
	// publishedAt is the earliest recorded time at which an instance read it at the
	// platform; 0 if unknown.
	publishedAt monotime.Instant
}

const hashLength = 2 * sha256.Size

func hashOf(data []byte) string {
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:])
}

func validHash(hash string) bool {
	return len(hash) == hashLength && strings.Trim(hash, "0123456789abcdef") == ""
}

// parseManifest decodes and checks an untrusted manifest. If a check fails, the decoded
// manifest is returned with the error, for its revision number.
func parseManifest(data []byte) (*platformapi.Manifest, error) {
	manifest := &platformapi.Manifest{}
	if err := json.Unmarshal(data, manifest); err != nil {
		return nil, errors.Wrap(err, "parse manifest")
	}
	return manifest, checkManifest(manifest)
}

func checkManifest(manifest *platformapi.Manifest) error {
	if manifest.Revision < 1 {
		return errors.Errorf("manifest: invalid revision %d", manifest.Revision)
	}
	if len(manifest.Chunks) == 0 || len(manifest.Chunks) > MaxChunks {
		return errors.Errorf("manifest: invalid number of values: %d", len(manifest.Chunks))
	}
	total := 0
	keys := make(map[string]bool, len(manifest.Chunks))
	for _, chunk := range manifest.Chunks {
		if !validHash(chunk.SHA256) || chunk.Bytes < 0 || chunk.Bytes > MaxValueBytes {
			return errors.Errorf("manifest: value %q has an invalid hash or size", chunk.Key)
		}
		if chunk.Key == "" || keys[chunk.Key] {
			return errors.Errorf("manifest: empty or duplicate key %q", chunk.Key)
		}
		keys[chunk.Key] = true
		total += chunk.Bytes
	}
	if total > MaxRevisionBytes {
		return errors.Errorf("manifest: total size of %d bytes exceeds the limit", total)
	}
	return nil
}

// install puts a complete revision in force or refuses it.
func (c *Core) install(now monotime.Instant, f *fetch, eff Effects) {
	files := make([]inventory.File, 0, len(f.manifest.Chunks))
	chunks := make(map[string][]byte, len(f.manifest.Chunks))
	for _, chunk := range f.manifest.Chunks {
		data := f.available[chunk.SHA256]
		chunks[chunk.SHA256] = data
		files = append(files, inventory.File{Name: chunk.Key, Data: data})
	}
	id := f.candidate.id
	if err := eff.Install(id.number, files); err != nil {
		c.refuse(id, err, eff)
		return
	}
	c.fetch = nil
	clear(c.retained)
	c.stats.Installed++
	c.putInForce(revision{id: id, manifest: f.raw, chunks: chunks, publishedAt: f.candidate.publishedAt})
	eff.Report(Event{Kind: EventInstalled, Revision: id.number, Hash: id.hash})
	if f.candidate.platformAt != 0 {
		c.confirm(f.candidate.platformAt)
		c.confirmPlatform(f.candidate.platformAt)
	}
	c.platform.failures = 0
	c.announce(now, eff)
}

func (c *Core) putInForce(fresh revision) {
	c.current = fresh
	c.electReader()
	clear(c.conflicts)
	c.dropOldCandidates()
}

// refuse records a revision that failed its checks, so that it is neither fetched nor
// checked again. The revision in force stays.
func (c *Core) refuse(id revisionID, err error, eff Effects) {
	candidate := c.candidates[id]
	if candidate != nil && candidate.platformAt != 0 {
		c.platform.highestRefused = max(c.platform.highestRefused, id.number)
	}
	delete(c.candidates, id)
	if c.fetch != nil && c.fetch.candidate.id == id {
		c.fetch = nil
	}
	if c.isRefused(id) {
		return
	}
	c.refused = append(c.refused, id)
	if len(c.refused) > maxRefused {
		c.refused = c.refused[1:]
	}
	c.stats.Refused++
	eff.Report(Event{Kind: EventRefused, Revision: id.number, Hash: id.hash, Err: err})
}

func (c *Core) isRefused(id revisionID) bool {
	return slices.Contains(c.refused, id)
}
