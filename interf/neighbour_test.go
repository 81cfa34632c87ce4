package interf_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/interf"
)

// know restores pairs whose estimates are known well.
func know(l *interf.Learner, longRunning string, estimates ...float64) {
	var ps []interf.Pair
	for i, x := range estimates {
		ps = append(ps, interf.Pair{LongRunning: longRunning, BestEffort: fmt.Sprint(i), Interference: x, Variance: 0.02})
	}
	l.Restore(ps)
}

// A pair without measurements is estimated from the long-running images that react like its own
// to the other best-effort images.
func TestUnknownPairFollowsImagesAlike(t *testing.T) {
	var l interf.Learner
	know(&l, "cache-1", 2.1, 0.2, 1.9, 0.3, 2.0, 0.1)
	know(&l, "cache-2", 1.9, 0.3, 2.2, 0.1, 2.2, 0.2)
	know(&l, "disk", 0.2, 2.2, 0.1, 1.8, 0.2, 2.1)
	know(&l, "new", 2.0, 0.2, 2.1, 0.2)
	assert.Check(t, l.Interference("new", "4") > 1.6, "%.2f", l.Interference("new", "4"))
	assert.Check(t, l.Interference("new", "5") < 0.6, "%.2f", l.Interference("new", "5"))
	assert.Check(t, l.Bound("new", "5") < interf.PriorBound()/1.5, "%.2f", l.Bound("new", "5"))
}

// What is known of a pair goes before its neighbours, and its bound lies close to it.
func TestKnownPairGoesBeforeNeighbours(t *testing.T) {
	var l interf.Learner
	know(&l, "a", 2.0, 2.0, 2.0, 2.0)
	know(&l, "b", 2.0, 2.0, 2.0, 0.2)
	got, bound := l.Interference("b", "3"), l.Bound("b", "3")
	assert.Check(t, got < 0.35 && bound < 0.35, "%.2f, at most %.2f", got, bound)
}

// A pair of which nothing is known is bounded above its mean.
func TestUnknownPairIsBoundedWidely(t *testing.T) {
	var l interf.Learner
	assert.Check(t, l.Bound("a", "x") == interf.PriorBound())
	assert.Check(t, l.Bound("a", "x") > 1.5*l.Interference("a", "x"))
}
