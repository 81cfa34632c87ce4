// Package pace decides at what speed tasks that fill a VM's spare processor time
// may run beside lasting tasks that answer users.
//
// It answers one load pattern: fillers and lasting tasks share a VM, the fillers
// slow the lasting tasks' answers down by an amount that differs much by image,
// and the only sign is a tail latency that is half a second old. While a tail is
// near or over its target, the control slows those fillers that add most to it, as
// far as is needed by what is known of their press (package press), and leaves the
// others alone. It raises speeds step by step as far as the tails bear it.
//
// # Usage
//
//	var c pace.Control
//	c.Observe("api", 90*time.Millisecond, 100*time.Millisecond)
//	c.Step(now, []pace.Load{{Image: "a", Share: 0.2, Press: map[string]float64{"api": 1.5}}})
//	percent := c.Percent("a")
package pace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jayloft/press"
)

const (
	// step is the time between two changes: that of the measurement's window.
	step = 500 * time.Millisecond
	// nearTarget is the part of its target from which on a tail counts as
	// endangered, so that the reaction comes before the target is missed.
	nearTarget = 0.95
	// speedUp is what a speed is multiplied with, and firstUp the least that is
	// added, in percent, in one step.
	speedUp = 1.6
	firstUp = 15
	// least is the lowest speed that is worth running at, in percent.
	least = 5
	// patience is how long a target may be missed on end until all fillers stop,
	// whatever is known of them: users bear 4 s, and a tail takes one to fall.
	patience = 1500 * time.Millisecond
	// firstPress is assumed of a pair that nothing is known of.
	firstPress = 2.5
)

// Full is full speed, in percent.
const Full = 100

// Load is the fillers of one image on the VM.
type Load struct {
	Image string
	Share float64 // part of the VM that they take at full speed, in [0, 1]
	// Press holds what utilization a VM full of them adds to lasting tasks, by
	// the latter's image; see package press.
	Press map[string]float64
}

// press returns the load's press on the lasting tasks of an image.
func (l *Load) press(lasting string) float64 {
	if p, ok := l.Press[lasting]; ok {
		return p
	}
	return firstPress
}

// Control holds the speeds of the fillers of one VM. The zero value runs all at
// full speed.
type Control struct {
	percent map[string]int       // of images that don't run at full speed
	worst   map[string]float64   // tail to target since the last step, by image
	last    map[string]float64   // the same of the step before
	missed  map[string]time.Time // since when targets are missed on end, by image
	next    time.Time
}

// Observe takes a measurement of the tail latency of a lasting task of an image.
func (c *Control) Observe(image string, tail, target time.Duration) {
	if target <= 0 {
		return
	}
	if c.worst == nil {
		c.worst = map[string]float64{}
	}
	c.worst[image] = max(c.worst[image], float64(tail)/float64(target))
}

// Worst returns the largest tail latencies of the last window, as parts of their
// targets, by the lasting tasks' images.
func (c *Control) Worst() map[string]float64 { return c.last }

// Percent returns the speed for fillers of an image.
func (c *Control) Percent(image string) int {
	if p, ok := c.percent[image]; ok {
		return p
	}
	return Full
}

// Step decides anew once a measurement's window has passed, for the fillers that
// are on the VM. It reports whether it did.
func (c *Control) Step(now time.Time, loads []Load) bool {
	if now.Before(c.next) {
		return false
	}
	c.next = now.Add(step)
	c.speed(loads)
	for _, image := range slices.Sorted(maps.Keys(c.worst)) {
		c.slow(image, loads)
	}
	if c.missedLong(now) {
		for _, l := range loads {
			c.set(l.Image, 0)
		}
	}
	c.last, c.worst = c.worst, nil
	return true
}

// missedLong notes which targets are missed, and reports whether one is for too
// long.
func (c *Control) missedLong(now time.Time) bool {
	missed := map[string]time.Time{}
	long := false
	for image, worst := range c.worst {
		if worst <= 1 {
			continue
		}
		since, ok := c.missed[image]
		if !ok {
			since = now
		}
		missed[image] = since
		long = long || now.Sub(since) >= patience
	}
	c.missed = missed
	return long
}

// slow takes speed from the fillers that add most to the tail of a lasting image,
// until it should be back at its target.
func (c *Control) slow(lasting string, loads []Load) {
	excess := press.Busy(c.worst[lasting]) - press.Busy(nearTarget)
	byAdded := slices.SortedStableFunc(slices.Values(loads), func(a, b Load) int {
		return cmp.Compare(c.added(lasting, b), c.added(lasting, a))
	})
	for _, l := range byAdded {
		added := c.added(lasting, l)
		if excess <= 0 || added <= 0 {
			return
		}
		part := min(excess/added, 1)
		excess -= added * part
		c.set(l.Image, int(float64(c.Percent(l.Image))*(1-part)))
	}
}

// added returns the utilization that a filler adds at its present speed.
func (c *Control) added(lasting string, l Load) float64 {
	return l.press(lasting) * l.Share * float64(c.Percent(l.Image)) / Full
}

// speed raises speeds as far as the room below each target is thought to bear.
func (c *Control) speed(loads []Load) {
	for _, l := range loads {
		p := c.Percent(l.Image)
		if p == Full {
			continue
		}
		up := min(max(float64(p)*(speedUp-1), firstUp), float64(Full-p))
		for lasting, worst := range c.worst {
			if cost := l.press(lasting) * l.Share * up / Full; cost > 0 {
				up = min(up, up*max(press.Busy(nearTarget)-press.Busy(worst), 0)/cost)
			}
		}
		c.set(l.Image, p+int(up))
	}
}

func (c *Control) set(image string, percent int) {
	if percent >= Full {
		delete(c.percent, image)
		return
	}
	if c.percent == nil {
		c.percent = map[string]int{}
	}
	if percent < least {
		percent = 0
	}
	c.percent[image] = percent
}
