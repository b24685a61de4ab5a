package inventory

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
)

const examples = "../../examples"

func loadExample(t testing.TB, name string) *inventory.Inventory {
	t.Helper()
	inv, problems := LoadDir(filepath.Join(examples, name))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return inv
}

func TestExampleInventorySizes(t *testing.T) {
	type size struct {
		Region                                                   string
		DataCentres, Model, Application, Customers, Tiers, Large int
		StepMS, OneWayMS                                         float64
	}
	cases := map[string]size{
		"chikushi": {"kyushu-north", 3, 18, 3, 10, 7, 3, 7, 0.5},
		"kivu":     {"rw-north", 3, 9, 3, 10, 7, 3, 7, 1},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			inv := loadExample(t, name)
			got := size{DataCentres: len(inv.DataCentres), Customers: len(inv.Customers), Tiers: len(inv.Tiers)}
			for _, dc := range inv.DataCentres {
				got.Region, got.OneWayMS = dc.Region, dc.OneWayMS
			}
			for _, server := range inv.Servers {
				if server.Kind == inventory.ServerKindApplication {
					got.Application++
					continue
				}
				got.Model++
				got.StepMS = server.Engines[0].StepMS
			}
			for _, customer := range inv.Customers {
				if customer.Weight > 1 {
					got.Large++
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestExampleCredentialsMatchTheReadme(t *testing.T) {
	row := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `([^`]+)` \\|$")
	for _, name := range []string{"chikushi", "kivu"} {
		cat := catalog.Compile(1, loadExample(t, name))
		readme, err := os.ReadFile(filepath.Join(examples, name, "README.md"))
		if err != nil {
			t.Fatal(err)
		}
		rows := row.FindAllStringSubmatch(string(readme), -1)
		if len(rows) != len(cat.Customers) {
			t.Errorf("%s: %d rows for %d customers", name, len(rows), len(cat.Customers))
		}
		for _, match := range rows {
			customer := cat.Authenticate(match[2])
			if customer == nil || customer.Name != match[1] {
				t.Errorf("%s: credential %q is not that of %q", name, match[2], match[1])
			}
		}
	}
}

// validFiles is a valid inventory in two files.
var validFiles = []File{
	{Name: "a.toml", Data: []byte(`
[[data_centres]]
name = "dc-1"
region = "r"
[[models]]
name = "m1"
[[tiers]]
tier = 0
name = "top"
[[servers]]
name = "s1"
data_centre = "dc-1"
address = "10.0.0.1:80"
kind = "model"
engines = [{ name = "e", models = ["m1"], slots = 2 }]
[[servers]]
name = "s2"
data_centre = "dc-1"
address = "10.0.0.2:80"
kind = "application"
engines = [{ name = "w", services = ["lookup"], slots = 2 }]
`)},
	{Name: "b.toml", Data: []byte(`
[[classes]]
name = "c1"
tier = 0
kind = "model"
model = "m1"
[[customers]]
name = "u1"
credential_sha256 = ["` + digestA + `"]
classes = ["c1"]
`)},
}

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func TestInvalidInventoriesAreRejected(t *testing.T) {
	if _, problems := Parse(validFiles); len(problems) > 0 {
		t.Fatal(problems)
	}
	server := func(fields string) string { return "[[servers]]\nname = \"s3\"\naddress = \"10.0.0.3:80\"\n" + fields }
	cases := []struct{ name, add, want string }{
		{"server twice", "[[servers]]\nname = \"s1\"\naddress = \"10.0.0.3:80\"\ndata_centre = \"dc-1\"\nkind = \"model\"\nengines = [{ name = \"e\", models = [\"m1\"], slots = 2 }]",
			`c.toml: servers[0:s1].name: "s1": expected a value that no other entry has; a.toml has it at servers[0:s1].name`},
		{"address twice", "[[servers]]\nname = \"s3\"\naddress = \"10.0.0.1:80\"\ndata_centre = \"dc-1\"\nkind = \"model\"\nengines = [{ name = \"e\", models = [\"m1\"], slots = 2 }]",
			`c.toml: servers[0:s3].address: "10.0.0.1:80": expected a value that no other entry has; a.toml has it at servers[0:s1].address`},
		{"unknown data centre", server("data_centre = \"dc-9\"\nkind = \"model\"\nengines = [{ name = \"e\", models = [\"m1\"], slots = 2 }]"),
			`c.toml: servers[0:s3].data_centre: "dc-9": expected one of the data centres dc-1`},
		{"engine with unknown model", server("data_centre = \"dc-1\"\nkind = \"model\"\nengines = [{ name = \"e\", models = [\"m2\"], slots = 2 }]"),
			`c.toml: servers[0:s3].engines[0:e].models[0]: "m2": expected one of the models m1`},
		{"engine twice", server("data_centre = \"dc-1\"\nkind = \"model\"\nengines = [{ name = \"e\", models = [\"m1\"], slots = 2 }, { name = \"e\", models = [\"m1\"], slots = 2 }]"),
			`c.toml: servers[0:s3].engines[1:e].name: "e": expected a value that no other entry has; c.toml has it at servers[0:s3].engines[0:e].name`},
		{"model server without models", server("data_centre = \"dc-1\"\nkind = \"model\"\nengines = [{ name = \"e\", slots = 2 }]"),
			`c.toml: servers[0:s3].engines[0:e].models: (missing): expected at least one entry, because the server's kind is model`},
		{"application server with models", server("data_centre = \"dc-1\"\nkind = \"application\"\nengines = [{ name = \"e\", services = [\"x\"], models = [\"m1\"], slots = 2 }]"),
			`c.toml: servers[0:s3].engines[0:e].models: "m1": expected no entry, because the server's kind is application`},
		{"no slots", server("data_centre = \"dc-1\"\nkind = \"model\"\nengines = [{ name = \"e\", models = [\"m1\"], slots = 0 }]"),
			`c.toml: servers[0:s3].engines[0:e].slots: 0: expected an integer from 1 to 4096`},
		{"no engines", server("data_centre = \"dc-1\"\nkind = \"model\"\nengines = []"),
			`c.toml: servers[0:s3].engines: []: expected an array of at least 1 item(s)`},
		{"class with unknown model", "[[classes]]\nname = \"c2\"\ntier = 0\nkind = \"model\"\nmodel = \"m7\"",
			`c.toml: classes[0:c2].model: "m7": expected one of the models m1`},
		{"class with unknown service", "[[classes]]\nname = \"c2\"\ntier = 0\nkind = \"service\"\nservice = \"print\"",
			`c.toml: classes[0:c2].service: "print": expected one of the services that servers offer: lookup`},
		{"class of both kinds", "[[classes]]\nname = \"c2\"\ntier = 0\nkind = \"service\"\nservice = \"lookup\"\nmodel = \"m1\"",
			`c.toml: classes[0:c2].model: "m1": expected no model, because the class's kind is service`},
		{"class of unknown tier", "[[classes]]\nname = \"c2\"\ntier = 3\nkind = \"model\"\nmodel = \"m1\"",
			`c.toml: classes[0:c2].tier: 3: expected one of the tiers [0]`},
		{"override to unknown tier", "[[classes]]\nname = \"c2\"\ntier = 0\nkind = \"model\"\nmodel = \"m1\"\nsubscription_tiers = [{ subscription = \"x\", tier = 5 }]",
			`c.toml: classes[0:c2].subscription_tiers[0].tier: 5: expected one of the tiers [0]`},
		{"first token after the end", "[[classes]]\nname = \"c2\"\ntier = 0\nkind = \"model\"\nmodel = \"m1\"\ndeadline_ms = 100\nfirst_token_ms = 200",
			`c.toml: classes[0:c2].first_token_ms: 200: expected at most deadline_ms, 100`},
		{"customer with unknown class", "[[customers]]\nname = \"u2\"\ncredential_sha256 = [\"" + digestB + "\"]\nclasses = [\"c1\", \"c9\"]",
			`c.toml: customers[0:u2].classes[1]: "c9": expected one of the classes c1`},
		{"credential of another", "[[customers]]\nname = \"u2\"\ncredential_sha256 = [\"" + digestA + "\"]",
			`c.toml: customers[0:u2].credential_sha256[0]: (hidden): expected a value that no other entry has; b.toml has it at customers[0:u1].credential_sha256[0]`},
		{"credential in clear", "[[customers]]\nname = \"u2\"\ncredential_sha256 = [\"hunter\"]",
			`c.toml: customers[0:u2].credential_sha256[0]: (hidden): expected text matching ^[0-9a-f]{64}$`},
		{"customer twice", "[[customers]]\nname = \"u1\"\ncredential_sha256 = [\"" + digestB + "\"]",
			`c.toml: customers[0:u1].name: "u1": expected a value that no other entry has; b.toml has it at customers[0:u1].name`},
		{"tier number twice", "[[tiers]]\ntier = 0\nname = \"other\"",
			`c.toml: tiers[0:other].tier: "0": expected a value that no other entry has; a.toml has it at tiers[0:top].tier`},
		{"floors beyond the whole", "[[tiers]]\ntier = 1\nname = \"t1\"\nfloor_share = 0.5\n[[tiers]]\ntier = 2\nname = \"t2\"\nfloor_share = 0.5",
			`inventory: tiers[].floor_share: 1.02: expected shares that add up to at most 1`},
		{"peer key twice", "[[peer_keys]]\nid = \"k\"\nsecret = \"0123456789abcdef\"\n[[peer_keys]]\nid = \"k\"\nsecret = \"fedcba9876543210\"",
			`c.toml: peer_keys[1:k].id: "k": expected a value that no other entry has; c.toml has it at peer_keys[0:k].id`},
		{"unknown key", "[rules]\nservers_per_grp = 3",
			`c.toml: rules.servers_per_grp: 3: expected one of the keys answer_keep_s, attainment_goal, directory_size, directory_ttl_s, grant_lease_ms, isolated_serve_s, retry_budget, servers_per_group, weight_loads_at_once`},
		{"syntax", "[rules]\nanswer_keep_s 3",
			`c.toml: line 2, column 15: expected valid TOML: toml: expected '=' after key`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inv, problems := Parse(append(validFiles[:2:2], File{Name: "c.toml", Data: []byte(c.add)}))
			if inv != nil {
				t.Error("an invalid inventory was returned")
			}
			lines := make([]string, len(problems))
			for i, problem := range problems {
				lines[i] = problem.String()
			}
			if diff := cmp.Diff(c.want, strings.Join(lines, "\n")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestNamesWithCollidingHashesAreRejected(t *testing.T) {
	// Messages between instances identify a class by a 32-bit hash. If two classes
	// had the same hash, requests of one would be queued by the other's targets, and
	// no later check could detect it.
	first, second := collidingNames(t)
	_, problems := Parse(append(validFiles[:2:2], File{Name: "c.toml", Data: []byte(
		classText(first) + classText(second))}))
	want := Problems{{
		File: "c.toml", Key: "classes[1:" + second + "].name", Value: `"` + second + `"`,
		Expected: `a name whose hash differs from that of "` + first + `"; choose another name`,
	}}
	if diff := cmp.Diff(want, problems); diff != "" {
		t.Error(diff)
	}
}

func classText(name string) string {
	return "[[classes]]\nname = \"" + name + "\"\ntier = 0\nkind = \"model\"\nmodel = \"m1\"\n"
}

func collidingNames(t *testing.T) (first, second string) {
	t.Helper()
	seen := make(map[uint32]string)
	for i := range 1 << 20 {
		name := fmt.Sprintf("class-%d", i)
		hash := catalog.ClassHash(name)
		if other, ok := seen[hash]; ok && other != name {
			return other, name
		}
		seen[hash] = name
	}
	t.Fatal("no collision found")
	return "", ""
}

func TestRulesAreAllowedInOneFileOnly(t *testing.T) {
	rules := File{Name: "c.toml", Data: []byte("[rules]\nanswer_keep_s = 5")}
	inv, problems := Parse(append(validFiles[:2:2], rules))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if inv.Rules.AnswerKeepS != 5 || inv.Rules.ServersPerGroup != 8 {
		t.Errorf("rules %+v", *inv.Rules)
	}
	second := File{Name: "d.toml", Data: rules.Data}
	_, problems = Parse(append(validFiles[:2:2], rules, second))
	want := Problems{{File: "d.toml", Key: "rules", Expected: "rules in one file only"}}
	if diff := cmp.Diff(want, problems); diff != "" {
		t.Error(diff)
	}
}

func TestMissingRulesUseDefaults(t *testing.T) {
	inv, problems := Parse(validFiles)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if inv.Rules.GrantLeaseMS != 6000 {
		t.Errorf("grant lease %d ms", inv.Rules.GrantLeaseMS)
	}
}

func TestEmptyInventoryIsRejected(t *testing.T) {
	_, problems := Parse([]File{{Name: "a.toml", Data: []byte("[rules]")}})
	if len(problems) != 5 {
		t.Errorf("problems %v", problems)
	}
}

func TestParserDecodesChangedFilesAgain(t *testing.T) {
	parser := new(Parser)
	if _, problems := parser.Parse(validFiles); len(problems) > 0 {
		t.Fatal(problems)
	}
	changed := File{Name: "b.toml", Data: []byte(strings.Replace(string(validFiles[1].Data), `name = "u1"`, `name = "u9"`, 1))}
	inv, problems := parser.Parse([]File{validFiles[0], changed})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if inv.Customers[0].Name != "u9" || len(inv.Servers) != 2 {
		t.Errorf("customers %v, %d servers", inv.Customers, len(inv.Servers))
	}
}

func FuzzParse(f *testing.F) {
	for _, file := range validFiles {
		f.Add(file.Data)
	}
	f.Add([]byte("[[servers]]\nname = {a = 1}\n[rules]\nx = 1979-05-27T07:32:00Z"))
	f.Add([]byte("a = [[[]]]\nb = inf"))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, problems := Parse(append(validFiles[:2:2], File{Name: "c.toml", Data: data}))
		if (inv == nil) != (len(problems) > 0) {
			t.Fatalf("inventory %v with problems %v", inv, problems)
		}
		if inv != nil {
			catalog.Compile(1, inv)
		}
	})
}
