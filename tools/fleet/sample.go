package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/peer"
	"basilrudder/internal/upstream"
)

// vars is what is read of /debug/vars.
type vars struct {
	Daemons map[string]struct {
		Links    peer.Snapshot                 `json:"links"`
		Upstream map[string]upstream.CallStats `json:"upstream"`
	} `json:"basilrudder"`
	Memstats struct {
		HeapAlloc, HeapInuse, StackInuse, Sys, NextGC uint64
		TotalAlloc                                    uint64
		NumGC                                         uint32
	} `json:"memstats"`
}

// reading is one daemon at one time.
type reading struct {
	vars
	usage
	links    peer.Snapshot
	upstream map[string]upstream.CallStats
	at       time.Time
}

// readAll reads every member that runs.
func (f *fleet) readAll(ctx context.Context, members []*member) (map[string]reading, error) {
	var mu sync.Mutex
	out := make(map[string]reading, len(members))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(startsAtOnce)
	for _, m := range members {
		group.Go(func() error {
			var r reading
			if err := f.get(groupCtx, m, "/debug/vars", &r.vars); err != nil {
				return err
			}
			u, err := m.proc().usage()
			r.usage = u
			r.links = r.Daemons[m.id].Links
			r.upstream = r.Daemons[m.id].Upstream
			r.at = time.Now()
			mu.Lock()
			defer mu.Unlock()
			out[m.id] = r
			return err
		})
	}
	return out, group.Wait()
}

// spread is a figure over the daemons of a fleet.
type spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	Max  float64 `json:"max"`
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	var sum float64
	for _, v := range sorted {
		sum += v
	}
	at := func(share float64) float64 { return sorted[int(share*float64(len(sorted)-1)+0.5)] }
	return spread{
		Mean: sum / float64(len(sorted)),
		Min:  sorted[0],
		P50:  at(0.5),
		P95:  at(0.95),
		Max:  sorted[len(sorted)-1],
	}
}

// window is what the daemons used between two readings, per daemon.
type window struct {
	// Seconds the window lasted.
	Seconds float64 `json:"seconds"`
	// CPU in percent of a core.
	CPU spread `json:"cpu_percent"`
	// BytesIn and BytesOut per second over the links, and both added.
	BytesIn  spread `json:"bytes_in_per_s"`
	BytesOut spread `json:"bytes_out_per_s"`
	Bytes    spread `json:"bytes_per_s"`
	// EngineBytes per second, in and out, of questions and orders to engines.
	EngineBytes spread `json:"engine_bytes_per_s"`
	// EngineKinds are means by kind of call, bytes per second in and out.
	EngineKinds map[string]float64 `json:"engine_kinds_bytes_per_s"`
	// Control is Bytes and EngineBytes added, which the budget of 6 KB/s is
	// compared with.
	Control spread `json:"control_bytes_per_s"`
	// KindsIn and KindsOut are means by kind of message, bytes per second.
	KindsIn  map[string]float64 `json:"kinds_in_bytes_per_s"`
	KindsOut map[string]float64 `json:"kinds_out_bytes_per_s"`
	// FramesOut per second.
	FramesOut spread `json:"frames_out_per_s"`
	// Links open at the end.
	Links spread `json:"links"`
	// Memory at the end, in MB (10^6 bytes). LiveHeap is half the size at which
	// the next collection starts, which with GOGC=100 is what the last one kept.
	RSS      spread `json:"rss_mb"`
	PeakRSS  spread `json:"peak_rss_mb"`
	LiveHeap spread `json:"live_heap_mb"`
	Stacks   spread `json:"stacks_mb"`
	// AllocatedMBPerS is heap allocated per second.
	AllocatedMBPerS spread `json:"allocated_mb_per_s"`
	// PlatformCallsPerS of the whole fleet.
	PlatformCallsPerS float64 `json:"platform_calls_per_s"`
	// Load of the machine over the last minute at the end of the window.
	LoadAverage float64 `json:"load_average"`
}

const megabyte = 1e6

