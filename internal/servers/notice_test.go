package servers

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

func limit(rate float64) Notice { return Notice{Limited: true, Rate: rate} }

// Guards against a limit ended by an answer that the server wrote before it, read late by
// an instance that had stalled. All instances would exceed the limit until the next
// answer. An answer to a request sent since does end it.
func TestALateAnswerDoesNotEndALimit(t *testing.T) {
	r := New()
	now := monotime.Instant(time.Hour)
	r.Put(Server{ID: "a", Name: "a", Revision: 1}, now)
	for _, step := range []struct {
		notice   Notice
		sent, at time.Duration
		want     Change
		limited  bool
	}{
		{Notice{}, 0, 10, Unchanged, false},
		{limit(1.7), 5, 20, Updated, true},
		{limit(1.7), 15, 30, Unchanged, true},
		{Notice{}, 25, 40, Unchanged, true},
		{limit(3), 25, 45, Updated, true},
		{Notice{}, 46, 60, Updated, false},
		{Notice{}, 50, 70, Unchanged, false},
	} {
		change := r.ApplyNotice("a", step.notice, now.Add(step.sent), now.Add(step.at))
		if bound := r.RateLimit("a"); change != step.want || bound.Limited != step.limited {
			t.Errorf("at %d: %v, %+v", step.at, change, bound)
		}
	}
	if change := r.ApplyNotice("unknown", limit(1), now, now); change != Unchanged {
		t.Error("an unknown server changed", change)
	}
}

// Guards against instances that disagree on a limit that is set and lifted repeatedly,
// received from the server and from peers in any order. All must end with the last state.
func TestRateLimitsConvergeInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var limits []RateLimit
		for n := range 6 {
			limits = append(limits, RateLimit{Limited: n%2 == 0, Rate: float64(n), At: monotime.Instant(time.Hour) + monotime.Instant(n)})
		}
		last := limits[len(limits)-1]
		rng.Shuffle(len(limits), func(i, k int) { limits[i], limits[k] = limits[k], limits[i] })
		r := New()
		r.Put(Server{ID: "a", Name: "a", Revision: 1}, 0)
		for _, b := range slices.Concat(limits, limits[:2]) {
			r.SetRateLimit("a", b)
		}
		if got := r.RateLimit("a"); got != last {
			t.Fatalf("%+v after %+v", got, limits)
		}
	}
}

// Guards against a limit that outlives its incarnation when the server restarts under its
// name.
func TestALimitEndsWithItsIncarnation(t *testing.T) {
	r := New()
	now := monotime.Instant(time.Hour)
	r.Put(Server{ID: "a@1", Name: "a", Born: 1, Revision: 1}, now)
	r.ApplyNotice("a@1", limit(2), now, now)
	r.Put(Server{ID: "a@2", Name: "a", Born: 2, Revision: 2}, now)
	if got := r.RateLimited(); len(got) != 0 {
		t.Error(got)
	}
}

// Guards against a brittle server that gets as much as before right after a refusal.
func TestARefusalLimitsABrittleServerForASecond(t *testing.T) {
	r := New()
	now := monotime.Instant(time.Hour)
	r.Put(Server{ID: "a", Name: "a", Revision: 1}, now)
	full, room := Notice{Brittle: true, MaxRefusals: 4, Refused: true}, Notice{Brittle: true, MaxRefusals: 4}
	for _, step := range []struct {
		at      time.Duration
		notice  Notice
		want    Change
		limited bool
	}{
		{0, full, Updated, true},
		{50 * time.Millisecond, room, Unchanged, true},
		{100 * time.Millisecond, full, Unchanged, true},
		{400 * time.Millisecond, full, Updated, true},
		{1300 * time.Millisecond, room, Unchanged, true},
		{1400 * time.Millisecond, room, Updated, false},
		{1500 * time.Millisecond, full, Updated, true},
		{1600 * time.Millisecond, Notice{}, Updated, false},
	} {
		at := now.Add(step.at)
		change := r.ApplyNotice("a", step.notice, at, at)
		if bound := r.RateLimit("a"); change != step.want || bound.Limited != step.limited {
			t.Errorf("after %v: %v, %+v", step.at, change, bound)
		}
	}
}
