package interf

// model estimates the interference with one long-running image: the joint distribution
// over all best-effort images.
type model struct {
	indexes map[string]int // of best-effort images in mean and cov
	mean    []float64
	cov     [][]float64
}

// index returns the index of a best-effort image, and adds the image if it is new. It
// reports false if the model is full.
func (m *model) index(image string) (int, bool) {
	i, ok := m.indexes[image]
	if ok {
		return i, true
	}
	i = len(m.mean)
	if i == maxImages {
		return 0, false
	}
	m.indexes[image] = i
	m.mean = append(m.mean, priorMean)
	for j := range m.cov {
		m.cov[j] = append(m.cov[j], 0)
	}
	m.cov = append(m.cov, make([]float64, i+1))
	m.cov[i][i] = priorVariance
	return i, true
}

// shareChange is the change in the share of one best-effort image.
type shareChange struct {
	index int
	share float64
}

// utilizationChange is the change in measured utilization between two windows.
type utilizationChange struct {
	value float64
	// after and before report whether the utilization was saturated after and
	// before the change. If only after is set, value is a lower bound of the real
	// change; if only before is set, an upper bound.
	after, before bool
}

// isConsistentWith reports whether saturation leaves the expected change possible, so
// that the measurement is no reason to correct the estimate.
func (u utilizationChange) isConsistentWith(expected float64) bool {
	switch {
	case u.after && u.before:
		return true
	case u.after:
		return expected >= u.value
	case u.before:
		return expected <= u.value
	}
	return false
}

// learn updates the estimates with a change in utilization that accompanied changes in
// shares.
func (m *model) learn(loads []Load, change utilizationChange) {
	var changes []shareChange
	for _, l := range loads {
		i, ok := m.index(l.Image)
		if !ok {
			return // the change can't be attributed to an image that isn't tracked
		}
		m.cov[i][i] += varianceDrift
		changes = append(changes, shareChange{i, l.Share})
	}
	expected, variance := 0.0, float64(measurementVariance)
	// covariances holds the covariance of each image's interference with the
	// expected change.
	covariances := make([]float64, len(m.mean))
	for _, c := range changes {
		expected += m.mean[c.index] * c.share
		for i := range covariances {
			covariances[i] += m.cov[i][c.index] * c.share
		}
	}
	if change.isConsistentWith(expected) {
		return
	}
	for _, c := range changes {
		variance += covariances[c.index] * c.share
	}
	for i, s := range covariances {
		m.mean[i] = min(max(m.mean[i]+s/variance*(change.value-expected), -maxInterference), maxInterference)
		for j, t := range covariances {
			m.cov[i][j] -= s * t / variance
		}
	}
}

// restore sets the estimate for one best-effort image, and its covariances with the
// others to zero.
func (m *model) restore(image string, mean, variance float64) {
	i, ok := m.index(image)
	if !ok {
		return
	}
	for j := range m.cov {
		m.cov[i][j], m.cov[j][i] = 0, 0
	}
	m.mean[i], m.cov[i][i] = min(max(mean, -maxInterference), maxInterference), variance
}
