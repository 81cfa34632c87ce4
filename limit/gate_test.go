package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	alone := Snapshot{Left: s, Sojourn: 100 * ms, TeamRequests: 50, AllRequests: 50, Weight: 1, TotalWeight: 1}
	half := Snapshot{Left: s, Sojourn: 100 * ms, TeamRequests: 50, AllRequests: 100, Weight: 1, TotalWeight: 2}
	with := func(p Snapshot, change func(p *Snapshot)) Snapshot { change(&p); return p }
	tests := []struct {
		name string
		p    Snapshot
		want Verdict
	}{
		{"nothing known", Snapshot{Left: s}, Admitted},
		{"deadline passed", Snapshot{Left: 0}, TooLate},
		{"would come late", Snapshot{Left: 100 * ms, Wait: 90 * ms}, TooLate},
		{"no wait, all held by one team", alone, Admitted},
		{"wait, alone", with(alone, func(p *Snapshot) { p.Wait = 40 * ms }), Admitted},
		{"full, alone", with(alone, func(p *Snapshot) { p.Wait = 80 * ms }), Overload},
		{"wait, at its share", with(half, func(p *Snapshot) { p.Wait = 40 * ms }), Admitted},
		{"wait, over its share", with(half, func(p *Snapshot) { p.Wait, p.TeamRequests = 40*ms, 51 }), OverShare},
		{"no wait, over its share", with(half, func(p *Snapshot) { p.Wait, p.TeamRequests = 10*ms, 90 }), Admitted},
		{"weight 3 of 4", with(half, func(p *Snapshot) { p.Wait, p.TeamRequests, p.Weight, p.TotalWeight = 40*ms, 70, 3, 4 }), Admitted},
		{"full, nothing held", with(half, func(p *Snapshot) { p.Wait, p.TeamRequests = 80*ms, 0 }), Admitted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, Decide(tt.p), tt.want) })
	}
}

// source generates the load of one team in a run.
type source struct {
	team   string
	weight int
	load   float64 // arrivals as a share of the capacity
	done   int
	sent   int
}

const (
	testSlots   = 20
	testService = 10 * time.Millisecond
	testStep    = 100 * time.Microsecond
)

// serve runs the sources against a FIFO server with a gate, in virtual time. It
// counts the requests done after the first second and returns the retry times
// of the refused callers, measured from the start.
func serve(sources []*source, length time.Duration) (retries []time.Duration) {
	var g Gate
	rng := rand.New(rand.NewPCG(1, 2))
	var waiting []*source
	running := make([]*source, testSlots)
	ends := make([]time.Time, testSlots)
	for now := epoch; now.Sub(epoch) < length; now = now.Add(testStep) {
		for i, r := range running {
			if r != nil && !now.Before(ends[i]) {
				g.Done(now, r.team)
				running[i] = nil
				if now.Sub(epoch) > time.Second {
					r.done++
				}
			}
			if running[i] == nil && len(waiting) > 0 {
				running[i], waiting = waiting[0], waiting[1:]
				ends[i] = now.Add(time.Duration(float64(testService) * rng.ExpFloat64()))
			}
		}
		for _, src := range sources {
			rate := src.load * testSlots / testService.Seconds()
			if rng.Float64() > rate*testStep.Seconds() {
				continue
			}
			if now.Sub(epoch) > time.Second {
				src.sent++
			}
			wait := time.Duration(len(waiting)) * testService / testSlots
			ok, after := g.Admit(now, src.team, src.weight, wait, now.Add(time.Second), rng.Uint64())
			if !ok {
				retries = append(retries, now.Add(after).Sub(epoch))
				continue
			}
			waiting = append(waiting, src)
		}
	}
	return retries
}

func TestNoRefusalsWithoutOverload(t *testing.T) {
	a, b := &source{team: "a", weight: 1, load: 0.6}, &source{team: "b", weight: 9, load: 0.1}
	retries := serve([]*source{a, b}, 10*time.Second)
	assert.Equal(t, len(retries), 0)
}

