package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

const start = monotime.Instant(time.Hour)

func fingerprint(n int) (out Fingerprint) {
	copy(out[:], fmt.Sprintf("%016d", n))
	return out
}

func crash(request int, customer, server string, at monotime.Instant) Crash {
	return Crash{Request: fingerprint(request), Customer: customer, Server: server, At: at}
}

// Guards against a request that goes on crashing servers, and against one that counts as
// poison before the third crash.
func TestThreeCrashesMakeAPoisonRequest(t *testing.T) {
	b := NewTracker()
	for n := range 3 {
		if b.Poison(fingerprint(1), start) {
			t.Fatalf("poison after %d crashes", n)
		}
		isNew, poison := b.Add(crash(1, "a", fmt.Sprint("s", n), start), start)
		if !isNew || poison != (n == 2) {
			t.Errorf("crash %d: new %v, poison %v", n, isNew, poison)
		}
		if isNew, _ := b.Add(crash(1, "a", fmt.Sprint("s", n), start), start); isNew {
			t.Error("a crash reported twice counts twice")
		}
	}
	if !b.Poison(fingerprint(1), start) || b.Poison(fingerprint(2), start) {
		t.Error("the wrong request is poison")
	}
}

// Guards against a request refused for crashes although other servers ran it without one.
func TestARunWithoutACrashExoneratesARequest(t *testing.T) {
	for name, c := range map[string]struct {
		served time.Duration // after the second of three crashes, a second apart
		poison bool
	}{
		"in between":   {500 * time.Millisecond, false},
		"afterwards":   {5 * time.Second, false},
		"long before":  {-2 * exonerationTTL, true},
		"shortly ago":  {-exonerationTTL / 2, false},
		"at the first": {-time.Second, false},
	} {
		b := NewTracker()
		for n := range 3 {
			at := start.Add(time.Duration(n-1) * time.Second)
			b.Add(crash(1, "a", fmt.Sprint("s", n), at), at)
		}
		b.Survived(fingerprint(1), start.Add(c.served))
		if got := b.Poison(fingerprint(1), start.Add(6*time.Second)); got != c.poison {
			t.Errorf("served %s: poison %v", name, got)
		}
	}
}

// Guards against instances that reach different states from the same crashes.
func TestTrackersConvergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var list []Crash
		for range 12 {
			at := start.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
			list = append(list, crash(rng.IntN(4), "a", fmt.Sprint("s", rng.IntN(5)), at))
		}
		now := start.Add(10 * time.Second)
		books := []*Tracker{NewTracker(), NewTracker()}
		for _, b := range books {
			for _, i := range rng.Perm(len(list)) {
				b.Add(list[i], now)
			}
		}
		// Send the crashes that the first has to the second.
		for _, c := range books[0].Crashes() {
			books[1].Add(c, now)
		}
		for request := range 4 {
			if a, b := books[0].Poison(fingerprint(request), now), books[1].Poison(fingerprint(request), now); a != b {
				t.Fatalf("seed %d: request %d is poison: %v and %v", seed, request, a, b)
			}
		}
	}
}

// Guards against one customer, or made-up requests, that displace the state of others.
func TestTheNumberOfTrackedRequestsIsBounded(t *testing.T) {
	b := NewTracker()
	for n := range 3 {
		b.Add(crash(1, "a", fmt.Sprint("s", n), start), start)
		b.Add(crash(2, "b", fmt.Sprint("s", n), start), start)
	}
	now := start
	for n := range 3 * maxSuspects {
		now = now.Add(time.Millisecond)
		customer := "b"
		if n%2 == 0 {
			customer = fmt.Sprint("made up ", n%5000)
		}
		b.Add(crash(100+n, customer, "s", now), now)
		if b.Len() > maxSuspects {
			t.Fatalf("%d requests tracked", b.Len())
		}
	}
	of := 0
	for _, s := range b.suspects {
		if s.customer == "b" {
			of++
		}
	}
	if of > MaxPerCustomer {
		t.Errorf("%d requests of one customer tracked", of)
	}
	if !b.Poison(fingerprint(1), now) || !b.Poison(fingerprint(2), now) {
		t.Error("a poison request was evicted")
	}
}

// Guards against a request that ran once and is never suspected again.
func TestAnExonerationExpires(t *testing.T) {
	b := NewTracker()
	at := start
	for round := range 2 {
		for n := range 3 {
			b.Add(crash(1, "a", fmt.Sprint("s", round, n), at), at)
		}
		if !b.Poison(fingerprint(1), at) {
			t.Fatalf("not poison in round %d", round)
		}
		b.Survived(fingerprint(1), at)
		if b.Poison(fingerprint(1), at) {
			t.Fatalf("poison although it ran in round %d", round)
		}
		at = at.Add(exonerationTTL + time.Second)
	}
}

