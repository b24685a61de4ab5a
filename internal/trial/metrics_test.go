package trial

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
)

// vars is what a test reads of /debug/vars.
type vars struct {
	Instances map[string]struct {
		Accounting struct {
			Ended map[string]int `json:"ended_by_class"`
		} `json:"accounting"`
		Callers struct {
			Connections int `json:"connections"`
		} `json:"callers"`
		Links struct {
			Links int `json:"links"`
		} `json:"links"`
		Upstream map[string]struct {
			Calls    int `json:"calls"`
			Errors   int `json:"errors"`
			BytesIn  int `json:"bytes_in"`
			BytesOut int `json:"bytes_out"`
		} `json:"upstream"`
		Node struct {
			Revision int `json:"revision"`
			IDs      int `json:"ids"`
		} `json:"node"`
		Members struct {
			Live int `json:"live_count"`
		} `json:"members"`
	} `json:"basilrudder"`
}

func (w *world) vars(m *Member) vars {
	w.t.Helper()
	resp, err := http.Get("http://" + m.Admin + "/debug/vars")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	var v vars
	if err := json.Unmarshal(data, &v); err != nil {
		w.t.Fatalf("%v in %s", err, data)
	}
	return v
}

func TestMetricsOfEveryInstance(t *testing.T) {
	w := newWorld(t, 2)
	w.stream(w.member(0), classDraft, "", 5).rest().wantWhole(w)
	v := w.vars(w.member(0))
	for _, m := range w.fleet.Members {
		got, ok := v.Instances[m.ID]
		if !ok || got.Node.Revision != 1 || got.Members.Live != 2 || got.Links.Links != 1 {
			t.Errorf("%s: %v %+v", m.ID, ok, got)
		}
	}
	first := v.Instances[w.member(0).ID]
	if call := first.Upstream["generate"]; call.Calls != 1 || call.BytesIn == 0 || first.Node.IDs != 1 {
		t.Errorf("after one request: %+v", first)
	}
}

// The owner of a group, and nobody else, asks its engines for hints. What it
// costs is counted.
func TestOwnersAskTheirEnginesForHints(t *testing.T) {
	w := newWorld(t, 2)
	w.stream(w.member(0), classDraft, "", 3).rest().wantWhole(w)
	w.service(w.member(0), classLookup, "").wantWhole(w)
	asked := func() (owners int) {
		v := w.vars(w.member(0))
		for _, m := range w.fleet.Members {
			load, cache := v.Instances[m.ID].Upstream["load"], v.Instances[m.ID].Upstream["cache_events"]
			if load.Calls > 0 && load.BytesIn > 0 && cache.Calls > 0 && cache.BytesIn > 0 {
				owners++
				t.Logf("load %+v, cache events %+v", load, cache)
			}
		}
		return owners
	}
	w.until("an owner asks", func() bool { return asked() > 0 })
	if owners := asked(); owners != 1 {
		t.Errorf("%d instances ask, want the owner of the only group of model servers", owners)
	}
}
