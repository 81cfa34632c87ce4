package noise

import (
	"math"
	"time"
)

// knots are the levels between which effects are linear.
var knots = [knotCount]float64{1, 2, 4, 8}

const (
	knotCount = 4
	lastKnot  = 8
	highest   = 32 // level up to which the slope of the last knot goes on

	// Deviations of the log ratio before any ratio: of the part that grows in
	// proportion to the level, for each task, and of the steps from one level
	// to the next.
	priorSlope = 0.08
	priorStep  = 0.1

	// opinionHalfLife is that of what was learnt, without new ratios.
	opinionHalfLife = time.Hour

	firstNoise  = 0.2 // deviation of a single log ratio
	leastNoise  = 0.03
	noiseWeight = 1.0 / 32
	clip        = 3.0 // deviations

	// maxClasses bounds the classes kept for one service.
	maxClasses = 24
)

// Load is a number of tasks of one class on a VM.
type Load struct {
	Class string
	Level int
	// Throttled tasks have an effect of their own.
	Throttled bool
}

// Model holds what was learnt of all services. The zero value is ready for
// use.
type Model struct {
	services map[string]*effects
}

// class names one group of effects.
type class struct {
	name      string
	throttled bool
}

// effects is what was learnt of one service: the joint distribution of the log
// ratios of its classes at the knots.
type effects struct {
	classes []class
	seen    []time.Time // last ratio with the class
	mean    []float64
	cov     [][]float64
	noise   float64 // variance of a single log ratio
	at      time.Time
}

// Observe notes the ratio of a service's latency on a VM with level tasks of
// the class to its latency on quiet VMs. Ratios that aren't positive and
// finite are ignored.
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
		e = &effects{noise: firstNoise * firstNoise, at: now}
		m.services[service] = e
	}
	e.forget(now)
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
// its standard error. Both follow from the prior if nothing is known.
func (m *Model) Estimate(service, class string, level int) (ratio, err float64) {
	mean, deviation := m.predict(service, []Load{{Class: class, Level: level}})
	ratio = math.Exp(mean)
	// The error of the logarithm, carried over by the delta method.
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
	for i, have := range e.classes {
		if have == c {
			return i
		}
	}
	return -1
}

// add makes the class known. Of too many classes it drops the one that was
// last seen the longest time ago.
func (e *effects) add(c class, now time.Time) {
	if i := e.index(c); i >= 0 {
		e.seen[i] = now
		return
	}
	if len(e.classes) == maxClasses {
		e.drop()
	}
	e.classes = append(e.classes, c)
	e.seen = append(e.seen, now)
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

func (e *effects) drop() {
	first := 0
	for i := range e.seen {
		if e.seen[i].Before(e.seen[first]) {
			first = i
		}
	}
	from, to := first*knotCount, (first+1)*knotCount
	e.classes = append(e.classes[:first], e.classes[first+1:]...)
	e.seen = append(e.seen[:first], e.seen[first+1:]...)
	e.mean = append(e.mean[:from], e.mean[to:]...)
	e.cov = append(e.cov[:from], e.cov[to:]...)
	for i := range e.cov {
		e.cov[i] = append(e.cov[i][:from], e.cov[i][to:]...)
	}
}

// features returns the weights of the knots in the log ratio, or nil if no
// known class has tasks.
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

// weights returns the weights of the knots at a level: linear between knots
// and from none at level 0, and in proportion to the level beyond the last.
func weights(level int) (w [knotCount]float64) {
	l := float64(min(level, highest))
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
	part := (l - below) / (knots[k] - below)
	w[k] = part
	if k > 0 {
		w[k-1] = 1 - part
	}
	return w
}

// prior returns the covariance of the log ratios at two knots of a class.
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
