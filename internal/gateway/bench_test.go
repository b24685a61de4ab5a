package gateway

import (
	"fmt"
	"testing"

	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// BenchmarkTakeRun measures what a run of another instance costs this one: its begin,
// first event and end are decoded and applied, among 106 engines with eight runs each.
func BenchmarkTakeRun(b *testing.B) {
	const engines, each = 106, 8
	f, _, _ := newFleet()
	f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 12, MemoryTokens: 467_556, EventTokens: 2}}}}, fromStore)
	f.changeServers("peer", func(r *servers.Registry, now monotime.Instant) (ids []string) {
		for n := range engines {
			s := servers.Server{ID: fmt.Sprint("i-", n), Service: "llm", Address: fmt.Sprint("10.0.0.1:", n), Slots: 12, Revision: servers.Revision(n + 1)}
			r.Put(s, now)
			ids = append(ids, s.ID)
		}
		return ids
	})
	p := linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
	begin := func(n int) wire.RelayRun {
		return wire.RelayRun{
			Number: n, Server: fmt.Sprint("i-", n%engines), Unread: 3000 + n%2000, Prompt: 17000, Output: 120, GapMS: 500, LeftMS: 12000, Priority: 2,
			Parts: []wire.RelayPart{{ID: fmt.Sprintf("%08x", n%600), Tokens: 13300}, {ID: fmt.Sprintf("%08x", 1<<20+n), Tokens: 3700}},
		}
	}
	number := 0
	take := func(news wire.RelayNews) {
		number++
		news.Origin, news.Number = "peer", number
		data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{news}})
		if err != nil {
			b.Fatal(err)
		}
		env, err := peer.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		p.Envelope("peer", env)
	}
	for n := range engines * each {
		take(wire.RelayNews{Begun: []wire.RelayRun{begin(n)}})
	}
	n := engines * each
	b.ReportAllocs()
	for b.Loop() {
		take(wire.RelayNews{Begun: []wire.RelayRun{begin(n)}})
		take(wire.RelayNews{First: []int{n}})
		take(wire.RelayNews{Ended: []int{n - engines*each}})
		n++
	}
}
