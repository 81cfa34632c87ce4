package sweep

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	all  = flag.Bool("all", false, "measure the baselines too")
	seed = flag.Uint64("seed", 1, "seed of the runs")
)

// target bounds a figure.
type target struct {
	figure string
	least  float64
	most   float64
}

const unlimited = 1e9

// invariants hold in every run.
var invariants = []target{{"overlaps", 0, 0}, {"over", 0, 0}, {"retries", 0, 0.1}}

type round struct {
	name    string
	run     func(Site, Variant, uint64) Figures
	targets []target
	against []Variant // with -all
}

var leases = []Variant{
	Lease(5 * time.Second), Lease(10 * time.Second), Lease(15 * time.Second),
	Lease(30 * time.Second), Lease(60 * time.Second), Lease(120 * time.Second),
}

var rounds = []round{
	{"steady", Steady, []target{
		{"added p50 ms", 0, 0.3}, {"added p99 ms", -1, 1.5}, {"success", 1, 1},
	}, []Variant{Random, NoRetry}},
	{"overload", Overload, []target{
		{"goodput", 0.95, 1.01}, {"p99/deadline", 0, 1}, {"refusal p99 ms", 0, 50}, {"returns, peak", 0, 1.5},
		{"unknown", 0, 0},
	}, []Variant{Random, NoRetry}},
	{"slow", SlowWorker, []target{{"p99/steady", 0, 1.5}, {"success", 0.999, 1}}, []Variant{Random, NoRetry}},
	{"failing", FailingWorker, []target{
		{"success", 0.999, 1}, {"share after 5 s", 0, 0.01}, {"tasks undone", 0, 0},
	}, []Variant{Random, NoRetry}},
	{"noisy", Noisy, []target{
		{"p99/quiet", 0, 1.3}, {"work/uncontrolled", 0.85, unlimited}, {"evictions/sight", 0, 0.1},
	}, []Variant{NoiseOff, NoiseSight, FirstFit}},
	{"urgent", Urgent, []target{{"start p99 ms", 0, 1300}, {"not started", 0, 0}, {"lost s", 0, 0}}, []Variant{FirstFit}},
	{"out", Out, []target{
		{"work out, of capacity", 0.9, unlimited}, {"work moving, of capacity", 0.9, unlimited},
		{"lost s", 0, 0}, {"starts out", 0, 0}, {"begins out", 0, 0}, {"success", 1, 1},
	}, []Variant{AtOnce, FirstFit}},
	{"down", PlatformDown, []target{
		{"success", 1, 1}, {"p99/before", 0, 1.1}, {"lost s", 0, 0}, {"evictions", 0, 0},
		{"command answer s", 0, 6}, {"commands refused", 1, unlimited}, {"commands unknown", 0, 0},
		{"commands not taken", 0, 0},
	}, leases},
	{"killed", Killed, []target{{"resume/(lease+5 s)", 0, 1}, {"tasks", 1, unlimited}, {"success", 0.999, 1}}, leases},
}

// TestRounds measures both deployments against the targets. With -all it also
// shows the baselines, of which only the invariants are asserted.
func TestRounds(t *testing.T) {
	for _, r := range rounds {
		for _, site := range []Site{Fichero, Mwakalinga} {
			t.Run(r.name+"/"+site.Name, func(t *testing.T) {
				t.Parallel()
				check(t, r, site, Default, slices.Concat(r.targets, invariants))
				if !*all {
					return
				}
				for _, v := range r.against {
					check(t, r, site, v, invariants)
				}
			})
		}
	}
}

func check(t *testing.T, r round, site Site, v Variant, targets []target) {
	t.Helper()
	f := r.run(site, v, *seed)
	t.Logf("%s %s %s seed %d: %s", r.name, site.Name, v.Name, *seed, show(f))
	for _, x := range targets {
		got := f.Get(x.figure)
		assert.Check(t, got >= x.least && got <= x.most,
			"%s %s: %s is %.4g, want %g to %g", r.name, v.Name, x.figure, got, x.least, x.most)
	}
}

func show(f Figures) string {
	var words []string
	for _, x := range f {
		words = append(words, fmt.Sprintf("%s %.4g", x.Name, x.Value))
	}
	return strings.Join(words, ", ")
}

func TestSame(t *testing.T) {
	a, b := Killed(Fichero, Default, 3), Killed(Fichero, Default, 3)
	assert.DeepEqual(t, a, b)
}

func TestQueueOrder(t *testing.T) {
	var q queue[int]
	for i, at := range []time.Duration{3, 1, 2, 1} {
		q.push(at, i)
	}
	var got []int
	for len(q.heap) > 0 {
		_, i := q.pop()
		got = append(got, i)
	}
	assert.DeepEqual(t, got, []int{1, 3, 2, 0})
}

func TestLost(t *testing.T) {
	first := &attempt{runs: []span{{before: 0, after: 8 * time.Second}}}
	next := &attempt{runs: []span{{before: 5 * time.Second, after: 9 * time.Second}}}
	assert.Equal(t, first.lost(next), 3*time.Second)
	assert.Equal(t, next.lost(first), 9*time.Second)
	assert.Equal(t, first.lost(&attempt{}), time.Duration(0))
}
