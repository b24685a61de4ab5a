package pace

import "math"

// terms is the number of coefficients of a regression.
const terms = 3

type vector [terms]float64

// regression fits y = c·x with coefficients that are not negative, by least
// squares in which old samples count less and less. The prior is never forgotten
// wholly, so that a term of which samples say nothing keeps it.
type regression struct {
	prior  vector
	weight vector // of the prior, for each term
	own    sums
	// others are the sums of samples that other processes took.
	others sums
	fitted vector
}

// sums are all that a regression keeps of samples. Those of several processes add up
// to what one would have that had taken all of the samples.
type sums struct {
	xx [terms][terms]float64
	xy vector
	// samples is the number of those taken.
	samples int
}

func (s *sums) plus(o *sums) {
	for i := range terms {
		for j := range terms {
			s.xx[i][j] += o.xx[i][j]
		}
		s.xy[i] += o.xy[i]
	}
	s.samples += o.samples
}

func newRegression(prior, weight vector) regression {
	return regression{prior: prior, weight: weight, fitted: prior}
}

// add takes a sample with a weight; keep is the share of what came before that
// still counts.
func (r *regression) add(x vector, y, weight, retain float64) {
	for i := range terms {
		for j := range terms {
			r.own.xx[i][j] = retain*r.own.xx[i][j] + weight*x[i]*x[j]
		}
		r.own.xy[i] = retain*r.own.xy[i] + weight*x[i]*y
	}
	r.own.samples++
	r.fitted = r.solve()
}

// predict is the fitted value for x.
func (r *regression) predict(x vector) float64 {
	sum := 0.0
	for i := range terms {
		sum += r.fitted[i] * x[i]
	}
	return sum
}

// solve fits all terms; the most negative one is then fixed at 0 and the rest
// fitted again, until none is negative.
func (r *regression) solve() vector {
	var fixed [terms]bool
	for range terms {
		c := r.solveFree(fixed)
		lowest := 0
		for i := range terms {
			if c[i] < c[lowest] {
				lowest = i
			}
		}
		if c[lowest] >= 0 {
			return c
		}
		fixed[lowest] = true
	}
	return vector{}
}

// solveFree solves the normal equations of the terms that are not fixed at 0, by
// elimination. The prior makes them regular.
func (r *regression) solveFree(fixed [terms]bool) vector {
	total := r.own
	total.plus(&r.others)
	a, b := total.xx, total.xy
	for i := range terms {
		a[i][i] += r.weight[i]
		b[i] += r.weight[i] * r.prior[i]
	}
	for i := range terms {
		if !fixed[i] {
			continue
		}
		for j := range terms {
			a[i][j], a[j][i] = 0, 0
		}
		a[i][i], b[i] = 1, 0
	}
	for i := range terms {
		for j := i + 1; j < terms; j++ {
			factor := a[j][i] / a[i][i]
			for k := i; k < terms; k++ {
				a[j][k] -= factor * a[i][k]
			}
			b[j] -= factor * b[i]
		}
	}
	var c vector
	for i := terms - 1; i >= 0; i-- {
		c[i] = b[i]
		for k := i + 1; k < terms; k++ {
			c[i] -= a[i][k] * c[k]
		}
		c[i] /= a[i][i]
		if math.IsNaN(c[i]) || math.IsInf(c[i], 0) {
			return r.prior
		}
	}
	return c
}
