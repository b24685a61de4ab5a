package pace

import "math"

// terms is the number of coefficients of a regression.
const terms = 3

type vector [terms]float64

// regression fits y = c·x with non-negative coefficients by least squares with
// exponentially decaying weights. The prior never loses all its weight, so a term on
// which the samples carry no information keeps it.
type regression struct {
	prior  vector
	weight vector // of the prior, by term
	own    sums
	// others are the sums of the samples of other processes.
	others sums
	fitted vector
}

// sums are the sufficient statistics of a regression. Adding those of several processes
// gives the sums of one process that took all samples.
type sums struct {
	xx [terms][terms]float64
	xy vector
	// samples is the number of samples.
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

// add adds a sample with a weight; retain is the share of their weight that older samples
// keep.
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

// predict returns the fitted value for x.
func (r *regression) predict(x vector) float64 {
	sum := 0.0
	for i := range terms {
		sum += r.fitted[i] * x[i]
	}
	return sum
}

// solve fits all terms. While one is negative, it fixes the most negative one at 0 and
// fits the others again.
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

// solveFree solves the normal equations of the terms that are not fixed at 0 by
// elimination. The prior makes them regular. It returns the prior if a result is not
// finite.
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
