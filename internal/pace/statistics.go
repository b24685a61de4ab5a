package pace

import "math"

// Statistics sums up the samples that a process took of the engines of a service.
// Statistics of several processes can be added: processes that exchange them learn as
// fast as one that took all samples, and a process that starts can use those of the
// others at once. Without the exchange each of seven instances takes some 20 s of
// moderate load to learn how fast prompts are read.
type Statistics struct {
	// StepSamples and FirstSamples are the numbers of samples of steps and of first
	// events.
	StepSamples, FirstSamples int
	// Sums of the two regressions, StatisticsLength numbers in a fixed order.
	Sums []float64
}

const (
	regressionSumsLength = terms*(terms+1)/2 + terms
	// StatisticsLength is the length of Statistics.Sums.
	StatisticsLength = 2 * regressionSumsLength
)

// Statistics returns the samples that this process took itself.
func (m *Model) Statistics() Statistics {
	return Statistics{
		StepSamples: m.steps.own.samples, FirstSamples: m.firsts.own.samples,
		Sums: append(m.steps.own.encode(), m.firsts.own.encode()...),
	}
}

// Merge applies the statistics of another process and reports whether they are valid. A
// process that restarted has taken fewer samples than it reported before; its earlier
// statistics stay in use until it has taken more.
func (m *Model) Merge(process string, e Statistics) bool {
	if len(e.Sums) != StatisticsLength || !finite(e.Sums) {
		return false
	}
	if previous := m.received[process]; previous.StepSamples+previous.FirstSamples >= e.StepSamples+e.FirstSamples {
		return true
	}
	m.received[process] = e
	m.steps.others, m.firsts.others = sums{}, sums{}
	for _, statistics := range m.received {
		steps, firsts := decodeSums(statistics.Sums[:regressionSumsLength]), decodeSums(statistics.Sums[regressionSumsLength:])
		steps.samples, firsts.samples = statistics.StepSamples, statistics.FirstSamples
		m.steps.others.plus(&steps)
		m.firsts.others.plus(&firsts)
	}
	m.steps.fadePrior()
	m.firsts.fadePrior()
	m.steps.fitted = m.steps.solve()
	m.firsts.fitted = m.firsts.solve()
	m.update()
	return true
}

// encode lists the upper triangle of xx, which is symmetric, and then xy.
func (s *sums) encode() []float64 {
	var out []float64
	for i := range terms {
		out = append(out, s.xx[i][i:]...)
	}
	return append(out, s.xy[:]...)
}

func decodeSums(in []float64) sums {
	var s sums
	for i := range terms {
		for j := i; j < terms; j++ {
			s.xx[i][j], s.xx[j][i] = in[0], in[0]
			in = in[1:]
		}
	}
	copy(s.xy[:], in)
	return s
}

func finite(numbers []float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || math.IsInf(n, 0) {
			return false
		}
	}
	return true
}
