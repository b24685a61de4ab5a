package replay

import (
	"strings"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/inventory"
	schematrace "basilrudder/internal/schema/trace"
	"basilrudder/internal/trace"
	"basilrudder/internal/verdict"
)

// Delays of membership and configuration, as the protocols need them.
const (
	// linkDownAfter is how long a silent peer is waited for.
	linkDownAfter = 3 * time.Second
	// viewAfter is how long until a silent or dead peer leaves the views.
	viewAfter = 5 * time.Second
	// joinAfter is how long until a new or returned peer is in the views.
	joinAfter = time.Second
	// resetAfter is how long a broken link takes to be noticed.
	resetAfter = 2 * time.Millisecond
	// spreadMin and spreadMax bound the time until a revision is in force.
	spreadMin = 50 * time.Millisecond
	spreadMax = 1500 * time.Millisecond
	// confirmAfter is the time a woken process needs to confirm its revision.
	confirmAfter = 5 * time.Millisecond
)

// fleetState is what is wrong with the fleet now.
type fleetState struct {
	// apart names the data centre that is cut off from the others, or "".
	apart string
	// noConfig counts faults that keep new revisions from the fleet.
	noConfig int
	blocked  []func()
	revision uint64
	version  uint64
	// unlisted are instances that views and directory have dropped.
	unlisted map[*instance]bool
}

func (f *fleetState) init() {
	f.revision = 1
	f.unlisted = make(map[*instance]bool)
}

func (f *fleetState) parted(a, b *instance) bool {
	return f.apart != "" && (a.dataCentre == f.apart) != (b.dataCentre == f.apart)
}

func (f *fleetState) listed(i *instance) bool {
	return !f.unlisted[i] && !i.process.leaving
}

func (s *sim) inject(f *trace.Fault) {
	switch f.Kind {
	case schematrace.FaultKindCrash:
		s.crash(f)
	case schematrace.FaultKindStraggle:
		s.eachEngine(f.Target, func(u *upstream) { u.model.SetSlowdown(max(f.Factor, 1)) })
		s.undo(f, func() { s.eachEngine(f.Target, func(u *upstream) { u.model.SetSlowdown(1) }) })
	case schematrace.FaultKindPause:
		s.pause(f)
	case schematrace.FaultKindPartition:
		s.partition(f)
	case schematrace.FaultKindSilence:
		s.eachEngine(f.Target, func(u *upstream) { u.model.Silence(s.loop.Now()) })
	case schematrace.FaultKindConfigDown, schematrace.FaultKindConfigStale:
		s.fleet.noConfig++
		s.undo(f, s.configBack)
	case schematrace.FaultKindWithdraw:
		s.publish(func(server *inventory.Server) bool { return setWithdrawn(server, f.Target, true) })
		s.undo(f, func() {
			s.publish(func(server *inventory.Server) bool { return setWithdrawn(server, f.Target, false) })
		})
	case schematrace.FaultKindPublish:
		s.publish(func(*inventory.Server) bool { return false })
	case schematrace.FaultKindInstanceReplace:
		s.replace(f)
	}
}

// undo ends a fault after its time; one without an end stays.
func (s *sim) undo(f *trace.Fault, run func()) {
	if f.For > 0 {
		s.loop.After(f.For, run)
	}
}

func (s *sim) eachEngine(server string, run func(*upstream)) {
	for _, id := range s.engineIDs {
		if strings.HasPrefix(id, server+"/") || server == "" {
			run(s.engines[id])
			s.engines[id].schedule()
		}
	}
}

func (s *sim) instanceNamed(name string) *instance {
	for _, inst := range s.instances {
		if inst.name == name {
			return inst
		}
	}
	return nil
}

// crash kills a server, or the process of an instance.
func (s *sim) crash(f *trace.Fault) {
	inst := s.instanceNamed(f.Target)
	if inst == nil {
		s.eachEngine(f.Target, (*upstream).crash)
		s.undo(f, func() { s.eachEngine(f.Target, func(u *upstream) { u.model.Restart() }) })
		return
	}
	p := inst.process
	p.alive = false
	s.loseCalls(p)
	for _, id := range s.engineIDs {
		s.engines[id].dropProcess(p)
	}
	s.loop.After(resetAfter, func() { s.linkDown(inst) })
	s.loop.After(viewAfter, func() {
		s.fleet.unlisted[inst] = !inst.process.alive
		s.updateViews(0)
	})
	s.undo(f, func() {
		inst.startProcess()
		delete(s.fleet.unlisted, inst)
		s.linkUp(inst)
		s.updateViews(joinAfter)
	})
}

// loseCalls ends the calls whose process died: their connections break, and
// only that process could have told more.
func (s *sim) loseCalls(p *process) {
	for _, c := range s.calls {
		if c.process == p && !c.ended {
			c.lost = true
			c.finish(verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone, "the instance died"))
		}
	}
}

func (s *sim) linkDown(gone *instance) {
	for _, inst := range s.instances {
		if p := inst.process; p.alive && inst != gone {
			p.deliver(0, func(now monotime.Instant) { p.node.LinkDown(now, gone.name) })
		}
	}
}

func (s *sim) linkUp(back *instance) {
	for _, inst := range s.instances {
		if p := inst.process; p.alive && inst != back {
			p.deliver(0, func(now monotime.Instant) { p.node.LinkUp(now, back.name) })
		}
	}
}

