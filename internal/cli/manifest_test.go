package cli

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"basilrudder/internal/platform"
	"basilrudder/internal/schema/platformapi"
)

func TestManifestNamesEveryFileWithItsHash(t *testing.T) {
	const dir = "../../examples/kivu"
	var out bytes.Buffer
	cmd := ManifestCmd{Dir: dir, Revision: 7}
	if err := cmd.Run(&Streams{Out: &out}); err != nil {
		t.Fatal(err)
	}
	var manifest platformapi.Manifest
	if err := json.Unmarshal(out.Bytes(), &manifest); err != nil {
		t.Fatal(err)
	}
	if manifest.Revision != 7 || len(manifest.Chunks) != 5 {
		t.Fatalf("manifest %+v", manifest)
	}
	for _, chunk := range manifest.Chunks {
		data, err := os.ReadFile(filepath.Join(dir, chunk.Key))
		if err != nil {
			t.Fatal(err)
		}
		if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != chunk.SHA256 || len(data) != chunk.Bytes {
			t.Errorf("%s: %+v does not describe the file", chunk.Key, chunk)
		}
	}
}

func TestManifestRefusesWhatCannotBePublished(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large.toml")
	if err := os.WriteFile(large, make([]byte, platform.MaxValueBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := describeFile(large); err == nil || !strings.Contains(err.Error(), "large.toml") {
		t.Errorf("a value above the platform's limit: %v", err)
	}
	broken := t.TempDir()
	if err := os.WriteFile(filepath.Join(broken, "a.toml"), []byte("tiers = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, cmd := range map[string]ManifestCmd{
		"no revision":      {Dir: "../../examples/kivu"},
		"broken inventory": {Dir: broken, Revision: 1},
	} {
		if err := cmd.Run(&Streams{Out: &bytes.Buffer{}}); ExitCode(err) != ExitBadInput {
			t.Errorf("%s: %v", name, err)
		}
	}
}
