package emulator

import (
	"fmt"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
)

// instance is a relaying instance with its own view of the engines.
type instance struct {
	sim      *sim
	name     string
	board    *placement.Board
	runCount int
	// connections are the idle ones by engine, the most recently used last.
	connections map[string][]connection
}

func newInstance(s *sim, n int) *instance {
	i := &instance{sim: s, name: fmt.Sprintf("instance-%03d", n), connections: make(map[string][]connection)}
	i.board = s.newBoard(i.name)
	i.board.SetConnected(i.connected)
	return i
}

// broadcast applies an update to the boards of all other instances after a random
// batching delay and the network delay.
func (i *instance) broadcast(apply func(to *placement.Board, now monotime.Instant)) {
	batchDelay := time.Duration(i.sim.random.Float64() * float64(i.sim.scenario.MaxUpdateDelay))
	for _, to := range i.sim.instances {
		if to != i {
			i.sim.loop.After(batchDelay+networkDelay, func() { apply(to.board, i.sim.now()) })
		}
	}
}

// maxAttempts bounds the unreachable engines that are tried for one request, which is
// refused after them. At 1, every crashed engine would cost a refusal.
const maxAttempts = 4

func allowAll(*placement.Candidate) bool { return true }

// place chooses an engine for a call and starts a run there, or refuses the call.
func (i *instance) place(c *call) {
	now := i.sim.now()
	c.work.Left = c.deadline.Sub(now)
	for range maxAttempts {
		choice, refusal := i.board.ChooseFrom(c.work, i.sim.pool, nil, allowAll, now)
		if refusal != placement.Chosen {
			c.retryOrRefuse()
			return
		}
		e := i.sim.byID[choice.Server]
		if e.down {
			delete(i.connections, e.id)
			i.board.Observe(e.id, placement.Unreachable, now)
			continue
		}
		i.send(c, e, choice)
		return
	}
	c.retryOrRefuse()
}

func (i *instance) send(c *call, e *engine, choice placement.Choice) {
	i.runCount++
	r := &run{call: c, instance: i, number: i.runCount}
	i.connect(e)
	id := placement.RunID{Instance: i.name, Number: r.number}
	work := c.work
	i.board.Begin(id, e.id, work, choice.Unread, i.sim.now())
	i.board.Watch(id, &choice, i.sim.now())
	i.broadcast(func(to *placement.Board, now monotime.Instant) { to.Begin(id, e.id, work, choice.Unread, now) })
	c.run, c.engine, c.latePause = r, e, choice.LatePause
	if !e.enqueue(r) {
		i.board.Observe(e.id, placement.Refused, i.sim.now())
		i.endRun(r)
		i.keep(e)
		c.retryOrRefuse()
	}
}

// event forwards an event of a stream to its caller and updates the boards.
func (i *instance) event(r *run, last bool) {
	now := i.sim.now()
	id := placement.RunID{Instance: i.name, Number: r.number}
	if r.call.firstAt == 0 {
		i.board.OwnFirstEvent(id, now)
		i.broadcast(func(to *placement.Board, now monotime.Instant) { to.FirstEvent(id, now) })
	}
	if sample, due := i.board.Events(id, 1, now); due {
		i.broadcast(func(to *placement.Board, now monotime.Instant) { to.RecordPace(id, sample, now) })
	}
	r.call.recordEvent(now)
	if last {
		i.board.Completed(id, now)
		i.board.Observe(r.call.engine.id, placement.Served, now)
		i.endRun(r)
		i.keep(r.call.engine)
		r.call.complete()
	}
}

// failRun fails the call of a run whose engine crashed.
func (i *instance) failRun(r *run) {
	i.board.Observe(r.call.engine.id, placement.Failed, i.sim.now())
	i.endRun(r)
	r.call.fail()
}

// endRun ends a run on the own board and, later, on those of the other instances.
func (i *instance) endRun(r *run) {
	id := placement.RunID{Instance: i.name, Number: r.number}
	sample, due := i.board.End(id, i.sim.now())
	i.broadcast(func(to *placement.Board, now monotime.Instant) {
		if due {
			to.RecordPace(id, sample, now)
		}
		to.End(id, now)
	})
}
