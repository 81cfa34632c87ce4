// Package pace controls the speed of best-effort tasks, so that the long-running tasks
// on the same VM meet their latency targets.
//
// It handles one load pattern: best-effort and long-running tasks share a VM, the
// slow-down by interference differs widely by image and by how each best-effort task
// uses its CPU at the moment, and the only signal is a tail latency that is half a
// second old. While a tail latency is near or over its target, the controller throttles
// the best-effort tasks that interfere most for the CPU they are granted, as far as
// their estimated interference (package interf) requires, and leaves the others alone.
// It raises speeds step by step as far as the targets allow, starting with the tasks
// that interfere least.
//
// # Usage
//
//	var c pace.Controller
//	c.Observe("api", 90*time.Millisecond, 100*time.Millisecond)
//	c.Step(now, []pace.Load{{
//		Task: "j.1#1", Share: 0.2, Utilization: 0.7,
//		Interference: map[string]float64{"api": 1.5},
//	}})
//	percent := c.Percent("j.1#1")
package pace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jayloft/interf"
)

const (
	// stepInterval is the time between two decisions, the length of a measurement
	// window.
	stepInterval = 500 * time.Millisecond
	// nearTargetRatio is the ratio of tail latency to target above which tasks are
	// throttled, so that the reaction comes before the target is missed.
	nearTargetRatio = 0.9
	// In one step a speed is multiplied by at most speedUpFactor, or raised by
	// minSpeedUpPercent if that is more.
	speedUpFactor     = 1.6
	minSpeedUpPercent = 15
	// mildUtilization is the utilization that a task may add at full speed without
	// being throttled: it can't be the cause of a tail latency over its target.
	mildUtilization = 0.05
	// minSpeedPercent is the lowest speed that is worth running at; below it a task
	// is stopped.
	minSpeedPercent = 5
	// stopAfter is how long a target may be missed without a break before all
	// best-effort tasks except mild ones stop, and stopAllAfter before all stop,
	// whatever their estimates: users tolerate 4 s, and a tail latency takes 1 s to
	// fall.
	stopAfter    = 1500 * time.Millisecond
	stopAllAfter = 2 * time.Second
	// priorInterference is assumed for pairs of images without an estimate.
	priorInterference = 1.0
)

// FullSpeed is full speed, in percent.
const FullSpeed = 100

// Load is a best-effort task on the VM.
type Load struct {
	Task  string  // unique on the VM
	Share float64 // part of the VM's CPU granted at full speed, in [0, 1]
	// Utilization is the part of the CPU granted by its speed that the task uses,
	// in (0, 1]; zero if it was not measured.
	Utilization float64
	// Interference holds the utilization that a VM full of its image adds to
	// long-running tasks, by their image; see package interf.
	Interference map[string]float64
}

// interference returns the utilization that a VM full of such tasks would add to
// long-running tasks of an image.
func (l *Load) interference(longRunning string) float64 {
	p, ok := l.Interference[longRunning]
	if !ok {
		p = priorInterference
	}
	return p * interf.Weight(l.Utilization)
}

// addedUtilization returns the utilization that the task adds at a speed in percent.
func (l *Load) addedUtilization(longRunning string, percent float64) float64 {
	return l.interference(longRunning) * l.Share * percent / FullSpeed
}

// Controller controls the speeds of the best-effort tasks on one VM. The zero value is
// ready for use and runs all at full speed.
type Controller struct {
	percent        map[string]int       // speeds of tasks below full speed
	tailRatios     map[string]float64   // tail latency to target, largest since the last step, by image
	lastTailRatios map[string]float64   // the same for the previous step
	headroom       map[string]float64   // utilization that may still be added, by image
	missedSince    map[string]time.Time // start of the current run of misses, by image
	nextStep       time.Time
}

// Observe records a measured tail latency of a long-running task of an image. Tasks
// without a target are ignored.
func (c *Controller) Observe(image string, tailLatency, target time.Duration) {
	if target <= 0 {
		return
	}
	if c.tailRatios == nil {
		c.tailRatios = map[string]float64{}
	}
	c.tailRatios[image] = max(c.tailRatios[image], float64(tailLatency)/float64(target))
}

// TailRatios returns the largest ratios of tail latency to target in the last window, by
// long-running image.
func (c *Controller) TailRatios() map[string]float64 { return c.lastTailRatios }

// Percent returns the speed of a best-effort task in percent; 0 means stopped.
func (c *Controller) Percent(task string) int {
	if p, ok := c.percent[task]; ok {
		return p
	}
	return FullSpeed
}

