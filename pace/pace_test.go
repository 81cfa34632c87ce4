package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/pace"
)

const target = 100 * time.Millisecond

// vm simulates best-effort tasks beside one long-running task, whose tail latency is that
// of a queue with the utilization by its own load and by the interference.
type vm struct {
	c              pace.Controller
	now            time.Time
	ownUtilization float64            // by the long-running task itself
	interference   map[string]float64 // real values, by task
	loads          []pace.Load
	longestMiss    time.Duration // longest time in which the target was missed
}

func (v *vm) run(d time.Duration) {
	var missed time.Duration
	for end := v.now.Add(d); v.now.Before(end); {
		v.now = v.now.Add(500 * time.Millisecond)
		utilization := v.ownUtilization
		for _, l := range v.loads {
			utilization += v.interference[l.Task] * l.Share * float64(v.c.Percent(l.Task)) / pace.FullSpeed
		}
		tailLatency := time.Duration(0.2 / (1 - min(utilization, 0.98)) * float64(target))
		missed += 500 * time.Millisecond
		if tailLatency <= target {
			missed = 0
		}
		v.longestMiss = max(v.longestMiss, missed)
		v.c.Observe("api", tailLatency, target)
		v.c.Step(v.now, v.loads)
	}
}

// Only the interfering image is throttled, and the target is missed for less than the
// four seconds that users tolerate, although the estimate is too low.
func TestThrottlesInterferingTask(t *testing.T) {
	v := vm{
		ownUtilization: 0.6, now: time.Unix(1, 0),
		interference: map[string]float64{"hard": 4.5, "mild": 0.05},
		loads: []pace.Load{
			{Task: "hard", Share: 0.3, Interference: map[string]float64{"api": 3}},
			{Task: "mild", Share: 0.3, Interference: map[string]float64{"api": 0.1}},
		},
	}
	v.run(20 * time.Second)
	assert.Assert(t, v.c.Percent("mild") > 50, "%d", v.c.Percent("mild"))
	assert.Assert(t, v.c.Percent("hard") < 50, "%d", v.c.Percent("hard"))
	assert.Assert(t, v.longestMiss <= 2*time.Second, "missed for %v", v.longestMiss)
}

func TestThrottlesTaskWithoutEstimate(t *testing.T) {
	v := vm{
		ownUtilization: 0.6, now: time.Unix(1, 0),
		interference: map[string]float64{"a": 4.5}, loads: []pace.Load{{Task: "a", Share: 0.5}},
	}
	v.run(10 * time.Second)
	assert.Assert(t, v.longestMiss <= 3*time.Second, "missed for %v", v.longestMiss)
}

func TestSpeedsUpWhenLoadFalls(t *testing.T) {
	v := vm{
		ownUtilization: 0.9, now: time.Unix(1, 0),
		interference: map[string]float64{"a": 0.5}, loads: []pace.Load{{Task: "a", Share: 0.3}},
	}
	v.run(2 * time.Second)
	assert.Equal(t, v.c.Percent("a"), 0)
	v.ownUtilization = 0.2
	v.run(6 * time.Second)
	assert.Equal(t, v.c.Percent("a"), pace.FullSpeed)
}

func TestFullSpeedWithoutTargets(t *testing.T) {
	var c pace.Controller
	c.Observe("api", time.Second, 0)
	c.Step(time.Unix(1, 0), []pace.Load{{Task: "a", Share: 1}})
	assert.Equal(t, c.Percent("a"), pace.FullSpeed)
}

// If a task interferes although its estimate is 0, throttling by estimates has no effect;
// the target must not be missed for long.
func TestStopsAllOnWrongEstimate(t *testing.T) {
	v := vm{
		ownUtilization: 0.6, now: time.Unix(1, 0), interference: map[string]float64{"a": 3},
		loads: []pace.Load{{Task: "a", Share: 0.3, Interference: map[string]float64{"api": 0}}},
	}
	v.run(10 * time.Second)
	assert.Assert(t, v.longestMiss <= 2500*time.Millisecond, "missed for %v", v.longestMiss)
}

// Of two tasks of one image, the one that uses all its CPU is throttled, and the one that
// leaves a third of it unused keeps its speed.
func TestThrottlesByUtilization(t *testing.T) {
	var c pace.Controller
	hard := map[string]float64{"api": 2}
	c.Observe("api", 105*time.Millisecond, target)
	c.Step(time.Unix(1, 0), []pace.Load{
		{Task: "easy", Share: 0.1, Utilization: 0.68, Interference: hard}, {Task: "hard", Share: 0.1, Utilization: 1, Interference: hard},
	})
	assert.Equal(t, c.Percent("easy"), pace.FullSpeed)
	assert.Assert(t, c.Percent("hard") < pace.FullSpeed, "%d", c.Percent("hard"))
}

// Tasks that start between two steps share the remaining headroom.
func TestAdmitsWithinHeadroom(t *testing.T) {
	var c pace.Controller
	hard := map[string]float64{"api": 2}
	c.Observe("api", 80*time.Millisecond, target)
	c.Step(time.Unix(1, 0), nil)
	for _, task := range []string{"a", "b", "c"} {
		c.Admit(pace.Load{Task: task, Share: 0.03, Utilization: 1, Interference: hard})
	}
	c.Admit(pace.Load{Task: "mild", Share: 0.1, Utilization: 1, Interference: map[string]float64{"api": 0}})
	assert.Assert(t, c.Percent("a") > c.Percent("b"), "%d %d", c.Percent("a"), c.Percent("b"))
	assert.Equal(t, c.Percent("c"), 0)
	assert.Equal(t, c.Percent("mild"), pace.FullSpeed)
}

// A task's speed is dropped when the task is no longer on the VM.
func TestDropsSpeedsOfEndedTasks(t *testing.T) {
	var c pace.Controller
	c.Observe("api", 300*time.Millisecond, target)
	c.Step(time.Unix(1, 0), []pace.Load{{Task: "a", Share: 0.5}})
	assert.Assert(t, c.Percent("a") < pace.FullSpeed)
	c.Step(time.Unix(2, 0), nil)
	assert.Equal(t, c.Percent("a"), pace.FullSpeed)
}
