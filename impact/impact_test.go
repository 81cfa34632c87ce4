package impact

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// truth holds the real effect of classes on one service: the log ratio for each
// task.
type truth map[Load]float64

// ratio returns a ratio with multiplicative noise.
func (tr truth) ratio(rng *rand.Rand, loads []Load, deviation float64) float64 {
	sum := deviation * rng.NormFloat64()
	for _, l := range loads {
		sum += float64(l.Level) * tr[Load{Class: l.Class, Throttled: l.Throttled}]
	}
	return math.Exp(sum)
}

func TestUnknownPair(t *testing.T) {
	var m Model
	ratio, err := m.Estimate("lookup", "import", 1)
	assert.Equal(t, ratio, 1.0)
	assert.Assert(t, math.Abs(err-math.Sqrt(priorVariance(1))) < 1e-9)
	_, more := m.Estimate("lookup", "import", 5)
	assert.Assert(t, more > err)
	assert.Equal(t, m.Cost("lookup", "import", 0), 0.0)
	act, class := m.NextAction("lookup", []Load{{Class: "import", Level: 8}}, NoAction)
	assert.Equal(t, act, NoAction)
	assert.Equal(t, class, "")
}

func TestLearnsOnePair(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	tr := truth{{Class: "import"}: 0.2}
	var m Model
	for range 40 {
		m.Observe("lookup", "import", 2, tr.ratio(rng, []Load{{Class: "import", Level: 2}}, 0.15), epoch)
	}
	for level, tolerance := range map[int]float64{1: 0.15, 2: 0.08, 3: 0.25} {
		got, err := m.Estimate("lookup", "import", level)
		want := math.Exp(0.2 * float64(level))
		assert.Assert(t, math.Abs(got-want) < tolerance, "level %d: %.3f ± %.3f, want %.3f", level, got, err, want)
	}
	_, seen := m.Estimate("lookup", "import", 2)
	_, far := m.Estimate("lookup", "import", 8)
	assert.Assert(t, seen < 0.05 && far > 3*seen, "%.3f, %.3f", seen, far)
	got, _ := m.Estimate("render", "import", 2)
	assert.Equal(t, got, 1.0, "another service")
}

func TestSeparatesMixedClasses(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	tr := truth{{Class: "noisy"}: 0.3, {Class: "quiet"}: 0}
	var m Model
	for range 60 {
		loads := []Load{
			{Class: "noisy", Level: rng.IntN(3)},
			{Class: "quiet", Level: 1 + rng.IntN(4)},
		}
		m.ObserveMix("lookup", loads, tr.ratio(rng, loads, 0.15), epoch)
	}
	noisy, _ := m.Estimate("lookup", "noisy", 2)
	quiet, _ := m.Estimate("lookup", "quiet", 2)
	assert.Assert(t, math.Abs(noisy-math.Exp(0.6)) < 0.2, "%.3f", noisy)
	assert.Assert(t, math.Abs(quiet-1) < 0.1, "%.3f", quiet)
}

// The effects of classes that only run together can't be separated, so the
// error of one alone must stay large.
func TestErrorOfClassesThatOnlyRunTogether(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	tr := truth{{Class: "a"}: 0.3, {Class: "b"}: 0.1}
	loads := []Load{{Class: "a", Level: 1}, {Class: "b", Level: 1}}
	var m Model
	for range 200 {
		m.ObserveMix("lookup", loads, tr.ratio(rng, loads, 0.1), epoch)
	}
	_, alone := m.Estimate("lookup", "a", 1)
	mean, together := m.predict("lookup", loads)
	assert.Assert(t, math.Abs(mean-0.4) < 0.05, "%.3f", mean)
	assert.Assert(t, alone > 5*together, "%.3f, %.3f", alone, together)
}

func TestErrorsAreCalibrated(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 4))
	within, all := 0, 0
	for range 400 {
		tr := truth{{Class: "a"}: math.Sqrt(priorVariance(1)) * rng.NormFloat64()}
		var m Model
		for range 1 + rng.IntN(10) {
			m.Observe("lookup", "a", 1, tr.ratio(rng, []Load{{Class: "a", Level: 1}}, initialDeviation), epoch)
		}
		got, err := m.Estimate("lookup", "a", 1)
		if math.Abs(got-math.Exp(tr[Load{Class: "a"}])) < 2*err {
			within++
		}
		all++
	}
	share := float64(within) / float64(all)
	assert.Assert(t, share > 0.92 && share < 0.99, "%.3f within two errors", share)
}

func TestOutlierIsClipped(t *testing.T) {
	var m Model
	for range 20 {
		m.Observe("lookup", "import", 1, 1.05, epoch)
	}
	m.Observe("lookup", "import", 1, 100, epoch)
	got, _ := m.Estimate("lookup", "import", 1)
	assert.Assert(t, got < 1.12, "%.3f", got)
	for _, bad := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Observe("lookup", "import", 1, bad, epoch)
	}
	after, _ := m.Estimate("lookup", "import", 1)
	assert.Equal(t, after, got)
}

func TestDecaysToPrior(t *testing.T) {
	var m Model
	for range 50 {
		m.Observe("lookup", "import", 1, 1.5, epoch)
	}
	before, _ := m.Estimate("lookup", "import", 1)
	m.Observe("lookup", "other", 1, 1, epoch.Add(-time.Minute))
	late, _ := m.Estimate("lookup", "import", 1)
	assert.Assert(t, math.Abs(late-before) < 0.01, "a ratio that arrived late decayed the estimate")
	m.Observe("lookup", "other", 1, 1, epoch.Add(4*time.Hour))
	after, wide := m.Estimate("lookup", "import", 1)
	whole := after * math.Sqrt(priorVariance(1))
	assert.Assert(t, after < 1.05 && wide > 0.98*whole, "%.3f ± %.3f, prior ± %.3f", after, wide, whole)
}

