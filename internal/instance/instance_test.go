package instance

import (
	"testing"
	"time"

	"basilrudder/internal/node"
	"basilrudder/internal/verdict"
)

// convergenceTime gives a new fleet time to find itself.
const convergenceTime = 10 * time.Second

func (f *fleet) checkRevision(p *process, want uint64) {
	f.t.Helper()
	if p.installedRevision != want {
		f.t.Errorf("%s has revision %d in force, want %d", p.id, p.installedRevision, want)
	}
}

func (f *fleet) checkAnswers(ids []string) {
	f.t.Helper()
	for _, id := range ids {
		if !f.ended[id] || f.errs[id] != nil {
			f.t.Errorf("%s: ended %v, error %v", id, f.ended[id], f.errs[id])
		}
		if f.runs[id] != 1 {
			f.t.Errorf("%s ran %d times", id, f.runs[id])
		}
	}
}

func TestFleetInstallsChangeWithinThreeSeconds(t *testing.T) {
	f := newFleet(t, 6)
	f.Run(convergenceTime)
	var ids []string
	for _, p := range f.procs {
		ids = append(ids, f.send(p))
	}
	f.Run(time.Second)
	f.checkAnswers(ids)
	f.publish("s0")
	f.Run(propagationLimit)
	for _, p := range f.procs {
		f.checkRevision(p, 2)
	}
}

// What the caller sees: its request is served by a server in service. The
// instance sleeps while a server is withdrawn, and wakes cut off from the
// platform with its peers still there. It must ask them before it dispatches:
// the old configuration in its memory still names the server.
func TestPausedInstanceConfirmsBeforeDispatch(t *testing.T) {
	f := newFleet(t, 4)
	f.Run(convergenceTime)
	p := f.procs[0]
	p.pause(6 * time.Second)
	f.Run(time.Second)
	f.publish("s0")
	f.partitioned = func(a, b string) bool { return a == p.id && b == "" }
	published := f.Now()
	f.Run(5*time.Second - time.Millisecond)
	var ids []string
	for range 20 {
		ids = append(ids, f.send(p))
	}
	f.Run(5 * time.Second)
	f.checkRevision(p, 2)
	f.checkAnswers(ids)
	if late := f.startedAt["s0"]; late > published.Add(propagationLimit) {
		t.Errorf("the withdrawn server got work %v after it was withdrawn", late.Sub(published))
	}
}

// What operators see: nothing goes back. The platform serves an old revision
// while all instances but one are replaced. The new processes hear the old
// revision from the platform and the newer one from the instance that stayed.
func TestStalePlatformDoesNotRevertRevision(t *testing.T) {
	f := newFleet(t, 4)
	f.Run(convergenceTime)
	f.publish("s0")
	f.Run(propagationLimit)
	f.servedRevision = 1
	for _, p := range f.procs[1:] {
		p.kill()
		f.Run(500 * time.Millisecond)
		p.boot()
		f.Run(5 * time.Second)
	}
	f.Run(convergenceTime)
	for _, p := range f.procs {
		f.checkRevision(p, 2)
	}
	var ids []string
	for _, p := range f.procs {
		ids = append(ids, f.send(p))
	}
	f.Run(2 * time.Second)
	f.checkAnswers(ids)
}

// What the caller sees: its request is answered although the instance that was
// scheduling it died. In a burst every instance waits for slots of every owner;
// one owner is killed; the others ask the next owner as soon as the link breaks.
func TestRequestsSurviveOwnerCrash(t *testing.T) {
	f := newFleet(t, 6)
	f.Run(convergenceTime)
	victim := f.procs[0]
	var ids []string
	for round := range 10 {
		for _, p := range f.procs[1:] {
			ids = append(ids, f.send(p))
		}
		if round == 5 {
			victim.kill()
		}
		f.Run(20 * time.Millisecond)
	}
	f.Run(500 * time.Millisecond)
	f.checkAnswers(ids)
}

