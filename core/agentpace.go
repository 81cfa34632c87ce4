package core

import (
	"maps"
	"slices"

	"jayloft/pace"
)

// paceFillers sets the speeds of the VM's fillers by how its lasting tasks fare.
func (a *Agent) paceFillers() {
	for _, t := range a.held {
		if t.started && t.stopping == "" {
			a.pace.Observe(t.order.Class, t.tail, t.order.Target)
		}
	}
	if !a.pace.Step(a.at.Now, a.fillers()) {
		a.paceNew()
		return
	}
	a.smoothMix()
	for _, t := range a.heldInOrder() {
		a.paceTask(t)
	}
}

// fillers returns the fillers on the VM by image.
func (a *Agent) fillers() []pace.Load {
	cores := map[string]int64{}
	for _, t := range a.held {
		if t.order.Filler {
			cores[t.order.Class] += t.order.Size.Millicores
		}
	}
	var loads []pace.Load
	for _, image := range slices.Sorted(maps.Keys(cores)) {
		share := float64(cores[image]) / float64(max(a.capacity.Millicores, 1))
		loads = append(loads, pace.Load{Image: image, Share: share, Press: pressOf(a.press, image)})
	}
	return loads
}

// mixSmoothing is the weight of the newest window in the mix that is reported. A
// tail takes two windows to show that a filler has come or gone.
const mixSmoothing = 0.5

// smoothMix takes one window's fillers, at their speeds, into the mix.
func (a *Agent) smoothMix() {
	now := map[string]float64{}
	for _, t := range a.held {
		if t.order.Filler && t.started {
			now[t.order.Class] += float64(t.order.Size.Millicores) * float64(pace.Full-t.taken) / pace.Full
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

// pressOf returns the press of a filler's image by the images of lasting tasks.
func pressOf(pairs []ImagePress, filler string) map[string]float64 {
	m := map[string]float64{}
	for _, p := range pairs {
		if p.Filler == filler {
			m[p.Lasting] = p.Press
		}
	}
	return m
}

// paceNew gives fillers that have just started the speed of their image.
func (a *Agent) paceNew() {
	for _, t := range a.heldInOrder() {
		if t.taken == 0 {
			a.paceTask(t)
		}
	}
}

// paceTask gives a filler the speed of its image.
func (a *Agent) paceTask(t *heldTask) {
	percent := a.pace.Percent(t.order.Class)
	if !t.order.Filler || !t.started || t.stopping != "" || pace.Full-t.taken == percent {
		return
	}
	a.tell("filler paced", t.order.Attempt.String(), "percent", percent, "was", pace.Full-t.taken,
		"image", t.order.Class, "press", pressOf(a.press, t.order.Class), "tails", a.pace.Worst())
	t.percent, t.taken = percent, pace.Full-percent
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbThrottle, Percent: percent})
}
