package interf_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/interf"
)

// simulate runs VMs with two long-running images and 9 best-effort images for a number
// of windows. Pairs for which interferes returns true add utilization, on top of the
// long-running tasks' own varying load. Best-effort tasks start, end, and change their
// CPU utilization every few windows.
func simulate(t *testing.T, l *interf.Learner, windows int, interferes func(longRunning string, bestEffort int) bool) {
	t.Helper()
	const vms, images, added = 11, 9, 2.0
	r := rand.New(rand.NewPCG(1, 2))
	type task struct {
		image      int
		share, use float64
	}
	running := make([][]task, vms)
	for window := 1; window <= windows; window++ {
		for vm := range vms {
			if r.IntN(2) == 0 || len(running[vm]) == 0 {
				running[vm] = append(running[vm], task{r.IntN(images), 0.05 + 0.1*r.Float64(), 1})
			}
			if len(running[vm]) > 3 {
				running[vm] = running[vm][1:]
			}
			for i := range running[vm] {
				if r.IntN(4) == 0 {
					running[vm][i].use = 1.68 - running[vm][i].use // alternates between 1 and 0.68
				}
			}
			w := interf.Window{Number: uint64(window)}
			for _, x := range running[vm] {
				w.Loads = addShare(w.Loads, fmt.Sprint(x.image), x.share*interf.Weight(x.use))
			}
			for _, longRunning := range []string{"a", "b"} {
				busy := 0.45 + 0.2*math.Sin(float64(window)/6+float64(vm)) + 0.04*r.NormFloat64()
				for _, x := range running[vm] {
					if interferes(longRunning, x.image) {
						busy += added * x.share * interf.Weight(x.use)
					}
				}
				w.TailLatencies = append(w.TailLatencies, interf.TailLatency{Image: longRunning, Utilization: min(max(busy, 0), 0.99), Tasks: 1})
			}
			l.Observe(fmt.Sprint(vm), w)
		}
	}
}

func addShare(ls []interf.Load, image string, share float64) []interf.Load {
	for i := range ls {
		if ls[i].Image == image {
			ls[i].Share += share
			return ls
		}
	}
	return append(ls, interf.Load{Image: image, Share: share})
}

// Interfering pairs are identified within 30 windows, that is 15 s.
func TestSeparatesInterferingPairs(t *testing.T) {
	interferes := func(longRunning string, bestEffort int) bool { return longRunning == "a" && bestEffort < 4 }
	var l interf.Learner
	simulate(t, &l, 30, interferes)
	for _, longRunning := range []string{"a", "b"} {
		for i := range 9 {
			p := l.Interference(longRunning, fmt.Sprint(i))
			assert.Check(t, (p > 1) == interferes(longRunning, i), "%s %d: %.2f", longRunning, i, p)
		}
	}
}

// A change in a long-running task's own load must not be attributed to best-effort
// tasks whose shares have not changed.
func TestIgnoresLoadWithoutShareChanges(t *testing.T) {
	var l interf.Learner
	before := l.Interference("a", "f")
	for n := range uint64(20) {
		busy := 0.4 + 0.02*float64(n)
		l.Observe("vm", interf.Window{
			Number: n + 1, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: busy, Tasks: 1}},
			Loads: []interf.Load{{Image: "f", Share: 0.2}},
		})
	}
	assert.Equal(t, l.Interference("a", "f"), before)
}

// observeArrival reports the arrival of a best-effort task together with an increase of
// the long-running task's utilization.
func observeArrival(l *interf.Learner, first uint64, increase float64) {
	l.Observe("vm", interf.Window{Number: first, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: 0.4, Tasks: 1}}})
	l.Observe("vm", interf.Window{
		Number: first + 1, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: 0.4 + increase, Tasks: 1}},
		Loads: []interf.Load{{Image: "f", Share: 0.2}},
	})
}