// What the caller sees: "may have run", never a second run. Its instance dies
// while the answer is on its way, and it sends the same id to another instance,
// and to the new process of the first one. Neither is the process that the id
// names, so neither may start it.
func TestRetryElsewhereAfterACrashDoesNotRunTwice(t *testing.T) {
	f := newFleet(t, 4)
	f.Run(convergenceTime)
	p := f.procs[0]
	id := f.send(p)
	f.Run(50 * time.Millisecond)
	p.kill()
	f.Run(200 * time.Millisecond)
	p.boot()
	f.Run(convergenceTime)
	for _, other := range f.procs {
		err := other.submit(id)
		if err == nil || err.Verdict != verdict.MayHaveRun {
			t.Errorf("%s answered the retry with %v", other.id, err)
		}
	}
	f.Run(time.Second)
	if f.runs[id] != 1 {
		t.Errorf("the request ran %d times", f.runs[id])
	}
}

// What the caller sees: the whole answer, during a shutdown. The engine's
// connection goes silent while the instance drains; the node resumes the same
// run at the same engine, and the drain waits for it.
func TestDrainWaitsForResumption(t *testing.T) {
	f := newFleet(t, 4)
	f.Run(convergenceTime)
	p := f.procs[0]
	f.engineError = func(a node.Attempt) *verdict.Error {
		if a.Resume {
			return nil
		}
		return verdict.New(verdict.Ran, verdict.ReasonUpstreamSilent, "no byte for the gap timeout")
	}
	id := f.send(p)
	f.Run(20 * time.Millisecond)
	p.inst.Leave(p.clock())
	p.inst.Node().Drain(p.clock())
	f.Run(100 * time.Millisecond)
	if p.inst.Node().Drained() {
		t.Error("drained with a request in flight")
	}
	f.Run(2 * time.Second)
	f.checkAnswers([]string{id})
	if !p.inst.Node().Drained() {
		t.Error("not drained after its last request")
	}
}

// What the caller sees: service goes on. Two data centres lose each other and
// one of them the platform too, for a minute; each part schedules the servers
// itself. Afterwards both have the revision that was published meanwhile.
func TestPartitionServesOnBothSides(t *testing.T) {
	f := newFleet(t, 6)
	f.Run(convergenceTime)
	side := func(id string) bool { p := f.proc(id); return p != nil && p.dc == "dc1" }
	f.partitioned = func(a, b string) bool { return side(a) != side(b) }
	f.Run(time.Minute)
	f.publish("s3")
	var ids []string
	for range 5 {
		for _, p := range f.procs {
			ids = append(ids, f.send(p))
		}
		f.Run(100 * time.Millisecond)
	}
	f.Run(3 * time.Second)
	f.checkAnswers(ids)
	f.partitioned = func(string, string) bool { return false }
	f.Run(20 * time.Second)
	for _, p := range f.procs {
		f.checkRevision(p, 2)
	}
}

// What the caller sees: a refusal that sends it elsewhere. An instance loses
// every peer and the platform; it goes on with what it knows for as long as the
// rules say, then takes no new request, and takes them again once it is heard.
func TestIsolatedInstanceRefusesAfterServeLimit(t *testing.T) {
	f := newFleet(t, 4)
	f.Run(convergenceTime)
	p := f.procs[0]
	f.partitioned = func(a, b string) bool { return a == p.id || b == p.id }
	f.Run(4 * time.Minute)
	during := f.send(p)
	f.Run(time.Second)
	f.checkAnswers([]string{during})
	f.Run(2 * time.Minute)
	after := f.send(p)
	f.Run(time.Second)
	if err := f.errs[after]; err == nil || err.Reason != verdict.ReasonIsolated || err.Verdict != verdict.NotRun {
		t.Errorf("after six minutes alone: %v", err)
	}
	f.partitioned = func(string, string) bool { return false }
	f.Run(time.Minute)
	again := f.send(p)
	f.Run(time.Second)
	f.checkAnswers([]string{again})
}

// What the caller sees: nothing. The platform is down, and all instances but one
// are replaced one by one meanwhile; each new process finds a peer through its
// seeds and learns the configuration and the fleet from its peers alone.
func TestPlatformDownWhileInstancesAreReplaced(t *testing.T) {
	f := newFleet(t, 4)
	f.Run(convergenceTime)
	f.platformDown = true
	f.Run(5 * time.Minute)
	for _, p := range f.procs[1:] {
		p.kill()
		f.Run(time.Second)
		p.boot()
		f.Run(time.Minute)
	}
	var ids []string
	for _, p := range f.procs {
		ids = append(ids, f.send(p))
	}
	f.Run(2 * time.Second)
	f.checkAnswers(ids)
}