// Step sets the speeds of the best-effort tasks on the VM, given by loads, once a
// measurement window has passed. It reports whether one has.
func (c *Controller) Step(now time.Time, loads []Load) bool {
	if now.Before(c.nextStep) {
		return false
	}
	c.nextStep = now.Add(stepInterval)
	c.prune(loads)
	c.headroom = map[string]float64{}
	for image, ratio := range c.tailRatios {
		c.headroom[image] = interf.Utilization(nearTargetRatio) - interf.Utilization(ratio)
	}
	images := slices.Sorted(maps.Keys(c.headroom))
	for _, image := range images {
		c.slowDown(image, loads)
	}
	c.speedUp(loads)
	c.stopIfMissed(now, loads)
	c.lastTailRatios, c.tailRatios = c.tailRatios, nil
	return true
}

// Admit sets the initial speed of a best-effort task that starts between two steps, by
// the headroom that is left.
func (c *Controller) Admit(l Load) {
	increase := float64(FullSpeed)
	if !c.isMild(&l) {
		increase = c.allowedIncrease(&l, increase)
	}
	c.reserve(&l, increase)
	c.set(l.Task, int(increase))
}

// isMild reports whether a task at full speed adds at most mildUtilization to every
// long-running image on the VM.
func (c *Controller) isMild(l *Load) bool { return c.maxInterference(l)*l.Share <= mildUtilization }

// prune drops the speeds of tasks that are no longer on the VM.
func (c *Controller) prune(loads []Load) {
	present := make(map[string]bool, len(loads))
	for _, l := range loads {
		present[l.Task] = true
	}
	maps.DeleteFunc(c.percent, func(task string, _ int) bool { return !present[task] })
}

// slowDown lowers the speeds of the tasks that interfere most with a long-running image
// for the CPU they are granted, until its tail latency is expected to be back near its
// target.
func (c *Controller) slowDown(longRunning string, loads []Load) {
	byInterference := slices.SortedStableFunc(slices.Values(loads), func(a, b Load) int {
		return cmp.Compare(b.interference(longRunning), a.interference(longRunning))
	})
	for _, l := range byInterference {
		p := float64(c.Percent(l.Task))
		added := l.addedUtilization(longRunning, p)
		if c.headroom[longRunning] >= 0 || added <= 0 {
			return
		}
		if c.isMild(&l) {
			continue
		}
		decrease := p * min(-c.headroom[longRunning]/added, 1)
		c.reserve(&l, -decrease)
		c.set(l.Task, int(p-decrease))
	}
}

// speedUp raises speeds as far as the headroom below each target allows, starting with
// the tasks that interfere least.
func (c *Controller) speedUp(loads []Load) {
	byInterference := slices.SortedStableFunc(slices.Values(loads), func(a, b Load) int {
		return cmp.Compare(c.maxInterference(&a), c.maxInterference(&b))
	})
	for _, l := range byInterference {
		p := c.Percent(l.Task)
		if p == FullSpeed {
			continue
		}
		increase := float64(FullSpeed - p)
		if !c.isMild(&l) {
			increase = c.allowedIncrease(&l, min(increase, max(float64(p)*(speedUpFactor-1), minSpeedUpPercent)))
		}
		c.reserve(&l, increase)
		c.set(l.Task, p+int(increase))
	}
}

// maxInterference returns the largest interference of a task with any long-running image
// on the VM.
func (c *Controller) maxInterference(l *Load) float64 {
	most := 0.0
	for longRunning := range c.headroom {
		most = max(most, l.interference(longRunning))
	}
	return most
}

// allowedIncrease returns the part of an increase of a task's speed, in percent, that
// fits into the headroom.
func (c *Controller) allowedIncrease(l *Load, increase float64) float64 {
	for longRunning, headroom := range c.headroom {
		if added := l.addedUtilization(longRunning, increase); added > 0 {
			increase = min(increase, increase*max(headroom, 0)/added)
		}
	}
	return increase
}

// reserve deducts the utilization added by a change of a task's speed, in percent, from
// the headroom.
func (c *Controller) reserve(l *Load, change float64) {
	for longRunning := range c.headroom {
		c.headroom[longRunning] -= l.addedUtilization(longRunning, change)
	}
}

// stopIfMissed records which targets are missed, and stops tasks when a target has been
// missed for too long.
func (c *Controller) stopIfMissed(now time.Time, loads []Load) {
	missedSince := map[string]time.Time{}
	for image, ratio := range c.tailRatios {
		if ratio <= 1 {
			continue
		}
		since, ok := c.missedSince[image]
		if !ok {
			since = now
		}
		missedSince[image] = since
		for _, l := range loads {
			if now.Sub(since) >= stopAllAfter || !c.isMild(&l) && now.Sub(since) >= stopAfter {
				c.set(l.Task, 0)
			}
		}
	}
	c.missedSince = missedSince
}

func (c *Controller) set(task string, percent int) {
	if percent >= FullSpeed {
		delete(c.percent, task)
		return
	}
	if c.percent == nil {
		c.percent = map[string]int{}
	}
	if percent < minSpeedPercent {
		percent = 0
	}
	c.percent[task] = percent
}
