package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const example = "../../examples/settings/basilrudderd.toml"

func noEnv(string) string { return "" }

func TestLoadExample(t *testing.T) {
	got, problems := Load(example, noEnv)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if got.Limits.BodyBytes != 4<<20 || got.Platform.TimeoutMS != 1000 || got.Log.Level != "info" {
		t.Errorf("defaults are missing: %+v", *got)
	}
	if got.Peers.Key != "trial-peer-key-0001" {
		t.Errorf("key %q", got.Peers.Key)
	}
}

func TestMissingTablesGetDefaults(t *testing.T) {
	got, problems := Parse("s.toml", []byte(minimalSettings), noEnv)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if got.Limits.Requests != 4096 || got.Log.Level != "info" {
		t.Errorf("limits %+v, log %+v", got.Limits, got.Log)
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	env := func(name string) string {
		if name == PeerKeyVariable {
			return "from-the-environment"
		}
		return ""
	}
	got, problems := Load(example, env)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if got.Peers.Key != "from-the-environment" {
		t.Errorf("key %q", got.Peers.Key)
	}
}

const minimalSettings = `
[instance]
id = "entry-1"
data_centre = "dc-1"
[listen]
callers = "10.0.0.1:80"
peers = "10.0.0.1:81"
admin = "10.0.0.1:82"
[platform]
address = "10.0.0.9:80"
`

func TestInvalidSettingsAreReported(t *testing.T) {
	shortKey := func(string) string { return "short" }
	cases := []struct {
		name, data string
		env        func(string) string
		want       string
	}{
		{"unknown key", minimalSettings + "[limits]\nbody_byte = 1\n", noEnv,
			"s.toml: limits.body_byte: 1: expected one of the keys body_bytes, connections, descriptors, drain_s, header_bytes, kept_answer_bytes, memory_mb, read_timeout_ms, requests, write_stall_ms"},
		{"impossible value", minimalSettings + "timeout_ms = 0\n", noEnv,
			"s.toml: platform.timeout_ms: 0: expected an integer from 10 to 60000"},
		{"wrong type", minimalSettings + "[limits]\nrequests = \"all\"\n", noEnv,
			`s.toml: limits.requests: "all": expected an integer of at least 1`},
		{"port", minimalSettings + "[peers]\nseeds = [\"10.0.0.2:81\", \"10.0.0.3:99999\"]\n", noEnv,
			`s.toml: peers.seeds[1]: "10.0.0.3:99999": expected a host and a port from 1 to 65535, like 10.0.0.1:8080`},
		{"key without id", minimalSettings + "[peers]\nkey = \"0123456789abcdef\"\n", noEnv,
			"s.toml: peers.key_id: (missing): expected the id of the key, because a key is given"},
		{"short key in the environment", minimalSettings + "[peers]\nkey_id = \"k\"\n", shortKey,
			"environment: peers.key: (hidden): expected text of at least 16 characters"},
		{"level", minimalSettings + "[log]\nlevel = \"loud\"\n", noEnv,
			`s.toml: log.level: "loud": expected one of "debug", "info", "warn", "error"`},
		{"missing parts", "[instance]\nid = \"entry-1\"\n[platform]\naddress = \"10.0.0.9:80\"\n", noEnv,
			"s.toml: instance.data_centre: (missing): expected text matching ^[a-z0-9][a-z0-9._-]{0,62}$\ns.toml: listen: (missing): expected a table"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, problems := Parse("s.toml", []byte(c.data), c.env)
			if got != nil {
				t.Error("invalid settings were returned")
			}
			_, lines, _ := strings.Cut(problems.Error(), "\n")
			if diff := cmp.Diff(c.want, lines); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMissingFileIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.toml")
	_, problems := Load(path, os.Getenv)
	if len(problems) != 1 || problems[0].File != path {
		t.Errorf("problems %v", problems)
	}
}
