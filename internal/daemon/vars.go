package daemon

import "expvar"

// Names of the published metrics.
const (
	varPeer    = "peer"
	varCallers = "callers"
)

// PublishVars publishes the metrics of the daemon under /debug/vars. Names are
// unique to a process, so the program calls it once; tests that run several
// daemons in one process do not.
func (d *Daemon) PublishVars() {
	expvar.Publish(varPeer, d.links.Counters())
	expvar.Publish(varCallers, d.callers.Vars())
}
