package schema

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"basilrudder/internal/schema/inventory"
)

const inventoryRef = "inventory.json"

func TestDecodeFillsDefaultsInItemsAndReferences(t *testing.T) {
	var got inventory.Inventory
	problems := Decode(inventoryRef, "a.toml", []byte(`
[rules]
directory_size = 5
[[servers]]
name = "draft-01"
data_centre = "dc-a"
address = "10.0.0.1:80"
kind = "model"
[[servers.engines]]
name = "e0"
models = ["m"]
slots = 4
`), &got)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := inventory.Inventory{
		Servers: []inventory.Server{{
			Name: "draft-01", DataCentre: "dc-a", Address: "10.0.0.1:80", Kind: inventory.ServerKindModel,
			Engines: []inventory.Engine{{
				Name: "e0", Models: []string{"m"}, Slots: 4,
				Role: inventory.RoleMixed, StepMS: 7, PrefillTokensPerS: 20000,
			}},
		}},
		Rules: &inventory.Rules{
			DirectorySize: 5, ServersPerGroup: 8, DirectoryTTLS: 30, AnswerKeepS: 60, RetryBudget: 0.1,
			GrantLeaseMS: 6000, IsolatedServeS: 300, WeightLoadsAtOnce: 2, AttainmentGoal: 0.99,
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeReportsEveryProblemAtOnce(t *testing.T) {
	// An operator mends a file in one go only when one reading names every
	// fault with the file, the key, the value found and what was expected.
	var got inventory.Inventory
	problems := Decode(inventoryRef, "a.toml", []byte(`
colour = "blue"
[[servers]]
name = "draft-01"
data_centre = "dc-a"
address = "nowhere"
kind = "printer"
[[servers.engines]]
name = "e0"
slots = 0
slot = 3
[[servers.engines]]
name = "e1"
slots = "many"
[[peer_keys]]
id = "k1"
secret = "too short"
[[peer_keys]]
id = "k2"
secert = "0123456789abcdef"
`), &got)
	want := `9 problem(s)
a.toml: colour: "blue": expected one of the keys classes, customers, data_centres, models, peer_keys, rules, servers, tiers
a.toml: peer_keys[0:k1].secret: (hidden): expected text of at least 16 characters
a.toml: peer_keys[1:k2].secert: (hidden): expected one of the keys id, secret
a.toml: peer_keys[1:k2].secret: (missing): expected text of at least 16 characters
a.toml: servers[0:draft-01].address: "nowhere": expected text matching ^[^:\s]+:[0-9]{1,5}$|^\[[0-9a-fA-F:]+\]:[0-9]{1,5}$
a.toml: servers[0:draft-01].engines[0:e0].slot: 3: expected one of the keys models, name, prefill_tokens_per_s, role, services, slots, step_ms
a.toml: servers[0:draft-01].engines[0:e0].slots: 0: expected an integer from 1 to 4096
a.toml: servers[0:draft-01].engines[1:e1].slots: "many": expected an integer from 1 to 4096
a.toml: servers[0:draft-01].kind: "printer": expected one of "model", "application"`
	if diff := cmp.Diff(want, problems.Error()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(inventory.Inventory{}, got); diff != "" {
		t.Error("a refused file left something behind:", diff)
	}
}

func TestDecodeRefusesWhatIsNoTOML(t *testing.T) {
	cases := []struct{ name, data, want string }{
		{"syntax", "[rules]\ndirectory_size = \n", "a.toml: line 2, column 18: expected valid TOML: toml: unexpected character U+000A at start of value"},
		{"key twice", "[rules]\nanswer_keep_s = 1\nanswer_keep_s = 2\n", "a.toml: line 3, column 1: expected valid TOML: toml: key answer_keep_s is already defined"},
		{"no UTF-8", "a = \"\xff\"", "a.toml: expected text in UTF-8"},
		{"date", "[rules]\nanswer_keep_s = 1979-05-27\n", "a.toml: rules.answer_keep_s: \"1979-05-27\": expected an integer from 0 to 3600"},
		{"not a number", "[rules]\nretry_budget = nan\n", "a.toml: rules.retry_budget: NaN: expected a number from 0 to 1"},
		{"fraction", "[rules]\nanswer_keep_s = 1.5\n", "a.toml: rules.answer_keep_s: 1.5: expected an integer from 0 to 3600"},
		{"beyond 64 bits", "[[models]]\nname = \"m\"\nweight_bytes = 1e300\n", "a.toml: models.weight_bytes: number 1e+300: expected a value that fits int"},
		{"deep", strings.Repeat("[", 1<<20), "a.toml: line 1, column 3: expected valid TOML: toml: invalid character at start of key: U+005B '['"},
		{"deep value", "a = " + strings.Repeat("[", 1<<20), "a.toml: line 1, column 10005: expected valid TOML: toml: arrays and inline tables are nested more than the maximum of 10000 levels deep"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problems := Decode(inventoryRef, "a.toml", []byte(c.data), &inventory.Inventory{})
			if len(problems) != 1 {
				t.Fatalf("%d problems: %v", len(problems), problems)
			}
			if diff := cmp.Diff(c.want, problems[0].String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTheOperatorsPageNamesEveryKeyAndDefault(t *testing.T) {
	page, err := os.ReadFile("../docs/INVENTORY.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]*jsonschema.Schema{}
	for _, name := range []string{"DataCentre", "Model", "Server", "Engine", "Class", "SubscriptionTier", "Customer", "Tier", "Rules", "PeerKey"} {
		sections["### "+name+"\n"] = lookup(inventoryRef + "#/$defs/" + name)
	}
	for name, table := range lookup("settings.json").Properties {
		sections["### `["+name+"]`\n"] = table
	}
	for heading, table := range sections {
		_, section, found := strings.Cut(string(page), heading)
		section, _, _ = strings.Cut(section, "\n#")
		if !found {
			t.Errorf("no section %q", heading)
		}
		for name, prop := range table.Properties {
			row := regexp.MustCompile("(?m)^\\| `" + name + "` \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$").FindStringSubmatch(section)
			if want := pageDefault(table, name, prop); row == nil || row[1] != want {
				t.Errorf("%q: key %s has row %q, want default %s", heading, name, row, want)
			}
		}
	}
}

// pageDefault is how the page shows the default of a property.
func pageDefault(table *jsonschema.Schema, name string, prop *jsonschema.Schema) string {
	if slices.Contains(table.Required, name) {
		return "required"
	}
	value, ok := defaultOf(prop)
	if !ok || value == "" {
		return "none"
	}
	return "`" + render(value) + "`"
}