func TestCostOrder(t *testing.T) {
	var m Model
	for range 30 {
		m.Observe("lookup", "quiet", 1, 1, epoch)
		m.Observe("lookup", "noisy", 1, 1.4, epoch)
	}
	quiet, unknown, noisy := m.Cost("lookup", "quiet", 1), m.Cost("lookup", "new", 1), m.Cost("lookup", "noisy", 1)
	assert.Assert(t, quiet < unknown && unknown < noisy, "%.3f, %.3f, %.3f", quiet, unknown, noisy)
	assert.Assert(t, m.Cost("lookup", "noisy", 4) > noisy)
}

func TestActionConverges(t *testing.T) {
	tests := []struct {
		name        string
		unthrottled float64 // real ratio with unthrottled tasks
		throttled   float64
		want        Action
	}{
		{"quiet", 1.0, 1.0, NoAction},
		{"slight", 1.08, 1.02, NoAction},
		{"disturbs", 1.5, 1.1, Throttle},
		{"disturbs even if throttled", 3, 2.2, Move},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := truth{{Class: "wave"}: math.Log(tt.unthrottled) / 4, {Class: "wave", Throttled: true}: math.Log(tt.throttled) / 4}
			for seed := range uint64(20) {
				rng := rand.New(rand.NewPCG(seed, 5))
				var m Model
				act, changes, first := NoAction, 0, -1
				for i := range 300 {
					loads := []Load{{Class: "wave", Level: 4, Throttled: act >= Throttle}}
					m.ObserveMix("lookup", loads, tr.ratio(rng, loads, 0.2), epoch.Add(time.Duration(i)*time.Second))
					next, class := m.NextAction("lookup", loads, act)
					assert.Assert(t, next == NoAction || class == "wave")
					assert.Assert(t, next <= act+1, "one step at a time")
					if next != act {
						changes++
					}
					if next == tt.want && first < 0 {
						first = i
					}
					act = next
				}
				assert.Equal(t, act, tt.want)
				assert.Assert(t, changes <= 4, "seed %d: %d changes", seed, changes)
				assert.Assert(t, first < 30, "seed %d: after %d ratios", seed, first)
			}
		})
	}
}

func TestActionNamesWorstClass(t *testing.T) {
	var m Model
	for range 30 {
		m.Observe("lookup", "quiet", 3, 1.02, epoch)
		m.Observe("lookup", "noisy", 1, 1.5, epoch)
	}
	loads := []Load{{Class: "quiet", Level: 3}, {Class: "noisy", Level: 1}}
	act, class := m.NextAction("lookup", loads, NoAction)
	assert.Equal(t, act, Throttle)
	assert.Equal(t, class, "noisy")
	act, _ = m.NextAction("lookup", loads[:1], Throttle)
	assert.Equal(t, act, NoAction)
	act, _ = m.NextAction("lookup", nil, Move)
	assert.Equal(t, act, NoAction)
}

func TestClassLimit(t *testing.T) {
	var m Model
	for i := range 100 {
		for range 5 {
			m.Observe("lookup", string(rune('a'+i)), 1, 1.5, epoch.Add(time.Duration(i)*time.Second))
		}
	}
	e := m.services["lookup"]
	assert.Equal(t, len(e.classes), maxClasses)
	assert.Equal(t, len(e.mean), maxClasses*knotCount)
	assert.Equal(t, len(e.cov), maxClasses*knotCount)
	got, _ := m.Estimate("lookup", string(rune('a'+99)), 1)
	assert.Assert(t, got > 1.05)
	got, _ = m.Estimate("lookup", "a", 1)
	assert.Equal(t, got, 1.0)
}

// For any observations, estimates are finite, errors are not negative and at
// most those of the prior, and the covariance stays symmetric.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		now := epoch
		class := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(t, "ratios") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 3600).Draw(t, "s")) * time.Second)
			loads := make([]Load, rapid.IntRange(0, 3).Draw(t, "loads"))
			for i := range loads {
				loads[i] = Load{class.Draw(t, "class"), rapid.IntRange(0, 40).Draw(t, "level"), rapid.Bool().Draw(t, "throttled")}
			}
			m.ObserveMix("lookup", loads, rapid.Float64Range(0.01, 100).Draw(t, "ratio"), now)
			level := rapid.IntRange(1, 40).Draw(t, "asked")
			ratio, err := m.Estimate("lookup", class.Draw(t, "class"), level)
			assert.Assert(t, ratio > 0 && !math.IsInf(ratio, 0) && !math.IsNaN(ratio))
			assert.Assert(t, err >= 0 && err <= ratio*math.Sqrt(priorVariance(level))*1.001, "%v of %v", err, ratio)
		}
		for _, e := range m.services {
			for i := range e.cov {
				assert.Assert(t, e.cov[i][i] > 0)
				for j := range e.cov {
					assert.Assert(t, math.Abs(e.cov[i][j]-e.cov[j][i]) < 1e-9)
				}
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	var m Model
	loads := []Load{{Class: "a", Level: 2}, {Class: "b", Level: 1}, {Class: "c", Level: 5}}
	b.ReportAllocs()
	for i := range b.N {
		m.ObserveMix("lookup", loads, 1.2, epoch.Add(time.Duration(i)*time.Millisecond))
	}
}

func BenchmarkCost(b *testing.B) {
	var m Model
	for _, c := range []string{"a", "b", "c", "d", "e"} {
		m.Observe("lookup", c, 2, 1.2, epoch)
	}
	b.ReportAllocs()
	for range b.N {
		m.Cost("lookup", "c", 3)
	}
}
