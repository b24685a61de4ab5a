package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// Guards against an instance that is cut off from a service without a line that says so.
func TestOutageOfAServiceIsLoggedOncePerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passProcessStart()
		f, _, _ := newFleet()
		core, lines := observer.New(zapcore.InfoLevel)
		f.log = zap.New(core)
		f.installConfig(config(1), fromStore)
		p := linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
		for n, id := range []string{"a", "b"} {
			put(f, fromStore, entry(id, servers.Revision(n+1)))
			f.Observe(id, placement.Unreachable, monotime.Now())
		}
		lines.TakeAll()
		f.logOutages(0, monotime.Now())
		f.logOutages(0, monotime.Now())
		time.Sleep(2 * updateTravelTime)
		p.applyRuns("peer", &wire.RelayNews{Begun: []wire.RelayRun{{Number: 1, Server: "a"}}}, monotime.Now())
		f.logOutages(0, monotime.Now())
		if diff := cmp.Diff([]string{"svc"}, f.unreachableServices()); diff != "" {
			t.Error("metrics", diff)
		}
		f.Begin(relay.Target{Server: servers.Server{ID: "a", Service: "svc"}}, placement.Work{}, monotime.Now())
		f.logOutages(0, monotime.Now())
		var got []any
		for _, line := range lines.All() {
			got = append(got, line.Message, line.ContextMap()["peers_serve"])
		}
		want := []any{"service_unreachable", false, "service_unreachable", true, "service_reachable", nil}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}
