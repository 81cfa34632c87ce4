// Package press learns how much tasks that fill a VM's spare processor time raise
// the tail latency of the lasting tasks beside them.
//
// It answers one load pattern: some pairs of images press hard on each other and
// most hardly do, nobody says which, all images are new each day, and a measurement
// shows only the sum of what is on a VM, on top of a tail that swings with its own
// load.
//
// A tail grows as that of a queue does: without bounds as the utilization nears 1.
// So what fillers add is additive in utilization, not in the tail, and is learnt
// there. The lasting tasks' own load swings slowly and by much, so the learner
// compares a measurement with the one before it: what has changed on the VM
// meanwhile explains the change of the utilization (recursive least squares, with
// the covariance of all fillers beside one lasting image; Haykin, "Adaptive Filter
// Theory", ch. 10).
//
// A filler presses by how it works at the moment. One that leaves processor time
// unused presses far less than one that takes all it is given; see [Weight].
//
// Tails are given as a part of their target.
//
// # Usage
//
//	var l press.Learner
//	l.Observe("worker-1", press.Window{
//		Number: 7,
//		Tails:  []press.Tail{{Image: "api", Busy: press.Busy(0.8), Tasks: 2}},
//		Loads:  []press.Load{{Image: "import", Share: 0.3 * press.Weight(0.9)}},
//	})
//	more := l.Press("api", "import") * 0.1 // what a tenth of a VM of imports adds
//	if press.Busy(0.6)+more > press.Busy(1) {
//		// the target would be missed
//	}
package press

import (
	"cmp"
	"math"
	"slices"
)

const (
	// idleTail is the tail of an idle task as a part of its target. Targets are
	// some five times the idle tail.
	idleTail = 0.2
	// saturated is the utilization from which on a tail says only that there is at
	// least as much.
	saturated = 0.97

	// first is the utilization that a VM full of a filler adds, of a pair that
	// nothing is known of, and firstVariance how little that says: hard pairs add
	// some 2, and most others next to nothing.
	first         = 1.0
	firstVariance = 1.5
	// most bounds an estimate against single wild measurements.
	most = 12
	// drift is what a pair's variance grows by with each measurement.
	drift = 0.001
	// noise is the variance of the change of a measured utilization between two
	// windows, by the measurement and by the lasting tasks' own load.
	noise = 0.008

	// adjacent is the largest distance of two windows that are compared: the
	// lasting tasks' own load changes more over longer ones.
	adjacent = 3
	// leastChange is the change of a filler's share that is looked at.
	leastChange = 0.003
	// mostFillers bounds the fillers that are known beside one lasting image.
	mostFillers = 64

	// useExponent says how a filler's press falls with its use of the processors.
	useExponent = 3
	// DefaultWeight is the weight of a filler whose use was not measured yet.
	DefaultWeight = 0.65
)

// Weight returns how hard a filler presses that uses a part of the processors that
// its speed gives it, in (0, 1], as a part of its press while it uses all. A use of
// zero was not measured.
func Weight(use float64) float64 {
	if use <= 0 {
		return DefaultWeight
	}
	return math.Pow(min(use, 1), useExponent)
}

// Busy returns the utilization at which a task has a tail, in [0, 1).
func Busy(tail float64) float64 {
	if tail <= idleTail {
		return 0
	}
	return 1 - idleTail/tail
}

// TailLatency is the tails of the lasting tasks of one image on a VM.
type TailLatency struct {
	Image string
	Busy  float64 // mean utilization
	Tasks int     // that it is the mean of
}

// Load is the part of a VM that tasks of one image take, in [0, 1], weighed by
// [Weight].
type Load struct {
	Image string
	Share float64
}

// Window is what was measured on a VM in one window of time.
type Window struct {
	Number uint64 // counts the VM's windows; zero if nothing was measured
	Tails  []TailLatency
	Loads  []Load
}

// share returns the part of the VM that fillers of an image take.
func (w *Window) share(filler string) float64 {
	for _, l := range w.Loads {
		if l.Image == filler {
			return l.Share
		}
	}
	return 0
}

