package daemon

import (
	"expvar"
	"sync"

	"basilrudder/internal/monotime"
)

// published holds the variables of the daemons of this process by instance id.
// expvar panics when a name is published twice, and one process may run several
// daemons, also two of one id while the older one drains. So the process
// publishes one map, and each daemon has its place there while it runs.
var published = struct {
	sync.Mutex
	vars *expvar.Map
}{vars: expvar.NewMap("basilrudder")}

// vars returns what the daemon measures, each part beside what it measures.
// The accounting counters are those of the writer, which daemons of one
// process may share.
func (d *Daemon) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("accounting", d.cfg.Records.Vars())
	vars.Set("callers", d.callers.Vars())
	vars.Set("links", d.links.Counters())
	vars.Set("upstream", d.clients.Counters())
	vars.Set("answers", expvar.Func(func() any { return d.store.Stats() }))
	vars.Set("node", expvar.Func(func() any { return d.node.Status(monotime.Now()) }))
	vars.Set("config", expvar.Func(func() any { return d.configStatus(monotime.Now()) }))
	vars.Set("members", expvar.Func(func() any { return d.memberCounts(monotime.Now()) }))
	vars.Set("orders", expvar.Func(func() any { return d.orders.status(monotime.Now()) }))
	return vars
}

// publish puts the variables up and returns how to take them down.
func (d *Daemon) publish() (withdraw func()) {
	vars := d.vars()
	published.Lock()
	defer published.Unlock()
	published.vars.Set(d.self.Instance, vars)
	return func() {
		published.Lock()
		defer published.Unlock()
		if published.vars.Get(d.self.Instance) == expvar.Var(vars) {
			published.vars.Delete(d.self.Instance)
		}
	}
}
