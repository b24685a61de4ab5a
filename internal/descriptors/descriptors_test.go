package descriptors

import "testing"

// Guards against a kind that takes the descriptors that others need.
func TestEachKindGetsItsShareWhateverTheOthersUse(t *testing.T) {
	for _, limit := range []int{1024, 3075, 4100, 8192} {
		for first := range kinds {
			b := New(limit)
			for b.Take(first, 1) {
			}
			sum := b.used[first]
			for k := range kinds {
				before := b.used[k]
				for b.Take(k, 1) {
				}
				sum += b.used[k] - before
				if b.used[k] < b.guaranteed[k] {
					t.Errorf("limit %d, %v first: %d for %v, %d guaranteed", limit, first, b.used[k], k, b.guaranteed[k])
				}
			}
			if sum != b.Limit() {
				t.Errorf("limit %d: %d of %d can be used", limit, sum, b.Limit())
			}
		}
	}
}

// Guards against a budget that stays exceeded or grows by what was released.
func TestWhatIsReleasedCanBeTakenAgain(t *testing.T) {
	b := New(1000)
	free := b.Free(Servers)
	b.Set(Peers, 500)
	if b.Free(Servers) >= free || b.Take(Tunnels, b.Free(Tunnels)+1) {
		t.Errorf("%d left of %d beside 500 links", b.Free(Servers), free)
	}
	b.Set(Peers, 0)
	if b.Free(Servers) != free || !b.Take(Servers, free) || b.Take(Servers, 1) {
		t.Errorf("%d left of %d", b.Free(Servers), free)
	}
}
