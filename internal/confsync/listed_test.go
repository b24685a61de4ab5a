package confsync

import (
	"testing"
	"time"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
)

// countingEffects counts the calls of a core to the platform.
type countingEffects struct {
	watches, manifests, lists int
	last                      CallID
}

func (r *countingEffects) SendPeer(string, *wire.Envelope) {}
func (r *countingEffects) Watch(call CallID, _ uint64, _ int, _ time.Duration) {
	r.watches++
	r.last = call
}
func (r *countingEffects) FetchManifest(CallID)                   { r.manifests++ }
func (r *countingEffects) FetchChunk(CallID, string)              {}
func (r *countingEffects) FetchInstances(call CallID)             { r.lists++; r.last = call }
func (r *countingEffects) Install(uint64, []inventory.File) error { return nil }
func (r *countingEffects) Report(Event)                           {}

// Guards against a fleet that starts at once and reads the whole configuration in every
// process. Each process may call the platform for a watch and for the instance list; only
// the readers chosen from that list read the configuration, the others fetch it from
// them.
func TestAFleetThatStartsAtOnceReadsThePlatformFewTimes(t *testing.T) {
	var listed []Member
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		listed = append(listed, Member{ID: id, DataCentre: "dc"})
	}
	readers := 0
	for _, m := range listed {
		now := monotime.Instant(time.Second)
		var r countingEffects
		c := New(now, Config{Self: m.ID, DataCentre: "dc"})
		answer := &platformapi.WatchAnswer{Revision: 3, InstancesVersion: 1}
		c.Tick(now, &r)
		c.OnWatch(now, r.last, answer, nil, &r)
		if r.manifests != 0 || r.lists != 1 {
			t.Fatalf("%s: %d manifests and %d lists before the list was known", m.ID, r.manifests, r.lists)
		}
		c.SetListed(listed)
		c.OnInstances(now, r.last, 1, nil, &r)
		now = now.Add(50 * time.Millisecond)
		c.Tick(now, &r)
		if r.watches == 2 {
			c.OnWatch(now, r.last, answer, nil, &r)
		}
		readers += r.manifests
	}
	if readers != DefaultReadersPerDC {
		t.Errorf("%d of 8 read the manifest, want %d", readers, DefaultReadersPerDC)
	}
}

// Guards against an instance that never starts because the instance list cannot be read
// although the configuration can.
func TestUnavailableInstanceListDoesNotBlockStart(t *testing.T) {
	now := monotime.Instant(time.Second)
	var r countingEffects
	c := New(now, Config{Self: "a", DataCentre: "dc"})
	answer := &platformapi.WatchAnswer{Revision: 3, InstancesVersion: 1}
	c.Tick(now, &r)
	c.OnWatch(now, r.last, answer, nil, &r)
	c.OnInstances(now, r.last, 0, errTimeout, &r)
	for r.watches < 2 {
		now = now.Add(50 * time.Millisecond)
		c.Tick(now, &r)
	}
	c.OnWatch(now, r.last, answer, nil, &r)
	if r.manifests != 1 {
		t.Errorf("%d manifests read, want 1", r.manifests)
	}
}
