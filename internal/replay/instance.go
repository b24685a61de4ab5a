package replay

import (
	"fmt"
	"strconv"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/reqid"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
)

const (
	// handling is the time a process takes for a message, on top of the wire.
	handling = 100 * time.Microsecond
	// pollEvery is how often a process asks engines for load and cache events.
	pollEvery = 500 * time.Millisecond
	// idLifetime of the request ids that callers use.
	idLifetime = time.Minute
)

// instance is a place for a process.
type instance struct {
	sim        *sim
	name       string
	dataCentre string
	process    *process
	starts     int
}

// process is one incarnation of an instance: a node and its effects.
type process struct {
	inst    *instance
	sim     *sim
	node    *node.Node
	self    reqid.Incarnation
	nonces  int
	alive   bool
	leaving bool
	paused  bool
	// missed holds what reached the process while it was paused.
	missed []func()
	cache  map[string]int
}

func (s *sim) makeInstances() {
	centres := make([]string, 0, len(s.inv.DataCentres))
	for _, dc := range s.inv.DataCentres {
		centres = append(centres, dc.Name)
	}
	for i := range s.cfg.Instances {
		inst := &instance{sim: s, name: fmt.Sprintf("entry-%d", i+1), dataCentre: centres[i%len(centres)]}
		s.instances = append(s.instances, inst)
		inst.startProcess()
	}
	s.updateViews(0)
}

// startProcess begins a new incarnation.
func (i *instance) startProcess() *process {
	i.starts++
	s := i.sim
	self := reqid.NewIncarnation(i.name, origin, uint32(i.starts))
	p := &process{inst: i, sim: s, self: self, alive: true, cache: make(map[string]int)}
	p.node = node.New(node.Config{
		Self:       self,
		DataCentre: i.dataCentre,
		Capacity:   nodeCapacity,
		Policy:     s.cfg.Policy,
		Ownership:  s.cfg.Ownership,
		Seed:       s.rng.Uint64(),
	}, p)
	i.process = p
	p.node.SetCatalog(s.loop.Now(), s.cat)
	s.loop.After(s.jitter(time.Millisecond, node.TickInterval), p.tick)
	s.loop.After(s.jitter(time.Millisecond, pollEvery), p.poll)
	return p
}

// origin is the wall-clock time of instant 0. Processes that start later count
// from it too: ids are compared within a process only.
var origin = time.Unix(1_700_000_000, 0)

// newID makes a request id, as the directory and a caller do together.
func (p *process) newID() string {
	p.nonces++
	prefix, _ := p.self.Prefix(origin.Add(time.Duration(p.sim.loop.Now())), idLifetime)
	return prefix + strconv.Itoa(p.nonces)
}

// nodeCapacity bounds the requests of a node. It is far above what a replay
// needs, since waiting classes without deadlines pile up in an overload.
const nodeCapacity = 1 << 16

func (p *process) tick() {
	if !p.alive {
		return
	}
	if !p.paused {
		p.node.Tick(p.sim.loop.Now())
		p.stopWhenDrained()
	}
	p.sim.loop.After(node.TickInterval, p.tick)
}

func (p *process) stopWhenDrained() {
	if p.leaving && p.node.Drained() {
		p.alive = false
		p.sim.updateViews(0)
	}
}

// poll asks the engines of owned groups for load and cache events.
func (p *process) poll() {
	if !p.alive {
		return
	}
	now := p.sim.loop.Now()
	if !p.paused {
		for _, id := range p.node.OwnedEngines() {
			if up := p.sim.engines[id]; !up.model.Down() {
				p.node.LoadReport(now, id, up.model.Load(now))
				events := up.model.CacheEvents(now, p.cache[id])
				p.cache[id] = events.Next
				p.node.CacheEvents(now, id, events)
			}
		}
	}
	p.sim.loop.After(pollEvery, p.poll)
}

// deliver runs something at the process after a delay, unless it has died; a
// paused process sees it when it wakes.
func (p *process) deliver(delay time.Duration, run func(now monotime.Instant)) {
	p.sim.loop.After(delay, func() {
		if !p.alive {
			return
		}
		if p.paused {
			p.missed = append(p.missed, func() { run(p.sim.loop.Now()) })
			return
		}
		run(p.sim.loop.Now())
	})
}

func (p *process) wake() {
	p.paused = false
	missed := p.missed
	p.missed = nil
	for _, run := range missed {
		run()
	}
}

// Send implements node.Effects.
func (p *process) Send(to string, env *wire.Envelope) {
	other := p.sim.processOf(to)
	if other == nil || p.sim.fleet.parted(p.inst, other.inst) {
		return
	}
	from := p.inst.name
	delay := p.sim.cat.OneWay(p.inst.dataCentre, other.inst.dataCentre) + handling
	other.deliver(delay, func(now monotime.Instant) { other.node.OnEnvelope(now, from, env) })
}

func (s *sim) processOf(name string) *process {
	for _, inst := range s.instances {
		if inst.name == name && inst.process.alive {
			return inst.process
		}
	}
	return nil
}

// Start implements node.Effects.
func (p *process) Start(a node.Attempt) {
	up := p.sim.engines[a.Engine.ID]
	c := p.sim.callByID[a.RequestID]
	p.sim.watch.started(p.sim, p, c, a)
	delay := p.sim.wireTo(p, up)
	p.sim.loop.After(delay, func() { up.begin(&stream{process: p, call: c, attempt: a, up: up}) })
}

func (s *sim) wireTo(p *process, up *upstream) time.Duration {
	return s.cat.OneWay(p.inst.dataCentre, up.dataCentre) + handling
}

// CancelAttempt implements node.Effects.
func (p *process) CancelAttempt(requestID string) {
	if c := p.sim.callByID[requestID]; c != nil && c.stream != nil {
		st := c.stream
		p.sim.loop.After(p.sim.wireTo(p, st.up), st.cancel)
	}
}

// Finish implements node.Effects.
func (p *process) Finish(requestID string, err *verdict.Error) {
	c := p.sim.callByID[requestID]
	c.finish(err)
	p.deliver(0, func(now monotime.Instant) { p.node.Delivered(now, requestID) })
}

// Record implements node.Effects.
func (p *process) Record(record accounting.Record) {
	if c := p.sim.callByID[record.Request]; c != nil && record.Kind == accounting.RecordKindDecision {
		c.waited(record.Group)
	}
	if p.sim.cfg.Record != nil {
		p.sim.cfg.Record(p.sim.loop.Now().Sub(p.sim.start), record)
	}
}

func (p *process) setView(now monotime.Instant, view *membership.View) {
	p.node.SetView(now, view)
}

func (p *process) setCatalog(now monotime.Instant, cat *catalog.Catalog) {
	p.node.SetCatalog(now, cat)
}
