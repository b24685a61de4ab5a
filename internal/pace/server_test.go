package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// fleet generates the samples of servers, each of which is slower than the model by a
// factor, with streams of half a second to a second.
type fleet struct {
	servers   Servers
	estimates []*ServerEstimate
	logs      []float64 // of the factors
	noise     float64   // standard deviation of samples of one second
	random    *rand.Rand
	now       monotime.Instant
}

func newServerFleet(count int, logOf func(n int) float64) *fleet {
	f := &fleet{servers: NewServers(), noise: 0.2, random: rand.New(rand.NewPCG(3, 4)), now: monotime.Instant(time.Hour)}
	for n := range count {
		f.estimates = append(f.estimates, &ServerEstimate{})
		f.logs = append(f.logs, logOf(n))
	}
	return f
}

// run has every server give a sample about every 400 ms for some time.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		for n, e := range f.estimates {
			if f.random.IntN(40) == 0 {
				f.servers.Observe(e, f.sample(n), f.now)
			}
		}
		if f.now%monotime.Instant(200*time.Millisecond) == 0 {
			f.servers.Update(f.estimates, f.now)
		}
	}
}

func (f *fleet) sample(n int) ServerSample {
	covered := 500*time.Millisecond + time.Duration(f.random.IntN(500))*time.Millisecond
	return ServerSample{LogRatio: f.logs[n] + f.noise*f.random.NormFloat64()/math.Sqrt(covered.Seconds()), Covered: covered}
}

// worst returns the largest error of the estimates relative to the median factor, as a
// factor, and the number of servers with more than limit.
func (f *fleet) worst(limit float64) (worst float64, over int) {
	for n, e := range f.estimates {
		mean, _ := f.servers.Predict(e, f.now)
		factor := math.Exp(math.Abs(mean - f.logs[n]))
		worst = max(worst, factor)
		if factor > limit {
			over++
		}
	}
	return worst, over
}

func thirdSlow(n int) float64 {
	if n%3 == 2 {
		return math.Log(2.4)
	}
	return 0
}

// Guards against estimates that do not tell slow servers from fast ones within five
// seconds, or change them all when a third of the servers is slow.
func TestSlowServersAreToldFromFastOnes(t *testing.T) {
	f := newServerFleet(140, thirdSlow)
	f.run(5 * time.Second)
	if worst, over := f.worst(1.3); over > 14 || worst > 1.7 {
		t.Errorf("%d of 140 estimates are off by more than 1.3, one by %.2f", over, worst)
	}
	if f.servers.Spread() < 0.3 {
		t.Errorf("spread %.2f", f.servers.Spread())
	}
}

// Guards against noise of samples taken for differences between servers.
func TestEqualServersCountAsEqual(t *testing.T) {
	f := newServerFleet(140, func(int) float64 { return 0.4 })
	f.run(10 * time.Second)
	if got := f.servers.Centre(); math.Abs(got-0.4) > 0.05 {
		t.Errorf("centre %.2f of servers that all take e^0.4 times as long", got)
	}
	f.logs = make([]float64, 140)
	if worst, _ := f.worst(1); worst > 1.1 {
		t.Errorf("an estimate is off by %.2f", worst)
	}
	if got := f.servers.Spread(); got > 0.15 {
		t.Errorf("spread %.2f", got)
	}
}

// Guards against forgetting too slowly: servers that become slow for some seconds must be
// told within five seconds, and must count as usual five seconds after.
func TestServersThatChangeAreFollowed(t *testing.T) {
	f := newServerFleet(140, func(int) float64 { return 0 })
	f.run(10 * time.Second)
	for _, factor := range []float64{2.4, 1} {
		for n := range f.logs {
			if n%3 == 2 {
				f.logs[n] = math.Log(factor)
			}
		}
		f.run(5 * time.Second)
		if _, over := f.worst(1.5); over > 14 {
			t.Errorf("five seconds after a third became %.1f times slower, %d of 140 estimates are off by more than 1.5", factor, over)
		}
	}
}

// Guards against one sample of a stalled stream, or of a process with a faulty clock, that
// makes a server look slow.
func TestOneWildSampleMovesAnEstimateLittle(t *testing.T) {
	f := newServerFleet(140, thirdSlow)
	f.run(10 * time.Second)
	for _, ratio := range []float64{3, -3} {
		e := *f.estimates[0]
		before, _ := f.servers.Predict(&e, f.now)
		f.servers.Observe(&e, ServerSample{LogRatio: ratio, Covered: time.Minute}, f.now)
		if after, _ := f.servers.Predict(&e, f.now); math.Abs(after-before) > math.Log(1.5) {
			t.Errorf("a sample of e^%.0f moves an estimate from %.2f to %.2f", ratio, before, after)
		}
	}
}

// Guards against certainty from streams that were all delayed by the same slow period:
// sixteen that end together must count little more than one.
func TestConcurrentStreamsCountAboutAsOne(t *testing.T) {
	f := newServerFleet(140, thirdSlow)
	f.run(10 * time.Second)
	sample := ServerSample{LogRatio: 0.5, Covered: time.Second}
	var one, many ServerEstimate
	f.servers.Observe(&one, sample, f.now)
	for range 16 {
		f.servers.Observe(&many, sample, f.now)
	}
	_, ofOne := f.servers.Predict(&one, f.now)
	if _, ofMany := f.servers.Predict(&many, f.now); ofMany < ofOne/2.1 {
		t.Errorf("variance %.4f after one stream, %.4f after sixteen", ofOne, ofMany)
	}
}

// Guards against servers without samples that count as certainly average, and against old
// samples that count forever.
func TestAServerWithoutSamplesIsUncertain(t *testing.T) {
	f := newServerFleet(140, thirdSlow)
	f.run(10 * time.Second)
	var unknown ServerEstimate
	spread := f.servers.Spread()
	if mean, variance := f.servers.Predict(&unknown, f.now); mean != 0 || math.Sqrt(variance) != spread {
		t.Errorf("mean %.2f, standard deviation %.2f of a server without samples, spread %.2f", mean, math.Sqrt(variance), spread)
	}
	old := f.now.Add(5 * reversionTime)
	if mean, variance := f.servers.Predict(f.estimates[2], old); math.Abs(mean) > 0.05 || math.Sqrt(variance) < 0.95*spread {
		t.Errorf("mean %.2f, standard deviation %.2f after %v without samples, spread %.2f", mean, math.Sqrt(variance), 5*reversionTime, spread)
	}
}

// Guards against a process that has just started and replaces what it knows by a less
// certain estimate of another one, or ignores a more certain one.
func TestTheMoreCertainEstimateIsAdopted(t *testing.T) {
	s, now := NewServers(), monotime.Instant(time.Hour)
	var e ServerEstimate
	for _, c := range []struct{ mean, spread, want float64 }{{0.9, 0.2, 0.9}, {-0.3, 0.4, 0.9}, {0.7, 0.1, 0.7}} {
		s.Adopt(&e, c.mean, c.spread, now)
		if got, _ := s.Predict(&e, now); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%.2f after an estimate of %.2f ± %.2f, expected %.2f", got, c.mean, c.spread, c.want)
		}
	}
}

func BenchmarkServerSample(b *testing.B) {
	f := newServerFleet(140, thirdSlow)
	f.run(time.Second)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		f.now = f.now.Add(3 * time.Millisecond)
		f.servers.Observe(f.estimates[n%140], ServerSample{LogRatio: 0.1, Covered: time.Second}, f.now)
	}
}
