// Package pace decides at what speed tasks that fill a VM's spare processor time
// may run beside lasting tasks that answer users.
//
// It answers one load pattern: fillers and lasting tasks share a VM, the fillers
// slow the lasting tasks' answers down by an amount that differs much by image and
// by how each filler works at the moment, and the only sign is a tail latency that
// is half a second old. While a tail is near or over its target, the control slows
// those fillers that add most to it for what they get done, as far as is needed by
// what is known of their press (package press), and leaves the others alone. It
// raises speeds step by step as far as the tails bear it, those that press least
// first.
//
// # Usage
//
//	var c pace.Control
//	c.Observe("api", 90*time.Millisecond, 100*time.Millisecond)
//	c.Step(now, []pace.Load{{Task: "j.1#1", Share: 0.2, Use: 0.7, Press: map[string]float64{"api": 1.5}}})
//	percent := c.Percent("j.1#1")
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
	nearTarget = 0.9
	// speedUp is what a speed is multiplied with, and firstUp the least that is
	// added, in percent, in one step.
	speedUp = 1.6
	firstUp = 15
	// mild is the utilization that a filler may add at full speed to be left alone:
	// it isn't what a tail over its target comes from.
	mild = 0.05
	// least is the lowest speed that is worth running at, in percent.
	least = 5
	// patience is how long a target may be missed on end until all fillers that are
	// known to press on it stop, and lastPatience until all do, whatever is known of
	// them: users bear 4 s, and a tail takes one to fall.
	patience     = 1500 * time.Millisecond
	lastPatience = 2 * time.Second
	// firstPress is assumed of a pair that nothing is known of.
	firstPress = 1.0
)

// FullSpeed is full speed, in percent.
const FullSpeed = 100

// Load is a filler on the VM.
type Load struct {
	Task  string  // names it on the VM
	Share float64 // part of the VM that it takes at full speed, in [0, 1]
	// Utilization is the part that it uses of the processors that its speed gives it, in
	// (0, 1]; zero if it was not measured.
	Utilization float64
	// Interference holds what utilization a VM full of its image adds to lasting tasks,
	// by the latter's image; see package press.
	Interference map[string]float64
}

// press returns what utilization a VM full of the filler would add to lasting
// tasks of an image.
func (l *Load) press(lasting string) float64 {
	p, ok := l.Interference[lasting]
	if !ok {
		p = firstPress
	}
	return p * press.Weight(l.Utilization)
}

// cost returns the utilization that the filler adds at a speed, in percent.
func (l *Load) cost(lasting string, percent float64) float64 {
	return l.press(lasting) * l.Share * percent / FullSpeed
}

// Controller holds the speeds of the fillers of one VM. The zero value runs all at
// full speed.
type Controller struct {
	percent map[string]int       // of tasks that don't run at full speed
	worst   map[string]float64   // tail to target since the last step, by image
	last    map[string]float64   // the same of the step before
	room    map[string]float64   // utilization that may still be added, by image
	missed  map[string]time.Time // since when targets are missed on end, by image
	next    time.Time
}

// Observe takes a measurement of the tail latency of a lasting task of an image.
func (c *Controller) Observe(image string, tail, target time.Duration) {
	if target <= 0 {
		return
	}
	if c.worst == nil {
		c.worst = map[string]float64{}
	}
	c.worst[image] = max(c.worst[image], float64(tail)/float64(target))
}

// TailRatios returns the largest tail latencies of the last window, as parts of their
// targets, by the lasting tasks' images.
func (c *Controller) TailRatios() map[string]float64 { return c.last }

// Percent returns the speed of a filler.
func (c *Controller) Percent(task string) int {
	if p, ok := c.percent[task]; ok {
		return p
	}
	return FullSpeed
}

// Step decides anew once a measurement's window has passed, for the fillers that
// are on the VM. It reports whether it did.
func (c *Controller) Step(now time.Time, loads []Load) bool {
	if now.Before(c.next) {
		return false
	}
	c.next = now.Add(step)
	c.forget(loads)
	c.room = map[string]float64{}
	for image, worst := range c.worst {
		c.room[image] = press.Utilization(nearTarget) - press.Utilization(worst)
	}
	images := slices.Sorted(maps.Keys(c.room))
	for _, image := range images {
		c.slow(image, loads)
	}
	c.speed(loads)
	c.stop(now, loads)
	c.last, c.worst = c.worst, nil
	return true
}

