package node

import (
	"testing"
	"time"

	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

// waitRunning runs the world until the request runs.
func (w *world) waitRunning(p *proc, c *call) *request {
	w.t.Helper()
	for range 1000 {
		if r := p.node.byID[c.id]; r != nil && r.state == stateRunning {
			return r
		}
		w.Run(time.Millisecond)
	}
	w.t.Fatalf("%s does not run", c.id)
	return nil
}

// faultFreeWorld returns a world without faults and its first process.
func faultFreeWorld(t *testing.T) (*world, *proc) {
	w := newWorld(t, 1)
	w.Run(time.Second)
	return w, w.procs[0]
}

func TestAnOlderCatalogNeverReplacesANewer(t *testing.T) {
	w, p := faultFreeWorld(t)
	old := w.catalog()
	w.revision = 5
	p.node.SetCatalog(p.clock(), w.catalog())
	p.node.SetCatalog(p.clock(), old)
	if got := p.node.Catalog().Revision; got != 6 {
		t.Errorf("revision %d in force, want 6", got)
	}
}

func TestARefusalAtAdmissionIsCountedOnce(t *testing.T) {
	w, p := faultFreeWorld(t)
	p.node.Drain(p.clock())
	w.send(p, "often")
	counts := p.node.Status(p.clock()).Counts
	if counts.Refused != 1 || counts.NotRun != 0 {
		t.Errorf("%d refused at once and %d not run, want 1 and 0", counts.Refused, counts.NotRun)
	}
}

// Guards against a late report of an abandoned attempt that ends the request while the
// next attempt runs.
func TestTheEndOfAFormerAttemptIsIgnored(t *testing.T) {
	w, p := faultFreeWorld(t)
	c := w.send(p, "often")
	r := w.waitRunning(p, c)
	r.attempt = 2
	p.node.AttemptEnded(p.clock(), r.seq, 1, verdict.New(verdict.Ran, verdict.ReasonUpstreamError, "late"))
	if r.state != stateRunning || len(c.verdicts) > 0 {
		t.Errorf("state %d, verdicts %v after the end of a former attempt", r.state, c.verdicts)
	}
}

// Guards against a new owner that overfills engines. A group changes its owner while slots
// are in use; the holder must report at once which engines they use.
func TestANewOwnerLearnsWhichSlotsAreHeld(t *testing.T) {
	w, p := faultFreeWorld(t)
	c := w.send(p, "often")
	r := w.waitRunning(p, c)
	old, next := r.owner, w.procs[0]
	for _, q := range w.procs {
		if q.name != old {
			next = q
		}
	}
	view := &membership.View{Known: 1, Live: []membership.Member{{ID: next.name, Incarnation: next.self.Token, DataCentre: "a"}}}
	for _, q := range w.procs {
		q.node.SetView(q.clock(), view)
	}
	w.Run(25 * time.Millisecond)
	g := next.node.owned[r.group.Name]
	if g == nil || g.sched.Stats().Adopted != 1 || g.sched.Stats().Held != 1 {
		t.Errorf("the new owner %s recorded %+v", next.name, g)
	}
}

// Guards against a slot that is held until its lease ends. The grant of a replaced owner
// arrives after the request was sent elsewhere; it must be released.
func TestAGrantOfAFormerOwnerGoesBack(t *testing.T) {
	w, p := faultFreeWorld(t)
	c := w.send(p, "often")
	r := p.node.byID[c.id]
	if r == nil {
		t.Fatal("no request")
	}
	r.state = stateWaiting
	r.owner = w.procs[1].name
	former := w.procs[2]
	sent := &releaseRecorder{effects: p.node.eff.(*effects)}
	p.node.eff = sent
	p.node.OnEnvelope(p.clock(), former.name, &wire.Envelope{Grants: []wire.Grant{{
		Seq: int(r.seq), Group: r.group.Name, Server: "s0", Engine: "e"}}})
	if r.state != stateWaiting {
		t.Error("the grant of a former owner was used")
	}
	if len(sent.releases) != 1 || sent.releases[0].Outcome != int(sched.Unused) {
		t.Errorf("releases %+v, want one that gives the slot back", sent.releases)
	}
}

// Guards against a start at a withdrawn server. The holder has received the withdrawal and
// the owner has not; the holder must not use the grant and must request another slot.
func TestAGrantOfAWithdrawnServerIsNotUsed(t *testing.T) {
	w, p := faultFreeWorld(t)
	c := w.send(p, "often")
	r := p.node.byID[c.id]
	w.withdrawn["s0"] = w.Now()
	w.revision++
	p.node.SetCatalog(p.clock(), w.catalog())
	r.owner, r.group = w.procs[1].name, p.node.Catalog().Servers["s0"].Group
	p.node.OnEnvelope(p.clock(), r.owner, &wire.Envelope{Grants: []wire.Grant{{
		Seq: int(r.seq), Group: r.group.Name, Server: "s0", Engine: "e"}}})
	if r.state != stateWaiting {
		t.Errorf("started at %v", r.engine.ID)
	}
	w.Run(time.Second)
	if len(c.verdicts) != 1 || !c.complete {
		t.Errorf("verdicts %v, whole %v", c.verdicts, c.complete)
	}
}

// Guards against work sent to a server that was withdrawn while the process was paused.
// The first call after a pause can free a slot and start a request, so each entry point
// must detect the pause, SetView and SetCatalog included.
func TestEveryEntryPointDetectsAPause(t *testing.T) {
	variants := map[string]func(p *proc, now monotime.Instant){
		"tick":     func(p *proc, now monotime.Instant) { p.node.Tick(now) },
		"view":     func(p *proc, now monotime.Instant) { p.node.SetView(now, p.node.View()) },
		"catalog":  func(p *proc, now monotime.Instant) { p.node.SetCatalog(now, p.w.catalog()) },
		"envelope": func(p *proc, now monotime.Instant) { p.node.OnEnvelope(now, "n1", &wire.Envelope{}) },
		"link":     func(p *proc, now monotime.Instant) { p.node.LinkDown(now, "n1") },
		"caller":   func(p *proc, now monotime.Instant) { p.node.CallerGone(now, "x") },
		"attempt":  func(p *proc, now monotime.Instant) { p.node.AttemptEnded(now, 1, 1, nil) },
	}
	for name, enter := range variants {
		_, p := faultFreeWorld(t)
		enter(p, p.clock().Add(4*time.Second))
		if _, paused := p.node.AwaitingConfirmation(); !paused {
			t.Errorf("%s does not detect a pause", name)
		}
	}
}

// Guards against unlimited retries: every engine refuses every request, and each could be
// retried elsewhere without end. Retries must stay within the burst and the share of
// requests that the rules allow.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	w, p := faultFreeWorld(t)
	refusing := &refusingEffects{effects: p.node.eff.(*effects)}
	p.node.eff = refusing
	const sent = 40
	for range sent {
		w.send(p, "often")
		w.Run(200 * time.Millisecond)
	}
	w.Run(5 * time.Second)
	retries := int(p.node.Status(p.clock()).Counts.Retried)
	share := p.node.Catalog().Rules.RetryBudget
	if maxRetries := retryBurst + int(share*sent); retries == 0 || retries > maxRetries {
		t.Errorf("%d retries of %d requests, want some and at most %d", retries, sent, maxRetries)
	}
	if refusing.starts != sent+retries {
		t.Errorf("%d starts, want %d", refusing.starts, sent+retries)
	}
}

// refusingEffects is an upstream that refuses every request before it starts.
type refusingEffects struct {
	*effects
	starts int
}

func (r *refusingEffects) Start(a Attempt) {
	r.starts++
	p, self := r.p, r.self
	p.w.After(time.Millisecond, func() {
		p.deliver(self, func() {
			p.node.AttemptEnded(p.clock(), a.Seq, a.Number, verdict.New(verdict.NotRun, verdict.ReasonUpstreamRefused, "full"))
		})
	})
}

// releaseRecorder records the releases that a node sends.
type releaseRecorder struct {
	*effects
	releases []wire.Release
}

func (s *releaseRecorder) Send(to string, env *wire.Envelope) {
	s.releases = append(s.releases, env.Releases...)
	s.effects.Send(to, env)
}
