package core

import "jayloft/pace"

// paceFillers sets the speed of the VM's fillers by how its lasting tasks fare.
func (a *Agent) paceFillers() {
	for _, t := range a.held {
		if t.started && t.stopping == "" && t.order.Target > 0 {
			a.pace.Observe(pace.Load{Tail: t.tail, Target: t.order.Target})
		}
	}
	percent := a.pace.Percent(a.at.Now)
	for _, t := range a.heldInOrder() {
		if !t.order.Filler || !t.started || t.stopping != "" || pace.Full-t.taken == percent {
			continue
		}
		a.setPercent(t, percent)
	}
}

// setPercent changes a task's speed.
func (a *Agent) setPercent(t *heldTask, percent int) {
	t.percent, t.taken = percent, pace.Full-percent
	a.emit(Control{Attempt: t.order.Attempt, Verb: VerbThrottle, Percent: percent})
}
