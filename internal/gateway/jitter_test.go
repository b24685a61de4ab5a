package gateway

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// All 60 instances start at the same moment in front of 40 idle engines, and each
// receives a request before it has a view of any other instance. The requests must spread
// over the engines: callers wait for each other when many go to the same one.
func TestInstancesStartingTogetherSpreadRequests(t *testing.T) {
	checkThatRequestsSpread(t, func(int) *fleet {
		f, _, _ := newFleet()
		f.board.SetCostJitter(jitterOf(0, 1))
		addEngines(f, 40, 0)
		return f
	})
}

// addEngines configures a service and adds so many engines, each of which accepts maxConns
// connections; 0 for no limit.
func addEngines(f *fleet, engines, maxConns int) {
	f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{
		Name: "svc", MaxConns: maxConns, Engine: &routing.Engine{Slots: 64, MemoryTokens: 500_000, EventTokens: 4},
	}}}, fromStore)
	for n := range engines {
		put(f, fromStore, entry(fmt.Sprintf("e%02d", n), servers.Revision(n+1)))
	}
}

var somePrompt = placement.Work{Prompt: 17_000, Output: 120, Goal: 2500 * time.Millisecond, Left: 12 * time.Second}

// checkThatRequestsSpread has each of 60 instances place a request and checks that no engine
// gets more than eight.
func checkThatRequestsSpread(t *testing.T, newInstance func(n int) *fleet) {
	t.Helper()
	sent := make(map[string]int)
	for n := range 60 {
		target, refusal := newInstance(n).Place("svc", somePrompt, nil, monotime.Now())
		if refusal != placement.Chosen {
			t.Fatal(refusal)
		}
		sent[target.ID]++
	}
	for id, n := range sent {
		if n > 8 {
			t.Errorf("%d of 60 requests go to %s", n, id)
		}
	}
}

// Guards against a jitter of hundreds of instances that exceeds the cost of reading again.
func TestManyInstancesKeepPromptsWhereTheyAreCached(t *testing.T) {
	f, _, _ := newFleet()
	f.board.SetCostJitter(jitterOf(time.Minute, 585))
	f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{
		Name: "svc", Engine: &routing.Engine{Slots: 16, MemoryTokens: 500_000, EventTokens: 7},
	}}}, fromStore)
	for n := range 600 {
		put(f, fromStore, entry(fmt.Sprintf("e%03d", n), servers.Revision(n+1)))
	}
	work := placement.Work{
		Parts:  []placement.Part{{ID: "shared", Tokens: 13_300}, {ID: "own", Tokens: 3700}},
		Prompt: 17_000, Output: 120, Goal: 2500 * time.Millisecond, Left: 12 * time.Second,
	}
	sent := make(map[string]bool)
	for range 10 {
		target, refusal := f.Place("svc", work, nil, monotime.Now())
		if refusal != placement.Chosen {
			t.Fatal(refusal)
		}
		sent[target.ID] = true
		run, _ := f.Begin(target, work, monotime.Now())
		f.FirstEvent(run, monotime.Now())
		f.End(run, monotime.Now())
	}
	if len(sent) > 1 {
		t.Errorf("ten requests with the same start went to %d engines", len(sent))
	}
}

func TestPlacementJitterByAgeAndFleetSize(t *testing.T) {
	for _, c := range []struct {
		age       time.Duration
		instances float64
		want      float64
	}{{0, 1, startupJitter}, {startupTime, 1, 0}, {startupTime, instancesWithoutJitter, 0}, {startupTime, 66, 0.1}, {0, 166, 0.3}} {
		if got := placementJitter(c.age, c.instances); got != c.want {
			t.Errorf("after %v with %v instances: %v, want %v", c.age, c.instances, got, c.want)
		}
	}
}
