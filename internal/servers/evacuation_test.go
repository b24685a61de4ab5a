package servers

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/monotime"
)

func inDataCentre(id, dataCentre string) Server {
	return Server{ID: id, Name: Name(id), Service: "s", Address: "10.0.0.1:" + id, DataCentre: dataCentre, Slots: 4, Revision: 1}
}

// Guards against requests to an evacuated data centre, whose power operators may work on,
// and against servers left unused once the evacuation ends.
func TestServersOfAnEvacuatedDataCentreGetNothing(t *testing.T) {
	r := New()
	now := monotime.Instant(1)
	r.Put(inDataCentre("a", "north"), now)
	r.Put(inDataCentre("b", "south"), now)
	before := r.Digest()
	if !r.ApplyEvacuation(Evacuation{DataCentre: "north", Active: true, Revision: 5}, 0) {
		t.Error("the evacuation changed nothing")
	}
	if diff := cmp.Diff([]string{"b"}, acceptingOfS(r)); diff != "" {
		t.Error(diff)
	}
	if r.Digest() == before {
		t.Error("the digest is the same as before the evacuation")
	}
	r.Put(inDataCentre("c", "north"), now)
	if diff := cmp.Diff([]string{"b"}, acceptingOfS(r)); diff != "" {
		t.Error("a server started there accepts requests", diff)
	}
	r.ApplyEvacuation(Evacuation{DataCentre: "north", Revision: 6}, 0)
	if diff := cmp.Diff([]string{"a", "b", "c"}, acceptingOfS(r)); diff != "" {
		t.Error(diff)
	}
}

// Guards against outdated states: a peer that was cut off sends an evacuation that has
// ended since, and a slow answer of the store lacks a newer one.
func TestOldEvacuationStatesAreIgnored(t *testing.T) {
	r := New()
	r.ApplyEvacuation(Evacuation{DataCentre: "north", Active: true, Revision: 5}, 0)
	r.ApplyEvacuation(Evacuation{DataCentre: "north", Revision: 7}, 0)
	if r.ApplyEvacuation(Evacuation{DataCentre: "north", Active: true, Revision: 5}, 0) || r.Evacuated("north") {
		t.Error("an old evacuation is in force again")
	}
	r.ApplyEvacuation(Evacuation{DataCentre: "north", Active: true, Revision: 9}, 0)
	if changed := r.ReplaceEvacuations(nil, 8, 0); len(changed) != 0 || !r.Evacuated("north") {
		t.Errorf("an old list ended the evacuation: %+v", changed)
	}
	want := []Evacuation{{DataCentre: "north", Revision: 12}}
	if diff := cmp.Diff(want, r.ReplaceEvacuations(nil, 12, 0)); diff != "" {
		t.Error(diff)
	}
}

// Guards against instances that disagree after updates of three data centres in different
// orders, each received twice. All must end with the store's last state.
func TestEvacuationsConvergeInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 9))
	for range 200 {
		var changes []Evacuation
		last := make(map[string]bool)
		for revision := range Revision(12) {
			e := Evacuation{DataCentre: string(rune('a' + rng.IntN(3))), Active: rng.IntN(2) == 0, Revision: revision + 1}
			changes = append(changes, e, e)
			last[e.DataCentre] = e.Active
		}
		rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
		r := New()
		for _, e := range changes {
			r.ApplyEvacuation(e, 0)
		}
		for dataCentre, active := range last {
			if r.Evacuated(dataCentre) != active {
				t.Fatalf("%s evacuated: %v, of %+v", dataCentre, !active, changes)
			}
		}
	}
}
