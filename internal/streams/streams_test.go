package streams

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

func at(d time.Duration) monotime.Instant { return monotime.Instant(time.Hour + d) }

func TestStreamsAreRememberedForAWhile(t *testing.T) {
	table := NewTable()
	key := KeyOf("llm", "try")
	table.Put(key, "v1", "a", at(0))
	for _, after := range []time.Duration{0, minKept / 2, minKept} {
		got, ok := table.Get(key, at(after))
		if want := (Record{Version: "v1", From: "a", At: at(0)}); !ok || got != want {
			t.Errorf("after %v: %+v %v", after, got, ok)
		}
	}
	if got, ok := table.Get(key, at(3*minKept)); ok || table.Len() != 0 {
		t.Errorf("remembered for ever: %+v, %d", got, table.Len())
	}
}

func TestLongStreamsAreRememberedForLonger(t *testing.T) {
	table := NewTable()
	table.Keep(2 * minKept)
	table.Keep(time.Second)
	table.Put(1, "v1", "a", at(0))
	if _, ok := table.Get(1, at(2*minKept)); !ok {
		t.Error("forgotten")
	}
}

// Guards against a stream that goes on at one of two versions said to have begun it.
func TestContradictingVersionsAreUnknown(t *testing.T) {
	table := NewTable()
	key := KeyOf("llm", "try")
	table.Put(key, "v1", "a", at(0))
	table.Put(key, "v1", "b", at(time.Second))
	if got, ok := table.Get(key, at(time.Second)); !ok || got.From != "a" {
		t.Errorf("told twice: %+v %v", got, ok)
	}
	table.Put(key, "v2", "c", at(2*time.Second))
	table.Put(key, "v1", "a", at(3*time.Second))
	if got, ok := table.Get(key, at(3*time.Second)); ok {
		t.Errorf("contradicting: %+v", got)
	}
}

func TestKeysTellServicesApart(t *testing.T) {
	if KeyOf("a", "bc") == KeyOf("ab", "c") || KeyOf("llm", "x") == KeyOf("app", "x") {
		t.Error("streams of two services have one key")
	}
}

// Guards against a table that grows while streams begin faster than they are forgotten.
func TestTheTableIsBounded(t *testing.T) {
	table := NewTable()
	for n := range 3 * maxStreams {
		table.Put(Key(n), "v1", "a", at(0))
	}
	if got := table.Len(); got > 2*maxStreams {
		t.Errorf("%d streams", got)
	}
	if _, ok := table.Get(Key(3*maxStreams-1), at(0)); !ok {
		t.Error("the last stream is unknown")
	}
}

func TestTooManyNamesAreNotRecorded(t *testing.T) {
	table := NewTable()
	for n := range conflicting + 10 {
		table.Put(Key(n), fmt.Sprint(n), "", at(0))
	}
	if got, ok := table.Get(Key(conflicting+5), at(0)); ok {
		t.Errorf("%+v", got)
	}
}

func TestTheOnlyVersionOfAService(t *testing.T) {
	const lifetime = 12 * time.Second
	one := map[string]map[string]bool{"llm": {"v1": true}}
	two := map[string]map[string]bool{"llm": {"v1": true, "v2": true}}
	other := map[string]map[string]bool{"llm": {"v2": true}}
	type step struct {
		at  time.Duration
		now map[string]map[string]bool
	}
	for _, c := range []struct {
		name  string
		steps []step
		ask   time.Duration
		want  string
	}{
		{"never listed", nil, time.Hour, ""},
		{"tracked for too short a time", []step{{0, one}}, lifetime - 1, ""},
		{"one for long", []step{{0, one}}, lifetime, "v1"},
		{"two serve", []step{{0, one}, {lifetime, two}}, 3 * lifetime, ""},
		{"replaced just now", []step{{0, one}, {lifetime, other}}, 2 * lifetime, ""},
		{"replaced long ago", []step{{0, one}, {lifetime, other}}, 2*lifetime + 1, "v2"},
		{"turned back", []step{{0, one}, {lifetime, two}, {lifetime + 1, one}}, 2 * lifetime, ""},
		{"turned back long ago", []step{{0, one}, {lifetime, two}, {lifetime + 1, one}}, 2*lifetime + 2, "v1"},
		{"all gone just now", []step{{0, one}, {lifetime, map[string]map[string]bool{}}}, lifetime + 1, "v1"},
		{"all gone", []step{{0, one}, {lifetime, map[string]map[string]bool{}}}, 3 * lifetime, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory()
			for _, s := range c.steps {
				h.Observe(s.now, at(s.at))
			}
			got, _, ok := h.Only("llm", lifetime, at(c.ask))
			if ok != (c.want != "") || ok && got != c.want {
				t.Errorf("%q %v, want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against a conclusion for streams that live for longer than versions are tracked.
func TestNothingIsConcludedForVeryLongStreams(t *testing.T) {
	h := NewHistory()
	h.Observe(map[string]map[string]bool{"llm": {"v1": true}}, at(0))
	if _, _, ok := h.Only("llm", maxLifetime, at(3*maxLifetime)); !ok {
		t.Error("unknown after three lifetimes")
	}
	if version, _, ok := h.Only("llm", maxLifetime+1, at(3*maxLifetime)); ok {
		t.Errorf("concluded %q", version)
	}
}

func TestNewVersions(t *testing.T) {
	h := NewHistory()
	const settling = 4 * time.Second
	for _, c := range []struct {
		at      time.Duration
		present map[string]bool
		want    []string
	}{
		{0, map[string]bool{"v1": true, "v2": true}, []string{"v2"}},
		{time.Second, map[string]bool{"v1": true, "v3": true}, []string{"v3"}},
		{4 * time.Second, map[string]bool{"v1": true, "v3": true}, []string{"v3"}},
		{5 * time.Second, map[string]bool{"v1": true, "v2": true, "v3": true}, []string{"v2"}},
		{9 * time.Second, map[string]bool{"v1": true, "v2": true, "v3": true}, nil},
	} {
		h.Observe(map[string]map[string]bool{"llm": c.present}, at(c.at))
		h.Learn(VersionAge{Service: "llm", Version: "v1", Age: time.Minute}, at(c.at))
		got := slices.Sorted(maps.Keys(h.New("llm", settling, at(c.at))))
		if !slices.Equal(got, c.want) {
			t.Errorf("at %v: %v, want %v", c.at, got, c.want)
		}
	}
}