// pause stops a server's engines or the process of an instance for a while.
func (s *sim) pause(f *trace.Fault) {
	inst := s.instanceNamed(f.Target)
	if inst == nil {
		s.eachEngine(f.Target, func(u *upstream) { u.model.SetStalled(s.loop.Now(), true) })
		s.undo(f, func() { s.eachEngine(f.Target, func(u *upstream) { u.model.SetStalled(s.loop.Now(), false) }) })
		return
	}
	p := inst.process
	p.paused = true
	s.loop.After(linkDownAfter, func() { s.silent(p, func() { s.linkDown(inst) }) })
	s.loop.After(viewAfter, func() {
		s.silent(p, func() {
			s.fleet.unlisted[inst] = true
			s.updateViews(0)
		})
	})
	s.undo(f, func() { s.wake(p) })
}

func (s *sim) silent(p *process, run func()) {
	if p.paused && p.alive {
		run()
	}
}

func (s *sim) wake(p *process) {
	p.wake()
	delete(s.fleet.unlisted, p.inst)
	s.linkUp(p.inst)
	s.updateViews(joinAfter)
	p.deliver(confirmAfter, func(now monotime.Instant) {
		p.node.SetCatalog(now, s.inForce())
		p.node.Confirm(now, now)
	})
}

// inForce is the newest revision that some instance may know.
func (s *sim) inForce() *catalog.Catalog { return s.cat }

// partition cuts a data centre's instances off from the others.
func (s *sim) partition(f *trace.Fault) {
	s.fleet.apart = f.Target
	s.loop.After(linkDownAfter, func() { s.eachPair((*process).downFor) })
	s.loop.After(viewAfter, func() { s.updateViews(0) })
	s.undo(f, func() {
		s.eachPair((*process).upFor)
		s.fleet.apart = ""
		s.updateViews(joinAfter)
	})
}

func (p *process) downFor(other *instance) {
	p.deliver(0, func(now monotime.Instant) { p.node.LinkDown(now, other.name) })
}

func (p *process) upFor(other *instance) {
	p.deliver(0, func(now monotime.Instant) { p.node.LinkUp(now, other.name) })
}

// eachPair calls run for each process and each instance that it is cut off from.
func (s *sim) eachPair(run func(*process, *instance)) {
	for _, a := range s.instances {
		for _, b := range s.instances {
			if a.process.alive && s.fleet.parted(a, b) {
				run(a.process, b)
			}
		}
	}
}

// updateViews tells each process who lives, after a delay.
func (s *sim) updateViews(delay time.Duration) {
	s.fleet.version++
	for _, inst := range s.instances {
		p := inst.process
		if !p.alive {
			continue
		}
		p.deliver(delay, func(now monotime.Instant) { p.setView(now, s.viewOf(p)) })
	}
}

func (s *sim) viewOf(p *process) *membership.View {
	view := &membership.View{Version: s.fleet.version, Confirmed: true}
	for _, inst := range s.instances {
		other := inst.process
		if !other.alive || s.fleet.unlisted[inst] {
			continue
		}
		view.MemberCount++
		if s.fleet.parted(p.inst, inst) {
			continue
		}
		m := membership.Member{ID: inst.name, Incarnation: other.self.Token, DataCentre: inst.dataCentre}
		if other.leaving {
			m.State = membership.Leaving
			view.Leaving = append(view.Leaving, m)
			continue
		}
		view.Live = append(view.Live, m)
		if inst == p.inst {
			view.Self = m
		}
	}
	return view
}

func (s *sim) configBack() {
	s.fleet.noConfig--
	if s.fleet.noConfig > 0 {
		return
	}
	blocked := s.fleet.blocked
	s.fleet.blocked = nil
	for _, run := range blocked {
		run()
	}
}

func setWithdrawn(server *inventory.Server, name string, withdrawn bool) bool {
	if server.Name != name {
		return false
	}
	server.Withdrawn = withdrawn
	return true
}

// publish makes a new revision; while the configuration service is down or
// stale it stays unknown.
func (s *sim) publish(change func(*inventory.Server) bool) {
	if s.fleet.noConfig > 0 {
		s.fleet.blocked = append(s.fleet.blocked, func() { s.publish(change) })
		return
	}
	next := *s.inv
	next.Servers = append([]inventory.Server{}, s.inv.Servers...)
	for i := range next.Servers {
		change(&next.Servers[i])
	}
	s.inv = &next
	s.fleet.revision++
	s.cat = catalog.Compile(s.fleet.revision, s.inv)
	s.watch.published(s)
	cat := s.cat
	for _, inst := range s.instances {
		p := inst.process
		p.deliver(s.jitter(spreadMin, spreadMax), func(now monotime.Instant) { p.setCatalog(now, cat) })
	}
}

// replace drains an instance while a new one with another name starts.
func (s *sim) replace(f *trace.Fault) {
	old := s.instanceNamed(f.Target)
	if old == nil || !old.process.alive {
		return
	}
	old.process.leaving = true
	p := old.process
	p.deliver(0, func(now monotime.Instant) { p.node.Drain(now) })
	next := &instance{sim: s, name: old.name + "r", dataCentre: old.dataCentre}
	s.instances = append(s.instances, next)
	next.startProcess()
	s.updateViews(joinAfter)
}
