package press_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"jayloft/press"
)

// site plays VMs with two lasting images and 9 fillers, of which 4 press hard on the
// first and none on the second, beside tails that swing with their own load. Tasks
// come and go, and work hard or not, each few windows.
func site(t *testing.T, l *press.Learner, windows int, hard func(lasting string, filler int) bool) {
	t.Helper()
	const vms, fillers, press0 = 11, 9, 2.0
	r := rand.New(rand.NewPCG(1, 2))
	type task struct {
		image      int
		share, use float64
	}
	running := make([][]task, vms)
	for window := 1; window <= windows; window++ {
		for vm := range vms {
			if r.IntN(2) == 0 || len(running[vm]) == 0 {
				running[vm] = append(running[vm], task{r.IntN(fillers), 0.05 + 0.1*r.Float64(), 1})
			}
			if len(running[vm]) > 3 {
				running[vm] = running[vm][1:]
			}
			for i := range running[vm] {
				if r.IntN(4) == 0 {
					running[vm][i].use = 1.68 - running[vm][i].use // takes turns between 1 and 0.68
				}
			}
			w := press.Window{Number: uint64(window)}
			for _, x := range running[vm] {
				w.Loads = add(w.Loads, fmt.Sprint(x.image), x.share*press.Weight(x.use))
			}
			for _, lasting := range []string{"a", "b"} {
				busy := 0.45 + 0.2*math.Sin(float64(window)/6+float64(vm)) + 0.04*r.NormFloat64()
				for _, x := range running[vm] {
					if hard(lasting, x.image) {
						busy += press0 * x.share * press.Weight(x.use)
					}
				}
				w.Tails = append(w.Tails, press.TailLatency{Image: lasting, Busy: min(max(busy, 0), 0.99), Tasks: 1})
			}
			l.Observe(fmt.Sprint(vm), w)
		}
	}
}

func add(ls []press.Load, image string, share float64) []press.Load {
	for i := range ls {
		if ls[i].Image == image {
			ls[i].Share += share
			return ls
		}
	}
	return append(ls, press.Load{Image: image, Share: share})
}

// The hard pairs of a site are told apart within 15 s of two windows a second.
func TestTellsHardPairsApart(t *testing.T) {
	hard := func(lasting string, filler int) bool { return lasting == "a" && filler < 4 }
	var l press.Learner
	site(t, &l, 30, hard)
	for _, lasting := range []string{"a", "b"} {
		for i := range 9 {
			p := l.Press(lasting, fmt.Sprint(i))
			assert.Check(t, (p > 1) == hard(lasting, i), "%s %d: %.2f", lasting, i, p)
		}
	}
}

// A lasting task's own load, however it swings, says nothing about fillers that
// stay as they are.
func TestWithoutChangesNothingIsLearnt(t *testing.T) {
	var l press.Learner
	before := l.Press("a", "f")
	for n := range uint64(20) {
		busy := 0.4 + 0.02*float64(n)
		l.Observe("vm", press.Window{
			Number: n + 1, Tails: []press.TailLatency{{Image: "a", Busy: busy, Tasks: 1}},
			Loads: []press.Load{{Image: "f", Share: 0.2}},
		})
	}
	assert.Equal(t, l.Press("a", "f"), before)
}

// learnOne lets a learner see a filler come, and the tail with it.
func learnOne(l *press.Learner, first uint64, rise float64) {
	l.Observe("vm", press.Window{Number: first, Tails: []press.TailLatency{{Image: "a", Busy: 0.4, Tasks: 1}}})
	l.Observe("vm", press.Window{
		Number: first + 1, Tails: []press.TailLatency{{Image: "a", Busy: 0.4 + rise, Tasks: 1}},
		Loads: []press.Load{{Image: "f", Share: 0.2}},
	})
}

// Windows that are far apart, that come twice or that other tasks were measured in
// are not compared.
func TestComparesOnlyLikeWindows(t *testing.T) {
	var l press.Learner
	before := l.Press("a", "f")
	load := []press.Load{{Image: "f", Share: 0.2}}
	tails := func(busy float64, tasks int) []press.TailLatency {
		return []press.TailLatency{{Image: "a", Busy: busy, Tasks: tasks}}
	}
	l.Observe("vm", press.Window{Number: 1, Tails: tails(0.4, 1)})
	l.Observe("vm", press.Window{Number: 1, Tails: tails(0.8, 1), Loads: load})
	l.Observe("vm", press.Window{Number: 2, Tails: tails(0.8, 2), Loads: load})
	l.Observe("vm", press.Window{Number: 9, Tails: tails(0.4, 2)})
	l.Observe("vm", press.Window{Number: 3, Tails: tails(0.8, 2), Loads: load}) // another life
	assert.Equal(t, l.Press("a", "f"), before)
}

// A tail beyond what can be measured says that the press is hard, and not that it
// is no harder than that.
func TestLearnsFromSaturation(t *testing.T) {
	var l press.Learner
	for n := range uint64(5) {
		learnOne(&l, 10*n+1, 0.59)
	}
	assert.Assert(t, l.Press("a", "f") > 2, "%.2f", l.Press("a", "f"))
	known := l.Press("a", "f")
	l.Observe("vm", press.Window{Number: 101, Tails: []press.TailLatency{{Image: "a", Busy: 0.4, Tasks: 1}}})
	l.Observe("vm", press.Window{
		Number: 102, Tails: []press.TailLatency{{Image: "a", Busy: 0.99, Tasks: 1}},
		Loads: []press.Load{{Image: "f", Share: 0.6}},
	})
	assert.Equal(t, l.Press("a", "f"), known)
}

// What was learnt outlives the process that learnt it.
func TestRecall(t *testing.T) {
	var l, m press.Learner
	for n := range uint64(5) {
		learnOne(&l, 10*n+1, 0.3)
	}
	assert.Assert(t, l.Press("a", "f") > 1.2, "%.2f", l.Press("a", "f"))
	m.Restore(l.Snapshot())
	assert.Equal(t, m.Press("a", "f"), l.Press("a", "f"))
	m.Restore([]press.Pair{{LongRunning: "a", BestEffort: "f", Press: 0, Variance: 3}})
	assert.Equal(t, m.Press("a", "f"), l.Press("a", "f"), "a worse estimate replaced a better one")
}

// More images than can be held are taken for unknown; the others stay known.
func TestManyImages(t *testing.T) {
	var l press.Learner
	learnOne(&l, 1, 0.3)
	known := l.Press("a", "f")
	for n := range uint64(100) {
		image := fmt.Sprint(n)
		l.Observe("vm", press.Window{Number: 2*n + 10, Tails: []press.TailLatency{{Image: "a", Busy: 0.4, Tasks: 1}}})
		l.Observe("vm", press.Window{
			Number: 2*n + 11, Tails: []press.TailLatency{{Image: "a", Busy: 0.4, Tasks: 1}},
			Loads: []press.Load{{Image: image, Share: 0.2}},
		})
	}
	assert.Assert(t, math.Abs(l.Press("a", "f")-known) < 0.5)
	assert.Assert(t, l.Press("a", "99") > l.Press("a", "0"))
}
