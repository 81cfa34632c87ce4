package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/pace"
)

// run feeds a control with a tail latency that depends on the speed and returns
// for how long in a row the target was missed at most.
func run(steps int, tail func(step, percent int) time.Duration) (percent int, missed time.Duration) {
	const target = 100 * time.Millisecond
	var c pace.Control
	var now time.Time
	var longest time.Duration
	now = time.Unix(1000, 0)
	c.Step(now, 0.5)
	percent = c.Percent()
	for i := range steps {
		now = now.Add(500 * time.Millisecond)
		l := tail(i, percent)
		c.Observe(pace.Load{Tail: l, Target: target})
		c.Step(now, 0.5)
		percent = c.Percent()
		if l > target {
			missed += 500 * time.Millisecond
		} else {
			missed = 0
		}
		longest = max(longest, missed)
	}
	return percent, longest
}

// A filler that doubles the tail is slowed down well before the four seconds
// for which a target may be missed on end.
func TestSlowsDownBeforeHarm(t *testing.T) {
	percent, missed := run(40, func(_, percent int) time.Duration {
		return 60*time.Millisecond + time.Duration(percent)*time.Millisecond
	})
	assert.Assert(t, percent > 0, "a mild filler need not stop")
	assert.Assert(t, missed <= 2*time.Second, "missed for %v", missed)
}

func TestStopsWhatHarmsAtAnySpeed(t *testing.T) {
	percent, missed := run(20, func(_, percent int) time.Duration {
		if percent > 0 {
			return 300 * time.Millisecond
		}
		return 80 * time.Millisecond
	})
	assert.Equal(t, percent, 0)
	assert.Assert(t, missed <= 3*time.Second, "missed for %v", missed)
}

func TestSpeedsUpAgain(t *testing.T) {
	percent, _ := run(60, func(step, _ int) time.Duration {
		if step < 10 {
			return 200 * time.Millisecond
		}
		return 30 * time.Millisecond
	})
	assert.Equal(t, percent, pace.Full)
}

func TestWithoutLastingTasks(t *testing.T) {
	var c pace.Control
	c.Observe(pace.Load{Tail: time.Second})
	c.Step(time.Unix(1, 0), 0.5)
	assert.Equal(t, c.Percent(), pace.Full)
}

// The part of the VM for fillers follows how the lasting tasks bear them.
func TestLearnsTheShare(t *testing.T) {
	var c pace.Control
	now := time.Unix(1, 0)
	first := c.Share()
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		c.Observe(pace.Load{Tail: 10 * time.Millisecond, Target: 100 * time.Millisecond})
		c.Step(now, c.Share())
	}
	borne := c.Share()
	assert.Assert(t, borne > first, "%v", borne)
	now = now.Add(500 * time.Millisecond)
	c.Observe(pace.Load{Tail: 110 * time.Millisecond, Target: 100 * time.Millisecond})
	c.Step(now, borne)
	assert.Assert(t, c.Share() < borne)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		c.Observe(pace.Load{Tail: 10 * time.Millisecond, Target: 100 * time.Millisecond})
		c.Step(now, 0)
	}
	assert.Assert(t, c.Share() < borne, "what is not used is not borne")
}
