// Package pace decides at what speed tasks that fill a VM's spare processor time
// may run beside tasks that answer users.
//
// It answers one load pattern: fillers and lasting tasks share a VM, the
// fillers slow the lasting tasks' answers down by an amount that differs by
// image and changes within seconds, and the only sign is a tail latency that is
// half a second old. The control lowers the speed quickly while any lasting
// task is near or over its target and raises it slowly while all are well
// below.
//
// # Usage
//
//	var c pace.Control
//	c.Observe(pace.Load{Tail: 90 * time.Millisecond, Target: 100 * time.Millisecond})
//	percent := c.Percent(now)
package pace

import "time"

const (
	// step is the time between two changes: that of the measurement's window.
	step = 500 * time.Millisecond
	// nearTarget is the share of its target from which on a tail counts as
	// endangered, so that the reaction comes before the target is missed.
	nearTarget = 0.85
	// wellBelow is the share of its target below which fillers speed up.
	wellBelow = 0.6
	// slowDown is what the speed is multiplied with in one step.
	slowDown = 0.4
	// speedUp is what one step adds, in percent.
	speedUp = 10
	// least is the lowest speed that is worth running at, in percent.
	least = 5
)

// Full is full speed, in percent.
const Full = 100

// Load is the tail latency of one lasting task and its target.
type Load struct {
	Tail, Target time.Duration
}

// Control holds the speed of the fillers of one VM. The zero value runs them at
// full speed.
type Control struct {
	taken int     // percent taken away
	worst float64 // tail to target, since the last step
	next  time.Time
}

// Observe takes a measurement of a lasting task.
func (c *Control) Observe(l Load) {
	if l.Target <= 0 {
		return
	}
	c.worst = max(c.worst, float64(l.Tail)/float64(l.Target))
}

// Percent returns the speed for fillers from now on.
func (c *Control) Percent(now time.Time) int {
	if !now.Before(c.next) {
		c.next = now.Add(step)
		c.change()
		c.worst = 0
	}
	return Full - c.taken
}

func (c *Control) change() {
	percent := Full - c.taken
	switch {
	case c.worst >= nearTarget:
		percent = int(float64(percent) * slowDown)
		if percent < least {
			percent = 0
		}
	case c.worst < wellBelow:
		percent = min(percent+speedUp, Full)
	}
	c.taken = Full - percent
}