// Admit sets the speed of a filler that starts between two steps: what the room
// that is left bears.
func (c *Controller) Admit(l Load) {
	up := float64(FullSpeed)
	if !c.mild(&l) {
		up = c.bearable(&l, up)
	}
	c.take(&l, up)
	c.set(l.Task, int(up))
}

// mild reports whether a filler adds little to each lasting image here.
func (c *Controller) mild(l *Load) bool { return c.hardest(l)*l.Share <= mild }

// forget drops the speeds of fillers that have gone.
func (c *Controller) forget(loads []Load) {
	here := make(map[string]bool, len(loads))
	for _, l := range loads {
		here[l.Task] = true
	}
	maps.DeleteFunc(c.percent, func(task string, _ int) bool { return !here[task] })
}

// slow takes speed from the fillers that add most to the tail of a lasting image
// for what they get done, until it should be back at its target.
func (c *Controller) slow(lasting string, loads []Load) {
	byPress := slices.SortedStableFunc(slices.Values(loads), func(a, b Load) int {
		return cmp.Compare(b.press(lasting), a.press(lasting))
	})
	for _, l := range byPress {
		p := float64(c.Percent(l.Task))
		added := l.cost(lasting, p)
		if c.room[lasting] >= 0 || added <= 0 {
			return
		}
		if c.mild(&l) {
			continue
		}
		down := p * min(-c.room[lasting]/added, 1)
		c.take(&l, -down)
		c.set(l.Task, int(p-down))
	}
}

// speed raises speeds as far as the room below each target is thought to bear, of
// the fillers that press least first.
func (c *Controller) speed(loads []Load) {
	byPress := slices.SortedStableFunc(slices.Values(loads), func(a, b Load) int {
		return cmp.Compare(c.hardest(&a), c.hardest(&b))
	})
	for _, l := range byPress {
		p := c.Percent(l.Task)
		if p == FullSpeed {
			continue
		}
		up := float64(FullSpeed - p)
		if !c.mild(&l) {
			up = c.bearable(&l, min(up, max(float64(p)*(speedUp-1), firstUp)))
		}
		c.take(&l, up)
		c.set(l.Task, p+int(up))
	}
}

// hardest returns the most that a VM full of a filler would add to a lasting image
// here.
func (c *Controller) hardest(l *Load) float64 {
	most := 0.0
	for lasting := range c.room {
		most = max(most, l.press(lasting))
	}
	return most
}

// bearable returns by how much a filler's speed may be raised, in percent, at most
// up.
func (c *Controller) bearable(l *Load, up float64) float64 {
	for lasting, room := range c.room {
		if cost := l.cost(lasting, up); cost > 0 {
			up = min(up, up*max(room, 0)/cost)
		}
	}
	return up
}

// take takes the room that a change of a filler's speed uses, in percent.
func (c *Controller) take(l *Load, change float64) {
	for lasting := range c.room {
		c.room[lasting] -= l.cost(lasting, change)
	}
}

// stop notes which targets are missed, and stops the fillers beside those that are
// missed for long.
func (c *Controller) stop(now time.Time, loads []Load) {
	missed := map[string]time.Time{}
	for image, worst := range c.worst {
		if worst <= 1 {
			continue
		}
		since, ok := c.missed[image]
		if !ok {
			since = now
		}
		missed[image] = since
		for _, l := range loads {
			if now.Sub(since) >= lastPatience || !c.mild(&l) && now.Sub(since) >= patience {
				c.set(l.Task, 0)
			}
		}
	}
	c.missed = missed
}

func (c *Controller) set(task string, percent int) {
	if percent >= FullSpeed {
		delete(c.percent, task)
		return
	}
	if c.percent == nil {
		c.percent = map[string]int{}
	}
	if percent < least {
		percent = 0
	}
	c.percent[task] = percent
}
