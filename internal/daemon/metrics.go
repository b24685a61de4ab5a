package daemon

import (
	"expvar"
	"sync"

	"basilrudder/internal/monotime"
)

// publishedVars holds the variables of the daemons of this process by instance id.
// expvar panics when a name is publishedVars twice, and one process may run several
// daemons, also two of one id while the older one drains. So the process
// publishes one map, and each daemon has its place there while it runs.
var publishedVars = struct {
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
	vars.Set("answers", expvar.Func(func() any { return d.answerStore.Stats() }))
	vars.Set("node", expvar.Func(func() any { return d.node.Status(monotime.Now()) }))
	vars.Set("config", expvar.Func(func() any { return d.configStatus(monotime.Now()) }))
	vars.Set("members", expvar.Func(func() any { return d.memberCounts(monotime.Now()) }))
	vars.Set("orders", expvar.Func(func() any { return d.orders.status(monotime.Now()) }))
	return vars
}

// publishVars puts the variables up and returns how to take them down.
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
