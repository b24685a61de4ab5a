package crashes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

func part(id string) Fingerprint { return PartFingerprint(id) }

func partCrash(request int, customer, server string, at monotime.Instant, parts ...string) Crash {
	c := crash(request, customer, server, at)
	for _, id := range parts {
		c.Parts = append(c.Parts, part(id))
	}
	return c
}

// content returns what a request of a customer carries that was never seen before.
func content(customer string, parts ...string) Content {
	c := Content{Request: fingerprint(1_000_000), Customer: customer}
	for _, id := range parts {
		c.Parts = append(c.Parts, part(id))
	}
	return c
}

func refuses(t *Tracker, c Content, now monotime.Instant) bool {
	_, refused := t.Refuses(c, now, nil)
	return refused
}

// addEnds records ends, a second apart, of different requests with the same parts.
func addEnds(t *Tracker, count int, customer func(n int) string, parts func(n int) []string) (now monotime.Instant) {
	for n := range count {
		now = start.Add(time.Duration(n) * time.Second)
		t.Add(partCrash(n, customer(n), fmt.Sprint("s", n), now, parts(n)...), now)
	}
	return now
}

func always[T any](value T) func(int) T { return func(int) T { return value } }

// Guards against a culprit part that is sent on, and against the refusal of parts beside it.
func TestACulpritPartIsToldFromThoseBesideIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		parts    func(n int) []string
		survives []string
		refused  [][]string
		sent     [][]string
	}{
		{"beside a part that never ran alone", always([]string{"shared", "bad"}), nil,
			[][]string{{"shared", "bad"}, {"shared", "x", "bad"}}, [][]string{{"shared"}, {"shared", "x"}, {"bad"}, {}}},
		{"beside a part that ran", always([]string{"shared", "bad"}), []string{"shared"},
			[][]string{{"shared", "bad"}, {"bad"}, {"bad", "x"}}, [][]string{{"shared"}, {"shared", "x"}}},
		{"beside parts that differ", func(n int) []string { return []string{fmt.Sprint("m", n%2), "bad", fmt.Sprint("n", n%3)} }, nil,
			[][]string{{"bad"}, {"m0", "bad"}, {"x", "bad", "n9"}}, [][]string{{"m0"}, {"m1", "n0"}, {"n1"}}},
		{"first", always([]string{"bad"}), nil, [][]string{{"bad"}, {"bad", "x"}}, [][]string{{"x"}, {}}},
	} {
		b := NewTracker()
		for _, id := range c.survives {
			b.Survived(part(id), start.Add(2500*time.Millisecond))
		}
		now := addEnds(b, 5, always("a"), c.parts)
		for _, parts := range c.refused {
			if !refuses(b, content("a", parts...), now) {
				t.Errorf("%s: %v is sent", c.name, parts)
			}
		}
		for _, parts := range c.sent {
			if refuses(b, content("a", parts...), now) {
				t.Errorf("%s: %v is refused", c.name, parts)
			}
		}
	}
}

// Guards against parts that stay tied to a culprit that ended a server without them.
func TestAnEndWithoutAPartSeparatesItFromTheCulprit(t *testing.T) {
	b := NewTracker()
	now := addEnds(b, 4, always("a"), always([]string{"shared", "bad"}))
	if refuses(b, content("a", "bad"), now) || !refuses(b, content("a", "shared", "bad"), now) {
		t.Error("both parts together were to blame")
	}
	b.Add(partCrash(9, "a", "s9", now.Add(time.Second), "bad"), now.Add(time.Second))
	if !refuses(b, content("a", "bad"), now.Add(time.Second)) {
		t.Error("the culprit alone is sent")
	}
	if refuses(b, content("a", "shared"), now.Add(time.Second)) {
		t.Error("the part beside it is refused")
	}
}

// Guards against one customer who has the prompts of others refused by making servers end.
func TestEndsUnderOneCustomersRequestsRefuseThatCustomerOnly(t *testing.T) {
	b := NewTracker()
	now := addEnds(b, 8, always("a"), always([]string{"public"}))
	if !refuses(b, content("a", "public"), now) || refuses(b, content("b", "public"), now) {
		t.Error("the part of one customer's requests is refused to another, or not to that one")
	}
	b.Add(partCrash(20, "b", "s20", now, "public"), now)
	if !refuses(b, content("b", "public"), now) || !refuses(b, content("c", "public"), now) {
		t.Error("a part that crashes servers whoever sends it is sent")
	}
}

// Guards against several culprits of which only one is found.
func TestSeveralCulpritPartsAreFound(t *testing.T) {
	b := NewTracker()
	now := addEnds(b, 12, always("a"), func(n int) []string { return []string{"shared", fmt.Sprint("bad", n%3)} })
	for n := range 3 {
		if !refuses(b, content("a", "shared", fmt.Sprint("bad", n)), now) {
			t.Errorf("culprit %d of 3 is sent", n)
		}
	}
}

