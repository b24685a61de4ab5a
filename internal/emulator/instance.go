package emulator

import (
	"fmt"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
)

// instance is a relaying instance.
type instance struct {
	sim   *sim
	name  string
	board *placement.Board
	runs  int
}

func newInstance(s *sim, n int) *instance {
	return &instance{sim: s, name: fmt.Sprintf("instance-%03d", n), board: s.newBoard()}
}

// tell has all others hear of something, late and each at its own time.
func (i *instance) tell(news func(to *placement.Board, now monotime.Instant)) {
	gathered := time.Duration(i.sim.random.Float64() * float64(i.sim.scenario.NewsDelay))
	for _, to := range i.sim.instances {
		if to != i {
			i.sim.loop.After(gathered+travel, func() { news(to.board, i.sim.now()) })
		}
	}
}

func (i *instance) candidates() []placement.Candidate {
	kind := &i.sim.scenario.Kind
	out := make([]placement.Candidate, 0, len(i.sim.engines))
	for _, e := range i.sim.engines {
		out = append(out, placement.Candidate{
			ID: e.id, Service: service, DataCentre: "here",
			Slots: kind.Slots, MemoryTokens: kind.MemoryTokens, EventTokens: kind.EventTokens,
		})
	}
	return out
}

// tries bounds the engines passed over for one request because they can't be reached.
const tries = 4

// take places a request of a caller and sends it.
func (i *instance) take(c *call) {
	now := i.sim.now()
	c.work.Left = c.deadline.Sub(now)
	for range tries {
		choice, refusal := i.board.Choose(c.work, i.candidates(), now)
		if refusal != placement.Chosen {
			c.refused()
			return
		}
		e := i.sim.byID[choice.Server]
		if e.down {
			i.board.Observe(e.id, placement.Unreachable, now)
			continue
		}
		i.send(c, e, choice)
		return
	}
	c.refused()
}

func (i *instance) send(c *call, e *engine, choice placement.Choice) {
	i.runs++
	r := &run{call: c, instance: i, number: i.runs}
	id := placement.RunID{Instance: i.name, Number: r.number}
	work := c.work
	i.board.Begin(id, e.id, work, choice.Unread, i.sim.now())
	i.tell(func(to *placement.Board, now monotime.Instant) { to.Begin(id, e.id, work, choice.Unread, now) })
	c.run, c.engine = r, e
	if !e.take(r) {
		i.board.Observe(e.id, placement.Refused, i.sim.now())
		i.ended(r)
		c.refused()
	}
}

// event passes an event of a stream on to its caller.
func (i *instance) event(r *run, last bool) {
	now := i.sim.now()
	id := placement.RunID{Instance: i.name, Number: r.number}
	if r.call.firstAt == 0 {
		i.board.OwnFirstEvent(id, now)
		i.tell(func(to *placement.Board, now monotime.Instant) { to.FirstEvent(id, now) })
	}
	i.board.Events(id, 1, now)
	r.call.event(now)
	if last {
		i.board.Observe(r.call.engine.id, placement.Served, now)
		i.ended(r)
		r.call.done()
	}
}

// lost ends a request whose engine crashed.
func (i *instance) lost(r *run) {
	i.board.Observe(r.call.engine.id, placement.Failed, i.sim.now())
	i.ended(r)
	r.call.fail()
}

func (i *instance) ended(r *run) {
	id := placement.RunID{Instance: i.name, Number: r.number}
	i.board.End(id, i.sim.now())
	i.tell(func(to *placement.Board, now monotime.Instant) { to.End(id, now) })
}
