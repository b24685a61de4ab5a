package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"

	"basilrudder/internal/inventory"
	"basilrudder/internal/platform"
	"basilrudder/internal/schema/platformapi"
)

// ManifestCmd prints the manifest that publishes the files of a directory as a revision.
type ManifestCmd struct {
	Dir      string `arg:"" help:"Directory of TOML files to publish." type:"path"`
	Revision int    `required:"" help:"Revision to publish; it must be above the one published last."`
}

// Run validates the files and prints the manifest as JSON.
func (c *ManifestCmd) Run(streams *Streams) error {
	if c.Revision < 1 {
		return errors.Errorf("--revision is %d, expected at least 1", c.Revision)
	}
	if _, problems := inventory.LoadDir(c.Dir); len(problems) > 0 {
		return problems
	}
	names, err := filepath.Glob(filepath.Join(c.Dir, "*.toml"))
	if err != nil {
		return err
	}
	manifest := platformapi.Manifest{Revision: c.Revision}
	for _, name := range names {
		chunk, err := describeFile(name)
		if err != nil {
			return err
		}
		manifest.Chunks = append(manifest.Chunks, chunk)
	}
	return writeJSON(streams.Out, manifest)
}

// describeFile returns the key, hash and size of a file; its base name is the key. It fails
// if the file is larger than platform.MaxValueBytes.
func describeFile(name string) (platformapi.Chunk, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return platformapi.Chunk{}, err
	}
	key := filepath.Base(name)
	if len(data) > platform.MaxValueBytes {
		return platformapi.Chunk{}, errors.Errorf("%s: %d bytes, expected at most %s, the platform's limit for a value; split the file",
			key, len(data), strconv.Itoa(platform.MaxValueBytes))
	}
	sum := sha256.Sum256(data)
	return platformapi.Chunk{Key: key, SHA256: hex.EncodeToString(sum[:]), Bytes: len(data)}, nil
}
