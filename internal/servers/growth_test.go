package servers

import (
	"fmt"
	"math/rand/v2"
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
			r.Remove(Name(fmt.Sprint("server-", n)), Revision(size+n+1), at(time.Second))
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
		s := server(Incarnation(Name(name), born), revision)
		s.Name, s.Born = Name(name), born
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

// Guards against passes over all servers at each change of one: while a fleet replaces
// its servers each instance applies hundreds of changes a second.
func TestOneChangeVisitsNoOtherServer(t *testing.T) {
	for _, size := range []int{600, 1200} {
		r := registryOf(size)
		changing := server("server-1", Revision(2*size))
		allocations := testing.AllocsPerRun(10, func() {
			changing.Revision++
			changing.Slots = 1 + int(changing.Revision%2)
			r.Put(changing, at(time.Second))
			r.Digest()
			r.RateLimitedCount()
		})
		if allocations > 0 {
			t.Errorf("%d servers: %v allocations", size, allocations)
		}
	}
}

// Guards against a digest that no longer is that of the servers after some changes:
// instances would ask each other for all servers again and again, or never.
func TestDigestAfterManyChangesIsThatOfTheServers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := New()
	for n := range 5000 {
		now, revision := at(time.Duration(n)*time.Millisecond), Revision(n+1)
		name := fmt.Sprint("server-", rng.IntN(20))
		s := server(Incarnation(Name(name), 1+rng.Int64N(3)), revision)
		s.Name, s.Born = Name(name), int64(s.ID[len(s.ID)-1]-'0')
		s.Draining = rng.IntN(5) == 0
		switch rng.IntN(8) {
		case 0:
			r.Remove(Name(name), revision, now)
		case 1:
			r.Invalidate(EntryRef{Name: Name(name), Revision: revision}, now)
		case 2:
			r.MarkGone(s.ID, revision, now)
		case 3:
			r.ApplyNotice(s.ID, Notice{Leaving: s.Draining, Limited: rng.IntN(2) == 0, Rate: 1}, now, now)
		case 4:
			r.StoreRecovered(now)
		case 5:
			r.Expire(now)
		default:
			r.Put(s, now)
		}
		fresh, limited := New(), 0
		for _, live := range r.List() {
			fresh.Put(live, now)
			if r.RateLimit(live.ID).Limited {
				limited++
			}
		}
		if r.Digest() != fresh.Digest() || len(r.RateLimited()) != limited {
			t.Fatalf("after %d changes: digest %x, of the servers %x; %d limited, %d of the servers", n, r.Digest(), fresh.Digest(), len(r.RateLimited()), limited)
		}
	}
}
