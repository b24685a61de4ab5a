package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

func route(name, host, prefix string, shares ...Share) Route {
	if shares == nil {
		shares = []Share{{Service: "a", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 1, Shares: shares}
}

func table(t *testing.T, routes ...Route) *Table {
	t.Helper()
	out, err := NewTable(&Config{
		Version: 1, Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}},
		KeysRequired: true, Customers: []Customer{{Name: "acme", Keys: []string{"k1", "k2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	tab := table(t, route("all", "x.example", "/"), route("deep", "x.example", "/a/b/"),
		route("short", "x.example", "/a/"), route("other", "y.example", "/a/b/c/"))
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/a/b/c/d", "deep"},
		{"x.example:8080", "/a/x", "short"},
		{"X.Example", "/zzz", "all"},
		{"x.example", "/a/b", "short"}, // a prefix ends with its slash
		{"y.example", "/a/b/c/d", "other"},
		{"y.example", "/a/b/", ""},
		{"z.example", "/", ""},
	} {
		got := ""
		if r := tab.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestSharesAreMetAndOneIDKeepsItsService(t *testing.T) {
	r := route("split", "h", "/", Share{"a", 90}, Share{"b", 10}, Share{"c", 0})
	counts := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprintf("id-%d", i)
		service := r.Pick(id)
		if service != r.Pick(id) {
			t.Fatalf("%s went to two services", id)
		}
		counts[service]++
	}
	if counts["a"] < 8800 || counts["a"] > 9200 || counts["c"] != 0 {
		t.Errorf("shares of 90, 10 and 0 gave %v", counts)
	}
}

func TestKeysBelongToTheirCustomer(t *testing.T) {
	tab := table(t, route("r", "h", "/"))
	if c := tab.Customer("k2"); c == nil || c.Name != "acme" {
		t.Errorf("customer of k2: %v", c)
	}
	if c := tab.Customer(""); c != nil {
		t.Errorf("no key belongs to %v", c)
	}
	open := route("open", "h", "/")
	open.Public = true
	if tab.NeedsKey(&open) || !tab.NeedsKey(tab.Match("h", "/")) {
		t.Error("a public route needs no key, any other one does")
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	bad := map[string]func(*Route){
		"prefix without slash": func(r *Route) { r.Prefix = "/a" },
		"no timeout":           func(r *Route) { r.Timeout = 0 },
		"no attempts":          func(r *Route) { r.Attempts = 0 },
		"unknown service":      func(r *Route) { r.Shares = []Share{{Service: "z", Weight: 1}} },
		"no service":           func(r *Route) { r.Shares = nil },
	}
	for name, invalidate := range bad {
		r := route("r", "h", "/a/")
		invalidate(&r)
		_, err := NewTable(&Config{Routes: []Route{r}, Services: []Service{{Name: "a"}}})
		if !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestOnlyIdempotentAndResumableRoutesMayRepeat(t *testing.T) {
	got := map[string]bool{
		"zero":       (&Route{}).MayRepeat(),
		"idempotent": (&Route{Repeat: Idempotent}).MayRepeat(),
		"stream":     (&Route{Streaming: true}).MayRepeat(),
		"resumable":  (&Route{Streaming: true, Resumable: true}).MayRepeat(),
	}
	want := map[string]bool{"zero": false, "idempotent": true, "stream": false, "resumable": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a rank by the customer's priority first. A long prompt of an urgent customer
// would then make engines preempt the letters and notes of all other customers, whose streams
// would stall. Routes are ranked first, and customers within a route's priority.
func TestRoutePriorityPrecedesCustomerPriority(t *testing.T) {
	urgent, usual := 0, 1
	note, letter, bundle := route("note", "h", "/n/"), route("letter", "h", "/l/"), route("bundle", "h", "/b/")
	letter.Priority, bundle.Priority = 1, 5
	first, second := Customer{Name: "first", Priority: &urgent}, Customer{Name: "second", Priority: &usual}
	tab, err := NewTable(&Config{
		Routes: []Route{note, letter, bundle}, Services: []Service{{Name: "a"}, {Name: "b"}},
		Customers: []Customer{second, first},
	})
	if err != nil {
		t.Fatal(err)
	}
	ranks := []int{
		tab.Rank(&note, &first), tab.Rank(&note, &second),
		tab.Rank(&letter, &first), tab.Rank(&letter, &second),
		tab.Rank(&bundle, &first), tab.Rank(&bundle, &second),
		tab.Rank(&bundle, &Customer{}), tab.Rank(&bundle, nil),
	}
	if diff := cmp.Diff([]int{0, 1, 2, 3, 4, 5, 4, 4}, ranks); diff != "" {
		t.Error(diff)
	}
}

func TestRankWithoutCustomerPrioritiesFollowsRoutes(t *testing.T) {
	note, bundle := route("note", "h", "/n/"), route("bundle", "h", "/b/")
	bundle.Priority = 2
	tab := table(t, note, bundle)
	if got := tab.Rank(&bundle, &Customer{}); got != 1 {
		t.Errorf("the second of two: %d", got)
	}
}
