package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/pace"
)

// ratios returns n ratios of a log-normal distribution around 1.
func ratios(random *rand.Rand, n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = math.Exp(0.4 * random.NormFloat64())
	}
	return out
}

func learnedRatios(n int) *pauseRatios {
	p := newPauseRatios()
	for _, ratio := range ratios(rand.New(rand.NewPCG(1, 1)), n) {
		p.observe(ratio, 1, start)
	}
	return p
}

// Guards against a start whose predictions differ from those without the feature.
func TestLatePausesFollowTheOldRuleWithoutRatios(t *testing.T) {
	p := newPauseRatios()
	for gap := time.Millisecond; gap < time.Second; gap += 3 * time.Millisecond {
		for _, limit := range []time.Duration{5 * time.Millisecond, 120 * time.Millisecond, 400 * time.Millisecond} {
			if got, want := p.late(gap, limit, 0), lateGap(gap, limit); got != want {
				t.Fatalf("%v of %v: %v, want %v", gap, limit, got, want)
			}
		}
	}
}

// Guards against choices that prefer an engine for its longer pauses, and against
// probabilities out of range.
func TestLatePausesAreMonotoneAndBounded(t *testing.T) {
	for _, n := range []int{0, 1, 30, 20_000} {
		p := learnedRatios(n)
		for _, spread := range []float64{0, 0.1, 0.5, 3} {
			for _, limit := range []time.Duration{20 * time.Millisecond, 250 * time.Millisecond} {
				last := 0.0
				for gap := time.Duration(0); gap < 3*time.Second; gap += 2 * time.Millisecond {
					got := p.late(gap, limit, spread)
					if !(got >= last-1e-9 && got <= 1) {
						t.Fatalf("%d ratios, spread %v, %v of %v: %v after %v", n, spread, gap, limit, got, last)
					}
					last = got
				}
			}
		}
	}
}

// Guards against probabilities that differ from the shares that were seen, and against an
// unknown pace that does not count.
func TestLatePausesFollowTheRatios(t *testing.T) {
	p := learnedRatios(20_000)
	const limit = 250 * time.Millisecond
	for z, want := range map[float64]float64{0: 0.5, 1.2816: 0.1, 2.3263: 0.01} {
		gap := float64(limit-PauseMargin) / math.Exp(0.4*z)
		if got := p.late(time.Duration(gap), limit, 0); math.Abs(got-want) > 0.15*want {
			t.Errorf("predicted %v where %v of the streams are late", got, want)
		}
		// With the pace as uncertain as the ratios, the spread is the root of 2 times larger.
		gap = float64(limit-PauseMargin) / math.Exp(0.4*math.Sqrt2*z)
		if got := p.late(time.Duration(gap), limit, 0.4); math.Abs(got-want) > 0.2*want {
			t.Errorf("unknown pace: predicted %v where %v of the streams are late", got, want)
		}
	}
}

// Guards against counts of a faulty instance.
func TestInvalidPauseCountsAreRefused(t *testing.T) {
	p := learnedRatios(100)
	before := p.above
	for name, counts := range map[string][]int{
		"none": {}, "too few": make([]int, ratioBins-1), "too many": make([]int, ratioBins+1),
		"negative":  append(make([]int, ratioBins-1), -1),
		"too large": append(make([]int, ratioBins-1), maxExchangedCount+1),
	} {
		if p.merge("peer", counts, start) || p.above != before {
			t.Errorf("%s: taken", name)
		}
	}
}

// Guards against counts that are lost or counted twice between instances, and against
// those of instances that are gone staying for good.
func TestPauseCountsOfInstancesAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	const instances = 40
	all, merged := newPauseRatios(), newPauseRatios()
	for i := range instances {
		peer := newPauseRatios()
		for _, ratio := range ratios(random, 25) {
			all.observe(ratio, 1, start)
			peer.observe(ratio, 1, start)
		}
		for range 2 { // a message that comes twice
			if !merged.merge(fmt.Sprint("peer", i), peer.counts(start), start) {
				t.Fatal("refused")
			}
		}
	}
	same := func(when string) {
		t.Helper()
		for i := range all.above {
			if math.Abs(all.above[i]-merged.above[i]) > 1e-6 {
				t.Fatalf("%s: %v and %v", when, all.above, merged.above)
			}
		}
		if math.Abs(all.priorShare-merged.priorShare) > 1e-6 {
			t.Fatalf("%s: prior %v and %v", when, all.priorShare, merged.priorShare)
		}
	}
	same("merged")
	restarted := newPauseRatios()
	restarted.observe(4, 1, start)
	merged.merge("peer0", restarted.counts(start), start)
	same("after a restart")
	merged.update(start.Add(20 * ratioWindow))
	if len(merged.received) != 0 || merged.priorShare < 0.99 {
		t.Errorf("%d instances, prior %v long after", len(merged.received), merged.priorShare)
	}
}

