// Package interf learns the interference of best-effort tasks with the long-running
// tasks on the same VM: how much they raise the tail latency of those.
//
// It handles one load pattern: a few pairs of images interfere strongly and most
// hardly at all, nobody declares which, all images are new each day, and a
// measurement shows only the sum over all tasks on a VM, on top of a tail latency
// that varies with the long-running tasks' own load.
//
// Tail latency grows as in a queue: without bound as utilization approaches 1.
// Interference is therefore additive in utilization, not in latency, and is
// estimated as added utilization. The long-running tasks' own load varies slowly but
// widely, so the learner compares each measurement with the previous one of the VM
// and attributes the change in utilization to the change in best-effort tasks. The
// estimator is recursive least squares with the covariance of all best-effort images
// beside one long-running image (Haykin, "Adaptive Filter Theory", ch. 10).
//
// Interference depends on how a best-effort task uses its CPU at the moment. One that
// leaves CPU time unused interferes far less than one that uses all it is granted;
// see [Weight].
//
// Tail latencies are given as ratios to their target.
//
// # Usage
//
//	var l interf.Learner
//	l.Observe("worker-1", interf.Window{
//		Number: 7,
//		TailLatencies: []interf.TailLatency{
//			{Image: "api", Utilization: interf.Utilization(0.8), Tasks: 2},
//		},
//		Loads: []interf.Load{{Image: "import", Share: 0.3 * interf.Weight(0.9)}},
//	})
//	added := l.Interference("api", "import") * 0.1 // by imports on a tenth of the VM
//	if interf.Utilization(0.6)+added > interf.Utilization(1) {
//		// the target would be missed
//	}
package interf

import (
	"cmp"
	"math"
	"slices"
)

const (
	// idleTailRatio is the ratio of an idle task's tail latency to its target.
	// Targets are about five times the idle tail latency.
	idleTailRatio = 0.2
	// saturation is the utilization above which a tail latency gives only a lower
	// bound of the utilization.
	saturation = 0.97

	// priorMean and priorVariance describe a pair without measurements, as the
	// utilization added by a VM full of best-effort tasks. Strongly interfering
	// pairs add about 2, most others close to 0.
	priorMean     = 1.0
	priorVariance = 1.5
	// maxInterference limits the effect of single outliers on an estimate.
	maxInterference = 12
	// varianceDrift is added to a pair's variance with each measurement, so that
	// the estimate follows changes in the interference.
	varianceDrift = 0.001
	// measurementVariance is the variance of the change in measured utilization
	// between two windows that comes from measurement error and from the
	// long-running tasks' own load.
	measurementVariance = 0.008

	// maxWindowGap is the largest distance, in windows, of two measurements that
	// are compared. Over longer gaps the long-running tasks' own load changes too
	// much.
	maxWindowGap = 3
	// minShareChange is the change in a best-effort image's share above which it
	// is learnt from.
	minShareChange = 0.003
	// maxImages bounds the best-effort images tracked for one long-running image.
	maxImages = 64

	// weightExponent determines how interference falls with CPU utilization.
	weightExponent = 3
	// DefaultWeight is the weight of a best-effort task without a measured CPU
	// utilization.
	DefaultWeight = 0.65
)

// Weight returns the interference of a best-effort task as a fraction of what it
// would be at full CPU utilization. The argument is the part that the task uses of
// the CPU that its speed grants it, in (0, 1]; zero means not measured and gives
// [DefaultWeight].
func Weight(utilization float64) float64 {
	if utilization <= 0 {
		return DefaultWeight
	}
	return math.Pow(min(utilization, 1), weightExponent)
}

// Utilization returns the utilization of a task, in [0, 1), by the ratio of its tail
// latency to the target.
func Utilization(tailRatio float64) float64 {
	if tailRatio <= idleTailRatio {
		return 0
	}
	return 1 - idleTailRatio/tailRatio
}

// TailLatency describes the tail latencies of the long-running tasks of one image on a
// VM, converted to utilization by [Utilization].
type TailLatency struct {
	Image       string
	Utilization float64 // mean utilization
	Tasks       int     // number of tasks in the mean
}

// Load is the part of a VM's CPU, in [0, 1], granted to the best-effort tasks of one
// image, each multiplied by its [Weight].
type Load struct {
	Image string
	Share float64
}

