package core

import (
	"maps"
	"slices"
	"time"

	"jayloft/pace"
	"jayloft/press"
)

// useAfter is how long after a change of its speed the measured use of a filler is
// of the new speed: the worker measures windows of half a second, and takes a
// change within a tenth.
const useAfter = 700 * time.Millisecond

// paceFillers sets the speeds of the VM's fillers by how its lasting tasks fare.
func (a *Agent) paceFillers() {
	for _, t := range a.held {
		if !t.started || t.stopping != "" {
			continue
		}
		a.pace.Observe(t.order.Class, t.tail, t.order.Target)
		t.noteUse(a.at.Now)
	}
	if a.pace.Step(a.at.Now, a.fillers()) {
		a.windows++
		a.tails = a.tailsNow()
		a.smoothMix()
		for _, t := range a.heldInOrder() {
			a.paceTask(t)
		}
	}
	a.paceNew()
}

// noteUse takes which part of the processors that its speed gives it a filler uses.
func (t *heldTask) noteUse(now time.Time) {
	given := t.order.Size.Millicores * int64(pace.FullSpeed-t.taken) / pace.FullSpeed
	if !t.order.BestEffort || t.used <= 0 || given <= 0 || now.Sub(t.pacedAt) < useAfter {
		return
	}
	t.use = float64(t.used) / float64(given)
}

// fillerLoad describes a filler to the control of the speeds.
func (a *Agent) fillerLoad(t *heldTask) pace.Load {
	return pace.Load{
		Task: t.order.Attempt.String(), Utilization: t.use,
		Share:        float64(t.order.Size.Millicores) / float64(max(a.capacity.Millicores, 1)),
		Interference: pressOf(a.press, t.order.Class),
	}
}

// fillers returns the fillers on the VM that have a speed.
func (a *Agent) fillers() []pace.Load {
	var loads []pace.Load
	for _, t := range a.heldInOrder() {
		if t.order.BestEffort && t.admitted {
			loads = append(loads, a.fillerLoad(t))
		}
	}
	return loads
}

// tailsNow returns the tails of the lasting tasks, by image.
func (a *Agent) tailsNow() []ImageTailLatency {
	by := map[string]ImageTailLatency{}
	for _, t := range a.heldInOrder() {
		if !t.started || t.stopping != "" || t.order.Target <= 0 || t.tail <= 0 {
			continue
		}
		x := by[t.order.Class]
		part := float64(t.tail) / float64(t.order.Target)
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

// mixSmoothing is the weight of the newest window in the mix that is reported. A
// tail takes two windows to show all of a change.
const mixSmoothing = 0.66

// smoothMix takes one window's fillers, at their speeds, into the mix.
func (a *Agent) smoothMix() {
	now := map[string]float64{}
	for _, t := range a.heldInOrder() {
		if t.order.BestEffort && t.started {
			now[t.order.Class] += t.pressing()
		}
	}
	for image := range now {
		if _, ok := a.fillerMix[image]; !ok {
			a.fillerMix[image] = 0
		}
	}
	for image, cores := range a.fillerMix {
		a.fillerMix[image] = cores + mixSmoothing*(now[image]-cores)
		if a.fillerMix[image] < 1 {
			delete(a.fillerMix, image)
		}
	}
}

// pressing returns the processors of a filler at its speed, weighed by how it uses
// them, in thousandths of a core.
func (t *heldTask) pressing() float64 {
	return float64(t.order.Size.Millicores) * float64(pace.FullSpeed-t.taken) / pace.FullSpeed * press.Weight(t.use)
}

// pressOf returns the press of a filler's image by the images of lasting tasks.
func pressOf(pairs []ImageInterference, filler string) map[string]float64 {
	m := map[string]float64{}
	for _, p := range pairs {
		if p.BestEffort == filler {
			m[p.LongRunning] = p.Interference
		}
	}
	return m
}

// paceNew gives fillers that have just started their first speed.
func (a *Agent) paceNew() {
	for _, t := range a.heldInOrder() {
		if t.order.BestEffort && t.started && !t.admitted {
			t.admitted = true
			a.pace.Admit(a.fillerLoad(t))
			a.paceTask(t)
		}
	}
}

// paceTask gives a filler the speed that was decided.
func (a *Agent) paceTask(t *heldTask) {
	percent := a.pace.Percent(t.order.Attempt.String())
	if !t.admitted || !t.started || t.stopping != "" || pace.FullSpeed-t.taken == percent {
		return
	}
	a.tell("filler paced", t.order.Attempt.String(), "percent", percent, "was", pace.FullSpeed-t.taken,
		"image", t.order.Class, "use", t.use, "press", pressOf(a.press, t.order.Class), "tails", a.pace.TailRatios())
	t.percent, t.taken, t.pacedAt = percent, pace.FullSpeed-percent, a.at.Now
	switch {
	case percent > slowPercent:
		t.slowed = time.Time{}
	case t.slowed.IsZero():
		t.slowed = a.at.Now
	}
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbThrottle, Percent: percent})
}

const (
	// slowPercent is the speed, in percent, up to which a filler hardly runs.
	slowPercent = 25
	// slowFor is how long a filler must hardly run to be reported: a wave of its
	// neighbours' load is over sooner than it can move.
	slowFor = time.Second
)

// slowed returns the fillers that hardly run for long.
func (a *Agent) slowed() []Attempt {
	var ts []Attempt
	for _, t := range a.heldInOrder() {
		if t.stopping == "" && !t.slowed.IsZero() && a.at.Now.Sub(t.slowed) >= slowFor {
			ts = append(ts, t.order.Attempt)
		}
	}
	return ts
}
