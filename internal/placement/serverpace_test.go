package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// sharingBoard returns a Board of an instance that exchanges samples with 85 others.
func sharingBoard(candidates []Candidate) *Board {
	b := NewBoard(testPace, "here")
	b.SetFeatures(Features{LargeFleet: 17, SharedServerPaces: true})
	b.SetFleetSize(86, start)
	for _, c := range candidates {
		b.server(c)
	}
	return b
}

// receiveSamples has peers run streams in turn on all servers, some of them slow by a
// factor, and report a sample of each.
func receiveSamples(b *Board, candidates []Candidate, each int, slow func(n int) bool, now monotime.Instant) monotime.Instant {
	for n := range each * len(candidates) {
		server := n % len(candidates)
		id := RunID{"peer", n}
		b.Begin(id, candidates[server].ID, shortPrompt("n"), 0, now)
		sample := pace.ServerSample{LogRatio: float64(n/len(candidates)%2) / 10, Covered: time.Second}
		if slow(server) {
			sample.LogRatio += 0.875
		}
		b.RecordPace(id, sample, now)
		b.End(id, now)
		now = now.Add(time.Second / time.Duration(len(candidates)))
	}
	return now
}

func everyThird(n int) bool { return n%3 == 2 }

// Guards against an instance that sends requests with short pauses to servers that only
// other instances have found to be slow.
func TestServersThatOthersFoundSlowAreAvoided(t *testing.T) {
	candidates := engines(12)
	b := sharingBoard(candidates)
	now := receiveSamples(b, candidates, 5, everyThird, start)
	for n := range 8 {
		choice := chooseAndBegin(t, b, 1000+n, shortPrompt(fmt.Sprint(n)), candidates, now)
		for i, c := range candidates {
			if c.ID == choice.Server && everyThird(i) {
				t.Errorf("request %d goes to the slow server %s", n, c.ID)
			}
		}
	}
	s := b.server(candidates[0])
	if got := s.paceSpread(now); got <= 0 || got >= b.server(Candidate{ID: "new"}).paceSpread(now) {
		t.Errorf("spread %.2f of a known server, %.2f of an unknown one", got, b.server(Candidate{ID: "new"}).paceSpread(now))
	}
}

// Guards against a restarted server that inherits the estimate of the former process.
func TestANewIncarnationHasNoEstimate(t *testing.T) {
	candidates := engines(12)
	b := sharingBoard(candidates)
	now := receiveSamples(b, candidates, 5, everyThird, start)
	if got := b.server(candidates[2]).slowness(now); got < 1.5 {
		t.Fatalf("a slow server counts as %.2f times slower", got)
	}
	b.RemoveServer(candidates[2].ID)
	if got := b.server(candidates[2]).slowness(now); got != 1 {
		t.Errorf("a new server counts as %.2f times slower", got)
	}
}

// Guards against an exchange that changes anything where it is off or the fleet is small.
func TestWithoutTheExchangeNothingChanges(t *testing.T) {
	for name, set := range map[string]func(b *Board){
		"off": func(b *Board) { b.SetFeatures(Features{LargeFleet: 17}); b.SetFleetSize(86, start) },
		"small fleet": func(b *Board) {
			b.SetFeatures(Features{LargeFleet: 17, SharedServerPaces: true})
			b.SetFleetSize(16, start)
		},
		"never large": func(b *Board) { b.SetFeatures(Features{SharedServerPaces: true}); b.SetFleetSize(86, start) },
	} {
		candidates := engines(12)
		b := NewBoard(testPace, "here")
		set(b)
		now := receiveSamples(b, candidates, 5, everyThird, start)
		s := b.server(candidates[2])
		if s.slowness(now) != 1 || s.paceSpread(now) != 0 || len(b.ServerPaces(now)) > 0 {
			t.Errorf("%s: slowness %.2f, spread %.2f", name, s.slowness(now), s.paceSpread(now))
		}
		id := RunID{"me", 1}
		b.Begin(id, "e0", shortPrompt("n"), 0, now)
		b.OwnFirstEvent(id, now)
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			if _, due := b.Events(id, 1, now); due {
				t.Errorf("%s: a sample is due", name)
			}
		}
		if _, due := b.End(id, now); due {
			t.Errorf("%s: a sample is due at the end", name)
		}
	}
}

// Guards against requests that leave the servers that cache their prompts because of the
// noise of estimates, and against one slow server among equal ones that goes unnoticed.
func TestNoiseAmongEqualServersIsIgnored(t *testing.T) {
	candidates := engines(40)
	b := sharingBoard(candidates)
	now := receiveSamples(b, candidates, 20, func(n int) bool { return n == 3 }, start)
	for n, c := range candidates {
		got := b.server(c).slowness(now)
		if n == 3 && got < 1.3 || n != 3 && got != 1 {
			t.Errorf("server %d counts as %.2f times slower", n, got)
		}
	}
}

// Guards against a new instance that takes a slow server among equal ones for less slow, or
// for the typical one if its estimate is the first that is handed over.
func TestHandedOverEstimatesMeanTheSameToANewInstance(t *testing.T) {
	candidates := engines(40)
	b := sharingBoard(candidates)
	now := receiveSamples(b, candidates, 20, func(n int) bool { return n == 3 }, start)
	want, _ := b.server(candidates[3]).estimated(now)
	for _, slowFirst := range []bool{true, false} {
		paces := b.ServerPaces(now)
		slices.SortFunc(paces, func(a, b ServerPace) int { return cmp.Compare(a.Slowness, b.Slowness) })
		if slowFirst {
			slices.Reverse(paces)
		}
		restarted := sharingBoard(candidates)
		for _, s := range paces {
			restarted.SetServerPace(s.Server, math.Log(s.Slowness), s.Spread, now)
		}
		if got, _ := restarted.server(candidates[3]).estimated(now); math.Abs(got-want) > 0.02 {
			t.Errorf("slow server first %t: estimated logarithm %.2f, %.2f at the instance that handed it over", slowFirst, got, want)
		}
	}
}

// Guards against a log that repeats estimates or is flooded when all change at once.
func TestChangedEstimatesAreReturnedOnceAndInPortions(t *testing.T) {
	candidates := engines(90)
	b := sharingBoard(candidates)
	now := receiveSamples(b, candidates, 5, everyThird, start)
	total := 0
	for _, most := range []int{20, 20, 20} {
		changed := b.ChangedServerPaces(most, now)
		if len(changed) > most {
			t.Errorf("%d changes, at most %d wanted", len(changed), most)
		}
		total += len(changed)
	}
	if total != 30 {
		t.Errorf("%d changes of 30 slow servers", total)
	}
}

// BenchmarkRecordPace measures what a sample of another instance costs, with the centre of
// the service recomputed as often as in a fleet with that many requests a second.
func BenchmarkRecordPace(b *testing.B) {
	for _, size := range []struct{ servers, perSecond int }{{21, 40}, {140, 370}, {600, 400}, {5910, 447}} {
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			candidates := engines(size.servers)
			board := sharingBoard(candidates)
			now := start
			for n, c := range candidates {
				board.Begin(RunID{"peer", n}, c.ID, shortPrompt("n"), 0, now)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Second / time.Duration(size.perSecond))
				board.SetFleetSize(86, now)
				board.RecordPace(RunID{"peer", n % size.servers}, pace.ServerSample{LogRatio: 0.1, Covered: time.Second}, now)
			}
		})
	}
}
