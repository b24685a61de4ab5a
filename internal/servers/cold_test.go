package servers

import (
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// Guards against an older entry, received late from a peer, that makes a warm server cold
// again. A server starts cold and its next entry shows that it is warm.
func TestEntriesSetHowLongAServerIsCold(t *testing.T) {
	r := New()
	now := monotime.Instant(time.Hour)
	s := inDataCentre("a", "north")
	s.ColdLeft = 3 * time.Second
	r.Put(s, now)
	if until := r.ColdUntil("a"); until != now.Add(3*time.Second) {
		t.Errorf("cold until %v", until)
	}
	if got, _ := r.Get("a"); got.ColdLeft != 0 {
		t.Error("the entry keeps a remaining time that does not advance")
	}
	warm := inDataCentre("a", "north")
	warm.Revision = 5
	r.Put(warm, now.Add(time.Second))
	r.Put(s, now.Add(2*time.Second))
	if until := r.ColdUntil("a"); until != 0 {
		t.Errorf("cold until %v", until)
	}
}

// Guards against a rush to restarted servers when an evacuation ends. They may have
// restarted shortly before, which their entries show a heartbeat later. So servers count
// as cold, except those whose entry was written since.
func TestServersCountAsColdAfterAnEvacuationEnds(t *testing.T) {
	r := New()
	now := monotime.Instant(time.Hour)
	r.Put(inDataCentre("a", "north"), now)
	since := inDataCentre("b", "north")
	since.Revision = 9
	r.Put(since, now)
	r.Put(inDataCentre("c", "south"), now)
	lasts := func(string) time.Duration { return 3 * time.Second }
	if ids := r.AssumeCold("north", lasts, 8, now); len(ids) != 1 || ids[0] != "a" {
		t.Errorf("%v count as cold", ids)
	}
	if r.ColdUntil("a") != now.Add(3*time.Second) || r.ColdUntil("b") != 0 || r.ColdUntil("c") != 0 {
		t.Error("the wrong servers are cold")
	}
	r.AssumeCold("south", func(string) time.Duration { return 0 }, 8, now)
	if r.ColdUntil("c") != 0 {
		t.Error("a server of a service that is never cold counts as cold")
	}
}
