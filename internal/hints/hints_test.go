package hints

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

const tick = 50 * time.Millisecond

func engineIDs(count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("s/e%02d", i))
	}
	return ids
}

func TestEachEngineIsAskedOncePerInterval(t *testing.T) {
	s := NewSchedule(LoadEvery, 1)
	ids := engineIDs(20)
	asked := make(map[string]int)
	maxDue := 0
	for now := monotime.Instant(0); now < monotime.Instant(10*time.Minute); now = now.Add(tick) {
		due := s.Due(now, ids, len(ids), nil)
		maxDue = max(maxDue, len(due))
		for _, id := range due {
			asked[id]++
			s.Done(now, id, true)
		}
	}
	for _, id := range ids {
		if asked[id] < 110 || asked[id] > 130 {
			t.Errorf("%s was polled %d times in 120 intervals", id, asked[id])
		}
	}
	if maxDue > 5 {
		t.Errorf("%d engines were polled in one tick", maxDue)
	}
}

// The servers behind one switch stop responding, so each poll of them hangs until its
// timeout. They must not occupy all connections of the instance, nor be polled as often
// as the others.
func TestUnresponsiveEnginesAreAskedSeldomAndFewAtOnce(t *testing.T) {
	s := NewSchedule(CacheEvery, 1)
	ids := engineIDs(30)
	const limit, timeout = 4, time.Second
	hanging := make(map[string]monotime.Instant)
	asked, maxInFlight := 0, 0
	for now := monotime.Instant(0); now < monotime.Instant(10*time.Minute); now = now.Add(tick) {
		for _, id := range ids {
			if since, ok := hanging[id]; ok && now.Sub(since) >= timeout {
				delete(hanging, id)
				s.Done(now, id, false)
			}
		}
		for _, id := range s.Due(now, ids, limit, nil) {
			hanging[id] = now
			asked++
		}
		maxInFlight = max(maxInFlight, len(hanging))
	}
	if maxInFlight > limit {
		t.Errorf("%d calls at once, want at most %d", maxInFlight, limit)
	}
	if perEngine := asked / len(ids); perEngine > 20 {
		t.Errorf("an unresponsive engine was polled %d times in ten minutes", perEngine)
	}
}

func TestEnginesNoLongerListedAreForgotten(t *testing.T) {
	s := NewSchedule(time.Second, 1)
	ids := engineIDs(3)
	asked := s.Due(0, ids, 10, nil)
	late := monotime.Instant(time.Minute)
	asked = append(asked, s.Due(late, ids, 10, nil)...)
	if len(asked) != 3 {
		t.Fatalf("polled %v", asked)
	}
	if due := s.Due(late, ids[:1], 10, nil); len(due) != 0 {
		t.Errorf("polled again: %v", due)
	}
	s.Done(late, ids[2], true)
	if len(s.engines) != 1 {
		t.Errorf("%d engines are scheduled, want 1", len(s.engines))
	}
}