// Guards against a shared part that is refused since a data centre was lost.
func TestServersThatEndAtOnceAccuseNoPart(t *testing.T) {
	b := NewTracker()
	for n := range 60 {
		at := start.Add(time.Duration(n) * time.Millisecond)
		b.Add(partCrash(n, fmt.Sprint("c", n%5), fmt.Sprint("s", n), at, "shared"), at)
	}
	if refuses(b, content("c1", "shared"), start.Add(time.Second)) {
		t.Error("a part is refused since a data centre was lost")
	}
}

// Guards against a part that is safe from suspicion, or suspected, because it ran lately.
func TestAPartThatRanShortlyBeforeNeedsMoreEnds(t *testing.T) {
	for _, runsOn := range []bool{false, true} {
		b := NewTracker()
		b.Survived(part("daily"), start.Add(-time.Second))
		now := start
		for n := range 8 {
			now = start.Add(time.Duration(n) * 700 * time.Millisecond)
			b.Add(partCrash(n, fmt.Sprint("c", n), fmt.Sprint("s", n), now, "daily"), now)
			if refused := refuses(b, content("x", "daily"), now); refused != (!runsOn && n+1 >= minEndsAfterRun) {
				t.Errorf("runs on %v: after %d ends refused %v", runsOn, n+1, refused)
			}
			if runsOn && n%3 == 2 {
				b.Survived(part("daily"), now.Add(time.Millisecond))
			}
		}
	}
}

// Guards against a culprit that is refused for good or tried too often.
func TestACulpritIsTriedAgain(t *testing.T) {
	b := NewTracker()
	last := addEnds(b, 5, always("a"), always([]string{"bad"}))
	var trials []time.Duration
	trial := &Trial{ID: "r", May: func(Fingerprint, int) bool { return true }}
	for now := last; now.Sub(last) < 3*time.Hour; now = now.Add(time.Second) {
		if _, refused := b.Refuses(content("a", "bad"), now, trial); !refused {
			trials = append(trials, now.Sub(last))
			if _, refused := b.Refuses(content("a", "bad"), now, &Trial{ID: "other", May: trial.May}); !refused {
				t.Error("two requests are tried at once")
			}
			if _, refused := b.Refuses(content("a", "bad"), now, trial); refused {
				t.Error("the request on trial is refused before it is sent")
			}
			b.Add(partCrash(100+len(trials), "a", fmt.Sprint("t", len(trials)), now, "bad"), now)
		}
		b.Expire(now)
	}
	if want := []time.Duration{time.Minute, 11 * time.Minute, 71 * time.Minute, 131 * time.Minute}; !slices.Equal(trials, want) {
		t.Errorf("tried after %v, want %v", trials, want)
	}
	other := &Trial{ID: "r", May: func(Fingerprint, int) bool { return false }}
	if _, refused := b.Refuses(content("a", "bad"), last.Add(24*time.Hour), other); !refused {
		t.Error("an instance whose turn it is not sends it on")
	}
	b.Survived(part("bad"), last.Add(3*time.Hour))
	if refuses(b, content("a", "bad"), last.Add(3*time.Hour)) {
		t.Error("refused although it ran")
	}
}

// Guards against instances that find different culprits by the same reports in another order.
func TestCulpritsConvergeInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var events []func(*Tracker)
		now := start.Add(time.Minute)
		moment := func() monotime.Instant { return start.Add(time.Duration(rng.IntN(20_000)) * time.Millisecond) }
		for n := range 30 {
			server, at := fmt.Sprint("s", n/3), start.Add(time.Duration(n/3)*2*time.Second)
			// A fingerprint covers the caller and the parts.
			request := rng.IntN(24)
			parts := []string{"shared", fmt.Sprint("p", request%3)}
			c := partCrash(request, fmt.Sprint("c", request/3%3), server, at, parts[request%2:]...)
			events = append(events, func(b *Tracker) { b.Add(c, now) })
		}
		for range 3 {
			id, at := []string{"shared", "p0", "p1"}[rng.IntN(3)], moment()
			events = append(events, func(b *Tracker) { b.Survived(part(id), at) })
			server := fmt.Sprint("s", rng.IntN(10))
			events = append(events, func(b *Tracker) { b.Fell(server, start) })
		}
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		for _, b := range trackers[:2] {
			for _, i := range rng.Perm(len(events)) {
				events[i](b)
			}
		}
		// The third starts later and is told all by the first.
		for server, at := range trackers[0].Fallen() {
			trackers[2].Fell(server, at)
		}
		for f, at := range trackers[0].SurvivedAt() {
			trackers[2].Survived(f, at)
		}
		for _, c := range trackers[0].Crashes() {
			trackers[2].Add(c, now)
		}
		for range 40 {
			c := content(fmt.Sprint("c", rng.IntN(3)), []string{"shared", fmt.Sprint("p", rng.IntN(3)), fmt.Sprint("p", rng.IntN(3))}...)
			c.Request = fingerprint(rng.IntN(24))
			want := refuses(trackers[0], c, now)
			for i, b := range trackers[1:] {
				if got := refuses(b, c, now); got != want {
					t.Fatalf("seed %d: the first refuses %v, tracker %d %v", seed, want, i+2, got)
				}
			}
		}
	}
}