// observe measures the members while do runs.
func (f *fleet) observe(ctx context.Context, members []*member, do func() error) (window, error) {
	before, err := f.readAll(ctx, members)
	if err != nil {
		return window{}, err
	}
	calls := f.standins.platform.Calls().Total()
	begin := time.Now()
	if err := do(); err != nil {
		return window{}, err
	}
	elapsed := time.Since(begin).Seconds()
	calls = f.standins.platform.Calls().Total() - calls
	after, err := f.readAll(ctx, members)
	if err != nil {
		return window{}, err
	}
	w := difference(before, after)
	w.Seconds = elapsed
	w.PlatformCallsPerS = float64(calls) / elapsed
	w.LoadAverage = loadAverage()
	return w, nil
}

// column collects one figure of all daemons.
type column []float64

func (c *column) add(v float64) {
	*c = append(*c, v)
}

func difference(before, after map[string]reading) window {
	var cpu, in, out, both, frames, links, rss, peak, live, stacks, allocated column
	var engines, control column
	w := window{
		KindsIn: make(map[string]float64), KindsOut: make(map[string]float64),
		EngineKinds: make(map[string]float64),
	}
	for id, b := range after {
		a := before[id]
		seconds := b.at.Sub(a.at).Seconds()
		cpu.add(100 * (b.CPU - a.CPU).Seconds() / seconds)
		bytesIn := addKinds(w.KindsIn, a.links.BytesIn, b.links.BytesIn, seconds)
		bytesOut := addKinds(w.KindsOut, a.links.BytesOut, b.links.BytesOut, seconds)
		in.add(bytesIn)
		out.add(bytesOut)
		both.add(bytesIn + bytesOut)
		engineBytes := addCalls(w.EngineKinds, a.upstream, b.upstream, seconds)
		engines.add(engineBytes)
		control.add(bytesIn + bytesOut + engineBytes)
		frames.add(float64(b.links.FramesOut-a.links.FramesOut) / seconds)
		links.add(float64(b.links.Links))
		rss.add(float64(b.RSS) / megabyte)
		peak.add(float64(b.PeakRSS) / megabyte)
		live.add(float64(b.Memstats.NextGC) / 2 / megabyte)
		stacks.add(float64(b.Memstats.StackInuse) / megabyte)
		allocated.add(float64(b.Memstats.TotalAlloc-a.Memstats.TotalAlloc) / megabyte / seconds)
	}
	for _, sums := range []map[string]float64{w.KindsIn, w.KindsOut, w.EngineKinds} {
		for kind := range sums {
			sums[kind] /= float64(len(after))
		}
	}
	w.EngineBytes, w.Control = spreadOf(engines), spreadOf(control)
	w.CPU, w.BytesIn, w.BytesOut, w.Bytes = spreadOf(cpu), spreadOf(in), spreadOf(out), spreadOf(both)
	w.FramesOut, w.Links = spreadOf(frames), spreadOf(links)
	w.RSS, w.PeakRSS, w.LiveHeap = spreadOf(rss), spreadOf(peak), spreadOf(live)
	w.Stacks, w.AllocatedMBPerS = spreadOf(stacks), spreadOf(allocated)
	return w
}

// addKinds adds the rate of each kind to sums and returns the rate of all.
func addKinds(sums map[string]float64, before, after map[string]uint64, seconds float64) float64 {
	var total float64
	for kind, n := range after {
		rate := float64(n-before[kind]) / seconds
		sums[kind] += rate
		total += rate
	}
	return total
}

// requestCalls are the kinds of calls that carry requests; all others are
// control traffic.
var requestCalls = map[string]bool{
	upstream.KindGenerate.String(): true,
	upstream.KindResume.String():   true,
	upstream.KindService.String():  true,
}

// addCalls adds the rate of each kind of control call to sums and returns the
// rate of all.
func addCalls(sums map[string]float64, before, after map[string]upstream.CallStats, seconds float64) float64 {
	var total float64
	for kind, b := range after {
		if requestCalls[kind] {
			continue
		}
		a := before[kind]
		rate := float64(b.BytesIn+b.BytesOut-a.BytesIn-a.BytesOut) / seconds
		sums[kind] += rate
		total += rate
	}
	return total
}
