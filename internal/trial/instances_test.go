package trial

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/daemon"
	"basilrudder/internal/standin/platform"
)

// What the caller sees: its answer, as from the instance it should have asked.
// It asks another one, with an id bound to the first: only that one may start
// the request, so it is passed on.
func TestRequestAtAnotherInstanceGoesToItsHome(t *testing.T) {
	w := newWorld(t, 3)
	id := w.boundID(w.member(0))
	w.stream(w.member(1), classLetter, id, 5).rest().wantWhole(w)
	w.stream(w.member(2), classLetter, id, 5).rest().wantWhole(w)
	w.wantRuns(id, 1)
	receipt := w.boundID(w.member(2))
	w.service(w.member(0), classReceipt, receipt).wantWhole(w)
	if calls := w.filed(receipt); calls != 1 {
		t.Errorf("the receipt was filed %d times", calls)
	}
}

// What the caller sees: "may have run", from the first attempt at another
// instance to the last. The instance that writes its letter dies in the middle.
// Nobody else knows how far it came, so nobody may write the letter again; once
// the death is known the answer says that waiting is of no use.
func TestHomeDiesAndItsCallerAsksElsewhere(t *testing.T) {
	w := newWorld(t, 3)
	home := w.member(0)
	id := w.boundID(home)
	c := w.stream(home, classLetter, id, longAnswer)
	c.read(5)
	w.fleet.Kill(home)
	if r := c.rest(); r.whole || r.verdict == "not_run" {
		t.Errorf("the caller saw %+v", r)
	}
	w.until("the death is known", func() bool {
		r := w.stream(w.member(1), classLetter, id, longAnswer).rest()
		if r.verdict != "may_have_run" {
			t.Errorf("the caller saw %+v", r)
		}
		return r.reason == "home_gone"
	})
	w.wantRuns(id, 1)
}

// What the callers see: their answers. One instance after the other is replaced
// while each has a long letter in flight; no letter is cut off, and what is sent
// to a leaving instance is served or refused as not run.
func TestDrainCutsOffNothing(t *testing.T) {
	w := newWorld(t, 2)
	for range 2 {
		old := w.member(0)
		letter := w.stream(old, classLetter, w.boundID(old), 2*longAnswer)
		letter.read(2)
		old.stop()
		w.until("the instance leaves", func() bool { return len(old.Daemon.StatusNow().Members.Leaving) > 0 })
		late := w.stream(old, classLetter, "", 3).rest()
		if !late.whole && late.verdict != "not_run" {
			t.Errorf("a request to a leaving instance: %+v", late)
		}
		letter.rest().wantWhole(w)
		if err := w.fleet.Remove(old); err != nil {
			t.Error(err)
		}
		if end := w.endOf(letter.r.id); !end.Delivered {
			t.Errorf("accounted as %+v", end)
		}
		if _, err := w.fleet.AddMember(old.ID+"n", "dc"); err != nil {
			t.Fatal(err)
		}
		if err := w.fleet.WaitReady(w.ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// What the caller sees: its whole letter, after a wait. Its instance drains, and
// the connection to the engine goes silent meanwhile; the drain waits until the
// letter was resumed and delivered.
func TestSilentEngineDuringADrain(t *testing.T) {
	w := newWorld(t, 2)
	old := w.member(0)
	letter := w.stream(old, classLetter, w.boundID(old), longAnswer)
	letter.read(2)
	old.stop()
	w.until("the instance leaves", func() bool { return len(old.Daemon.StatusNow().Members.Leaving) > 0 })
	w.engineServer(w.runsAt(letter.r.id)).Silence()
	letter.rest().wantWhole(w)
	if err := w.fleet.Remove(old); err != nil {
		t.Error(err)
	}
	w.wantRuns(letter.r.id, 1)
}

// What operators see: once a change is in force everywhere, a withdrawn server
// gets no more work; what runs there goes on to its end.
func TestWithdrawnServerGetsNoNewWork(t *testing.T) {
	w := newWorld(t, 3)
	before := w.stream(w.member(0), classLetter, "", longAnswer)
	before.read(1)
	at := w.runsAt(before.r.id)
	w.inv.Servers[at-1].Withdrawn = true
	if err := w.fleet.Publish(w.inv); err != nil {
		t.Fatal(err)
	}
	w.until("the change is in force", func() bool {
		for _, m := range w.fleet.Members {
			if m.Daemon.StatusNow().Config.Revision < 2 {
				return false
			}
		}
		return true
	})
	had := len(w.engine(at).Runs())
	for i := range 12 {
		w.stream(w.member(i%3), classDraft, "", 3).rest().wantWhole(w)
	}
	before.rest().wantWhole(w)
	if runs := len(w.engine(at).Runs()); runs != had {
		t.Errorf("the withdrawn server got %d more requests", runs-had)
	}
}

// What operators see: a new instance serves although the platform is down. It
// learns the configuration from its peers; to find them it has the addresses in
// its settings.
func TestNewInstanceStartsWithoutThePlatform(t *testing.T) {
	w := newWorld(t, 2)
	w.fleet.Platform.SetMode(platform.Down)
	m, err := w.fleet.AddMember("late", "dc")
	if err != nil {
		t.Fatal(err)
	}
	if err := w.fleet.WaitReady(w.ctx); err != nil {
		t.Fatal(err)
	}
	w.stream(m, classLetter, w.boundID(m), 5).rest().wantWhole(w)
}

// What the callers see: the letter that runs "may have run" or "ran", the one
// that waits did not. The instance drains, but its engines hang; either the
// drain's deadline passes or the operators end it with a second signal. Both
// letters are accounted, and the program tells that it cut something off.
func TestDrainThatIsEnded(t *testing.T) {
	for name, drainS := range map[string]int{"deadline": 2, "second signal": 0} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWith(t, 2, func(cfg *Config) {
				oneSlot(cfg)
				cfg.DrainS = drainS
			})
			old := w.member(0)
			running := w.occupy(old, 2)
			id := w.boundID(old)
			waiting := w.start(old, classLetter, id, 5)
			w.until("the letter waits", func() bool { return old.Daemon.StatusNow().Node.Waiting == 1 })
			old.stop()
			begun := time.Now()
			if drainS == 0 {
				w.until("the instance leaves", func() bool { return len(old.Daemon.StatusNow().Members.Leaving) > 0 })
				begun = time.Now()
				old.Daemon.Abort()
			}
			if err := w.fleet.Remove(old); !errors.Is(err, daemon.ErrCutOff) {
				t.Errorf("the daemon ended with %v", err)
			}
			t.Logf("ended %v after the signal", time.Since(begun))
			if r := <-waiting.done; r.verdict != "not_run" || r.reason != "draining" {
				t.Errorf("the waiting letter: %+v", r)
			}
			for _, p := range running {
				r := <-p.done
				if r.whole || r.verdict == "not_run" {
					t.Errorf("a running draft: %+v", r)
				}
				if end := w.endOf(r.id); end.Reason != "draining" {
					t.Errorf("accounted as %+v", end)
				}
			}
			w.endOf(id)
		})
	}
}
