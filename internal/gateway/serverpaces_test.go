package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// newLargeFleet returns the fleet of an instance that exchanges samples of server speed,
// with one server, linked to "peer".
func newLargeFleet() (*fleet, *peers) {
	f, _, _ := newFleet()
	f.board.SetFeatures(placement.Features{LargeFleet: 17, SharedServerPaces: true})
	f.board.SetFleetSize(17, monotime.Now())
	f.installConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4, MemoryTokens: 100_000, EventTokens: 1}}}}, fromStore)
	put(f, fromStore, incarnationEntry(1, 1))
	return f, linkedPeers(f, "me", wire.RelayMember{ID: "peer"})
}

// streamSlowly has an instance run one stream with pauses of 100 ms, many times the time
// of a step that is expected, and returns the update that it sends.
func streamSlowly(t *testing.T, f *fleet, now monotime.Instant, lasts time.Duration) wire.RelayNews {
	t.Helper()
	const pause = 100 * time.Millisecond
	run, ok := f.Begin(relay.Target{Server: servers.Server{ID: "a@1", Service: "llm"}}, placement.Work{Prompt: 100, Output: 10}, now)
	if !ok {
		t.Fatal("the request does not begin")
	}
	f.FirstEvent(run, now)
	for end := now.Add(lasts); now <= end; now = now.Add(pause) {
		f.Events(run, 1, now)
	}
	f.End(run, now)
	f.updates.mu.Lock()
	defer f.updates.mu.Unlock()
	return f.updates.pending
}

// overWire returns an update as another instance decodes it.
func overWire(t *testing.T, update wire.RelayNews) wire.RelayNews {
	t.Helper()
	data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{update}})
	if err != nil {
		t.Fatal(err)
	}
	env, err := peer.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return env.News[0]
}

// slownessOf returns the estimated slowness of the only server, relative to the model.
func slownessOf(f *fleet) (slowness float64, known bool) {
	now := monotime.Now()
	summaries := f.board.ServerPaceSummaries(now)
	for _, s := range f.board.ServerPaces(now) {
		return s.Slowness * summaries[s.Service].Median, true
	}
	return 0, false
}

// Guards against samples that are lost between instances: the begin, the samples and the
// end of a run may come in one update, and a long run gives several samples.
func TestSamplesOfServerSpeedReachOtherInstances(t *testing.T) {
	for _, c := range []struct {
		lasts   time.Duration
		samples int
	}{{1500 * time.Millisecond, 2}, {5 * time.Second, 4}, {250 * time.Millisecond, 1}, {100 * time.Millisecond, 0}} {
		from, _ := newLargeFleet()
		to, p := newLargeFleet()
		update := overWire(t, streamSlowly(t, from, monotime.Now(), c.lasts))
		if len(update.Paces) != paceNumbers*c.samples || len(update.Ended) != 1 {
			t.Fatalf("samples of a stream of %v: %v", c.lasts, update.Paces)
		}
		p.applyRuns("peer", &update, monotime.Now())
		got, known := slownessOf(to)
		if known != (c.samples > 0) {
			t.Errorf("after a stream of %v the server is known: %v", c.lasts, known)
		}
		if known && got < 1.2 {
			t.Errorf("a server that is many times slower counts as %.2f times slower", got)
		}
		if own, _ := slownessOf(from); c.samples == 1 && math.Abs(got-own) > 0.05*own {
			t.Errorf("the instance that took the sample estimates %.2f, the other %.2f", own, got)
		}
	}
}

// Guards against a damaged or hostile update that changes estimates, stops the instance or
// floods its log.
func TestInvalidSamplesOfServerSpeedAreIgnored(t *testing.T) {
	f, p := newLargeFleet()
	core, lines := observer.New(zapcore.InfoLevel)
	p.log = zap.New(core)
	now := monotime.Now()
	p.applyRuns("peer", &wire.RelayNews{Begun: []wire.RelayRun{{Number: 1, Server: "a@1", Prompt: 10}}}, now)
	for _, numbers := range [][]int{
		{1}, {1, 50}, {1, 301, 100}, {1, -301, 100}, {1, 50, 0}, {1, 50, -7}, {1, 50, 60_001}, {2, 50, 100}, {-1, 50, 100},
		{1, math.MinInt, math.MaxInt}, {2, 50, 100, 1},
	} {
		p.applyRuns("peer", &wire.RelayNews{Paces: numbers}, now)
	}
	p.applyCaches(&wire.RelayNews{Caches: []wire.RelayCache{{Server: "a@1", Slowness: 301, SlownessSpread: 5}, {Server: "a@1", Slowness: 30, SlownessSpread: -5}}})
	if got, known := slownessOf(f); known {
		t.Errorf("a server counts as %.2f times slower", got)
	}
	if n := lines.FilterMessage("server_pace_ignored").FilterField(zap.String("peer", "peer")).Len(); n != 1 {
		t.Errorf("%d lines", n)
	}
	p.applyRuns("peer", &wire.RelayNews{Paces: []int{1, 300, 60_000}}, now)
	if got, known := slownessOf(f); !known || got <= 1 {
		t.Errorf("after a valid sample: %.2f, %v", got, known)
	}
}

// Guards against an instance that starts without the estimates of the others, or that takes
// the caches of a server for reported because its speed is.
func TestANewInstanceReceivesTheSpeedOfServers(t *testing.T) {
	from, _ := newLargeFleet()
	streamSlowly(t, from, monotime.Now(), 5*time.Second)
	to, p := newLargeFleet()
	for _, update := range p.cacheUpdates(from.cacheStates()) {
		received := overWire(t, update)
		p.applyCaches(&received)
	}
	want := from.paceEstimates(monotime.Now())["a@1"]
	got := to.paceEstimates(monotime.Now())["a@1"]
	if want.SlownessSpread == 0 || math.Abs(float64(got.SlownessSpread-want.SlownessSpread)) > 5 {
		t.Errorf("estimate %+v, received %+v", want, got)
	}
	if to.board.CacheReported("a@1") {
		t.Error("the caches of a server whose speed was sent count as reported")
	}
}

// Guards against instances of an older version that drop an update for a field that they
// do not know.
func TestAnUpdateWithAnUnknownFieldIsRead(t *testing.T) {
	data, err := cbor.Marshal(map[string]any{"rn": []any{map[string]any{"e": []int{7}, "later": []int{1, 2, 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	env, err := peer.Decode(data)
	if err != nil || len(env.News) != 1 || len(env.News[0].Ended) != 1 {
		t.Errorf("%+v, %v", env, err)
	}
}

// Guards against samples that grow beyond what docs/CAPACITY.md states for each.
func TestASampleOfServerSpeedTakesEightBytes(t *testing.T) {
	size := func(samples int) int {
		update := wire.RelayNews{Origin: "peer", Number: 1, Ended: []int{50_000}}
		for n := range samples {
			update.Paces = append(update.Paces, 50_000+n, -87, 1750)
		}
		data, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{update}})
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	first, next := size(1)-size(0), (size(11)-size(1))/10
	if next > 8 || first > 12 {
		t.Errorf("the first sample of an update takes %d bytes, each other %d", first, next)
	}
}
