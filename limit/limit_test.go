package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayloft/place"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestBudgetIsAShareOfFreshLoad(t *testing.T) {
	b := NewBudget(0.1, 10)
	spent := 0
	for range 10000 {
		b.Deposit()
		for b.Spend() {
			spent++
		}
	}
	assert.Assert(t, spent >= 1000 && spent <= 1010, "%d", spent)
}

func TestRatePriorities(t *testing.T) {
	r := NewRate(100, 11)
	count := func(p Priority) (n int) {
		for r.Allow(epoch, p) {
			n++
		}
		return n
	}
	assert.Equal(t, count(PriorityLow), 6, "half of the rest is left")
	assert.Equal(t, count(PriorityMid), 3)
	assert.Equal(t, count(PriorityHigh), 2)
	assert.Assert(t, !r.Allow(epoch, PriorityHigh))
}

func TestRateWhen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRate(rapid.Float64Range(0.1, 1e5).Draw(t, "rate"), rapid.IntRange(1, 1000).Draw(t, "burst"))
		now := epoch
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "ns")))
			p := Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			at := r.NextAllowed(now, p)
			if at.Equal(now) {
				assert.Assert(t, r.Allow(now, p))
				continue
			}
			assert.Assert(t, !r.Allow(now, p))
			assert.Assert(t, at.After(now))
			assert.Assert(t, r.Allow(at, p), "at %v", at.Sub(now))
			now = at
		}
	})
}

func TestRateSet(t *testing.T) {
	r := NewRate(0, 1)
	assert.Assert(t, r.Allow(epoch, PriorityHigh))
	assert.Equal(t, r.NextAllowed(epoch, PriorityHigh), epoch.Add(never))
	r.SetRate(epoch, 10)
	assert.Assert(t, !r.Allow(epoch.Add(99*time.Millisecond), PriorityLow))
	assert.Assert(t, r.Allow(epoch.Add(101*time.Millisecond), PriorityLow))
}

func TestCircuit(t *testing.T) {
	var c Breaker
	now := epoch
	for range tripAfter - 1 {
		c.RecordFailure(now, 1)
	}
	assert.Assert(t, !c.IsOpen(now), "too few failures")
	c.RecordSuccess(now)
	for range tripAfter {
		assert.Assert(t, !c.IsOpen(now))
		c.RecordFailure(now, 1)
	}
	longest := time.Duration(0)
	for i := range 10 {
		assert.Assert(t, c.IsOpen(now))
		at := c.NextProbe(now)
		c.RecordFailure(now, uint64(i))
		assert.Equal(t, c.NextProbe(now), at, "a late failure moves nothing")
		longest = max(longest, at.Sub(now))
		now = at
		assert.Assert(t, !c.IsOpen(now))
		c.RecordFailure(now, uint64(i))
	}
	assert.Assert(t, longest >= lastProbe/2 && longest <= lastProbe, "%v", longest)
	c.RecordSuccess(now)
	assert.Assert(t, !c.IsOpen(now))
	assert.Equal(t, c.NextProbe(now), now)
}

func TestCircuitTryLetsOneThrough(t *testing.T) {
	var c Breaker
	for range 2 {
		assert.Assert(t, c.Allow(epoch))
	}
	for range tripAfter {
		c.RecordFailure(epoch, 1)
	}
	assert.Assert(t, !c.Allow(epoch))
	now := c.NextProbe(epoch)
	assert.Assert(t, c.Allow(now))
	assert.Assert(t, !c.Allow(now))
	assert.Assert(t, c.Allow(now.Add(lastProbe)), "the result of the probe was lost")
}

func TestProbesOfManyAreSpread(t *testing.T) {
	seen := map[time.Time]bool{}
	for seed := range uint64(100) {
		var c Breaker
		for range tripAfter {
			c.RecordFailure(epoch, seed)
		}
		seen[c.NextProbe(epoch).Truncate(time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 30, "%d of 50 milliseconds", len(seen))
}

func TestQuota(t *testing.T) {
	var q Quota
	one := place.Size{Millicores: 1000, MemoryMB: 2000}
	limit := one.Plus(one)
	q.Release("press", one)
	assert.Equal(t, q.Reserved("press"), place.Size{})
	q.Reserve("press", one)
	assert.Assert(t, q.Allows("press", one, limit))
	q.Reserve("press", one)
	assert.Assert(t, !q.Allows("press", one, limit))
	assert.Assert(t, q.Allows("cutting", one, limit))
	q.Release("press", one)
	q.Release("press", one)
	assert.Equal(t, q.Reserved("press"), place.Size{})
	assert.Assert(t, q.Allows("press", limit, limit))
}
