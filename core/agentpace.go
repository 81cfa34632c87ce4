package core

import (
	"maps"
	"slices"
	"time"

	"jayloft/interf"
	"jayloft/pace"
)

// usageDelay is the time after a change of speed from which the measured CPU usage
// of a best-effort task reflects the new speed: the worker measures over windows
// of 500 ms and applies a change within 100 ms.
const usageDelay = 700 * time.Millisecond

// paceBestEffort sets the speeds of the VM's best-effort tasks according to the
// tail latencies of its long-running tasks.
func (a *Agent) paceBestEffort() {
	for _, t := range a.held {
		if !t.started || t.stopping != "" {
			continue
		}
		a.pace.Observe(t.order.Class, t.tailLatency, t.order.Target)
		t.updateUtilization(a.at.Now)
	}
	if a.pace.Step(a.at.Now, a.paceLoads()) {
		a.windows++
		a.tailLatencies = a.tailLatenciesNow()
		a.smoothBestEffort()
		for _, t := range a.heldByUnsavedWork() {
			a.paceTask(t)
		}
	}
	a.paceStarted()
}

// updateUtilization updates the fraction of its allotted CPU that a best-effort task
// uses.
func (t *heldTask) updateUtilization(now time.Time) {
	allotted := t.order.Size.Millicores * int64(pace.FullSpeed-t.throttledBy) / pace.FullSpeed
	if !t.order.BestEffort || t.usedMillicores <= 0 || allotted <= 0 || now.Sub(t.pacedAt) < usageDelay {
		return
	}
	t.utilization = float64(t.usedMillicores) / float64(allotted)
}

// paceLoad describes a best-effort task to the speed controller.
func (a *Agent) paceLoad(t *heldTask) pace.Load {
	return pace.Load{
		Task: t.order.Attempt.String(), Utilization: t.utilization,
		Share:        float64(t.order.Size.Millicores) / float64(max(a.capacity.Millicores, 1)),
		Interference: interferenceOf(a.interference, t.order.Class),
	}
}

// paceLoads returns the best-effort tasks that have a speed.
func (a *Agent) paceLoads() []pace.Load {
	var loads []pace.Load
	for _, t := range a.heldByUnsavedWork() {
		if t.order.BestEffort && t.paced {
			loads = append(loads, a.paceLoad(t))
		}
	}
	return loads
}

// tailLatenciesNow returns the present tail latencies of the long-running tasks,
// by image.
func (a *Agent) tailLatenciesNow() []ImageTailLatency {
	byImage := map[string]ImageTailLatency{}
	for _, t := range a.heldByUnsavedWork() {
		if !t.started || t.stopping != "" || t.order.Target <= 0 || t.tailLatency <= 0 {
			continue
		}
		x := byImage[t.order.Class]
		fraction := float64(t.tailLatency) / float64(t.order.Target)
		x.Image, x.Worst = t.order.Class, max(x.Worst, fraction)
		x.Utilization += interf.Utilization(fraction)
		x.Tasks++
		byImage[t.order.Class] = x
	}
	var ts []ImageTailLatency
	for _, image := range slices.Sorted(maps.Keys(byImage)) {
		x := byImage[image]
		x.Utilization /= float64(x.Tasks)
		ts = append(ts, x)
	}
	return ts
}

// bestEffortSmoothing is the weight of the newest window in the reported load of
// best-effort tasks. A tail latency takes two windows to reflect a change in full.
const bestEffortSmoothing = 0.66

// smoothBestEffort adds one window's load of best-effort tasks to the moving
// averages.
func (a *Agent) smoothBestEffort() {
	now := map[string]float64{}
	for _, t := range a.heldByUnsavedWork() {
		if t.order.BestEffort && t.started {
			now[t.order.Class] += t.weightedMillicores()
		}
	}
	for image := range now {
		if _, ok := a.bestEffortMix[image]; !ok {
			a.bestEffortMix[image] = 0
		}
	}
	for image, millicores := range a.bestEffortMix {
		a.bestEffortMix[image] = millicores + bestEffortSmoothing*(now[image]-millicores)
		if a.bestEffortMix[image] < 1 {
			delete(a.bestEffortMix, image)
		}
	}
}

// weightedMillicores returns the CPU of a best-effort task at its present speed,
// in millicores, weighted by how much of it the task uses.
func (t *heldTask) weightedMillicores() float64 {
	return float64(t.order.Size.Millicores) * float64(pace.FullSpeed-t.throttledBy) / pace.FullSpeed * interf.Weight(t.utilization)
}

// interferenceOf returns the interference of a best-effort image, by long-running
// image.
func interferenceOf(pairs []ImageInterference, bestEffort string) map[string]float64 {
	m := map[string]float64{}
	for _, p := range pairs {
		if p.BestEffort == bestEffort {
			m[p.LongRunning] = p.Interference
		}
	}
	return m
}

// paceStarted sets the first speed of best-effort tasks that have just started.
func (a *Agent) paceStarted() {
	for _, t := range a.heldByUnsavedWork() {
		if t.order.BestEffort && t.started && !t.paced {
			t.paced = true
			a.pace.Admit(a.paceLoad(t))
			a.paceTask(t)
		}
	}
}

// paceTask applies the speed that the controller has chosen for a best-effort
// task.
func (a *Agent) paceTask(t *heldTask) {
	percent := a.pace.Percent(t.order.Attempt.String())
	if !t.paced || !t.started || t.stopping != "" || pace.FullSpeed-t.throttledBy == percent {
		return
	}
	a.logEvent("speed changed", t.order.Attempt.String(), "percent", percent, "was", pace.FullSpeed-t.throttledBy,
		"image", t.order.Class, "use", t.utilization, "interference", interferenceOf(a.interference, t.order.Class), "tails", a.pace.TailRatios())
	t.throttledBy, t.pacedAt = pace.FullSpeed-percent, a.at.Now
	switch {
	case percent > slowPercent:
		t.slowSince = time.Time{}
	case t.slowSince.IsZero():
		t.slowSince = a.at.Now
	}
	a.setSpeed(t, percent)
}

const (
	// slowPercent is the speed, in percent, up to which a best-effort task counts
	// as slowed: it makes little progress.
	slowPercent = 25
	// slowedAfter is how long a best-effort task must be that slow before it is
	// reported as slowed. A load peak of the long-running tasks beside it passes
	// sooner than the task can move.
	slowedAfter = time.Second
)

// slowedTasks returns the best-effort tasks that have been slowed for at least
// slowedAfter.
func (a *Agent) slowedTasks() []Attempt {
	var ts []Attempt
	for _, t := range a.heldByUnsavedWork() {
		if t.stopping == "" && !t.slowSince.IsZero() && a.at.Now.Sub(t.slowSince) >= slowedAfter {
			ts = append(ts, t.order.Attempt)
		}
	}
	return ts
}
