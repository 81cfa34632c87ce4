package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/pace"
)

const target = 100 * time.Millisecond

// vm plays fillers beside one lasting task: its tail is that of a queue whose
// utilization is its own and what the images add at their speeds.
type vm struct {
	c     pace.Controller
	now   time.Time
	own   float64            // utilization
	press map[string]float64 // that the fillers really have
	loads []pace.Load
	over  time.Duration // on end, at most
}

func (v *vm) run(d time.Duration) {
	var over time.Duration
	for end := v.now.Add(d); v.now.Before(end); {
		v.now = v.now.Add(500 * time.Millisecond)
		busy := v.own
		for _, l := range v.loads {
			busy += v.press[l.Task] * l.Share * float64(v.c.Percent(l.Task)) / pace.FullSpeed
		}
		tail := time.Duration(0.2 / (1 - min(busy, 0.98)) * float64(target))
		over += 500 * time.Millisecond
		if tail <= target {
			over = 0
		}
		v.over = max(v.over, over)
		v.c.Observe("api", tail, target)
		v.c.Step(v.now, v.loads)
	}
}

// Only the image that presses is slowed, and the target is missed for less than
// the four seconds that users bear, although the press is not known well.
func TestSlowsWhatPresses(t *testing.T) {
	v := vm{
		own: 0.6, now: time.Unix(1, 0),
		press: map[string]float64{"hard": 4.5, "mild": 0.05},
		loads: []pace.Load{
			{Task: "hard", Share: 0.3, Interference: map[string]float64{"api": 3}},
			{Task: "mild", Share: 0.3, Interference: map[string]float64{"api": 0.1}},
		},
	}
	v.run(20 * time.Second)
	assert.Assert(t, v.c.Percent("mild") > 50, "%d", v.c.Percent("mild"))
	assert.Assert(t, v.c.Percent("hard") < 50, "%d", v.c.Percent("hard"))
	assert.Assert(t, v.over <= 2*time.Second, "missed for %v", v.over)
}

func TestSlowsTheUnknownIfNothingElseExplainsIt(t *testing.T) {
	v := vm{
		own: 0.6, now: time.Unix(1, 0),
		press: map[string]float64{"a": 4.5}, loads: []pace.Load{{Task: "a", Share: 0.5}},
	}
	v.run(10 * time.Second)
	assert.Assert(t, v.over <= 3*time.Second, "missed for %v", v.over)
}

func TestSpeedsUpAgain(t *testing.T) {
	v := vm{
		own: 0.9, now: time.Unix(1, 0),
		press: map[string]float64{"a": 0.5}, loads: []pace.Load{{Task: "a", Share: 0.3}},
	}
	v.run(2 * time.Second)
	assert.Equal(t, v.c.Percent("a"), 0)
	v.own = 0.2
	v.run(6 * time.Second)
	assert.Equal(t, v.c.Percent("a"), pace.FullSpeed)
}

func TestWithoutLastingTasks(t *testing.T) {
	var c pace.Controller
	c.Observe("api", time.Second, 0)
	c.Step(time.Unix(1, 0), []pace.Load{{Task: "a", Share: 1}})
	assert.Equal(t, c.Percent("a"), pace.FullSpeed)
}

// A press that is thought to be nothing, but is not, does not harm for long.
func TestStopsAllWhenNothingElseHelps(t *testing.T) {
	v := vm{
		own: 0.6, now: time.Unix(1, 0), press: map[string]float64{"a": 3},
		loads: []pace.Load{{Task: "a", Share: 0.3, Interference: map[string]float64{"api": 0}}},
	}
	v.run(10 * time.Second)
	assert.Assert(t, v.over <= 2500*time.Millisecond, "missed for %v", v.over)
}

// Of two fillers of one image, the one that works hard is slowed, and the one that
// leaves most of its processors unused goes on.
func TestSlowsWhatWorksHard(t *testing.T) {
	var c pace.Controller
	hard := map[string]float64{"api": 2}
	c.Observe("api", 105*time.Millisecond, target)
	c.Step(time.Unix(1, 0), []pace.Load{
		{Task: "easy", Share: 0.1, Utilization: 0.68, Interference: hard}, {Task: "hard", Share: 0.1, Utilization: 1, Interference: hard},
	})
	assert.Equal(t, c.Percent("easy"), pace.FullSpeed)
	assert.Assert(t, c.Percent("hard") < pace.FullSpeed, "%d", c.Percent("hard"))
}

// What starts between two steps shares the room that is left.
func TestAdmitsByTheRoomLeft(t *testing.T) {
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

// Speeds of fillers that have gone are forgotten.
func TestForgets(t *testing.T) {
	var c pace.Controller
	c.Observe("api", 300*time.Millisecond, target)
	c.Step(time.Unix(1, 0), []pace.Load{{Task: "a", Share: 0.5}})
	assert.Assert(t, c.Percent("a") < pace.FullSpeed)
	c.Step(time.Unix(2, 0), nil)
	assert.Equal(t, c.Percent("a"), pace.FullSpeed)
}
