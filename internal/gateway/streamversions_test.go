package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/streams"
)

// versionFleet returns a fleet before a server of version v1, which the store confirms.
func versionFleet() *fleet {
	passProcessStart()
	f, _, _ := newFleet()
	f.installConfig(versionConfig(), fromStore)
	put(f, fromStore, servers.Server{ID: "a", Name: "a", Service: "llm", Address: "10.0.0.1:80", DataCentre: "here", Slots: 4, Software: "v1", Revision: 1})
	advance(&f.confirmedByStore, monotime.Now())
	return f
}

// Guards against refusing what one version alone can have begun, and against a guess.
func TestAnUnknownStreamGoesOnWhereOneVersionServedOnly(t *testing.T) {
	const lifetime = time.Duration(lifetimePerTimeout * float64(streamDeadline))
	addOther := func(f *fleet) {
		put(f, fromStore, servers.Server{ID: "b", Name: "b", Service: "llm", Address: "10.0.0.2:80", DataCentre: "here", Slots: 4, Software: "v2", Revision: 2})
	}
	for _, c := range []struct {
		name      string
		confirmed bool // by the store, when it is asked
		play      func(f *fleet)
		want      bool
	}{
		{"long enough", true, func(*fleet) { time.Sleep(lifetime) }, true},
		{"not long enough", true, func(*fleet) { time.Sleep(lifetime - time.Second) }, false},
		{"two versions", true, func(f *fleet) { time.Sleep(lifetime); addOther(f) }, false},
		{"two versions a moment ago", true, func(f *fleet) {
			time.Sleep(lifetime)
			addOther(f)
			f.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
				r.MarkGone("b", 3, now)
				return []string{"b"}
			})
			time.Sleep(lifetime / 2)
		}, false},
		{"another came and went in one answer of the store", true, func(f *fleet) {
			time.Sleep(lifetime)
			f.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
				r.Put(servers.Server{ID: "b", Name: "b", Service: "llm", Address: "10.0.0.2:80", DataCentre: "here", Slots: 4, Software: "v2", Revision: 2}, now)
				r.MarkGone("b", 3, now)
				return []string{"b"}
			})
		}, false},
		{"the store is down", false, func(f *fleet) {
			time.Sleep(lifetime)
			advance(&f.confirmedByStore, monotime.Now())
		}, false},
		{"cut off from the store and from others", false, func(*fleet) { time.Sleep(lifetime) }, false},
		{"the store's history was lost a moment ago", true, func(f *fleet) {
			time.Sleep(lifetime)
			f.streams.history.Interrupt(monotime.Now())
			time.Sleep(lifetime / 2)
		}, false},
		{"another version came while the instance stood still", true, func(f *fleet) {
			time.Sleep(lifetime)
			advance(&f.confirmedByStore, monotime.Now())
			f.streams.confirm = func(context.Context, monotime.Instant) bool {
				addOther(f)
				return true
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := versionFleet()
				f.streams.confirm = func(context.Context, monotime.Instant) bool { return c.confirmed }
				c.play(f)
				got := f.StreamOrigin(t.Context(), "llm", "try")
				if got.Known != c.want || got.Known && (got.Version != "v1" || got.From != relay.OnlyVersion) {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// Guards against a stream without a name that goes on at the version of another one.
func TestAStreamWithoutANameIsNotTakenForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := versionFleet()
		f.streams.ask = func(key streams.Key, _ string) {
			f.streams.apply("peer", &wire.RelayNews{Streams: []wire.RelayStreams{{Software: "v1", Keys: []int{int(key)}}}}, monotime.Now())
		}
		if got := f.StreamOrigin(t.Context(), "llm", ""); got.Version != "v1" || got.From != "peer" {
			t.Errorf("a peer that knows: %+v", got)
		}
		f.streams.ask = func(streams.Key, string) {}
		if got := f.StreamOrigin(t.Context(), "llm", ""); got.Known {
			t.Errorf("nobody knows: %+v", got)
		}
	})
}

// Guards against queries that outlive their requests, or wait on after an answer.
func TestAQueryEndsWithItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := versionFleet()
		key := streams.KeyOf("llm", "try")
		f.streams.ask = func(streams.Key, string) {
			time.AfterFunc(10*time.Millisecond, func() {
				f.streams.apply("peer", &wire.RelayNews{Streams: []wire.RelayStreams{{Software: "v2", Keys: []int{int(key)}}}}, monotime.Now())
			})
		}
		begun := time.Now()
		got := f.StreamOrigin(t.Context(), "llm", "try")
		if took := time.Since(begun); got.Version != "v2" || took != 10*time.Millisecond {
			t.Errorf("%+v after %v", got, took)
		}
		begun = time.Now()
		f.streams.ask = func(streams.Key, string) {}
		got = f.StreamOrigin(t.Context(), "llm", "other")
		if took := time.Since(begun); got.Known || took != streamQueryTimeout || len(f.streams.waiting) != 0 {
			t.Errorf("%+v after %v, %d waiting", got, took, len(f.streams.waiting))
		}
	})
}

// Guards against a stream that begins at a version of which others have not heard yet.
func TestAVersionSettlesBeforeStreamsBeginThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := versionFleet()
		place := func(work placement.Work, excluded ...string) string {
			out := make(map[string]bool)
			for _, id := range excluded {
				out[id] = true
			}
			target, refusal := f.Place("llm", work, out, monotime.Now())
			if refusal != placement.Chosen {
				t.Error("refused:", refusal)
			}
			return target.Software
		}
		time.Sleep(versionSettling)
		put(f, fromStore, servers.Server{ID: "b", Name: "b", Service: "llm", Address: "10.0.0.2:80", DataCentre: "here", Slots: 4, Software: "v2", Revision: 2})
		plain := placement.Work{Goal: time.Second, Left: time.Minute, FirstLeft: time.Minute}
		stream, bound := plain, plain
		stream.Resumable = true
		bound.Resumable, bound.Software = true, placement.OnlySoftware("v2")
		for _, c := range []struct {
			name string
			got  string
			want string
		}{
			{"a stream", place(stream), "v1"},
			{"a stream where nothing else is left", place(stream, "a"), "v2"},
			{"a stream that goes on", place(bound), "v2"},
			{"another request", place(plain, "a"), "v2"},
		} {
			if c.got != c.want {
				t.Errorf("%s went to %q, want %q", c.name, c.got, c.want)
			}
		}
		f.board.Begin(placement.RunID{Instance: "x", Number: 1}, "a", placement.Work{}, 0, monotime.Now())
		if got := place(stream); got != "v1" {
			t.Errorf("beside a busy server: %q", got)
		}
		time.Sleep(versionSettling)
		if got := place(stream); got != "v2" {
			t.Errorf("after it settled: %q", got)
		}
	})
}
