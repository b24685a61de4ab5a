package servers

import (
	"fmt"
	"testing"
	"time"
)

// registryOf returns a Registry with so many live servers.
func registryOf(servers int) *Registry {
	r := New()
	for n := range servers {
		r.Put(server(fmt.Sprint("server-", n), Revision(n+1)), at(0))
	}
	return r
}

// Guards against a periodic pass over all servers: with thousands of them it took more
// processor time than all requests.
func TestExpireWithNothingDueVisitsNoServer(t *testing.T) {
	for _, size := range []int{600, 1200} {
		r := registryOf(size)
		for n := range size / 2 {
			r.Remove(fmt.Sprint("server-", n), Revision(size+n+1), at(time.Second))
		}
		if allocations := testing.AllocsPerRun(10, func() { r.Expire(at(2 * time.Second)) }); allocations > 0 {
			t.Errorf("%d servers: %v allocations", size, allocations)
		}
	}
}

// Guards against births of names that are kept after their last tombstone, or dropped
// while a restarted server of the name is live: a late entry of the former start would
// then replace it.
func TestBirthsOfNamesOutlastTheirTombstones(t *testing.T) {
	r := New()
	put := func(name string, born int64, revision Revision, after time.Duration) {
		s := server(Incarnation(name, born), revision)
		s.Name, s.Born = name, born
		r.Put(s, at(after))
	}
	put("restarted", 1, 1, 0)
	put("restarted", 2, 2, time.Second)
	put("gone", 1, 3, 0)
	put("gone", 2, 4, time.Second)
	r.Remove("gone", 5, at(2*time.Second))
	r.Expire(at(tombstoneTTL + 1500*time.Millisecond))
	if len(r.newestBorn) != 2 || len(r.gone) != 1 {
		t.Errorf("births %v, tombstones %v", r.newestBorn, r.gone)
	}
	r.Expire(at(tombstoneTTL + 3*time.Second))
	if len(r.newestBorn) != 1 || len(r.gone) != 0 || len(r.tombstoneCount) != 0 {
		t.Errorf("births %v, tombstones %v", r.newestBorn, r.gone)
	}
	put("restarted", 1, 9, tombstoneTTL+4*time.Second)
	if got := ids(r); len(got) != 1 || got[0] != Incarnation("restarted", 2) {
		t.Errorf("live: %v", got)
	}
}

// BenchmarkExpire measures a periodic call with nothing due.
func BenchmarkExpire(b *testing.B) {
	for _, size := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := registryOf(size)
			b.ReportAllocs()
			for b.Loop() {
				r.Expire(at(time.Second))
			}
		})
	}
}
