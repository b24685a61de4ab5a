package servers

import (
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// A server starts cold, and its next entry says that it is warm. An entry that was
// written before and comes later over a peer does not make it cold again.
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
		t.Error("an age is kept as if it were one")
	}
	warm := inDataCentre("a", "north")
	warm.Revision = 5
	r.Put(warm, now.Add(time.Second))
	r.Put(s, now.Add(2*time.Second))
	if until := r.ColdUntil("a"); until != 0 {
		t.Errorf("cold until %v", until)
	}
}

// An evacuation is taken back. The servers there may have been started again shortly
// before, which their entries tell a heartbeat later; so they count as cold at first,
// and those whose entries were written since say themselves what they are.
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
		t.Error("others are cold too")
	}
	r.AssumeCold("south", func(string) time.Duration { return 0 }, 8, now)
	if r.ColdUntil("c") != 0 {
		t.Error("a server of a service that is never cold counts as cold")
	}
}
