package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
)

// largeFleetInstance returns one of many instances that prefer open connections, with the
// jitter of the given age of its process, and so many engines.
func largeFleetInstance(name string, age time.Duration, instances, engines int) *fleet {
	f, _, _ := newFleet()
	f.memberCount = func() int { return instances }
	f.board.SetSharing(name, f.serverPlace)
	f.board.SetFeatures(placement.Features{LargeFleet: 17, PreferOpenConnections: true})
	f.board.SetFleetSize(instances, monotime.Now())
	f.board.SetCostJitter(jitterOf(age, instances))
	addEngines(f, engines, 640)
	return f
}

// Guards against instances that have just started and, with amounts fixed by instance and
// server in place of random ones, choose the same engines: callers wait for each other.
func TestInstancesOfALargeFleetStartingTogetherSpreadRequests(t *testing.T) {
	checkThatRequestsSpread(t, func(n int) *fleet { return largeFleetInstance(fmt.Sprint("relay-", n), 0, 60, 40) })
}

// Guards against idle connections of a fleet so large that they take most of the connections
// that a server accepts.
func TestConnectionsAreKeptLongerWhereTheShareAllows(t *testing.T) {
	for _, c := range []struct {
		instances int
		want      bool
	}{{8, false}, {86, true}, {160, true}, {161, false}, {585, false}} {
		f := largeFleetInstance("relay", time.Minute, c.instances, 1)
		target, refusal := f.Place("svc", somePrompt, nil, monotime.Now())
		if refusal != placement.Chosen || target.KeepIdle != c.want {
			t.Errorf("%d instances: refusal %d, keeps idle connections: %v", c.instances, refusal, target.KeepIdle)
		}
	}
}

// Guards against choices moved by a connection that are not counted, and against a line for
// each of them.
func TestChoicesMovedByAConnectionAreCountedAndLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	f := largeFleetInstance("relay", time.Minute, 86, 40)
	f.log = zap.New(core)
	f.board.SetCostJitter(func(float64) float64 { return 0 }) // all engines have the same cost
	first, _ := f.Place("svc", somePrompt, nil, monotime.Now())
	f.board.SetConnected(func(server string) bool { return server != first.ID })
	now := monotime.Now()
	for n := range 20 {
		target, _ := f.Place("svc", somePrompt, nil, now.Add(time.Duration(n)*100*time.Millisecond))
		if target.ID == first.ID {
			t.Errorf("choice %d goes to %s without a connection", n, first.ID)
		}
	}
	logged := lines.FilterMessage("open_connection_used").Len()
	if moved := f.preference.moved.Load(); moved != 20 || logged != 2 {
		t.Errorf("%d of 20 choices counted, %d lines in 2 s", moved, logged)
	}
}
