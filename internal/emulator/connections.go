package emulator

import (
	"time"

	"basilrudder/internal/monotime"
)

// connectionIdle is how long an instance keeps an unused connection.
const connectionIdle = 10 * time.Second

// connection is an idle connection to an engine.
type connection struct {
	until monotime.Instant
	// generation of the engine when the connection was used: a crash closes it.
	generation int
}

// connected reports whether the instance has an idle connection to an engine. Like the
// instance in production, it does not know whether the engine has closed it.
func (i *instance) connected(engine string) bool {
	open := i.connections[engine]
	return len(open) > 0 && i.sim.now() < open[len(open)-1].until
}

// connect takes the most recently used idle connection to an engine, or opens one.
func (i *instance) connect(e *engine) {
	open := i.connections[e.id]
	for len(open) > 0 {
		last := open[len(open)-1]
		open = open[:len(open)-1]
		if i.sim.now() < last.until && last.generation == e.generation {
			i.connections[e.id] = open
			i.sim.result.Reused++
			return
		}
	}
	delete(i.connections, e.id)
	i.sim.result.Opened++
}

// keep keeps the connection of an answered request for the next one.
func (i *instance) keep(e *engine) {
	i.connections[e.id] = append(i.connections[e.id], connection{until: i.sim.now().Add(connectionIdle), generation: e.generation})
}
