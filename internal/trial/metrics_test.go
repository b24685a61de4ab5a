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
			Calls   int `json:"calls"`
			BytesIn int `json:"bytes_in"`
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
