package impact

import (
	"math"
	"time"
)

// knots are the levels between which effects are interpolated linearly.
var knots = [knotCount]float64{1, 2, 4, 8}

const (
	knotCount = 4
	lastKnot  = 8
	maxLevel  = 32 // level above which the effect no longer grows

	// Prior standard deviations of the log ratio: of the slope, for each task,
	// and of the Brownian step from one level to the next.
	priorSlope = 0.08
	priorStep  = 0.1

	// estimateHalfLife is the half-life of estimates without new ratios.
	estimateHalfLife = time.Hour

	initialDeviation  = 0.2 // standard deviation of a single log ratio
	minDeviation      = 0.03
	varianceSmoothing = 1.0 / 32
	clipDeviations    = 3.0 // in standard deviations

	// maxClasses bounds the classes tracked for one service.
	maxClasses = 24
)

// Load is a number of batch tasks of one class on a VM.
type Load struct {
	Class string
	Level int // number of tasks
	// Throttled tasks are modelled as a class of their own.
	Throttled bool
}

// Model holds the estimates for all services. The zero value is ready for use.
type Model struct {
	services map[string]*effects
}

// class identifies the tasks that share an effect.
type class struct {
	name      string
	throttled bool
}

// effects holds the estimates for one service: the joint distribution of the
// log ratios of its classes at the knots.
type effects struct {
	classes       []class
	lastSeen      []time.Time // time of the last ratio with the class
	mean          []float64
	cov           [][]float64
	noiseVariance float64 // of a single log ratio
	updated       time.Time
}

// Observe updates the model with the ratio of a service's latency on a VM with
// level tasks of the class to its latency on VMs without batch tasks. Ratios
// that aren't positive and finite are ignored.
func (m *Model) Observe(service, class string, level int, ratio float64, now time.Time) {
	m.ObserveMix(service, []Load{{Class: class, Level: level}}, ratio, now)
}

// ObserveMix is Observe for a VM where several classes run.
func (m *Model) ObserveMix(service string, loads []Load, ratio float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	if m.services == nil {
		m.services = make(map[string]*effects)
	}
	e := m.services[service]
	if e == nil {
		e = &effects{noiseVariance: initialDeviation * initialDeviation, updated: now}
		m.services[service] = e
	}
	e.decay(now)
	for _, l := range loads {
		if l.Level > 0 {
			e.add(class{l.Class, l.Throttled}, now)
		}
	}
	if x := e.features(loads); x != nil {
		e.update(x, math.Log(ratio))
	}
}

// Estimate returns the expected ratio for level tasks of the class alone, and
// its standard error. Both are those of the prior if the class was not observed.
func (m *Model) Estimate(service, class string, level int) (ratio, err float64) {
	mean, deviation := m.predict(service, []Load{{Class: class, Level: level}})
	ratio = math.Exp(mean)
	// The standard error of the logarithm, converted by the delta method.
	return ratio, ratio * deviation
}

// predict returns the mean and the standard deviation of the log ratio.
func (m *Model) predict(service string, loads []Load) (mean, deviation float64) {
	e := m.services[service]
	variance := 0.0
	var known []Load
	for _, l := range loads {
		if e == nil || e.index(class{l.Class, l.Throttled}) < 0 {
			variance += priorVariance(l.Level)
			continue
		}
		known = append(known, l)
	}
	if len(known) > 0 {
		x := e.features(known)
		mean = dot(x, e.mean)
		variance += e.variance(x)
	}
	return mean, math.Sqrt(variance)
}

func (e *effects) index(c class) int {
	for i, known := range e.classes {
		if known == c {
			return i
		}
	}
	return -1
}

// add starts tracking the class with the prior, or marks it as seen. At the
// limit it evicts the class that was seen least recently.
func (e *effects) add(c class, now time.Time) {
	if i := e.index(c); i >= 0 {
		e.lastSeen[i] = now
		return
	}
	if len(e.classes) == maxClasses {
		e.evictOldest()
	}
	e.classes = append(e.classes, c)
	e.lastSeen = append(e.lastSeen, now)
	old := len(e.mean)
	e.mean = append(e.mean, make([]float64, knotCount)...)
	for i := range e.cov {
		e.cov[i] = append(e.cov[i], make([]float64, knotCount)...)
	}
	for k := range knotCount {
		row := make([]float64, old+knotCount)
		for j := range knotCount {
			row[old+j] = prior(k, j)
		}
		e.cov = append(e.cov, row)
	}
}

func (e *effects) evictOldest() {
	oldest := 0
	for i := range e.lastSeen {
		if e.lastSeen[i].Before(e.lastSeen[oldest]) {
			oldest = i
		}
	}
	from, to := oldest*knotCount, (oldest+1)*knotCount
	e.classes = append(e.classes[:oldest], e.classes[oldest+1:]...)
	e.lastSeen = append(e.lastSeen[:oldest], e.lastSeen[oldest+1:]...)
	e.mean = append(e.mean[:from], e.mean[to:]...)
	e.cov = append(e.cov[:from], e.cov[to:]...)
	for i := range e.cov {
		e.cov[i] = append(e.cov[i][:from], e.cov[i][to:]...)
	}
}

// features returns the weights of the knots in the log ratio, or nil if no
// tracked class has tasks.
func (e *effects) features(loads []Load) []float64 {
	var x []float64
	for _, l := range loads {
		i := e.index(class{l.Class, l.Throttled})
		if i < 0 || l.Level <= 0 {
			continue
		}
		if x == nil {
			x = make([]float64, len(e.mean))
		}
		w := weights(l.Level)
		for k := range w {
			x[i*knotCount+k] += w[k]
		}
	}
	return x
}

// weights returns the weights of the knots at a level: interpolated linearly
// between knots and from zero at level 0, and proportional to the level beyond
// the last knot.
func weights(level int) (w [knotCount]float64) {
	l := float64(min(level, maxLevel))
	if l <= 0 {
		return w
	}
	if l >= lastKnot {
		w[knotCount-1] = l / lastKnot
		return w
	}
	k, below := 0, 0.0
	for knots[k] < l {
		below = knots[k]
		k++
	}
	fraction := (l - below) / (knots[k] - below)
	w[k] = fraction
	if k > 0 {
		w[k-1] = 1 - fraction
	}
	return w
}

// prior returns the prior covariance of a class's log ratios at knots i and j.
func prior(i, j int) float64 {
	return priorSlope*priorSlope*knots[i]*knots[j] + priorStep*priorStep*min(knots[i], knots[j])
}

func priorVariance(level int) float64 {
	w := weights(level)
	v := 0.0
	for i := range w {
		for j := range w {
			v += w[i] * w[j] * prior(i, j)
		}
	}
	return v
}
