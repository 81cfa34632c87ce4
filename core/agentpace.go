package core

import (
	"maps"
	"slices"
	"time"

	"jayloft/pace"
	"jayloft/press"
)

// usageDelay is how long after a change of its speed the measured use of a filler is
// of the new speed: the worker measures windows of half a second, and takes a
// change within a tenth.
const usageDelay = 700 * time.Millisecond

// paceBestEffort sets the speeds of the VM's fillers by how its lasting tasks fare.
func (a *Agent) paceBestEffort() {
	for _, t := range a.held {
		if !t.started || t.stopping != "" {
			continue
		}
		a.pace.Observe(t.order.Class, t.tailLatency, t.order.Target)
		t.updateCPUShare(a.at.Now)
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

// updateCPUShare takes which part of the processors that its speed gives it a filler uses.
func (t *heldTask) updateCPUShare(now time.Time) {
	allotted := t.order.Size.Millicores * int64(pace.FullSpeed-t.throttledBy) / pace.FullSpeed
	if !t.order.BestEffort || t.usedMillicores <= 0 || allotted <= 0 || now.Sub(t.pacedAt) < usageDelay {
		return
	}
	t.cpuShare = float64(t.usedMillicores) / float64(allotted)
}

// paceLoad describes a filler to the control of the speeds.
func (a *Agent) paceLoad(t *heldTask) pace.Load {
	return pace.Load{
		Task: t.order.Attempt.String(), Utilization: t.cpuShare,
		Share:        float64(t.order.Size.Millicores) / float64(max(a.capacity.Millicores, 1)),
		Interference: interferenceOf(a.interference, t.order.Class),
	}
}

// paceLoads returns the paceLoads on the VM that have a speed.
func (a *Agent) paceLoads() []pace.Load {
	var loads []pace.Load
	for _, t := range a.heldByUnsavedWork() {
		if t.order.BestEffort && t.paced {
			loads = append(loads, a.paceLoad(t))
		}
	}
	return loads
}

// tailLatenciesNow returns the tails of the lasting tasks, by image.
func (a *Agent) tailLatenciesNow() []ImageTailLatency {
	by := map[string]ImageTailLatency{}
	for _, t := range a.heldByUnsavedWork() {
		if !t.started || t.stopping != "" || t.order.Target <= 0 || t.tailLatency <= 0 {
			continue
		}
		x := by[t.order.Class]
		part := float64(t.tailLatency) / float64(t.order.Target)
		x.Image, x.Worst = t.order.Class, max(x.Worst, part)
		x.Utilization += press.Utilization(part)
		x.Tasks++
		by[t.order.Class] = x
	}
	var ts []ImageTailLatency
	for _, image := range slices.Sorted(maps.Keys(by)) {
		x := by[image]
		x.Utilization /= float64(x.Tasks)
		ts = append(ts, x)
	}
	return ts
}

// bestEffortSmoothing is the weight of the newest window in the mix that is reported. A
// tail takes two windows to show all of a change.
const bestEffortSmoothing = 0.66

// smoothBestEffort takes one window's fillers, at their speeds, into the mix.
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
	for image, cores := range a.bestEffortMix {
		a.bestEffortMix[image] = cores + bestEffortSmoothing*(now[image]-cores)
		if a.bestEffortMix[image] < 1 {
			delete(a.bestEffortMix, image)
		}
	}
}

// weightedMillicores returns the processors of a filler at its speed, weighed by how it uses
// them, in thousandths of a core.
func (t *heldTask) weightedMillicores() float64 {
	return float64(t.order.Size.Millicores) * float64(pace.FullSpeed-t.throttledBy) / pace.FullSpeed * press.Weight(t.cpuShare)
}

// interferenceOf returns the press of a filler's image by the images of lasting tasks.
func interferenceOf(pairs []ImageInterference, filler string) map[string]float64 {
	m := map[string]float64{}
	for _, p := range pairs {
		if p.BestEffort == filler {
			m[p.LongRunning] = p.Interference
		}
	}
	return m
}

// paceStarted gives fillers that have just started their first speed.
func (a *Agent) paceStarted() {
	for _, t := range a.heldByUnsavedWork() {
		if t.order.BestEffort && t.started && !t.paced {
			t.paced = true
			a.pace.Admit(a.paceLoad(t))
			a.paceTask(t)
		}
	}
}

// paceTask gives a filler the speed that was decided.
func (a *Agent) paceTask(t *heldTask) {
	percent := a.pace.Percent(t.order.Attempt.String())
	if !t.paced || !t.started || t.stopping != "" || pace.FullSpeed-t.throttledBy == percent {
		return
	}
	a.logEvent("filler paced", t.order.Attempt.String(), "percent", percent, "was", pace.FullSpeed-t.throttledBy,
		"image", t.order.Class, "use", t.cpuShare, "press", interferenceOf(a.interference, t.order.Class), "tails", a.pace.TailRatios())
	t.percent, t.throttledBy, t.pacedAt = percent, pace.FullSpeed-percent, a.at.Now
	switch {
	case percent > slowPercent:
		t.slowSince = time.Time{}
	case t.slowSince.IsZero():
		t.slowSince = a.at.Now
	}
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbThrottle, Percent: percent})
}

const (
	// slowPercent is the speed, in percent, up to which a filler hardly runs.
	slowPercent = 25
	// slowedAfter is how long a filler must hardly run to be reported: a wave of its
	// neighbours' load is over sooner than it can move.
	slowedAfter = time.Second
)

// slowedTasks returns the fillers that hardly run for long.
func (a *Agent) slowedTasks() []Attempt {
	var ts []Attempt
	for _, t := range a.heldByUnsavedWork() {
		if t.stopping == "" && !t.slowSince.IsZero() && a.at.Now.Sub(t.slowSince) >= slowedAfter {
			ts = append(ts, t.order.Attempt)
		}
	}
	return ts
}
