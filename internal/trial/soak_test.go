package trial

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
)

var (
	soakRounds = flag.Int("soak", 60, "faults of the soak test")
	soakSeed   = flag.Uint64("soak-seed", 7, "seed of the soak test")
)

// What the callers see: whatever fails, no verdict contradicts what ran. Callers
// of every class send, leave and send again under the same ids, at any instance,
// while connections are cut or go silent and servers crash and come back, in
// random order. The comparison at the end is the test.
func TestNoVerdictContradictsTheRuns(t *testing.T) {
	w := newWorld(t, 3)
	rng := rand.New(rand.NewPCG(*soakSeed, 1))
	var group sync.WaitGroup
	for range *soakRounds {
		for range 4 {
			plan := newPlan(w, rng)
			group.Go(plan.run)
		}
		w.breakSomething(rng)
	}
	w.mend()
	group.Wait()
	if w.ctx.Err() != nil {
		t.Error("some calls never ended")
	}
	whole := 0
	for _, r := range w.calls.results {
		if r.whole {
			whole++
		}
	}
	if whole == 0 {
		t.Error("no answer was whole")
	}
	t.Logf("%d calls, %d whole", len(w.calls.results), whole)
}

// plan is what one caller will do.
type plan struct {
	w      *world
	class  string
	home   *Member
	id     string
	at     [2]*Member
	leave  bool
	tokens int
}

func newPlan(w *world, rng *rand.Rand) *plan {
	classes := []string{classDraft, classLetter, classLookup, classReceipt}
	home := w.member(rng.IntN(3))
	return &plan{
		w:      w,
		class:  classes[rng.IntN(len(classes))],
		home:   home,
		id:     w.boundID(home),
		at:     [2]*Member{w.member(rng.IntN(3)), w.member(rng.IntN(3))},
		leave:  rng.IntN(4) == 0,
		tokens: 1 + rng.IntN(40),
	}
}

// run sends the request, and once more under the same id unless it got it all.
func (p *plan) run() {
	for attempt, m := range p.at {
		if p.class == classLookup || p.class == classReceipt {
			if p.w.service(m, p.class, p.id).whole {
				return
			}
			continue
		}
		c := p.w.stream(m, p.class, p.id, p.tokens)
		if p.leave && attempt == 0 {
			c.next()
			c.leave()
			continue
		}
		if c.rest().whole {
			return
		}
	}
}

// breakSomething makes one fault.
func (w *world) breakSomething(rng *rand.Rand) {
	server := w.engineServer(1 + rng.IntN(2))
	app := w.fleet.Apps["registry-1"]
	switch rng.IntN(12) {
	case 0, 1, 2:
		server.Cut()
	case 3:
		server.Silence()
	case 4:
		server.Crash()
		server.Restart()
	case 5:
		server.Engine("e").SetRefusing(rng.IntN(2) == 0)
	case 6, 7:
		app.Cut()
	case 8:
		app.SetBusy(rng.IntN(2) == 0)
	}
}

// mend ends the faults that last.
func (w *world) mend() {
	for i := 1; i <= 2; i++ {
		w.engine(i).SetRefusing(false)
	}
	w.fleet.Apps["registry-1"].SetBusy(false)
}
