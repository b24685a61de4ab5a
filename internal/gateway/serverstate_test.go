package gateway

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basilrudder/internal/monotime"
	"basilrudder/internal/servers"
)

// Guards against a log that grows with the number of servers each time a process starts:
// lines of its requests are lost among them.
func TestTheFirstListOfServersIsLoggedInOneLine(t *testing.T) {
	for _, size := range []int{600, 1200} {
		f, _, _ := newFleet()
		core, logged := observer.New(zap.InfoLevel)
		f.log = zap.New(core)
		f.changeServers(fromStore, func(r *servers.Registry, now monotime.Instant) []string {
			list := make([]servers.Server, 0, size)
			for n := range size {
				list = append(list, entry(fmt.Sprint("e", n), servers.Revision(n+1)))
			}
			return r.Replace(list, nil, servers.Revision(size), now)
		})
		lines := logged.All()
		if len(lines) != 1 || lines[0].ContextMap()["servers"] != int64(size) {
			t.Errorf("%d servers: %d lines", size, len(lines))
		}
		put(f, fromStore, entry("e1", servers.Revision(size+1)))
		if got := logged.FilterMessage("server_changed").Len(); got != 1 {
			t.Errorf("%d lines for one server", got)
		}
	}
}
