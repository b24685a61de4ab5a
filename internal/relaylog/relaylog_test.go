package relaylog

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const logText = `
not json
  0.1 edge-1 {"level":"info","ts":"2026-01-01T10:00:00Z","msg":"config_in_force","instance":"a","version":1}
{"level":"info","ts":"2026-01-01T10:00:01Z","msg":"config_in_force","instance":"a","version":2}
{"level":"info","ts":"2026-01-01T10:00:01Z","msg":"server_changed","instance":"a","server":"s1"}
{"level":"info","ts":"2026-01-01T10:00:01Z","msg":"server_changed","instance":"a","server":"s9"}
{"level":"info","ts":"2026-01-01T10:00:02Z","msg":"store_lost","instance":"a"}
{"level":"info","ts":"2026-01-01T10:00:02Z","msg":"store_lost","instance":"b"}
{"level":"info","ts":"2026-01-01T10:00:10Z","msg":"send_failed","instance":"a","id":"r1","server":"s1"}
{"level":"info","ts":"2026-01-01T10:00:11Z","msg":"config_in_force","instance":"a","version":3}
{"level":"info","ts":"2026-01-01T10:00:12Z","msg":"request_ended","instance":"a","id":"r1","server":"s2","took_ms":2500}
{"level":"info","ts":"2026-01-01T10:00:13Z","msg":"request_ended","instance":"a","id":"r2","took_ms":1}
`

func messages(lines []Line) []string {
	var out []string
	for _, line := range lines {
		out = append(out, line.Message+" "+line.Server)
	}
	return out
}

func TestTheExplanationHoldsTheRequestAndTheStateBefore(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(logText), 0o600); err != nil {
		t.Fatal(err)
	}
	explanation, err := Explain("r1", []string{file})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"send_failed s1", "request_ended s2"}, messages(explanation.Request)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"config_in_force ", "server_changed s1", "store_lost "}, messages(explanation.State)); diff != "" {
		t.Error(diff)
	}
	var text strings.Builder
	if err := explanation.WriteText(&text); err != nil || !strings.Contains(text.String(), `"version":2`) || strings.Contains(text.String(), `"version":3`) {
		t.Errorf("%v in\n%s", err, text.String())
	}
	if _, err := Explain("r7", []string{file}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("unknown request: %v", err)
	}
}

// Guards against a request that went through a peer and whose lines there are not found.
func TestTheExplanationFollowsARequestThroughAPeer(t *testing.T) {
	const text = `
{"ts":"2026-01-01T10:00:00Z","msg":"service_path_lost","instance":"a","service":"svc"}
{"ts":"2026-01-01T10:00:00Z","msg":"service_path_lost","instance":"a","service":"other"}
{"ts":"2026-01-01T10:00:01Z","msg":"tunnel_opened","instance":"b","server":"s1","tunnel":"t1"}
{"ts":"2026-01-01T10:00:01Z","msg":"tunnel_opened","instance":"b","server":"s1","tunnel":"t2"}
{"ts":"2026-01-01T10:00:02Z","msg":"request_ended","instance":"a","id":"r1","server":"s1","service":"svc","tunnel":"t1","took_ms":900}
{"ts":"2026-01-01T10:00:03Z","msg":"tunnel_closed","instance":"b","server":"s1","tunnel":"t1"}
`
	lines, _, err := read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	got, err := explainLines("r1", lines)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"tunnel_opened s1", "tunnel_closed s1"}, messages(got.Tunnels)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"service_path_lost "}, messages(got.State)); diff != "" {
		t.Error(diff)
	}
}

// Guards against later tries of a stream, at other instances, that are not found.
func TestTheExplanationNamesTriesThatResumedAStream(t *testing.T) {
	lines, _, err := read(strings.NewReader(`
{"ts":"2026-01-01T10:00:01Z","msg":"request_ended","instance":"a","id":"first","server":"s1"}
{"ts":"2026-01-01T10:00:02Z","msg":"stream_resumed","instance":"b","id":"later","resumes":"first","software":"v1","known_from":"a","known_ms":900}
{"ts":"2026-01-01T10:00:03Z","msg":"request_ended","instance":"b","id":"later","resumes":"first","server":"s2"}
{"ts":"2026-01-01T10:00:03Z","msg":"request_ended","instance":"b","id":"other","resumes":"another","server":"s3"}
`))
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := explainLines("first", lines)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"stream_resumed ", "request_ended s2"}, messages(explanation.Resumed)); diff != "" {
		t.Error(diff)
	}
	var text strings.Builder
	if err := explanation.WriteText(&text); err != nil || !strings.Contains(text.String(), `"known_from":"a"`) {
		t.Errorf("%v in\n%s", err, text.String())
	}
}

// Guards against a refused request whose explanation lacks the ends that it is refused for.
func TestTheExplanationNamesTheEndsThatARequestIsRefusedFor(t *testing.T) {
	lines, _, err := read(strings.NewReader(`
{"ts":"2026-01-01T10:00:01Z","msg":"server_crashed","instance":"a","id":"r1","server":"s1","parts":["77aa"]}
{"ts":"2026-01-01T10:00:02Z","msg":"crash_confirmed","instance":"b","server":"s2","evidence":"entry"}
{"ts":"2026-01-01T10:00:03Z","msg":"server_crashed","instance":"a","id":"r2","server":"s3","parts":["88bb"]}
{"ts":"2026-01-01T10:00:09Z","msg":"request_refused_as_poison","instance":"c","id":"r9","content":["77aa"],"ends":["s1","s2"],"from":["a","b"],"age_ms":7000}
{"ts":"2026-01-01T10:00:09Z","msg":"request_ended","instance":"c","id":"r9","status":400}
`))
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := explainLines("r9", lines)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"server_crashed s1", "crash_confirmed s2"}, messages(explanation.Crashes)); diff != "" {
		t.Error(diff)
	}
	var text strings.Builder
	if err := explanation.WriteText(&text); err != nil || !strings.Contains(text.String(), `"content":["77aa"]`) {
		t.Errorf("%v in\n%s", err, text.String())
	}
}

// Guards against an explanation from a cut log that looks like one from a whole log.
func TestAnExplanationFromACutLogSaysSo(t *testing.T) {
	cut := strings.LastIndex(logText, `"took_ms":1}`)
	for text, damaged := range map[string]bool{logText: false, strings.TrimSpace(logText): false, logText[:cut]: true} {
		file := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		explanation, err := Explain("r1", []string{file})
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := explanation.WriteText(&out); err != nil || strings.Contains(out.String(), "1 lines of these files are cut off") != damaged {
			t.Errorf("damaged %t, %v:\n%s", damaged, err, out.String())
		}
	}
}
