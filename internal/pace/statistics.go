package pace

import "math"

// Statistics is what a process has seen of the engines of a service, in a form that
// adds up: processes that tell each other learn as fast as one that saw it all, and
// one that starts knows at once what the others do. Without that each of seven
// instances takes some 20 s of moderate load to learn how fast prompts are read.
type Statistics struct {
	// StepSamples and FirstSamples are the numbers of samples.
	StepSamples, FirstSamples int
	// Sums of the two regressions, EvidenceLength numbers in a fixed order.
	Sums []float64
}

const (
	regressionSumsLength = terms*(terms+1)/2 + terms
	// StatisticsLength is the number of Sums.
	StatisticsLength = 2 * regressionSumsLength
)

// Statistics returns what this process has seen itself.
func (m *Model) Statistics() Statistics {
	return Statistics{
		StepSamples: m.steps.own.samples, FirstSamples: m.firsts.own.samples,
		Sums: append(m.steps.own.encode(), m.firsts.own.encode()...),
	}
}

// Merge takes the evidence of another process and reports whether it can be used. A
// process that started again has seen less than what it told before; that still
// holds until it has seen more.
func (m *Model) Merge(process string, e Statistics) bool {
	if len(e.Sums) != StatisticsLength || !finite(e.Sums) {
		return false
	}
	if known := m.received[process]; known.StepSamples+known.FirstSamples >= e.StepSamples+e.FirstSamples {
		return true
	}
	m.received[process] = e
	m.steps.others, m.firsts.others = sums{}, sums{}
	for _, told := range m.received {
		steps, firsts := decodeSums(told.Sums[:regressionSumsLength]), decodeSums(told.Sums[regressionSumsLength:])
		steps.samples, firsts.samples = told.StepSamples, told.FirstSamples
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

// encode lists the upper half of xx, which is symmetric, and xy.
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
