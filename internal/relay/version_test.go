package relay

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/routing"
)

// Guards against an answer that goes on at another software version, or waits for its own.
func TestAStreamGoesOnAtItsSoftwareVersionOnly(t *testing.T) {
	for _, c := range []struct {
		name     string
		software map[string]string
		aborted  bool
		want     string
	}{
		{"a server of its version is left", map[string]string{"s1": "v1", "s2": "v2", "s3": "v1"}, false, events(1, 5)},
		{"none is left", map[string]string{"s1": "v1", "s2": "v2", "s3": "v3"}, true, events(1, 2)},
		{"versions that are not named are one", nil, false, events(1, 5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rest := []script{replying(streamHead + chunk(events(3, 5)) + lastChunk)}
				b := newRig(t, allRoutes, map[string][]script{
					"s1": {sendThenClose(streamHead, chunk(events(1, 2)))}, "s2": nil, "s3": rest,
				}, "s1", "s2", "s3")
				if c.software == nil {
					b.scripts["s2"] = rest
				}
				b.fleet.software = c.software
				began := time.Now()
				rec, aborted := b.serve(request("POST", "/resumable/", "r", "x"))
				took := time.Since(began)
				b.close()
				if aborted != c.aborted || rec.Body.String() != c.want || took > 100*time.Millisecond || c.software != nil && b.dials["s2"] != 0 {
					t.Errorf("aborted %v after %v, s2 asked %d times: %q", aborted, took, b.dials["s2"], rec.Body)
				}
			})
		})
	}
}

// Guards against binding a stream to a server that failed before its first event.
func TestAVersionIsBoundByTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, allRoutes, map[string][]script{
			"s1": {sendThenClose(streamHead, chunk("id: 1\nda"))},
			"s2": {replying(streamHead + chunk(events(1, 5)) + lastChunk)},
		}, "s1", "s2")
		b.fleet.software = map[string]string{"s1": "v1", "s2": "v2"}
		rec, aborted := b.serve(request("POST", "/resumable/", "r", "x"))
		b.close()
		if aborted || rec.Body.String() != events(1, 5) {
			t.Errorf("aborted %v: %q", aborted, rec.Body)
		}
	})
}

// Guards against resuming a stream at another software version, or at a guessed one.
func TestAStreamIsResumedAtItsSoftwareVersionOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		after  string
		origin StreamOrigin
		status int
		asked  string
		began  []string
	}{
		{"it began at v2", "/resumable/", "2", StreamOrigin{Known: true, Version: "v2"}, 200, "s2", nil},
		{"its version is gone", "/resumable/", "2", StreamOrigin{Known: true, Version: "v3"}, 503, "", nil},
		{"its version is unknown", "/resumable/", "2", StreamOrigin{}, 503, "", nil},
		{"a new stream", "/resumable/", "", StreamOrigin{}, 200, "s1", []string{"svc r v1"}},
		{"a stream that may not be resumed", "/stream/", "", StreamOrigin{}, 200, "s1", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole := []script{replying(streamHead + chunk(events(3, 5)) + lastChunk)}
				b := newRig(t, allRoutes, map[string][]script{"s1": whole, "s2": whole}, "s1", "s2")
				b.fleet.software = map[string]string{"s1": "v1", "s2": "v2"}
				b.fleet.origins = map[string]StreamOrigin{"first": c.origin}
				req := request("POST", c.path, "r", "x")
				if c.after != "" {
					req.Header.Set("X-Resume", c.after)
					req.Header.Set("X-First-Try", "first")
				}
				rec, _ := b.serve(req)
				b.close()
				asked := ""
				for _, server := range b.fleet.begun {
					asked += server
				}
				if rec.Code != c.status || asked != c.asked || !slices.Equal(b.fleet.streams, c.began) {
					t.Errorf("status %d, asked %q, began %q", rec.Code, asked, b.fleet.streams)
				}
				if c.status == 503 && rec.Header().Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
			})
		})
	}
}

// Guards against resuming a stream of a split route at another service than its own.
func TestAStreamIsResumedAtItsService(t *testing.T) {
	split := resumable
	split.Shares = []routing.Share{{Service: "svc", Weight: 1}, {Service: "other", Weight: 2}}
	synctest.Test(t, func(t *testing.T) {
		b := newRig(t, []routing.Route{split}, nil)
		for n := range 40 {
			first := fmt.Sprint("first-", n)
			req := request("POST", "/resumable/", fmt.Sprint("later-", n), "x")
			req.Header.Set("X-Resume", "2")
			req.Header.Set("X-First-Try", first)
			b.serve(req)
			if want := split.Pick(first); b.fleet.origin != want {
				t.Errorf("%s went to %s, its first try to %s", first, b.fleet.origin, want)
			}
		}
	})
}
