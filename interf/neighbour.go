package interf

import "math"

const (
	// knownVariance is the variance below which a pair counts as measured.
	knownVariance = priorVariance / 2
	// alikeDeviation is the difference, in the estimates of two long-running images beside the
	// same best-effort image, up to which they count as alike.
	alikeDeviation = 0.5
	// commonWeight is the number of best-effort images measured beside both of two long-running
	// images at which half of their likeness is believed.
	commonWeight = 2
	// priorWeight is the weight of the prior among neighbours, whose likeness is up to 1.
	priorWeight = 0.3
	// neighbourVariance is the variance of the difference between two neighbours that are alike.
	neighbourVariance = 0.15
)

// estimate returns the mean and the variance for a pair: those of its own measurements, with what
// is known of neighbours in the place of the prior.
func (l *Learner) estimate(longRunning, bestEffort string) (mean, variance float64) {
	mean, variance = l.predict(longRunning, bestEffort)
	m, v := l.measured(longRunning, bestEffort)
	own := 1/v - 1/priorVariance // the precision that the measurements have added
	if own <= 0 {
		return mean, variance
	}
	precision := 1/variance + own
	return (mean/variance + m/v - priorMean/priorVariance) / precision, 1 / precision
}

// measured returns the mean and the variance for a pair by its own measurements, those of the
// prior if there were none.
func (l *Learner) measured(longRunning, bestEffort string) (mean, variance float64) {
	m := l.models[longRunning]
	if m == nil {
		return priorMean, priorVariance
	}
	i, ok := m.indexes[bestEffort]
	if !ok {
		return priorMean, priorVariance
	}
	return m.mean[i], m.cov[i][i]
}

// predict returns the mean and the variance for a pair by the measurements of the same best-effort
// image beside other long-running images, weighted by how alike they are to this one.
func (l *Learner) predict(longRunning, bestEffort string) (mean, variance float64) {
	own := l.models[longRunning]
	if own == nil {
		return priorMean, priorVariance
	}
	weight, sum, squares := priorWeight, priorWeight*priorMean, 0.0
	for _, name := range l.names {
		other := l.models[name]
		i, ok := other.indexes[bestEffort]
		if name == longRunning || !ok || other.cov[i][i] >= knownVariance {
			continue
		}
		w := own.likeness(other, bestEffort)
		weight += w
		sum += w * other.mean[i]
		squares += w * (other.mean[i]*other.mean[i] + other.cov[i][i] + neighbourVariance)
	}
	mean = sum / weight
	spread := (squares + priorWeight*priorMean*priorMean) / weight
	return mean, max(spread-mean*mean, 0) + priorWeight/weight*priorVariance
}

// likeness returns how alike two long-running images are, in [0, 1), by the best-effort images
// that were measured beside both, except for one.
func (m *model) likeness(o *model, except string) float64 {
	common, squares := 0.0, 0.0
	for i, image := range m.images {
		j, ok := o.indexes[image]
		if !ok || image == except || m.cov[i][i] >= knownVariance || o.cov[j][j] >= knownVariance {
			continue
		}
		d := m.mean[i] - o.mean[j]
		common++
		squares += d * d
	}
	if common == 0 {
		return 0
	}
	return common / (common + commonWeight) * math.Exp(-squares/common/(2*alikeDeviation*alikeDeviation))
}