// calibratedBoard returns a Board with the feature in effect that has learned its engines'
// pace.
func calibratedBoard(t *testing.T) *Board {
	t.Helper()
	b := NewBoard(testPace, "here")
	b.Seed(1)
	b.SetFeatures(Features{LargeFleet: 2, CalibratedPauses: true})
	b.SetFleetSize(2, start)
	statistics := pace.Statistics{StepSamples: minSamplesToRefuse, Sums: make([]float64, pace.StatisticsLength)}
	if !b.MergePaceStatistics("peer", "", statistics) {
		t.Fatal("refused")
	}
	return b
}

// stream plays a stream of e0, which has so many slots, beside a long prompt, with events after the given pauses.
func (b *Board) stream(number, slots int, work Work, complete bool, pauses ...time.Duration) {
	now := start.Add(time.Duration(number) * 10 * time.Millisecond)
	id, long := RunID{"me", 2 * number}, RunID{"me", 2*number + 1}
	candidates := engines(1)
	candidates[0].Slots = slots
	choice, _ := b.Choose(work, candidates, now)
	b.Begin(id, "e0", work, 0, now)
	b.Watch(id, &choice, now)
	b.Begin(long, "e0", longPrompt("chain", "own"), 5000, now)
	b.OwnFirstEvent(id, now)
	b.Events(id, 1, now)
	for _, pause := range pauses {
		now = now.Add(pause)
		b.Events(id, 1, now)
	}
	if complete {
		b.Completed(id, now)
	}
	b.End(id, now)
	b.End(long, now)
}

// Guards against ratios of streams that tell nothing about the noise of pauses.
func TestWhichStreamsGiveARatio(t *testing.T) {
	ms := time.Millisecond
	short := shortPrompt("own")
	preemptable := short
	preemptable.Priority = longPrompt("", "").Priority + 1
	noisy := []time.Duration{20 * ms, 80 * ms, 20 * ms}
	for name, c := range map[string]struct {
		prepare  func(b *Board)
		slots    int
		work     Work
		complete bool
		pauses   []time.Duration
		want     bool
	}{
		"complete":              {nil, 64, short, true, noisy, true},
		"few events":            {nil, 64, short, true, noisy[1:], false},
		"cut off":               {nil, 64, short, false, noisy, false},
		"without limit":         {nil, 64, Work{Prompt: 1400, Output: 170, Goal: time.Second}, true, noisy, false},
		"full engine, urgent":   {nil, 1, short, true, noisy, true},
		"full engine, preempts": {nil, 1, preemptable, true, noisy, false},
		"small fleet":           {func(b *Board) { b.largeUntil = 0 }, 64, short, true, noisy, false},
		"pace unknown":          {func(b *Board) { b.kinds[""].model = pace.NewModel(testPace) }, 64, short, true, noisy, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := calibratedBoard(t)
			if c.prepare != nil {
				c.prepare(b)
			}
			b.stream(1, c.slots, c.work, c.complete, c.pauses...)
			counts := b.PauseCounts(start.Add(time.Second))
			if got := counts[""] != nil; got != c.want {
				t.Errorf("counts %v", counts)
			}
		})
	}
}

// Guards against a measured calibration that does not show what happened.
func TestCalibrationComparesPredictedWithRealPauses(t *testing.T) {
	b := calibratedBoard(t)
	work := shortPrompt("own")
	onTime, late := work.MaxGap-2*PauseMargin, work.MaxGap
	for n := range 30 {
		pause := onTime
		if n%3 == 0 {
			pause = late
		}
		b.stream(n, 64, work, true, 20*time.Millisecond, pause, 20*time.Millisecond)
	}
	now := start.Add(300 * time.Millisecond)
	c := b.PauseCalibration(now)[""]
	streams, predicted, paused := c.Totals()
	if math.Abs(streams-30) > 0.5 || math.Abs(paused-10) > 0.5 || predicted <= 0 || predicted > streams {
		t.Errorf("%v of %v streams late, predicted %v", paused, streams, predicted)
	}
	if got := b.PauseCalibration(now.Add(calibrationWindow))[""]; got.Streams[0] > 0.4*streams {
		t.Errorf("a stream is not forgotten: %v", got.Streams)
	}
}

