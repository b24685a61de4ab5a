package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/schema/platformapi"
)

func start(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	s := New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return s, "http://" + ln.Addr().String()
}

func get(t *testing.T, url string) (int, []byte) {
	t.Helper()
	status, body, err := fasthttp.Get(nil, url)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

func getJSON(t *testing.T, url string, into any) {
	t.Helper()
	status, body := get(t, url)
	if status != fasthttp.StatusOK {
		t.Fatalf("%s: status %d", url, status)
	}
	if err := json.Unmarshal(body, into); err != nil {
		t.Fatal(err)
	}
}

func publish(t *testing.T, s *Server, data string) int {
	t.Helper()
	revision, err := s.Publish([]File{{Key: "a.toml", Data: []byte(data)}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func TestManifestDescribesTheValues(t *testing.T) {
	s, url := start(t, Config{})
	publish(t, s, "one")
	publish(t, s, "two")
	var manifest platformapi.Manifest
	getJSON(t, url+"/v1/values/manifest", &manifest)
	digest := sha256.Sum256([]byte("two"))
	want := platformapi.Manifest{Revision: 2, Chunks: []platformapi.Chunk{
		{Key: "a.toml", Bytes: 3, SHA256: hex.EncodeToString(digest[:])},
	}}
	if diff := cmp.Diff(want, manifest); diff != "" {
		t.Errorf("manifest (-want +got):\n%s", diff)
	}
	if status, value := get(t, url+"/v1/values/a.toml"); status != fasthttp.StatusOK || string(value) != "two" {
		t.Errorf("value: status %d, body %q, want 200 and \"two\"", status, value)
	}
	if calls := s.Calls(); calls.Values != 2 || calls.Total() != 2 {
		t.Errorf("calls: %+v, want 2 reads of values and no others", calls)
	}
}

func TestOversizedValueIsRejected(t *testing.T) {
	s := New(Config{})
	if _, err := s.Publish([]File{{Key: "a", Data: make([]byte, MaxValueBytes+1)}}); err == nil {
		t.Error("published a value larger than MaxValueBytes without an error")
	}
	if revision := s.Revision(); revision != 0 {
		t.Errorf("revision %d after a refused publish, want 0", revision)
	}
}

func TestWatchReturnsOnChange(t *testing.T) {
	s, url := start(t, Config{})
	publish(t, s, "one")
	if status, _ := get(t, url+"/v1/watch?revision=1&instances=0&timeout_ms=1"); status != fasthttp.StatusNoContent {
		t.Errorf("status %d when nothing is newer, want 204", status)
	}
	answered := make(chan platformapi.WatchAnswer)
	go func() {
		var answer platformapi.WatchAnswer
		getJSON(t, url+"/v1/watch?revision=1&instances=0&timeout_ms=60000", &answer)
		answered <- answer
	}()
	publish(t, s, "two")
	if answer := <-answered; answer.Revision != 2 {
		t.Errorf("answer: %+v, want revision 2", answer)
	}
	s.SetInstances([]platformapi.Instance{{ID: "i1"}})
	var answer platformapi.WatchAnswer
	getJSON(t, url+"/v1/watch?revision=2&instances=0&timeout_ms=60000", &answer)
	if answer.InstancesVersion != 1 {
		t.Errorf("answer: %+v, want instances version 1", answer)
	}
}

func TestModes(t *testing.T) {
	s, url := start(t, Config{})
	publish(t, s, "one")
	s.SetMode(Stale)
	publish(t, s, "two")
	if _, value := get(t, url+"/v1/values/a.toml"); string(value) != "one" {
		t.Errorf("value %q while stale, want the one before", value)
	}
	s.SetMode(Up)
	if err := s.Rewind(1); err != nil {
		t.Fatal(err)
	}
	if _, value := get(t, url+"/v1/values/a.toml"); string(value) != "one" {
		t.Errorf("value %q after a rewind to revision 1, want its value", value)
	}
	s.SetMode(Down)
	if status, _ := get(t, url+"/v1/instances"); status != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d while down, want 503", status)
	}
	s.SetMode(Hanging)
	answered := make(chan string)
	go func() {
		_, value := get(t, url+"/v1/values/a.toml")
		answered <- string(value)
	}()
	s.SetMode(Up)
	if value := <-answered; value != "two" {
		t.Errorf("value %q after hanging, want the latest", value)
	}
}
