package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
)

// Guards against a conclusion from a read of the store that began before what it is about.
func TestVersionsAreConfirmedByReadsThatBeginAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fd, source := newFleet()
		f.installConfig(config(1), fromStore)
		reads := newVersionReads(fd)
		answer := func(revision servers.Revision) result {
			return result{changes: &Changes{Revision: revision, Servers: []servers.Server{entry("a", revision)}}, after: 50 * time.Millisecond}
		}
		step := func(name string, want bool, calls int) {
			t.Helper()
			if got := reads.confirm(t.Context(), monotime.Now()); got != want || len(source.calls) != calls {
				t.Errorf("%s: %v after %d calls, want %v after %d", name, got, len(source.calls), want, calls)
			}
		}
		step("does not follow the store", false, 0)
		fd.revision.Store(4)
		fd.failures.Store(1)
		step("the store fails", false, 0)
		fd.failures.Store(0)

		source.watch = []result{answer(5), answer(6), answer(7)}
		before := monotime.Now()
		step("reads", true, 1)
		if got := ready(f); len(got) != 1 {
			t.Errorf("servers %v", got)
		}
		if !reads.confirm(t.Context(), before) || len(source.calls) != 1 {
			t.Error("a read does not serve what it is newer than")
		}
		var all sync.WaitGroup
		for _, wait := range []time.Duration{0, 0, 40 * time.Millisecond} {
			all.Go(func() {
				time.Sleep(wait)
				if !reads.confirm(t.Context(), monotime.Now()) {
					t.Error("not confirmed")
				}
			})
		}
		all.Wait()
		if len(source.calls) != 3 {
			t.Errorf("%d calls, want one for both that ask before a read, and one for the one that asks during it", len(source.calls))
		}

		begun := time.Now() // of a store that does not answer
		for range 3 {
			all.Go(func() {
				if reads.confirm(t.Context(), monotime.Now()) || time.Since(begun) > confirmTimeout {
					t.Error("waits for a slow store: ", time.Since(begun))
				}
			})
		}
		all.Wait()

		source.watch = []result{{err: errors.New("down")}}
		time.Sleep(time.Second)
		step("a read fails", false, len(source.calls)+1)
	})
}

// Guards against versions that came and went unseen before an instance listed the store again.
func TestAListingOfTheStoreEndsWhatIsKnownOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := versionFleet()
		fd := &storeSync{fleet: f, log: f.log}
		time.Sleep(time.Minute)
		_, _, before := f.streams.only("llm", monotime.Now())
		fd.applyAll(&Changes{Revision: 2, Servers: []servers.Server{{ID: "a", Name: "a", Service: "llm", Address: "10.0.0.1:80", DataCentre: "here", Slots: 4, Software: "v1", Revision: 1}}})
		if _, _, after := f.streams.only("llm", monotime.Now()); !before || after {
			t.Errorf("one version only before the listing: %v, after it: %v", before, after)
		}
	})
}
