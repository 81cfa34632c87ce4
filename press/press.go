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
// there. Each measurement corrects a tail's own utilization and the estimates of
// the pairs that were present, most those of which least is known: a filler that
// was seen to do no harm is not blamed for another's (a Kalman filter with a
// diagonal covariance; Haykin, "Adaptive Filter Theory", ch. 14).
//
// Tails are given as a part of their target.
//
// # Usage
//
//	var l press.Learner
//	l.Observe("worker-1", "api", 1.4, []press.Load{{Image: "import", Share: 0.3}})
//	more := l.Press("api", "import") * 0.1 // what a tenth of a VM of imports adds
//	if press.Busy(0.6)+more > press.Busy(1) {
//		// the target would be missed
//	}
package press

import (
	"cmp"
	"slices"
)

const (
	// idleTail is the tail of an idle task as a part of its target. Targets are
	// some five times the idle tail.
	idleTail = 0.2

	// first is the utilization that a VM full of a filler adds, of a pair that
	// nothing is known of, and firstVariance how little that says: hard pairs add
	// more than 4, and most others next to nothing.
	first         = 2.5
	firstVariance = 4
	// most bounds an estimate against single wild measurements.
	most = 12
	// drift is what a pair's variance grows by with each measurement, since the
	// press changes within seconds.
	drift = 0.02

	// aloneFirst is a lasting task's own utilization before any was measured,
	// with its variance; aloneDrift follows the swing of its load, which takes
	// some ten seconds.
	aloneFirst    = 0.45
	aloneVariance = 0.02
	aloneDrift    = 0.003
	aloneMost     = 0.8
	// noise is the variance of a measured utilization.
	noise = 0.006
)

// Busy returns the utilization at which a task has a tail, in [0, 1).
func Busy(tail float64) float64 {
	if tail <= idleTail {
		return 0
	}
	return 1 - idleTail/tail
}

// Load is the part of a VM that tasks of one image take, in [0, 1].
type Load struct {
	Image string
	Share float64
}

// pair is a lasting task's image and a filler's.
type pair struct{ lasting, filler string }

// tail names the lasting tasks of one image on a VM.
type tail struct{ vm, image string }

// estimate is what is known of one number.
type estimate struct{ mean, variance float64 }

// correct takes a measurement that missed, in which the number has a weight.
func (e estimate) correct(miss, weight, variance, most float64) estimate {
	gain := e.variance * weight / variance
	return estimate{mean: min(max(e.mean+gain*miss, 0), most), variance: e.variance * (1 - gain*weight)}
}

// Learner holds the estimates for a site. The zero value knows nothing.
type Learner struct {
	pairs map[pair]estimate
	alone map[tail]estimate // utilizations without fillers
}

// Observe takes the worst tail of the lasting tasks of an image on a VM, and the
// fillers that ran there meanwhile.
func (l *Learner) Observe(vm, image string, worst float64, loads []Load) {
	if l.pairs == nil {
		l.pairs, l.alone = map[pair]estimate{}, map[tail]estimate{}
	}
	alone, known := l.alone[tail{vm, image}]
	if !known {
		alone = estimate{aloneFirst, aloneVariance}
	}
	alone.variance += aloneDrift
	expected, variance := alone.mean, noise+alone.variance
	present := make([]estimate, len(loads))
	for i, x := range loads {
		e := l.estimate(image, x.Image)
		e.variance += drift
		present[i] = e
		expected += e.mean * x.Share
		variance += e.variance * x.Share * x.Share
	}
	miss := Busy(worst) - min(expected, 1)
	l.alone[tail{vm, image}] = alone.correct(miss, 1, variance, aloneMost)
	for i, x := range loads {
		l.pairs[pair{image, x.Image}] = present[i].correct(miss, x.Share, variance, most)
	}
}

func (l *Learner) estimate(lasting, filler string) estimate {
	if e, ok := l.pairs[pair{lasting, filler}]; ok {
		return e
	}
	return estimate{first, firstVariance}
}

// Press returns what utilization a VM full of the filler's tasks adds to a lasting
// task there.
func (l *Learner) Press(lasting, filler string) float64 {
	return l.estimate(lasting, filler).mean
}

// Pair is what is known of one pair of images, to be kept.
type Pair struct {
	Lasting  string  `cbor:"1,keyasint"`
	Filler   string  `cbor:"2,keyasint"`
	Press    float64 `cbor:"3,keyasint"`
	Variance float64 `cbor:"4,keyasint"`
}

// Known returns the pairs that something was learnt of, in order.
func (l *Learner) Known() []Pair {
	var ps []Pair
	for p, e := range l.pairs {
		if e.variance < firstVariance/2 {
			ps = append(ps, Pair{p.lasting, p.filler, e.mean, e.variance})
		}
	}
	slices.SortFunc(ps, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Filler, b.Filler))
	})
	return ps
}

// Recall takes pairs that were kept, where they are known better than here.
func (l *Learner) Recall(ps []Pair) {
	if l.pairs == nil {
		l.pairs, l.alone = map[pair]estimate{}, map[tail]estimate{}
	}
	for _, p := range ps {
		if p.Variance > 0 && p.Variance < l.estimate(p.Lasting, p.Filler).variance {
			l.pairs[pair{p.Lasting, p.Filler}] = estimate{min(max(p.Press, 0), most), p.Variance}
		}
	}
}
