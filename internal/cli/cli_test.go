package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"basilrudder/internal/report"
)

const lines = `{"msg":"accounting","ts":10,"kind":"start","instance":"i1","incarnation":"a","request":"r1","seq":0,"customer":"one","class":"lookup"}
{"msg":"accounting","ts":11,"kind":"end","instance":"i1","incarnation":"a","request":"r1","seq":1,"customer":"one","class":"lookup","verdict":"ran","delivered":true,"on_time":true}
{"msg":"accounting","ts":12,"kind":"end","instance":"i1","incarnation":"a","request":"r2","seq":1,"customer":"one","class":"draft","verdict":"not_run","reason":"overloaded"}
`

// run parses the arguments with kong, as the program does, and runs the command.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var commands struct {
		Report  ReportCmd  `cmd:""`
		Explain ExplainCmd `cmd:""`
	}
	parser, err := kong.New(&commands)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err = parsed.Run(&Streams{Out: &out, Err: &out})
	return out.String(), err
}

func linesFile(t *testing.T) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "lines.json")
	if err := os.WriteFile(name, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestReportAsTableJSONAndPage(t *testing.T) {
	file := linesFile(t)
	page := filepath.Join(t.TempDir(), "page.html")
	table, err := run(t, "report", "--html", page, file, file)
	if err != nil || !strings.Contains(table, "overloaded") {
		t.Errorf("%v in\n%s", err, table)
	}
	if text, err := os.ReadFile(page); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("the page has no plot: %v", err)
	}
	text, err := run(t, "report", "--json", file)
	if err != nil {
		t.Fatal(err)
	}
	var r report.Report
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		t.Fatal(err)
	}
	if r.Total.Requests != 2 || r.Total.OnTime != 1 {
		t.Errorf("%+v", r.Total)
	}
}

func TestExplain(t *testing.T) {
	text, err := run(t, "explain", "r1", linesFile(t))
	if err != nil || !strings.Contains(text, "class lookup") {
		t.Errorf("%v in\n%s", err, text)
	}
}

func TestExitCodes(t *testing.T) {
	file := linesFile(t)
	for _, tt := range []struct {
		args []string
		want int
	}{
		{[]string{"report", file}, ExitOK},
		{[]string{"report", "--check", file}, ExitMissed},
		{[]string{"report", "--check", os.DevNull}, ExitMissed},
		{[]string{"report", "--goal", "1", file}, ExitBadInput},
		{[]string{"report", file + ".none"}, ExitBadInput},
		{[]string{"report", "--html", file + "/x", file}, ExitBadInput},
		{[]string{"explain", "none", file}, ExitBadInput},
	} {
		if _, err := run(t, tt.args...); ExitCode(err) != tt.want {
			t.Errorf("%v: exit code %d (%v), want %d", tt.args, ExitCode(err), err, tt.want)
		}
	}
}