// tail returns the tails of an image, if there were any.
func (w *Window) tail(image string) (TailLatency, bool) {
	i := slices.IndexFunc(w.Tails, func(t TailLatency) bool { return t.Image == image })
	if i < 0 {
		return TailLatency{}, false
	}
	return w.Tails[i], true
}

// Learner holds the estimates for a site. The zero value knows nothing.
type Learner struct {
	beside map[string]*model // by the lasting tasks' image
	last   map[string]Window // by VM
}

// Observe takes what was measured on a VM. A window that was taken before changes
// nothing.
func (l *Learner) Observe(vm string, w Window) {
	before := l.last[vm]
	if w.Number == 0 || w.Number == before.Number {
		return
	}
	if l.last == nil {
		l.last = map[string]Window{}
	}
	l.last[vm] = w
	if before.Number == 0 || w.Number < before.Number || w.Number-before.Number > adjacent {
		return
	}
	changes := changesOf(&before, &w)
	if len(changes) == 0 {
		return
	}
	for _, t := range w.Tails {
		b, ok := before.tail(t.Image)
		if !ok || b.Tasks != t.Tasks {
			continue
		}
		l.model(t.Image).learn(changes, rise{
			busy:   min(t.Busy, saturated) - min(b.Busy, saturated),
			more:   t.Busy > saturated,
			before: b.Busy > saturated,
		})
	}
}

// changesOf returns by how much the shares of fillers changed between two windows.
func changesOf(before, after *Window) []Load {
	var cs []Load
	add := func(image string) {
		change := after.share(image) - before.share(image)
		known := func(c Load) bool { return c.Image == image }
		if math.Abs(change) > leastChange && !slices.ContainsFunc(cs, known) {
			cs = append(cs, Load{image, change})
		}
	}
	for _, l := range after.Loads {
		add(l.Image)
	}
	for _, l := range before.Loads {
		add(l.Image)
	}
	return cs
}

func (l *Learner) model(lasting string) *model {
	if l.beside == nil {
		l.beside = map[string]*model{}
	}
	m := l.beside[lasting]
	if m == nil {
		m = &model{at: map[string]int{}}
		l.beside[lasting] = m
	}
	return m
}

// Press returns what utilization a VM full of the filler's tasks adds to a lasting
// task there while they use all the processors that they are given.
func (l *Learner) Press(lasting, filler string) float64 {
	mean, _ := l.estimate(lasting, filler)
	return min(max(mean, 0), most)
}

// estimate returns what is known of a pair, with its variance.
func (l *Learner) estimate(lasting, filler string) (mean, variance float64) {
	m := l.beside[lasting]
	if m == nil {
		return first, firstVariance
	}
	i, ok := m.at[filler]
	if !ok {
		return first, firstVariance
	}
	return m.mean[i], m.cov[i][i]
}

// Pair is what is known of one pair of images, to be kept.
type Pair struct {
	LongRunning string  `cbor:"1,keyasint"`
	BestEffort  string  `cbor:"2,keyasint"`
	Press       float64 `cbor:"3,keyasint"`
	Variance    float64 `cbor:"4,keyasint"`
}

// Snapshot returns the pairs that something was learnt of, in order.
func (l *Learner) Snapshot() []Pair {
	var ps []Pair
	for lasting, m := range l.beside {
		for filler, i := range m.at {
			if m.cov[i][i] < firstVariance/2 {
				ps = append(ps, Pair{lasting, filler, m.mean[i], m.cov[i][i]})
			}
		}
	}
	slices.SortFunc(ps, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.LongRunning, b.LongRunning), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return ps
}

// Restore takes pairs that were kept, where they are known better than here.
func (l *Learner) Restore(ps []Pair) {
	for _, p := range ps {
		if _, here := l.estimate(p.LongRunning, p.BestEffort); p.Variance > 0 && p.Variance < here {
			l.model(p.LongRunning).recall(p.BestEffort, p.Press, p.Variance)
		}
	}
}
