package daemon

import (
	"expvar"
	"sync"

	"basilrudder/internal/monotime"
)

// publishedVars holds the variables of the daemons of this process by instance id. expvar
// panics if a name is published twice, and a process may run several daemons, including two
// with the same id while the older one drains. The process therefore publishes one map, and
// each daemon has an entry in it while it runs.
var publishedVars = struct {
	sync.Mutex
	vars *expvar.Map
}{vars: expvar.NewMap("basilrudder")}

// vars returns the daemon's variables, grouped by component. The accounting counters are
// those of the writer, which daemons of one process may share.
func (d *Daemon) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("accounting", d.cfg.Records.Vars())
	vars.Set("callers", d.callers.Vars())
	vars.Set("links", d.links.Counters())
	vars.Set("upstream", d.clients.Counters())
	vars.Set("answers", expvar.Func(func() any { return d.answerStore.Stats() }))
	vars.Set("node", expvar.Func(func() any { return d.node.Status(monotime.Now()) }))
	vars.Set("config", expvar.Func(func() any { return d.configStatus(monotime.Now()) }))
	vars.Set("members", expvar.Func(func() any { return d.memberCounts(monotime.Now()) }))
	vars.Set("orders", expvar.Func(func() any { return d.orders.status(monotime.Now()) }))
	return vars
}

// publishVars publishes the daemon's variables. The returned function removes them, unless
// another daemon with the same id has replaced them.
func (d *Daemon) publishVars() (withdraw func()) {
	vars := d.vars()
	publishedVars.Lock()
	defer publishedVars.Unlock()
	publishedVars.vars.Set(d.self.Instance, vars)
	return func() {
		publishedVars.Lock()
		defer publishedVars.Unlock()
		if publishedVars.vars.Get(d.self.Instance) == expvar.Var(vars) {
			publishedVars.vars.Delete(d.self.Instance)
		}
	}
}