// Window holds the measurements of a VM in one time window.
type Window struct {
	Number        uint64 // sequence number on the VM; zero if nothing was measured
	TailLatencies []TailLatency
	Loads         []Load
}

// share returns the share of best-effort tasks of an image, zero if there are none.
func (w *Window) share(image string) float64 {
	for _, l := range w.Loads {
		if l.Image == image {
			return l.Share
		}
	}
	return 0
}

// tailLatency returns the entry of an image and whether there is one.
func (w *Window) tailLatency(image string) (TailLatency, bool) {
	i := slices.IndexFunc(w.TailLatencies, func(t TailLatency) bool { return t.Image == image })
	if i < 0 {
		return TailLatency{}, false
	}
	return w.TailLatencies[i], true
}

// Learner holds the interference estimates of a site. The zero value is ready for use
// and returns the prior for every pair.
type Learner struct {
	models map[string]*model // by long-running image
	last   map[string]Window // by VM
}

// Observe updates the estimates with a measurement of a VM. A window with the same
// number as the VM's last one is ignored.
func (l *Learner) Observe(vm string, w Window) {
	before := l.last[vm]
	if w.Number == 0 || w.Number == before.Number {
		return
	}
	if l.last == nil {
		l.last = map[string]Window{}
	}
	l.last[vm] = w
	if before.Number == 0 || w.Number < before.Number || w.Number-before.Number > maxWindowGap {
		return
	}
	changes := shareChanges(&before, &w)
	if len(changes) == 0 {
		return
	}
	for _, t := range w.TailLatencies {
		b, ok := before.tailLatency(t.Image)
		if !ok || b.Tasks != t.Tasks {
			continue
		}
		l.model(t.Image).learn(changes, utilizationChange{
			value:  min(t.Utilization, saturation) - min(b.Utilization, saturation),
			after:  t.Utilization > saturation,
			before: b.Utilization > saturation,
		})
	}
}

// shareChanges returns the changes in the shares of best-effort images between two
// windows.
func shareChanges(before, after *Window) []Load {
	var cs []Load
	add := func(image string) {
		change := after.share(image) - before.share(image)
		listed := func(c Load) bool { return c.Image == image }
		if math.Abs(change) > minShareChange && !slices.ContainsFunc(cs, listed) {
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

func (l *Learner) model(longRunning string) *model {
	if l.models == nil {
		l.models = map[string]*model{}
	}
	m := l.models[longRunning]
	if m == nil {
		m = &model{indexes: map[string]int{}}
		l.models[longRunning] = m
	}
	return m
}

// Interference returns the utilization that a VM full of a best-effort image's tasks
// adds to a long-running task there, while they use all the CPU that they are granted.
func (l *Learner) Interference(longRunning, bestEffort string) float64 {
	mean, _ := l.estimate(longRunning, bestEffort)
	return min(max(mean, 0), maxInterference)
}

// estimate returns the mean and the variance for a pair, those of the prior if there
// were no measurements.
func (l *Learner) estimate(longRunning, bestEffort string) (mean, variance float64) {
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

// Pair is the estimate for one pair of images, as it is stored.
type Pair struct {
	LongRunning  string  `cbor:"1,keyasint"`
	BestEffort   string  `cbor:"2,keyasint"`
	Interference float64 `cbor:"3,keyasint"`
	Variance     float64 `cbor:"4,keyasint"`
}

// Snapshot returns the pairs whose variance is below half that of the prior, sorted by
// image.
func (l *Learner) Snapshot() []Pair {
	var ps []Pair
	for longRunning, m := range l.models {
		for bestEffort, i := range m.indexes {
			if m.cov[i][i] < priorVariance/2 {
				ps = append(ps, Pair{longRunning, bestEffort, m.mean[i], m.cov[i][i]})
			}
		}
	}
	slices.SortFunc(ps, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.LongRunning, b.LongRunning), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return ps
}

// Restore takes over stored pairs that have a smaller variance than the present
// estimate.
func (l *Learner) Restore(ps []Pair) {
	for _, p := range ps {
		if math.IsNaN(p.Interference) {
			continue
		}
		if _, current := l.estimate(p.LongRunning, p.BestEffort); p.Variance > 0 && p.Variance < current {
			l.model(p.LongRunning).restore(p.BestEffort, p.Interference, p.Variance)
		}
	}
}
