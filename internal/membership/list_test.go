package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/schema/platformapi"
)

func TestWrongInstanceListRemovesNoMember(t *testing.T) {
	// The platform's list is empty, names only unknown instances, lists all as leaving,
	// or goes back to an old version. Peers have better information, so no member may be
	// dropped. Unknown instances count as ones that may run elsewhere.
	w := newNetwork(t, 8)
	w.settle()
	unknownIDs := []string{"old-1", "old-2"}
	leaving := w.list(4, w.ids)
	for i := range leaving.Instances {
		leaving.Instances[i].State = platformapi.InstanceStateLeaving
	}
	lists := []platformapi.InstanceList{{Version: 2}, w.list(3, unknownIDs), w.list(1, nil)}
	for _, list := range lists {
		for _, id := range w.ids {
			w.procs[id].core.OnInstanceList(w.Now(), list)
		}
		w.always(30*time.Second, "all stay", func() bool { return w.sees(w.ids, w.ids) })
	}
	if got := w.view("dc1-000").MemberCount; got != 10 {
		t.Errorf("MemberCount = %d, want 8 members and 2 unknown instances", got)
	}
	w.procs["dc1-000"].core.OnInstanceList(w.Now(), leaving)
	if v := w.view("dc1-000"); len(v.Live) != 1 || len(v.Leaving) != 7 {
		t.Errorf("%d live, %d leaving; want 1 and 7, as members first listed live and now as leaving", len(v.Live), len(v.Leaving))
	}
}

func TestReplacedFleetConvergesWithStaleList(t *testing.T) {
	// All instances but one are replaced by others with new ids while the platform shows
	// the old list to all. The new ones find the fleet through the one that stayed, and
	// those that left are not counted.
	w := newNetwork(t, 8)
	w.settle()
	stayed := w.ids[7]
	for i, id := range slices.Clone(w.ids[:7]) {
		w.start(fmt.Sprintf("dc1-9%02d", i))
		w.Run(2 * time.Second)
		w.procs[id].core.Leave(w.Now(), &sender{w, id})
		w.Run(2 * time.Second)
		w.procs[id].core.Goodbye(w.Now(), &sender{w, id})
		w.Run(10 * time.Millisecond)
		w.kill(id)
	}
	w.settle()
	if v := w.view(stayed); len(v.Live) != 8 || v.MemberCount != 8 {
		t.Errorf("%d live, %d in all, want 8 and 8", len(v.Live), v.MemberCount)
	}
}
