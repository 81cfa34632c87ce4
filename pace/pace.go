// Package pace decides at what speed tasks that fill a VM's spare processor time
// may run beside tasks that answer users.
//
// It answers one load pattern: fillers and lasting tasks share a VM, the
// fillers slow the lasting tasks' answers down by an amount that differs by
// image and changes within seconds, and the only sign is a tail latency that is
// half a second old. The control lowers the speed in one step to where the tail
// should meet its target, and raises it step by step while all tails are below. Beside the speed, which takes effect at once, it learns how much of the
// VM fillers may take there without being slowed, for those who place tasks.
//
// # Usage
//
//	var c pace.Control
//	c.Observe(pace.Load{Tail: 90 * time.Millisecond, Target: 100 * time.Millisecond})
//	c.Step(now, 0.4) // fillers take 40% of the VM
//	percent, share := c.Percent(), c.Share()
package pace

import "time"

const (
	// step is the time between two changes: that of the measurement's window.
	step = 500 * time.Millisecond
	// nearTarget is the part of its target from which on a tail counts as
	// endangered, so that the reaction comes before the target is missed.
	nearTarget = 0.95
	// wellBelow is the part of its target below which fillers speed up.
	wellBelow = 0.8
	// aloneTail is what a tail is taken for without fillers, as a part of its
	// target; what exceeds it is put down to the fillers.
	aloneTail = 0.5
	// leastFactor bounds what one step takes away.
	leastFactor = 0.1
	// speedUp is what the speed is multiplied with, and firstUp the least that
	// is added, in percent, in one step.
	speedUp = 1.4
	firstUp = 15
	// least is the lowest speed that is worth running at, in percent.
	least = 4

	// firstShare is the part of a VM for fillers before anything is learnt.
	firstShare = 0.35
	// shareUp is what one step adds to that part while it is used.
	shareUp = 0.05
	// shareUsed is the part of it from which on it counts as used.
	shareUsed = 0.75
	// leastShare keeps a part in which fillers can be tried again.
	leastShare = 0.1
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
	lost  float64 // part of the VM taken away from fillers, less what is given at first
	worst float64 // tail to target, since the last step
	last  float64 // the same of the step before
	next  time.Time
}

// Observe takes a measurement of a lasting task.
func (c *Control) Observe(l Load) {
	if l.Target <= 0 {
		return
	}
	c.worst = max(c.worst, float64(l.Tail)/float64(l.Target))
}

// Step decides anew once a measurement's window has passed. Fillers take the
// given part of the VM at present, in [0, 1].
func (c *Control) Step(now time.Time, fillers float64) {
	if now.Before(c.next) {
		return
	}
	c.next = now.Add(step)
	c.changeShare(fillers)
	c.changeSpeed(fillers)
	c.last, c.worst = c.worst, 0
}

// Worst returns the largest tail latency of the last window, as a part of its
// target.
func (c *Control) Worst() float64 { return c.last }

// Percent returns the speed for fillers.
func (c *Control) Percent() int { return Full - c.taken }

// Share returns the part of the VM that fillers may take beside lasting tasks,
// in [0, 1].
func (c *Control) Share() float64 { return firstShare - c.lost }

// factor returns what the fillers' speed has to be multiplied with for the worst
// tail to come down to its target, if all above aloneTail is their doing.
func (c *Control) factor() float64 {
	return min(max((nearTarget-aloneTail)/(c.worst-aloneTail), leastFactor), 1)
}

func (c *Control) changeShare(fillers float64) {
	share := c.Share()
	switch {
	case c.worst >= nearTarget && fillers > 0:
		borne := fillers * float64(c.Percent()) / Full * c.factor()
		share = max(min(share, borne), leastShare)
	case c.worst < wellBelow && fillers >= share*shareUsed:
		share = min(share+shareUp, 1)
	}
	c.lost = firstShare - share
}

func (c *Control) changeSpeed(fillers float64) {
	percent := Full - c.taken
	switch {
	case fillers == 0:
		percent = Full
	case c.worst >= nearTarget:
		percent = int(float64(percent) * c.factor())
		if percent < least {
			percent = 0
		}
	case c.worst < wellBelow:
		percent = min(max(int(float64(percent)*speedUp), percent+firstUp), Full)
	}
	c.taken = Full - percent
}
