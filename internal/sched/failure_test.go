package sched

import (
	"testing"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// simulation drives a fixture as engines would: each granted request holds its slot for
// the time given for its tier and ends with the corresponding number of tokens.
type simulation struct {
	*fixture
	hold      map[int]time.Duration
	tiers     map[uint64]int
	ends      []completion
	served    map[int]int
	scheduled int
	// slowEngine takes factor times as long as the others.
	slowEngine string
	factor     time.Duration
}

type completion struct {
	at  monotime.Instant
	seq uint64
}

func newSimulation(f *fixture, hold ...time.Duration) *simulation {
	w := &simulation{fixture: f, hold: map[int]time.Duration{}, tiers: map[uint64]int{}, served: map[int]int{}}
	for tier, d := range hold {
		w.hold[tier] = d
	}
	return w
}

func (w *simulation) request(tier int, customer string) uint64 {
	w.tiers[w.seq+1] = tier
	seq := w.submit(tier, customer)
	w.scheduleEnds()
	return seq
}

// scheduleEnds schedules the ends of newly granted requests.
func (w *simulation) scheduleEnds() {
	for ; w.scheduled < len(w.order); w.scheduled++ {
		seq := w.order[w.scheduled]
		w.ends = append(w.ends, completion{w.now.Add(w.hold[w.tiers[seq]] * w.slowdown(seq)), seq})
	}
}

func (w *simulation) slowdown(seq uint64) time.Duration {
	if w.granted[seq].Engine.ID == w.slowEngine {
		return w.factor
	}
	return 1
}

// grantsOn counts the grants for an engine, from an index into order on.
func (w *simulation) grantsOn(engine string, from int) int {
	count := 0
	for _, seq := range w.order[from:] {
		if w.granted[seq].Engine.ID == engine {
			count++
		}
	}
	return count
}

// run advances time in steps of a millisecond and calls eachStep in each.
func (w *simulation) run(d time.Duration, eachStep func(step int)) {
	for step := range int(d / time.Millisecond) {
		w.now = w.now.Add(time.Millisecond)
		w.finishDue()
		if step%50 == 0 {
			w.take(w.g.Tick(w.now, nil))
			w.scheduleEnds()
		}
		if eachStep != nil {
			eachStep(step)
		}
	}
}

func (w *simulation) finishDue() {
	kept := w.ends[:0]
	var due []completion
	for _, e := range w.ends {
		if e.at <= w.now {
			due = append(due, e)
			continue
		}
		kept = append(kept, e)
	}
	w.ends = kept
	for _, e := range due {
		w.served[w.tiers[e.seq]]++
		gap := 10 * time.Millisecond
		tokens := int(w.hold[w.tiers[e.seq]] / gap)
		gap *= w.slowdown(e.seq)
		w.release(e.seq, Result{Tokens: tokens, FirstToken: gap, Gap: gap})
		w.scheduleEnds()
	}
}

// The top tier alone requests more than the group can serve, and a class of the lowest
// tier waits. Some top-tier requests are refused early; those admitted must be on time.
// The floor must serve the lowest tier at least once every 20 s.
func TestLowestTierIsServedWhileTheTopTierOverloads(t *testing.T) {
	f := newFixture(t, 2, 4, Default())
	w := newSimulation(f, 200*time.Millisecond, 0, 400*time.Millisecond)
	servedBy := 0
	w.run(60*time.Second, func(step int) {
		if step%15 == 0 {
			w.request(0, "ann") // 67 a second of the 40 that fit
		}
		if step%500 == 0 {
			w.request(2, "ben")
		}
		if step%20_000 == 19_999 {
			if w.served[2] == servedBy {
				t.Errorf("no request of the lowest tier served in the 20 s to %d ms", step)
			}
			servedBy = w.served[2]
		}
	})
	if w.served[0] < 1800 {
		t.Errorf("top tier served %d times in a minute; the floor took more than its share", w.served[0])
	}
	for seq, d := range w.refused {
		if w.tiers[seq] == 0 && d.Reason == verdict.ReasonDeadline {
			t.Fatalf("an admitted top-tier request was refused later: %+v", d)
		}
	}
}

// A burst of a lower tier fills the group and its queue; then a steady stream of the top
// tier arrives. No top-tier request may be refused, and the lower tier must still get
// free slots.
func TestBurstOfLowerTierDoesNotShedTheTopTier(t *testing.T) {
	f := newFixture(t, 2, 4, Default())
	w := newSimulation(f, 100*time.Millisecond, 300*time.Millisecond)
	for range 500 {
		w.request(1, "ben")
	}
	w.run(10*time.Second, func(step int) {
		if step%40 == 0 {
			w.request(0, "ann")
		}
	})
	for seq := range w.refused {
		if w.tiers[seq] == 0 {
			t.Fatalf("a top-tier request was refused: %+v", w.refused[seq])
		}
	}
	if w.served[1] == 0 {
		t.Error("the lower tier got none of the free slots")
	}
}

// The queue is full of lower-tier requests when a top-tier one arrives. One of the
// lower-tier requests must be refused, never the top-tier one.
func TestFullQueueRefusesTheLowestTier(t *testing.T) {
	policy := Default()
	policy.MaxWaiting = 5
	policy.EarlyRefusal = false
	f := newFixture(t, 1, 1, policy)
	f.submit(2, "ann")
	var low []uint64
	for range 5 {
		low = append(low, f.submit(2, "ben"))
	}
	top := f.submit(0, "ann")
	if _, ok := f.refused[top]; ok {
		t.Fatal("the top-tier request was refused")
	}
	if len(f.refused) != 1 {
		t.Fatalf("%d refused, want one of the lowest tier", len(f.refused))
	}
	if _, ok := f.refused[low[4]]; !ok {
		t.Errorf("refused %v, want the newest lower one", f.refused)
	}
}

// One customer floods a tier while another of the same weight sends a few requests. The
// quiet customer's requests must not queue behind the flood.
func TestFloodOfOneCustomerDoesNotDelayAnother(t *testing.T) {
	f := newFixture(t, 2, 4, Default())
	w := newSimulation(f, 0, 200*time.Millisecond)
	var quiet []uint64
	w.run(30*time.Second, func(step int) {
		if step%5 == 0 {
			w.request(1, "ann") // 200 a second of the 40 that fit
		}
		if step%100 == 0 {
			quiet = append(quiet, w.request(1, "ben"))
		}
	})
	refused := 0
	for _, seq := range quiet {
		if _, ok := w.refused[seq]; ok {
			refused++
		}
	}
	if refused > len(quiet)/50 {
		t.Errorf("%d of %d requests of the quiet customer were refused", refused, len(quiet))
	}
}

// Two customers of weights 1 and 3 request far more than the group can serve. Each must
// get slots in proportion to its weight, measured in tokens.
func TestSharesFollowTheWeights(t *testing.T) {
	f := newFixture(t, 2, 4, Default())
	f.inv.Customers[1].Weight = 3
	f.cat = catalog.Compile(2, f.inv)
	f.take(f.g.Reconfigure(f.now, f.cat, nil))
	w := newSimulation(f, 0, 200*time.Millisecond)
	owner := map[uint64]string{}
	w.run(60*time.Second, func(step int) {
		if step%10 == 0 {
			owner[w.request(1, "ann")] = "ann"
			owner[w.request(1, "ben")] = "ben"
		}
	})
	got := map[string]int{}
	for _, seq := range w.order {
		got[owner[seq]]++
	}
	if ratio := float64(got["ben"]) / float64(got["ann"]); ratio < 2.5 || ratio > 3.5 {
		t.Errorf("grants %v, want a ratio of 1 to 3", got)
	}
}

// An engine becomes five times slower than its peers. It must get less work within
// seconds, keep a little, and get its full share again after it recovers.
func TestStragglerGetsLessWorkAndRecovers(t *testing.T) {
	f := newFixture(t, 3, 4, Default())
	w := newSimulation(f, 0, 100*time.Millisecond)
	phase := func(d time.Duration, factor time.Duration) int {
		w.slowEngine, w.factor = "s0/e", factor
		before := len(w.order)
		w.run(d, func(step int) {
			if step%11 == 0 {
				w.request(1, "ann")
			}
		})
		return w.grantsOn("s0/e", before)
	}
	even := phase(10*time.Second, 1)
	phase(5*time.Second, 5)
	slowed := phase(10*time.Second, 5)
	phase(10*time.Second, 1)
	recovered := phase(10*time.Second, 1)
	if slowed > even/3 || slowed == 0 {
		t.Errorf("straggler got %d requests, %d before it was slow", slowed, even)
	}
	if recovered < even*2/3 {
		t.Errorf("recovered engine got %d requests, %d before it was slow", recovered, even)
	}
}

// An engine crashes and its requests fail at once. Later requests must go to the other
// engine. After the ejection one request probes the engine, which gets more work only
// once the probe succeeds.
func TestCrashedEngineIsEjectedProbedAndRampedUp(t *testing.T) {
	f := newFixture(t, 2, 4, Default())
	var onFirst []uint64
	for range 8 {
		seq := f.submit(1, "ann")
		if f.mustGrant(seq).Engine.ID == "s0/e" {
			onFirst = append(onFirst, seq)
		}
	}
	for _, seq := range onFirst {
		f.release(seq, Result{Outcome: Failed})
	}
	waiting := f.submit(1, "ann")
	if _, ok := f.granted[waiting]; ok {
		t.Fatal("a request was sent to the engine that just crashed")
	}
	f.advance(600 * time.Millisecond)
	probe := f.mustGrant(waiting)
	if probe.Engine.ID != "s0/e" || probe.Why != whyProbe {
		t.Fatalf("want a probe of s0/e, got %+v", probe)
	}
	second := f.submit(1, "ann")
	if _, ok := f.granted[second]; ok {
		t.Fatal("a second request was sent before the probe succeeded")
	}
	f.finish(waiting, 10)
	f.mustGrant(second)
	f.mustGrant(f.submit(1, "ann"))
}

// An instance dies while it holds slots and has queued requests. Its slots must be freed
// at once when membership reports the death, and after the lease otherwise.
func TestSlotsOfADeadHolderAreFreed(t *testing.T) {
	f := newFixture(t, 1, 1, Default())
	f.submit(1, "ann")
	other := Demand{
		Ticket: Ticket{"other", 1}, Class: f.cat.Classes["c1"], Customer: f.cat.Customers["ben"], Tier: 1,
		EndBy: f.now.Add(10 * time.Second),
	}
	f.take(f.g.Submit(f.now, other, nil))
	f.submit(1, "ann")
	f.take(f.g.HolderGone(f.now, "h", nil))
	if s := f.g.Stats(); s.Held != 1 || s.Waiting != 0 {
		t.Fatalf("held %d, waiting %d; want the other holder's request alone", s.Held, s.Waiting)
	}
	next := f.submit(1, "ann")
	f.advance(2900 * time.Millisecond)
	if _, ok := f.granted[next]; ok {
		t.Fatal("the slot was freed before its lease expired")
	}
	f.advance(200 * time.Millisecond)
	f.mustGrant(next)
}

// The owner of a group dies and another instance takes over without any state. The
// holders' renewals must report the running requests before the new owner fills the
// engines a second time.
func TestNewOwnerAdoptsRunningSlotsFromRenewals(t *testing.T) {
	f := newFixture(t, 2, 2, Default())
	f.take(f.g.Progress(f.now, Ticket{"old", 1}, 5, nil))
	f.g.Adopt(f.now, Ticket{"old", 2}, HeldSlot{
		Engine: "s1/e", Class: f.cat.Classes["c1"], Customer: f.cat.Customers["ann"], Tier: 1,
	})
	f.g.Adopt(f.now, Ticket{"old", 2}, HeldSlot{Engine: "s1/e"})
	if s := f.g.Stats(); s.Held != 2 || s.Adopted != 2 {
		t.Fatalf("held %d adopted %d, want 2 and 2", s.Held, s.Adopted)
	}
	f.mustGrant(f.submit(1, "ann"))
	f.mustGrant(f.submit(1, "ann"))
	third := f.submit(1, "ann")
	if _, ok := f.granted[third]; ok {
		t.Fatal("a fifth request was granted on four slots")
	}
	f.take(f.g.Release(f.now, Ticket{"old", 2}, Result{Tokens: 3, Gap: 10 * time.Millisecond}, nil))
	if d := f.mustGrant(third); d.Engine.ID != "s1/e" {
		t.Errorf("granted %s, want the slot that was released", d.Engine.ID)
	}
}

// A server is withdrawn while requests run on it and others wait. Running requests
// continue and nothing new is sent there. Requests are refused at once when no server is
// left.
func TestWithdrawnServerGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, 2, 1, Default())
	first, second := f.submit(1, "ann"), f.submit(1, "ann")
	waiting := f.submit(1, "ann")
	f.inv.Servers[0].Withdrawn = true
	f.cat = catalog.Compile(2, f.inv)
	f.take(f.g.Reconfigure(f.now, f.cat, nil))
	on := map[string]uint64{f.mustGrant(first).Engine.ID: first, f.mustGrant(second).Engine.ID: second}
	f.finish(on["s0/e"], 5)
	if _, ok := f.granted[waiting]; ok {
		t.Fatal("the withdrawn server got a new request")
	}
	f.finish(on["s1/e"], 5)
	if d := f.mustGrant(waiting); d.Engine.ID != "s1/e" {
		t.Errorf("granted %s, want the server that is left", d.Engine.ID)
	}
	last := f.submit(1, "ann")
	f.inv.Servers[1].Withdrawn = true
	f.cat = catalog.Compile(3, f.inv)
	f.take(f.g.Reconfigure(f.now, f.cat, nil))
	if d, ok := f.refused[last]; !ok || d.Reason != verdict.ReasonNoServer {
		t.Errorf("waiting request with no server left: %+v", d)
	}
}

