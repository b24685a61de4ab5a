package node

import (
	"flag"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

var (
	searchSeeds   = flag.Int("search.seeds", 12, "seeds of the schedule search")
	searchActions = flag.Int("search.actions", 400, "actions of each schedule")
)

// Guards against false verdicts: each request gets one answer, and "not run" is true.
// Processes pause and resume with old grants in their queues, crash and restart as new
// incarnations, have wrong views of each other, lose messages, and lose connections to
// engines before and after the engine started; servers are withdrawn meanwhile. The world
// compares every run with every verdict.
func TestNoScheduleContradictsAVerdict(t *testing.T) {
	steps := 0
	requests := 0
	for seed := range *searchSeeds {
		w := newWorld(t, uint64(seed))
		w.faults = true
		for range *searchActions {
			w.randomAction()
			w.Run(w.between(time.Millisecond, 60*time.Millisecond))
		}
		w.faults = false
		clear(w.cut)
		w.publishViews()
		w.Run(15 * time.Second)
		if left := w.unanswered(); len(left) > 0 {
			t.Errorf("seed %d: no answer for %v", seed, left)
		}
		w.reportFailures()
		steps += w.Executed()
		requests += len(w.calls)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d steps, %d requests, no contradiction", steps, requests)
	if steps < 10_000 {
		t.Errorf("the search took %d steps, want at least 10000", steps)
	}
}

func (w *world) randomAction() {
	p := w.procs[w.rng.IntN(len(w.procs))]
	switch w.rng.IntN(20) {
	case 0:
		p.pause(w.between(100*time.Millisecond, 5*time.Second))
	case 1:
		w.crash(p)
	case 2:
		w.publishViews()
	case 3:
		w.cutLink(p)
	case 4:
		w.publishWithdrawal()
	case 5, 6:
		w.disconnectCaller()
	case 7, 8, 9:
		w.sendAgain(p)
	default:
		classes := [...]string{"once", "often", "service"}
		customers := [...]string{"c", "c", "limited"}
		w.sendAs(p, customers[w.rng.IntN(len(customers))], classes[w.rng.IntN(len(classes))])
	}
}

func (w *world) crash(p *proc) {
	for _, c := range w.calls {
		if c.target == p && len(c.verdicts) < c.submits {
			c.orphaned = true
		}
	}
	p.dead = true
	p.pausedUntil = 0
	w.After(w.between(time.Millisecond, 2*time.Second), func() {
		if p.dead {
			p.boot()
			w.publishViews()
		}
	})
}

func (w *world) cutLink(p *proc) {
	q := w.procs[w.rng.IntN(len(w.procs))]
	key := [2]string{p.name, q.name}
	w.cut[key] = true
	w.After(w.between(0, 3*time.Second), func() { delete(w.cut, key) })
	p.deliver(p.self, func() { p.node.LinkDown(p.clock(), q.name) })
}

// publishWithdrawal withdraws a server or restores it. Each running process receives the
// configuration within publishDelay.
func (w *world) publishWithdrawal() {
	name := [...]string{"s0", "s1"}[w.rng.IntN(2)]
	if _, ok := w.withdrawn[name]; ok {
		delete(w.withdrawn, name)
	} else {
		w.withdrawn[name] = w.Now()
	}
	w.revision++
	for _, p := range w.procs {
		self := p.self
		w.After(w.between(0, publishDelay), func() {
			p.deliver(self, func() { p.node.SetCatalog(p.clock(), w.catalog()) })
		})
	}
}

// sendAgain repeats an id at the same or another process, like a caller that received no
// answer or a failure. An answer that is still pending is not repeated at the same
// process: there the store of answers returns the first one's.
func (w *world) sendAgain(p *proc) {
	if len(w.sent) == 0 || p.dead {
		return
	}
	c := w.sent[w.rng.IntN(len(w.sent))]
	if c.class == nil || c.target == p && len(c.verdicts) < c.submits {
		return
	}
	p.deliver(p.self, func() { w.submit(p, c, c.class.Name) })
}

func (w *world) disconnectCaller() {
	var pick *call
	latest := monotime.Instant(0)
	for _, c := range w.calls {
		if len(c.verdicts) == 0 && c.target.started >= latest && (pick == nil || c.id > pick.id) {
			pick = c
		}
	}
	if pick == nil {
		return
	}
	p := pick.target
	p.deliver(p.self, func() { p.node.CallerGone(p.clock(), pick.id) })
}
