package gateway

import (
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/streams"
)

// FuzzNews checks that with any content of a peer's frame about servers, runs, caches,
// engines, crashes and configurations, the instance goes on placing requests and predicts
// no negative times.
func FuzzNews(f *testing.F) {
	for _, update := range []wire.RelayNews{
		{Servers: []wire.RelayServer{{ID: "a@7", Name: "a", Born: 7, Service: "llm", Address: "10.0.0.1:80", Slots: 4, Revision: 3}}},
		{Servers: []wire.RelayServer{{ID: "a", Gone: true, Revision: 9}, {ID: "b", Invalid: true, Slots: -1, Revision: 1}}},
		{Evacuations: []wire.RelayEvacuation{{DataCentre: "north", Active: true, Revision: 1}, {Active: true, Revision: -1}}},
		{Servers: []wire.RelayServer{{ID: "a@7", Name: "a", Born: 7, Service: "llm", Address: "10.0.0.1:80", Slots: 4, ColdMS: 1 << 60, Revision: 3}}},
		{Begun: []wire.RelayRun{{Number: 1, Server: "a", Unread: -5, Prompt: 1 << 50, Output: -1, LeftMS: -3, Priority: -7, Parts: []wire.RelayPart{{ID: "p", Tokens: -9}}}}},
		{First: []int{1, -1}, Ended: []int{1, 1 << 40}},
		{Caches: []wire.RelayCache{{Server: "a", Parts: []wire.RelayPart{{ID: "p", Tokens: 1 << 40}}}}},
		{Caches: []wire.RelayCache{{Server: "a", Slowness: -300, SlownessSpread: 1}, {Server: "b", Slowness: 1 << 40, SlownessSpread: -1}}},
		{Begun: []wire.RelayRun{{Number: 1, Server: "a@1", Prompt: 100}}, Paces: []int{1, 300, 60_000, 1, -300, 1, 2, 0, 10, 1, 301, 10, 1, 0, 0, 1, 1 << 60}, Ended: []int{1}},
		{Evidence: []wire.RelayEvidence{{Service: "llm", StepSamples: -4, FirstSamples: 1 << 40, Sums: make([]float64, 18)}}},
		{Evidence: []wire.RelayEvidence{{Service: "llm", Sums: make([]float64, 18), Gaps: append(make([]int, 23), 1<<60)}, {Service: "llm", Gaps: []int{-1}}}},
		{Crashes: []wire.RelayCrash{{Request: make([]byte, 16), Customer: "a", Server: "a", AgeMS: -1}, {Request: []byte("x")}, {Request: make([]byte, 16), AgeMS: 1 << 60}}},
		{Crashes: []wire.RelayCrash{{Request: make([]byte, 16), Parts: make([]byte, 17), Server: "a"}, {Request: make([]byte, 16), Parts: make([]byte, 32), Server: "b"}, {Parts: make([]byte, 16<<6), Server: "c"}}},
		{Falls: []wire.RelayFall{{Server: "a", Refusals: -1}, {Server: "b", Refusals: 1 << 40}, {AgeMS: -1}, {Server: "c", AgeMS: 1 << 60}}},
		{Origin: "peer", Number: -1, HeldMS: -1, SentMS: 1 << 40, Neighbours: []string{"x", "me", "peer"}, Feed: 3},
		{Origin: "peer", Number: 1 << 40, Whole: true, Feed: -7, MembersWanted: true},
		{Streams: []wire.RelayStreams{{Software: "v1", Keys: []int{1, -1, 1 << 60}}, {Software: "v2", Keys: []int{1}}}, StreamsWanted: []wire.RelayStreamQuery{{Key: -1, Service: "llm"}}},
		{Versions: []wire.RelayVersion{{Service: "llm", Software: "v1", AgeMS: -1}, {Service: "llm", AgeMS: 1 << 62}}},
		{Leaving: true, Members: []wire.RelayMember{{ID: "x"}}, Confirmed: -1, ConfigVersion: -1},
	} {
		data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{update}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := peer.Decode(data)
		if err != nil {
			return
		}
		fl, _, _ := newFleet()
		fl.board.SetFeatures(placement.Features{LargeFleet: 2, SharedServerPaces: true})
		fl.board.SetFleetSize(2, monotime.Now())
		fl.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4, MemoryTokens: 100_000}}}}, fromStore)
		put(fl, fromStore, incarnationEntry(1, 1))
		p := linkedPeers(fl, "me", wire.RelayMember{ID: "peer"})
		p.configs.receive("peer", env)
		for i := range env.News {
			p.applyRuns("peer", &env.News[i], monotime.Now())
			fl.streams.apply("peer", &env.News[i], monotime.Now())
			fl.streams.learn(env.News[i].Versions, monotime.Now())
			for _, w := range env.News[i].StreamsWanted {
				_ = fl.toldStream(streams.Key(w.Key), monotime.Now())
				_ = fl.onlyVersion(t.Context(), w.Service, monotime.Now())
			}
			_, _ = p.node.Receive("peer", &env.News[i], monotime.Now())
			p.node.Refresh(monotime.Now())
			p.node.Flush(wire.RelayNews{}, 0, true, monotime.Now())
			fl.applyEvacuations("peer", decodeEvacuations(env.News[i].Evacuations))
			p.applyServers("peer", env.News[i].Servers, env.News[i].ServerBuckets, 0)
			p.applyCaches(&env.News[i])
			p.applyPaceStats("peer", &env.News[i])
			p.applyCrashes("peer", &env.News[i], true)
			p.applyFalls("peer", env.News[i].Falls, true)
		}
		work := placement.Work{Prompt: 1000, Output: 100, Goal: time.Second, MaxGap: time.Second, Left: time.Minute}
		target, refusal := fl.Place("llm", work, nil, monotime.Now())
		if refusal != placement.Chosen {
			return
		}
		if c := target.Choice; c.First < 0 || c.Gap < 0 || c.End < 0 || c.Unread < 0 {
			t.Errorf("predicted %+v", c)
		}
	})
}
