package core

import "jayloft/pace"

// paceFillers sets the speed of the VM's fillers by how its lasting tasks fare.
func (a *Agent) paceFillers() {
	var fillers int64
	for _, t := range a.held {
		if t.order.Filler {
			fillers += t.order.Size.Millicores
		}
		if t.started && t.stopping == "" && t.order.Target > 0 {
			a.pace.Observe(pace.Load{Tail: t.tail, Target: t.order.Target})
		}
	}
	a.pace.Step(a.at.Now, float64(fillers)/float64(max(a.capacity.Millicores, 1)))
	percent := a.pace.Percent()
	if percent != a.paced {
		a.tell("fillers paced", string(a.site.Worker), "percent", percent, "was", a.paced,
			"tail", a.pace.Worst(), "share", a.pace.Share(), "fillers", fillers)
		a.paced = percent
	}
	for _, t := range a.heldInOrder() {
		if t.order.Filler && t.started && t.stopping == "" && pace.Full-t.taken != percent {
			a.setPercent(t, percent)
		}
	}
}

// setPercent changes a task's speed.
func (a *Agent) setPercent(t *heldTask, percent int) {
	t.percent, t.taken = percent, pace.Full-percent
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbThrottle, Percent: percent})
}

// fillerRoom returns how much of the processors fillers may take in all, in
// thousandths of a core. Beside lasting tasks it is what those bear.
func (a *Agent) fillerRoom() int64 {
	if a.pace.Percent() < pace.Full {
		return 0
	}
	return int64(a.pace.Share() * float64(a.capacity.Millicores))
}