// Guards against a correction that few streams decide, and one that does not follow many.
func TestCorrectionFollowsWhatStreamsMeet(t *testing.T) {
	c := &pauseCorrection{}
	if got := (*pauseCorrection)(nil).apply(0.3); got != 0.3 {
		t.Errorf("corrected to %v without streams", got)
	}
	c.observe(0, 1, start)
	if got := c.apply(0); got > 0.2 {
		t.Errorf("one late stream corrects 0 to %v", got)
	}
	random := rand.New(rand.NewPCG(3, 3))
	for range 300 {
		predicted := 0.2 * random.Float64()
		c.observe(predicted, 0.1+predicted/2, start)
	}
	for _, predicted := range []float64{0, 0.1, 0.2} {
		if got, want := c.apply(predicted), 0.1+predicted/2; math.Abs(got-want) > 0.02 {
			t.Errorf("%v corrected to %v, want %v", predicted, got, want)
		}
	}
	for range 20_000 { // all the same: no slope can be fitted
		c.observe(0.05, 0.2, start)
	}
	for predicted, last := 0.0, 0.0; predicted <= 1; predicted += 0.01 {
		got := c.apply(predicted)
		if !(got >= last && got <= 1) {
			t.Fatalf("%v corrected to %v after %v", predicted, got, last)
		}
		last = got
	}
}

// BenchmarkChooseCalibrated is BenchmarkChoose with pauses by the learned ratios.
func BenchmarkChooseCalibrated(b *testing.B) {
	for _, n := range []int{18, 140, 600} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprint(n, "/", on), func(b *testing.B) {
				board := NewBoard(testPace, "here")
				board.SetFeatures(Features{LargeFleet: 2, CalibratedPauses: on})
				board.SetFleetSize(2, start)
				candidates := enginesWithFetch(n)
				for _, ratio := range ratios(rand.New(rand.NewPCG(1, 1)), 1000) {
					board.kindOf("").pauses.observe(ratio, 1, start)
				}
				board.Choose(shortPrompt("first"), candidates, start)
				for i := range 10 * n {
					work := longPrompt(fmt.Sprint("c", i%n), fmt.Sprint(i))
					board.Begin(RunID{"peer", i}, candidates[i%n].ID, work, 5000, start)
				}
				now := start.Add(time.Second)
				work := longPrompt("c1", "x")
				for b.Loop() {
					board.Choose(work, candidates, now)
				}
			})
		}
	}
}

// BenchmarkMergePauseCounts measures one message of counts in fleets of some sizes.
func BenchmarkMergePauseCounts(b *testing.B) {
	counts := learnedRatios(200).counts(start)
	for _, instances := range []int{8, 86, 300, 585} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			p := newPauseRatios()
			names := make([]string, instances)
			for i := range names {
				names[i] = fmt.Sprint("instance-", i)
				p.merge(names[i], counts, start)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				p.merge(names[n%instances], counts, start.Add(time.Duration(n)))
			}
		})
	}
}

// BenchmarkLatePause measures one probability.
func BenchmarkLatePause(b *testing.B) {
	for _, spread := range []float64{0, 0.2} {
		for _, n := range []int{0, 1000, 100_000} {
			p := learnedRatios(n)
			b.Run(fmt.Sprint(n, "/", spread), func(b *testing.B) {
				for b.Loop() {
					p.late(150*time.Millisecond, 250*time.Millisecond, spread)
				}
			})
		}
	}
}

// BenchmarkBeginCalibrated measures the begin and the end of a run of another instance on
// an engine with ten runs, one of them watched, with three limits of pauses in use.
func BenchmarkBeginCalibrated(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint(on), func(b *testing.B) {
			board := NewBoard(testPace, "here")
			board.SetFeatures(Features{LargeFleet: 2, CalibratedPauses: on})
			board.SetFleetSize(2, start)
			for _, ratio := range ratios(rand.New(rand.NewPCG(1, 1)), 1000) {
				board.kindOf("").pauses.observe(ratio, 1, start)
			}
			if !board.MergePaceStatistics("peer", "", pace.Statistics{StepSamples: minSamplesToRefuse, Sums: make([]float64, pace.StatisticsLength)}) {
				b.Fatal("refused")
			}
			candidates := engines(1)
			for i := range 10 {
				work := shortPrompt(fmt.Sprint(i))
				work.MaxGap += time.Duration(i%3) * 100 * time.Millisecond
				choice, _ := board.Choose(work, candidates, start)
				board.Begin(RunID{"me", i}, "e0", work, 0, start)
				if i == 0 {
					board.Watch(RunID{"me", i}, &choice, start)
				}
			}
			work := longPrompt("chain", "own")
			b.ReportAllocs()
			for b.Loop() {
				board.Begin(RunID{"peer", 1}, "e0", work, 5000, start)
				board.End(RunID{"peer", 1}, start)
			}
		})
	}
}
