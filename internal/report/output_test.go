package report

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/verdict"
)

func writeLines(t *testing.T, lines ...string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "lines")
	if err := os.WriteFile(name, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestTableHoldsEveryClassAndReason(t *testing.T) {
	name := writeLines(t, scenario(t, rand.New(rand.NewPCG(5, 6)), 100)...)
	r, err := Read([]string{name}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := r.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"k0", "k1", "k2", "c0 / k0", "overloaded", "unknown", "30 d", "100"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// The page is opened far from any network, so it must load nothing. Names come
// from callers and damaged lines, so they must not become markup.
func TestPageStandsAlone(t *testing.T) {
	lines := scenario(t, rand.New(rand.NewPCG(7, 8)), 100)
	const evil = `<script>alert(1)</script>`
	lines = append(lines, encode(t, served("x", evil, evil, testNow-1, true)))
	var out bytes.Buffer
	if err := parse(t, strings.Join(lines, "\n")).WriteHTML(&out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if got := strings.Count(text, "<svg"); got != 4 {
		t.Errorf("%d plots", got)
	}
	if strings.Contains(text, "<script") {
		t.Error("a name became markup")
	}
	loads := regexp.MustCompile(`(?i)(src|href)\s*=|url\(|@import|<link|<iframe`)
	if found := loads.FindString(text); found != "" {
		t.Errorf("the page loads something: %q", found)
	}
}

func TestEmptyInputGivesAnEmptyReport(t *testing.T) {
	r, err := Read([]string{writeLines(t)}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := r.WriteTable(&out); err != nil {
		t.Error(err)
	}
	if err := r.WriteHTML(&out); err != nil {
		t.Error(err)
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
}

func TestReadOfAMissingFileFails(t *testing.T) {
	if _, err := Read([]string{filepath.Join(t.TempDir(), "none")}, Options{}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

// The lines of a request lie in the outputs of two instances, one of them given
// twice, in no order.
func TestExplainTellsTheStoryInOrder(t *testing.T) {
	grant := accounting.Record{
		Kind: accounting.RecordKindDecision, Request: "1", Instance: "owner", Incarnation: "b", Ts: 10.5,
		Message: "granted: least backlog", Engine: "s1/e1", AgeMS: 250,
	}
	begin := start("1", "one", "draft", 10)
	end := refused("1", "one", "draft", 11, verdict.ReasonUpstreamLost)
	end.Verdict = verdict.TextRan
	entry := writeLines(t, encode(t, end), encode(t, start("2", "x", "y", 1)), encode(t, begin))
	owner := writeLines(t, encode(t, grant))
	story, err := Explain("1", []string{entry, owner, entry})
	if err != nil {
		t.Fatal(err)
	}
	var kinds []accounting.RecordKind
	for _, r := range story.Records {
		kinds = append(kinds, r.Kind)
	}
	want := []accounting.RecordKind{accounting.RecordKindStart, accounting.RecordKindDecision, accounting.RecordKindEnd}
	if diff := cmp.Diff(want, kinds); diff != "" {
		t.Fatal(diff)
	}
	var out bytes.Buffer
	if err := story.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"granted: least backlog", "engine s1/e1", "known 250 ms ago", "+500.0 ms", "verdict ran", "upstream_lost"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

func TestExplainOfACutRequest(t *testing.T) {
	line := encode(t, start("1", "one", "draft", 10))
	story, err := Explain("1", []string{writeLines(t, line, line[:len(line)-3])})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := story.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "outcome is unknown") || !strings.Contains(out.String(), "cut off") {
		t.Error(out.String())
	}
	if _, err := Explain("9", []string{writeLines(t, line)}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("an unknown request gave %v", err)
	}
}
