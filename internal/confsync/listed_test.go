package confsync

import (
	"testing"
	"time"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
)

// countingEffects counts what a core asks the platform for.
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

// What the platform sees: two calls from most processes of a fleet that starts at
// once. Each asks for news and for the instance list; only those that the list
// makes readers go on to read the configuration, the others learn it from them.
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
		news := &platformapi.WatchAnswer{Revision: 3, InstancesVersion: 1}
		c.Tick(now, &r)
		c.OnWatch(now, r.last, news, nil, &r)
		if r.manifests != 0 || r.lists != 1 {
			t.Fatalf("%s: %d manifests and %d lists before the list was known", m.ID, r.manifests, r.lists)
		}
		c.SetListed(listed)
		c.OnInstances(now, r.last, 1, nil, &r)
		now = now.Add(50 * time.Millisecond)
		c.Tick(now, &r)
		if r.watches == 2 {
			c.OnWatch(now, r.last, news, nil, &r)
		}
		readers += r.manifests
	}
	if readers != DefaultReadersPerDC {
		t.Errorf("%d of 8 read the manifest, want %d", readers, DefaultReadersPerDC)
	}
}

// What operators see: the instance starts. The instance list can't be had, the
// configuration can.
func TestUnavailableInstanceListDoesNotBlockStart(t *testing.T) {
	now := monotime.Instant(time.Second)
	var r countingEffects
	c := New(now, Config{Self: "a", DataCentre: "dc"})
	news := &platformapi.WatchAnswer{Revision: 3, InstancesVersion: 1}
	c.Tick(now, &r)
	c.OnWatch(now, r.last, news, nil, &r)
	c.OnInstances(now, r.last, 0, errTimeout, &r)
	for r.watches < 2 {
		now = now.Add(50 * time.Millisecond)
		c.Tick(now, &r)
	}
	c.OnWatch(now, r.last, news, nil, &r)
	if r.manifests != 1 {
		t.Errorf("%d manifests read, want 1", r.manifests)
	}
}