// Windows are not compared if they are far apart or repeated, if their number went
// down, or if they measured a different number of tasks.
func TestSkipsIncomparableWindows(t *testing.T) {
	var l interf.Learner
	before := l.Interference("a", "f")
	load := []interf.Load{{Image: "f", Share: 0.2}}
	tailLatencies := func(busy float64, tasks int) []interf.TailLatency {
		return []interf.TailLatency{{Image: "a", Utilization: busy, Tasks: tasks}}
	}
	l.Observe("vm", interf.Window{Number: 1, TailLatencies: tailLatencies(0.4, 1)})
	l.Observe("vm", interf.Window{Number: 1, TailLatencies: tailLatencies(0.8, 1), Loads: load})
	l.Observe("vm", interf.Window{Number: 2, TailLatencies: tailLatencies(0.8, 2), Loads: load})
	l.Observe("vm", interf.Window{Number: 9, TailLatencies: tailLatencies(0.4, 2)})
	l.Observe("vm", interf.Window{Number: 3, TailLatencies: tailLatencies(0.8, 2), Loads: load}) // another incarnation
	assert.Equal(t, l.Interference("a", "f"), before)
}

// A saturated measurement is a lower bound: it may raise an estimate but must not lower
// one.
func TestLearnsFromSaturation(t *testing.T) {
	var l interf.Learner
	for n := range uint64(5) {
		observeArrival(&l, 10*n+1, 0.59)
	}
	assert.Assert(t, l.Interference("a", "f") > 2, "%.2f", l.Interference("a", "f"))
	known := l.Interference("a", "f")
	l.Observe("vm", interf.Window{Number: 101, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: 0.4, Tasks: 1}}})
	l.Observe("vm", interf.Window{
		Number: 102, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: 0.99, Tasks: 1}},
		Loads: []interf.Load{{Image: "f", Share: 0.6}},
	})
	assert.Equal(t, l.Interference("a", "f"), known)
}

// Estimates survive a restart of the process that learnt them, and stored estimates
// don't replace more precise ones.
func TestRestore(t *testing.T) {
	var l, m interf.Learner
	for n := range uint64(5) {
		observeArrival(&l, 10*n+1, 0.3)
	}
	assert.Assert(t, l.Interference("a", "f") > 1.2, "%.2f", l.Interference("a", "f"))
	m.Restore(l.Snapshot())
	assert.Equal(t, m.Interference("a", "f"), l.Interference("a", "f"))
	m.Restore([]interf.Pair{{LongRunning: "a", BestEffort: "f", Interference: 0, Variance: 3}})
	assert.Equal(t, m.Interference("a", "f"), l.Interference("a", "f"), "a worse estimate replaced a better one")
}

// Images beyond the limit get the prior, and the estimates of the others are kept.
func TestImageLimit(t *testing.T) {
	var l interf.Learner
	observeArrival(&l, 1, 0.3)
	known := l.Interference("a", "f")
	for n := range uint64(100) {
		image := fmt.Sprint(n)
		l.Observe("vm", interf.Window{Number: 2*n + 10, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: 0.4, Tasks: 1}}})
		l.Observe("vm", interf.Window{
			Number: 2*n + 11, TailLatencies: []interf.TailLatency{{Image: "a", Utilization: 0.4, Tasks: 1}},
			Loads: []interf.Load{{Image: image, Share: 0.2}},
		})
	}
	assert.Assert(t, math.Abs(l.Interference("a", "f")-known) < 0.5)
	assert.Assert(t, l.Interference("a", "99") > l.Interference("a", "0"))
}

// A stored estimate that is no number stayed in the learner for good, and was stored again.
func TestRestoreSkipsPairsThatAreNoNumbers(t *testing.T) {
	for _, p := range []interf.Pair{
		{Interference: math.NaN(), Variance: 0.1}, {Interference: 1, Variance: math.NaN()},
		{Interference: 1, Variance: -1}, {Interference: 1, Variance: math.Inf(1)},
	} {
		var l interf.Learner
		before := l.Interference("api", "import")
		p.LongRunning, p.BestEffort = "api", "import"
		l.Restore([]interf.Pair{p})
		assert.Equal(t, l.Interference("api", "import"), before, "%+v", p)
	}
	var l interf.Learner
	l.Restore([]interf.Pair{{LongRunning: "api", BestEffort: "import", Interference: math.Inf(1), Variance: 0.1}})
	assert.Assert(t, !math.IsInf(l.Interference("api", "import"), 0))
}
