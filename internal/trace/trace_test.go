package trace

import (
	"strings"
	"testing"

	"basilrudder/examples"
	"basilrudder/internal/catalog"
	"basilrudder/internal/inventory"
)

func chikushi(t testing.TB) *catalog.Catalog {
	t.Helper()
	files, err := examples.Files(examples.Chikushi)
	if err != nil {
		t.Fatal(err)
	}
	inv, problems := inventory.Parse(files)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return catalog.Compile(1, inv)
}

func TestBrokenLinesAreNamedByFileAndLine(t *testing.T) {
	const good = `{"at_ms":1,"customer":"bureau-counters","class":"clerk-lookup"}`
	for name, line := range map[string]string{
		"no JSON":            `{"at_ms"`,
		"unknown key":        `{"at_ms":1,"clas":"x"}`,
		"nothing to do":      `{"at_ms":1}`,
		"two things":         `{"at_ms":1,"class":"clerk-lookup","fault":"crash"}`,
		"negative time":      `{"at_ms":-1,"customer":"bureau-counters","class":"clerk-lookup"}`,
		"no customer":        `{"at_ms":1,"class":"clerk-lookup"}`,
		"unknown fault":      `{"at_ms":1,"fault":"flood"}`,
		"unknown mix":        `{"at_ms":1,"generate":"nowhere","for_ms":1,"load":1}`,
		"longer than a week": `{"at_ms":1,"fault":"crash","for_ms":1e12}`,
	} {
		_, err := Read("t.jsonl", strings.NewReader(good+"\n"+line), chikushi(t))
		if err == nil || !strings.Contains(err.Error(), "t.jsonl") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestTheSameSeedGeneratesTheSameRequests(t *testing.T) {
	const line = `{"at_ms":0,"generate":"chikushi","seed":4,"for_ms":20000,"load":1,"burst":2}`
	first, err := Read("t", strings.NewReader(line), chikushi(t))
	if err != nil {
		t.Fatal(err)
	}
	second, err := Read("t", strings.NewReader(line), chikushi(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(first.Requests) == 0 || len(first.Requests) != len(second.Requests) {
		t.Fatalf("%d and %d requests", len(first.Requests), len(second.Requests))
	}
	for i := range first.Requests {
		if first.Requests[i] != second.Requests[i] {
			t.Fatalf("request %d: %+v, then %+v", i, first.Requests[i], second.Requests[i])
		}
		if i > 0 && first.Requests[i].At < first.Requests[i-1].At {
			t.Fatalf("request %d comes before the one ahead of it", i)
		}
	}
}

func FuzzReadLines(f *testing.F) {
	f.Add(`{"at_ms":1,"customer":"c","class":"x"}`)
	f.Add(`{"at_ms":0,"generate":"kivu","seed":3,"for_ms":20000,"load":1.5}`)
	f.Add(`{"at_ms":5,"fault":"pause","target":"entry-1","for_ms":10}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := ReadLines("f", strings.NewReader(text))
		if err != nil {
			return
		}
		for i := range lines {
			if lines[i].AtMS < 0 || lines[i].ForMS > maxMS {
				t.Errorf("line %+v was accepted", lines[i])
			}
		}
	})
}