func TestSharesUnderOverload(t *testing.T) {
	const length = 10 * time.Second
	capacity := testSlots / testService.Seconds() * (length - time.Second).Seconds()
	tests := []struct {
		name    string
		sources []*source
		shares  []float64 // of the capacity
	}{
		{"alone", []*source{{team: "a", weight: 1, load: 2}}, []float64{1}},
		{"equal", []*source{{team: "a", weight: 1, load: 3}, {team: "b", weight: 1, load: 1}}, []float64{0.5, 0.5}},
		{"weighted", []*source{{team: "a", weight: 3, load: 1.5}, {team: "b", weight: 1, load: 1.5}}, []float64{0.75, 0.25}},
		{"little", []*source{{team: "a", weight: 1, load: 3}, {team: "b", weight: 1, load: 0.2}}, []float64{0.8, 0.2}},
		{"a third is idle", []*source{{team: "a", weight: 1, load: 2}, {team: "b", weight: 1, load: 2}, {team: "c", weight: 8}}, []float64{0.5, 0.5, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serve(tt.sources, length)
			all := 0.0
			for i, src := range tt.sources {
				got := float64(src.done) / capacity
				all += got
				assert.Assert(t, got > tt.shares[i]-0.04 && got < tt.shares[i]+0.04, "team %s: %.3f", src.team, got)
			}
			assert.Assert(t, all > 0.95, "%.3f", all)
		})
	}
}

// Refused callers retry no faster than requests drain, so that their retries
// don't come in bursts.
func TestRetriesAreSpread(t *testing.T) {
	src := &source{team: "a", weight: 1, load: 1.5}
	retries := serve([]*source{src}, 4*time.Second)
	assert.Assert(t, len(retries) > 1000)
	slices.Sort(retries)
	drain := testSlots / testService.Seconds()
	const window = 200 * time.Millisecond
	for i, first := range retries {
		n := 0
		for n < len(retries)-i && retries[i+n]-first < window {
			n++
		}
		assert.Assert(t, float64(n) < 1.6*drain*window.Seconds(), "%d callers retry within %v of %v", n, window, first)
	}
}

func TestRetryAfterWithoutDrainRate(t *testing.T) {
	var g Gate
	seen := map[time.Duration]bool{}
	for seed := range uint64(50) {
		v, after := g.AdmitVerdict(epoch, "a", 1, time.Minute, epoch.Add(time.Second), seed)
		assert.Equal(t, v, TooLate)
		assert.Assert(t, after >= defaultRetryAfter/2 && after <= 3*defaultRetryAfter/2, "%v", after)
		seen[after.Truncate(10*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 20, "%d", len(seen))
}

func TestRetryAfterIsBounded(t *testing.T) {
	var g Gate
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		g.Admit(now, "a", 1, 0, now.Add(time.Second), 1)
		g.Done(now, "a")
	}
	now := epoch.Add(10 * time.Second)
	for seed := range uint64(10000) {
		_, after := g.AdmitVerdict(now, "a", 1, time.Minute, now.Add(time.Second), seed)
		assert.Assert(t, after > 0 && after <= maxRetryAfter*5/4, "%v", after)
	}
}

func TestIdleTeamsAreRemoved(t *testing.T) {
	var g Gate
	now := epoch
	for i := range 1000 {
		g.Admit(now, string(rune('a'+i%700)), 1, 0, now.Add(time.Second), 1)
		g.Done(now, string(rune('a'+i%700)))
	}
	now = now.Add(2 * activeFor)
	g.Admit(now, "a", 5, 0, now.Add(time.Second), 1)
	assert.Equal(t, len(g.teams), 1)
	assert.Equal(t, g.totalWeight, 5)
	g.Done(now, "unknown")
	assert.Equal(t, g.requests, 1)
}

func BenchmarkAdmit(b *testing.B) {
	var g Gate
	b.ReportAllocs()
	now := epoch
	for i := range b.N {
		now = now.Add(50 * time.Microsecond)
		if ok, _ := g.Admit(now, "a", 1, time.Millisecond, now.Add(time.Second), uint64(i)); ok {
			g.Done(now, "a")
		}
	}
}

// When the load of one entry drops while other entries keep the service busy,
// the few requests left in its gate must not make the sojourn time look short:
// every wait would then be above the thresholds and all requests be refused.
func TestAdmitsAfterLoadDrop(t *testing.T) {
	const held, wait = 50, 30 * time.Millisecond // of a sojourn of 50 ms
	var g Gate
	now := time.Unix(0, 0)
	for i := range 5000 {
		if i >= held {
			g.Done(now, "a")
		}
		ok, _ := g.Admit(now, "a", 1, 0, now.Add(time.Second), 0)
		assert.Assert(t, ok)
		now = now.Add(time.Millisecond)
	}
	for range held - 1 {
		g.Done(now, "a")
	}
	ok, _ := g.Admit(now, "a", 1, wait, now.Add(time.Second), 0)
	assert.Assert(t, ok)
}
