package gateway

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// massKill kills all instances at once, but for some survivors, and starts as many again.
type massKill struct {
	name      string
	survivors int
	down      time.Duration // from the kill to the first start
	between   time.Duration // starts
	// oldGone is when the old version's servers are replaced, from the kill on; the new
	// version's were released long before.
	oldGone time.Duration
	// newBegun is when half of the servers are replaced by those of a new version, likewise.
	newBegun time.Duration
}

// notInPlay is later than any play lasts.
const notInPlay = time.Hour

var massKills = []massKill{
	{"both versions serve", 0, 1500 * time.Millisecond, 0, notInPlay, -5 * time.Second},
	{"the old version left just before", 0, time.Second, 0, -400 * time.Millisecond, -5 * time.Second},
	{"the old version leaves meanwhile", 0, time.Second, 0, 500 * time.Millisecond, -5 * time.Second},
	{"the old version leaves just after", 0, time.Second, 0, 1200 * time.Millisecond, -5 * time.Second},
	{"the new version comes just before", 0, time.Second, 0, 500 * time.Millisecond, -300 * time.Millisecond},
	{"instances start one after the other", 0, 500 * time.Millisecond, 400 * time.Millisecond, 300 * time.Millisecond, -5 * time.Second},
	{"one survives", 1, time.Second, 200 * time.Millisecond, -400 * time.Millisecond, -5 * time.Second},
	{"half survive", cutInstances / 2, time.Second, 200 * time.Millisecond, 500 * time.Millisecond, -5 * time.Second},
}

var massKillSeeds = flag.Uint64("kill-seeds", 1, "seeds of each play in which all instances are killed")

const massKillAt = 7 * time.Second

// Guards against streams that callers take up at another version after all instances were killed.
func TestStreamsTakenUpAfterAllInstancesWereKilledHoldOneVersion(t *testing.T) {
	for _, c := range massKills {
		for seed := range *massKillSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				playVersions(t, seed, func(v *versionCluster) {
					v.at(massKillAt+c.newBegun, v.replaceHalf)
					v.at(massKillAt+c.oldGone, v.replaceOthers)
					v.at(massKillAt, func() { v.killAll(c) })
					v.streams(versionsLast)
					v.checkNoneMixed()
				})
			})
		}
	}
}

// at runs an action a time from now, unless the play is over.
func (v *versionCluster) at(after time.Duration, action func()) {
	if after > versionsLast {
		return
	}
	v.tasks.Go(func() error {
		time.Sleep(after)
		action()
		return nil
	})
}

// replaceOthers replaces the first half of the servers by ones of the other half's version.
func (v *versionCluster) replaceOthers() {
	for n := range versionServers / 2 {
		was := v.running[n].ID
		v.tellEntry(v.newIncarnation(n, "v2"))
		v.tellGone(was)
	}
}

func (v *versionCluster) killAll(c massKill) {
	for n := range cutInstances - c.survivors {
		v.kill(n)
	}
	time.Sleep(c.down)
	for range cutInstances - c.survivors {
		v.restart()
		time.Sleep(c.between)
	}
}

func (v *versionCluster) checkNoneMixed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.count
	v.t.Logf("%d begin, %d of %d taken up go on", c.begun, c.goneOn, c.resumed)
	if c.mixedAnswer+c.mixedOver > 0 || c.resumed < minResumed {
		v.t.Errorf("%d streams hold two versions in one answer, %d over tries; %d taken up", c.mixedAnswer, c.mixedOver, c.resumed)
	}
}
