package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayloft/place"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestBudgetIsAShareOfRequests(t *testing.T) {
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
	assert.Equal(t, count(PriorityLow), 6, "half of the burst beyond one token is reserved")
	assert.Equal(t, count(PriorityMid), 3)
	assert.Equal(t, count(PriorityHigh), 2)
	assert.Assert(t, !r.Allow(epoch, PriorityHigh))
}

func TestRateNextAllowed(t *testing.T) {
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

func TestSetRate(t *testing.T) {
	r := NewRate(0, 1)
	assert.Assert(t, r.Allow(epoch, PriorityHigh))
	assert.Equal(t, r.NextAllowed(epoch, PriorityHigh), epoch.Add(unboundedWait))
	r.SetRate(epoch, 10)
	assert.Assert(t, !r.Allow(epoch.Add(99*time.Millisecond), PriorityLow))
	assert.Assert(t, r.Allow(epoch.Add(101*time.Millisecond), PriorityLow))
}

func TestBreaker(t *testing.T) {
	var b Breaker
	now := epoch
	for range failuresToOpen - 1 {
		b.RecordFailure(now, 1)
	}
	assert.Assert(t, !b.IsOpen(now), "too few failures")
	b.RecordSuccess(now)
	for range failuresToOpen {
		assert.Assert(t, !b.IsOpen(now))
		b.RecordFailure(now, 1)
	}
	longest := time.Duration(0)
	for i := range 10 {
		assert.Assert(t, b.IsOpen(now))
		at := b.NextProbe(now)
		b.RecordFailure(now, uint64(i))
		assert.Equal(t, b.NextProbe(now), at, "a late failure must not postpone the probe")
		longest = max(longest, at.Sub(now))
		now = at
		assert.Assert(t, !b.IsOpen(now))
		b.RecordFailure(now, uint64(i))
	}
	assert.Assert(t, longest >= maxProbeInterval/2 && longest <= maxProbeInterval, "%v", longest)
	b.RecordSuccess(now)
	assert.Assert(t, !b.IsOpen(now))
	assert.Equal(t, b.NextProbe(now), now)
}

func TestBreakerAllowsOneProbe(t *testing.T) {
	var b Breaker
	for range 2 {
		assert.Assert(t, b.Allow(epoch))
	}
	for range failuresToOpen {
		b.RecordFailure(epoch, 1)
	}
	assert.Assert(t, !b.Allow(epoch))
	now := b.NextProbe(epoch)
	assert.Assert(t, b.Allow(now))
	assert.Assert(t, !b.Allow(now))
	assert.Assert(t, b.Allow(now.Add(maxProbeInterval)), "the result of the probe was lost")
}

func TestProbesOfBreakersAreSpread(t *testing.T) {
	seen := map[time.Time]bool{}
	for seed := range uint64(100) {
		var b Breaker
		for range failuresToOpen {
			b.RecordFailure(epoch, seed)
		}
		seen[b.NextProbe(epoch).Truncate(time.Millisecond)] = true
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
