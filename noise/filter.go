package noise

import (
	"math"
	"time"
)

// forget moves the distribution towards the prior for the time since the last
// ratio. Ratios out of order move nothing.
func (e *effects) forget(now time.Time) {
	age := now.Sub(e.at)
	if age <= 0 {
		return
	}
	e.at = now
	keep := math.Exp2(-float64(age) / float64(opinionHalfLife))
	for i := range e.mean {
		e.mean[i] *= keep
		for j := range e.mean {
			e.cov[i][j] *= keep * keep
			if i/knotCount == j/knotCount {
				e.cov[i][j] += (1 - keep*keep) * prior(i%knotCount, j%knotCount)
			}
		}
	}
}

// update takes a log ratio y at the features x into the distribution.
func (e *effects) update(x []float64, y float64) {
	px := make([]float64, len(x))
	for i := range px {
		px[i] = dot(e.cov[i], x)
	}
	explained := dot(x, px)
	total := explained + e.noise
	bound := clip * math.Sqrt(total)
	innovation := min(max(y-dot(x, e.mean), -bound), bound)
	for i := range e.mean {
		gain := px[i] / total
		e.mean[i] += gain * innovation
		for j := range e.mean {
			e.cov[i][j] -= gain * px[j]
		}
	}
	single := max(innovation*innovation-explained, leastNoise*leastNoise)
	e.noise += (single - e.noise) * noiseWeight
}

// variance returns that of the log ratio at the features.
func (e *effects) variance(x []float64) float64 {
	v := 0.0
	for i := range x {
		if x[i] != 0 {
			v += x[i] * dot(e.cov[i], x)
		}
	}
	return max(v, 0)
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
