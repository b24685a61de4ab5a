package replay

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/inventory"
	"basilrudder/internal/sched"
	schemainventory "basilrudder/internal/schema/inventory"
	"basilrudder/internal/trace"
)

func deployment(t testing.TB, name string) (*schemainventory.Inventory, *catalog.Catalog) {
	t.Helper()
	inv, problems := inventory.LoadDir("../../examples/" + name)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return inv, catalog.Compile(1, inv)
}

func run(t testing.TB, name, lines string, policy sched.Policy) *Result {
	t.Helper()
	inv, cat := deployment(t, name)
	tr, err := trace.Read("test", strings.NewReader(lines), cat)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), Config{Inventory: inv, Trace: tr, Policy: policy, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func print(r *Result, took time.Duration) {
	fmt.Printf("%s: goodput %.1f/s %.0f tok/s waste %.4f late %.3f took %v\n", r.Policy, r.Goodput, r.TokensPerS, r.WastedWork, r.LateWork, took.Round(time.Millisecond))
	for t := range 7 {
		if s := r.Tiers[t]; s != nil {
			fmt.Printf("   tier %d: %.4f of %d late %d refused %d failed %d\n", t, s.Attainment, s.Requests, s.Late, s.Refused, s.Failed)
		}
	}
	fmt.Println("  ", r.Violations, r.Reasons)
}

func TestTrial(t *testing.T) {
	dep := os.Getenv("DEP")
	if dep == "" {
		t.Skip()
	}
	for _, load := range strings.Split(os.Getenv("LOADS"), ",") {
		for _, policy := range sched.Policies() {
			if p := os.Getenv("POLICY"); p != "" && p != policy.Name {
				continue
			}
			start := time.Now()
			r := run(t, dep, fmt.Sprintf(`{"at_ms":0,"generate":"%s","seed":1,"for_ms":%s,"load":%s,"burst":%s}`+"\n"+os.Getenv("FAULTS"), dep, os.Getenv("FOR"), load, os.Getenv("BURST")), policy)
			fmt.Println("load", load)
			print(r, time.Since(start))
		}
	}
}
