package press

// model is what is known of the fillers beside one lasting image: the mean of each
// one's press and the covariance of them all.
type model struct {
	at   map[string]int // place of a filler in the others
	mean []float64
	cov  [][]float64
}

// place returns the place of a filler, a new one for one not met before. It reports
// whether there is one.
func (m *model) place(filler string) (int, bool) {
	i, ok := m.at[filler]
	if ok {
		return i, true
	}
	i = len(m.mean)
	if i == mostFillers {
		return 0, false
	}
	m.at[filler] = i
	m.mean = append(m.mean, first)
	for j := range m.cov {
		m.cov[j] = append(m.cov[j], 0)
	}
	m.cov = append(m.cov, make([]float64, i+1))
	m.cov[i][i] = firstVariance
	return i, true
}

// change is by how much the share of one filler has changed.
type change struct {
	place int
	share float64
}

// rise is by how much a utilization has changed.
type rise struct {
	busy float64
	// more and before say that it was saturated after the change and before it, so
	// that it may have risen, or fallen, by more.
	more, before bool
}

// explains reports whether an expected rise is all that this one says.
func (r rise) explains(expected float64) bool {
	switch {
	case r.more && r.before:
		return true
	case r.more:
		return expected >= r.busy
	case r.before:
		return expected <= r.busy
	}
	return false
}

// learn takes a rise of the utilization that goes with changes of shares.
func (m *model) learn(loads []Load, r rise) {
	var changes []change
	for _, l := range loads {
		i, ok := m.place(l.Image)
		if !ok {
			return // it can't be explained
		}
		m.cov[i][i] += drift
		changes = append(changes, change{i, l.Share})
	}
	expected, variance := 0.0, float64(noise)
	// shared holds the covariance of each press with the expected change.
	shared := make([]float64, len(m.mean))
	for _, c := range changes {
		expected += m.mean[c.place] * c.share
		for i := range shared {
			shared[i] += m.cov[i][c.place] * c.share
		}
	}
	if r.explains(expected) {
		return
	}
	for _, c := range changes {
		variance += shared[c.place] * c.share
	}
	for i, s := range shared {
		m.mean[i] = min(max(m.mean[i]+s/variance*(r.busy-expected), -most), most)
		for j, t := range shared {
			m.cov[i][j] -= s * t / variance
		}
	}
}

// recall sets what is known of one filler.
func (m *model) recall(filler string, mean, variance float64) {
	i, ok := m.place(filler)
	if !ok {
		return
	}
	for j := range m.cov {
		m.cov[i][j], m.cov[j][i] = 0, 0
	}
	m.mean[i], m.cov[i][i] = min(max(mean, -most), most), variance
}
