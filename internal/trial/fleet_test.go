package trial

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"basilrudder/examples"
	"basilrudder/internal/inventory"
	"basilrudder/internal/report"
)

// The whole path over real sockets: callers, four daemons, stand-ins of every
// server of an example, and the accounting of it. No time is judged.
func TestExamplesServeAndAccount(t *testing.T) {
	for _, name := range []string{examples.Chikushi, examples.Kivu} {
		t.Run(name, func(t *testing.T) {
			tally, r := runExample(t, name)
			if tally.Whole == 0 || tally.Failed > 0 {
				t.Errorf("callers saw %d whole answers, %d refusals, %d failures", tally.Whole, tally.Refused, tally.Failed)
			}
			if r.Total.Requests != tally.Sent {
				t.Errorf("the report has %d requests, callers sent %d", r.Total.Requests, tally.Sent)
			}
		})
	}
}

func runExample(t *testing.T, name string) (*Tally, *report.Report) {
	t.Helper()
	files, err := examples.Files(name)
	if err != nil {
		t.Fatal(err)
	}
	inv, problems := inventory.Parse(files)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	inv.Rules.DirectoryTTLS = 1
	path := filepath.Join(t.TempDir(), "accounting.jsonl")
	out, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, err := Start(ctx, Config{Inventory: inv, Instances: 4, Records: out})
	if err != nil {
		t.Fatal(err)
	}
	load := Load{Inventory: inv, For: time.Second, PerSecond: 50, MaxTokens: 8, Seed: 3}
	tally, err := load.Run(ctx, fleet)
	if err != nil {
		t.Fatal(err)
	}
	fleet.Close()
	r, err := report.Read([]string{path}, report.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return tally, r
}
