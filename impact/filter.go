package impact

import (
	"math"
	"time"
)

// decay moves the distribution towards the prior by the time since the last
// ratio. Ratios out of order have no effect.
func (e *effects) decay(now time.Time) {
	age := now.Sub(e.updated)
	if age <= 0 {
		return
	}
	e.updated = now
	factor := math.Exp2(-float64(age) / float64(estimateHalfLife))
	for i := range e.mean {
		e.mean[i] *= factor
		for j := range e.mean {
			e.cov[i][j] *= factor * factor
			if i/knotCount == j/knotCount {
				e.cov[i][j] += (1 - factor*factor) * prior(i%knotCount, j%knotCount)
			}
		}
	}
}

// update applies the Kalman update for a log ratio y observed at the features x.
func (e *effects) update(x []float64, y float64) {
	px := make([]float64, len(x))
	for i := range px {
		px[i] = dot(e.cov[i], x)
	}
	modelVariance := dot(x, px)
	totalVariance := modelVariance + e.noiseVariance
	bound := clipDeviations * math.Sqrt(totalVariance)
	innovation := min(max(y-dot(x, e.mean), -bound), bound)
	for i := range e.mean {
		gain := px[i] / totalVariance
		e.mean[i] += gain * innovation
		for j := range e.mean {
			e.cov[i][j] -= gain * px[j]
		}
	}
	sample := max(innovation*innovation-modelVariance, minDeviation*minDeviation)
	e.noiseVariance += (sample - e.noiseVariance) * varianceSmoothing
}

// variance returns the variance of the mean log ratio at the features x.
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
