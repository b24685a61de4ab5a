package servers

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

func limit(rate float64) Notice { return Notice{Limited: true, Rate: rate} }

// A server names a limit. An answer that it wrote before, to a request sent before, is
// read after it, as by an instance that stood still for a moment. It must not end the
// limit: all instances would send as before until the next answer. One whose request was
// sent since does end it.
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
		t.Error("a server that is not known", change)
	}
}

// A server names and lifts its limit again and again, and instances hear of it from the
// server and from each other in any order. All end with the last word.
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

// A server starts again under its name. What its former start needed is forgotten.
func TestALimitEndsWithItsIncarnation(t *testing.T) {
	r := New()
	now := monotime.Instant(time.Hour)
	r.Put(Server{ID: "a@1", Name: "a", Born: 1, Revision: 1}, now)
	r.ApplyNotice("a@1", limit(2), now, now)
	r.Put(Server{ID: "a@2", Name: "a", Born: 2, Revision: 2}, now)
	if got := r.Limited(); len(got) != 0 {
		t.Error(got)
	}
}