func TestAnAbsentRequestIsDropped(t *testing.T) {
	b := NewTracker()
	for n := range 3 {
		b.Add(crash(1, "a", fmt.Sprint("s", n), start), start)
	}
	late := start.Add(Retention - time.Second)
	b.Expire(late)
	if !b.Poison(fingerprint(1), late) {
		t.Error("dropped too early")
	}
	b.Expire(late.Add(Retention - time.Second))
	if !b.Poison(fingerprint(1), late) {
		t.Error("dropped although it arrived again")
	}
	b.Expire(late.Add(2*Retention + time.Second))
	if b.Len() != 0 {
		t.Error("never dropped")
	}
	if isNew, _ := b.Add(crash(1, "a", "s9", start), start.Add(2*Retention)); isNew {
		t.Error("a crash before the retention time counts as new")
	}
}

// attributionVariant is a rule for which requests of a crashed server are suspected.
type attributionVariant struct {
	name string
	// young suspects only those that had just begun to run; served exonerates those that
	// ran without a crash.
	young, served bool
}

// simulateAttribution simulates a fleet whose servers crash for other reasons for two
// minutes. It returns how many of the asked requests wrongly count as poison in the end,
// and the number of crashes recorded for the request that does crash servers.
func simulateAttribution(seed uint64, attribution attributionVariant) (innocent, asked, poisonAfter int) {
	const (
		size        = 18
		step        = 20 * time.Millisecond
		lasts       = 2 * time.Minute
		perStep     = 1.5  // requests
		crashChance = 0.02 // of some server in a step: one a second
		popular     = 40   // requests that are repeated
		tries       = 3
		lookups     = 0.2 // share of popular requests
		poison      = 7
	)
	type run struct {
		request, tries int
		begun, until   monotime.Instant
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	b := NewTracker()
	running := make([][]run, size)
	incarnation := make([]int, size)
	fresh := 1000
	var again []run
	now := start
	begin := func(r run) {
		r.begun, r.until = now, now.Add(time.Duration(200+rng.IntN(3000))*time.Millisecond)
		at := rng.IntN(size)
		running[at] = append(running[at], r)
	}
	down := func(server int) {
		id := fmt.Sprint(server, "/", incarnation[server])
		incarnation[server]++
		for _, r := range running[server] {
			if !attribution.young || now.Sub(r.begun) < 650*time.Millisecond {
				b.Add(crash(r.request, "a", id, now), now)
			}
			if r.tries < tries && r.request != poison {
				r.tries++
				again = append(again, r)
			}
		}
		running[server] = nil
	}
	for n := 0; now.Sub(start) < lasts; n++ {
		now = now.Add(step)
		for _, r := range again {
			begin(r)
		}
		again = nil
		for range int(perStep + rng.Float64()) {
			asked++
			if rng.Float64() < lookups {
				begin(run{request: 100 + rng.IntN(popular)})
				continue
			}
			fresh++
			begin(run{request: fresh})
		}
		if n%50 == 10 && !b.Poison(fingerprint(poison), now) {
			begin(run{request: poison})
		}
		for server := range running {
			crashes := rng.Float64() < crashChance/size
			var left []run
			for _, r := range running[server] {
				switch {
				case r.request == poison && now.Sub(r.begun) > 200*time.Millisecond:
					crashes = true
					left = append(left, r)
				case now >= r.until:
					if attribution.served {
						b.Ran(fingerprint(r.request), now)
					}
				default:
					left = append(left, r)
				}
			}
			running[server] = left
			if crashes {
				down(server)
			}
		}
	}
	for _, c := range b.Culprits(now) {
		if c.Contents[0] != fingerprint(poison) {
			innocent++
		}
	}
	if s := b.suspects[fingerprint(poison)]; s != nil {
		poisonAfter = len(s.ends)
	}
	return innocent, asked, poisonAfter
}

// Guards against requests marked as poison that merely ran on servers when these crashed.
func TestUnrelatedRequestsAreNotMarkedAsPoison(t *testing.T) {
	variants := []attributionVariant{
		{"all that ran there", false, false},
		{"those that had just begun", true, false},
		{"all, but for those that ran elsewhere", false, true},
		{"just begun and never ran elsewhere", true, true},
	}
	for _, variant := range variants {
		innocent, asked := 0, 0
		for seed := range uint64(10) {
			i, a, after := simulateAttribution(seed, variant)
			innocent, asked = innocent+i, asked+a
			if after != minEnds {
				t.Errorf("%s: the poison request has %d recorded crashes", variant.name, after)
			}
		}
		t.Logf("%s: %d of %d requests wrongly marked", variant.name, innocent, asked)
		if last := variant.young && variant.served; last && innocent*10_000 > asked {
			t.Errorf("%s: %d of %d requests wrongly marked, at most one in 10,000 wanted", variant.name, innocent, asked)
		}
	}
}
