package replay

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/catalog"
	"basilrudder/internal/inventory"
	"basilrudder/internal/sched"
	"basilrudder/internal/trace"
)

// play replays trace lines on a shipped deployment.
func play(t testing.TB, deployment, lines string, policy sched.Policy, seed uint64) *Result {
	t.Helper()
	inv, problems := inventory.LoadDir("../../examples/" + deployment)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	tr, err := trace.Read("test", strings.NewReader(lines), catalog.Compile(1, inv))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), Config{Inventory: inv, Trace: tr, Policy: policy, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *Result) broken() int {
	sum := 0
	for _, count := range r.Violations {
		sum += count
	}
	return sum
}

const everyFault = `
{"at_ms":5000,"fault":"crash","target":"alert-writing-01","for_ms":5000}
{"at_ms":6000,"fault":"straggle","target":"alert-writing-02","for_ms":10000,"factor":5}
{"at_ms":7000,"fault":"pause","target":"entry-2","for_ms":4000}
{"at_ms":8000,"fault":"silence","target":"alert-writing-03"}
{"at_ms":9000,"fault":"partition","target":"rw-north-2","for_ms":8000}
{"at_ms":10000,"fault":"config_down","for_ms":3000}
{"at_ms":11000,"fault":"withdraw","target":"alert-writing-04","for_ms":6000}
{"at_ms":12000,"fault":"publish"}
{"at_ms":13000,"fault":"instance_replace","target":"entry-3"}
{"at_ms":14000,"fault":"crash","target":"entry-4","for_ms":3000}
{"at_ms":15000,"fault":"pause","target":"alert-writing-05","for_ms":3000}
`

func TestSameSeedGivesTheSameResult(t *testing.T) {
	lines := `{"at_ms":0,"generate":"kivu","seed":3,"for_ms":20000,"load":1.5}` + everyFault
	first := play(t, "kivu", lines, sched.Default(), 7)
	second := play(t, "kivu", lines, sched.Default(), 7)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("results differ:\n%s", diff)
	}
}

// Every fault strikes within seconds of the others while the load is one and a
// half times what the engines carry. Callers may be refused or lose an answer
// with its engine or instance; no promise may break.
func TestNoPromiseBreaksUnderEveryFault(t *testing.T) {
	lines := `{"at_ms":0,"generate":"kivu","seed":5,"for_ms":30000,"load":1.5,"burst":2}` + everyFault
	for seed := range uint64(8) {
		r := play(t, "kivu", lines, sched.Default(), seed)
		if r.broken() > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations)
		}
	}
}