// A partition gives a group two owners, each of which reaches half of the fleet. Together
// they must not use more slots than the engines have.
func TestTwoOwnersShareTheSlots(t *testing.T) {
	a := newFixture(t, 2, 4, Default())
	b := newFixture(t, 2, 4, Default())
	granted := 0
	for _, f := range []*fixture{a, b} {
		f.g.SetShare(4, 8)
		for range 8 {
			f.submit(1, "ann")
		}
		granted += len(f.granted)
	}
	if granted != 8 {
		t.Errorf("two owners granted %d slots of 8", granted)
	}
	a.g.SetShare(8, 8)
	a.advance(100 * time.Millisecond)
	if len(a.granted) != 8 {
		t.Errorf("after the partition healed the owner granted %d of 8", len(a.granted))
	}
}

// Before any answer is measured, a class is assumed to take longer than its deadline. It
// must not be refused by that assumption: it would never be measured.
func TestUnmeasuredClassIsNotRefused(t *testing.T) {
	f := newFixture(t, 1, 1, Default())
	f.inv.Classes[0].MaxOutputTokens = 100_000
	f.cat = catalog.Compile(2, f.inv)
	f.g = New(f.now, f.cat.GroupList[0], f.cat, Default(), 1)
	f.mustGrant(f.submit(0, "ann"))
	if d, ok := f.refused[f.submit(0, "ann")]; ok {
		t.Errorf("refused by an assumed length: %+v", d)
	}
}

// A prompt prefix has run on one engine. The next request with it must go there while
// that saves time, and must not count on the prefix once the engine has evicted it.
func TestRequestGoesToTheEngineThatCachesItsPrefix(t *testing.T) {
	f := newFixture(t, 4, 2, Default())
	first := f.mustGrant(f.submitPrefix(1, "ann", 9))
	f.now = f.now.Add(time.Second)
	f.finish(first.Seq, 10)
	for range 3 {
		again := f.mustGrant(f.submitPrefix(1, "ann", 9))
		if again.Engine != first.Engine || !again.PrefixHit {
			t.Fatalf("prefix went to %s hit %v, ran on %s", again.Engine.ID, again.PrefixHit, first.Engine.ID)
		}
		f.now = f.now.Add(time.Second)
		f.finish(again.Seq, 10)
	}
	f.now = f.now.Add(5 * time.Second)
	f.g.CacheEvents(f.now, first.Engine.ID, evicted(9))
	if after := f.mustGrant(f.submitPrefix(1, "ann", 9)); after.PrefixHit {
		t.Error("predicted a hit for a prefix that the engine evicted")
	}
}
