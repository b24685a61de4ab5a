package instance

import (
	"testing"
	"time"

	"basilrudder/internal/node"
	"basilrudder/internal/verdict"
)

// convergenceTime is the time that a new fleet needs until its membership and
// configuration agree.
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

// An instance is paused while a server is withdrawn, and resumes cut off from the
// platform but linked to its peers. Its old configuration still lists the server. It must
// confirm the configuration with a peer before it dispatches, or requests go to the
// withdrawn server.
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

// The platform serves an old revision while all instances but one are replaced. The new
// processes receive the old revision from the platform and the newer one from the
// instance that stayed. No instance may go back to the old one.
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

// In a burst every instance waits for slots of every owner, and one owner is killed. The
// others must ask the next owner as soon as the link breaks, so that every request is
// answered.
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

// An instance dies while an answer is under way, and the caller sends the same request id
// to the other instances and to the restarted one. None of them is the process that the
// id names, so none may start it a second time: the verdict is MayHaveRun.
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

// An engine's connection sends no bytes within the gap timeout while the instance drains.
// The node must resume the same run at the same engine, and the drain must wait for it,
// or the caller gets a partial answer.
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

// Two data centres are partitioned for a minute, and one of them is cut off from the
// platform too. Each part must schedule the servers itself and answer its requests.
// Afterwards both must have the revision that was published meanwhile.
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

// An instance loses every peer and the platform. It must serve with its last state for as
// long as the rules allow, then refuse new requests so that callers go elsewhere, and
// serve again once it is reachable.
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
		t.Errorf("after six minutes of isolation: %v", err)
	}
	f.partitioned = func(string, string) bool { return false }
	f.Run(time.Minute)
	again := f.send(p)
	f.Run(time.Second)
	f.checkAnswers([]string{again})
}

// The platform is down while all instances but one are replaced one by one. Each new
// process must find a peer through its seeds and receive the configuration and the
// membership from peers alone; no request may fail.
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
